"""Where a drain crosses something else: each case forces one order of events, in virtual time or on real sockets.

`Fleet` is a manager with its peers, a channel and proxies behind it. It measures, for each server that drains, how long
after the word of the list some proxy still sent there; the time of a proxy that joined later, and of a slice that was
given later, counts from then on.
"""

import json
import unittest

from .channel import ChannelRelay
from .peers import SECOND, Scene, row, settings

GRACE_S, SLACK_S = 2.0, 0.3  # of the settings; allowed beside them on sockets
BROKEN_CALL_S, SILENT_CALL_S, BROKEN_NEWS_S = 0.5, 1.5, 4.0  # limits wait so long where the relay does that
SAMPLE_US = 10_000
TOLD_AFTER_US = 6 * SECOND  # what discovery has to tell counts as told then, whether or not it arrived
SHORT_QUEUE = {"servers": 24, "proxies": 150, "EgressPerS": 9_800.0, "QueueCap": 9_800.0}
LONG_QUEUE = SHORT_QUEUE | {"QueueCap": 28_700.0}


class MeasuringRelay(ChannelRelay):
    """`delay_us`: by server that drains, how long after the word some proxy last sent there."""

    def __init__(self, *values, **more):
        super().__init__(*values, **more)
        self.delay_us = {}
        self._sample()

    def _sample(self):
        now = self.loop.now()
        for worker, told_at in self.told_at.items():
            since = [
                max(told_at, member.joined_at, self.given_at[table])
                for member in self.members.values()
                if worker not in member.withdrawn
                for table, rows in member.rows.items()
                if worker in rows
            ]
            self.delay_us[worker] = max(now - min(since, default=now), self.delay_us.get(worker, 0))
        self.loop.after(SAMPLE_US, self._sample)

    def told(self, workers):
        """A second word, after a return, starts anew."""
        for worker in list(workers):
            self.delay_us.setdefault(worker, 0)
            super().told([worker])

    def fall_silent(self):
        """The connections for news stay open and say nothing more; others can be made."""
        self.followers.clear()


class Fleet:
    """Servers 1 to `servers`; slice `t` is at server 1 + t % servers and lingers at another."""

    def __init__(self, servers=12, slices=24, proxies=40, tables=None, **family):
        config = settings(slices, proxies, **family)
        self.servers, self.seq, self.states, self.config = servers, 1, {}, config
        self.tables = tables or {
            table: {f"s-{1 + table % servers}": 1.0, f"s-{1 + (table * 7 + 1) % servers}": 0.01}
            for table in range(slices)
        }
        self.scene = Scene(
            workers=servers,
            more=config,
            relay_type=MeasuringRelay,
            setup=config["FamilyInfo"],
            slices={table: dict(rows) for table, rows in self.tables.items()},
            grace_us=int((GRACE_S + SLACK_S) * SECOND),
            proxies=range(proxies),
        )
        self.relay, self.discovery, self.service = self.scene.relay, self.scene.discovery, self.scene.service
        self.manager, self.run = self.scene.manager, self.scene.run
        self.watch, self.link = self.service.watch, self.service.relay
        self.signs_of_life()
        self.run(4)
        self.relay.subscribed = 0  # from now on a snapshot tells of proxies that hold tables

    def signs_of_life(self):
        """Of discovery: an empty line every 2 s on each watch that is open."""
        if not self.discovery.silent:
            for stream in self.discovery.streams:
                stream.write(b"1\r\n\n\r\n")
        self.discovery.loop.after(2 * SECOND, self.signs_of_life)

    def log(self):
        return [f"{event} {fields}" for event, fields in self.scene.logged]

    def list(self, state, *numbers, **other):
        """The list says so of these, on every watch that is open and to each that begins later."""
        self.seq += 1
        rows = [row(number, state, **other) for number in numbers]
        self.states |= {one["host"]: one for one in rows}
        self.discovery.say(self.seq, False, *rows)
        self.discovery.lines = [json.dumps({"seq": self.seq, "whole": False, "hosts": list(self.states.values())})]

    def drain(self, *numbers):
        self.relay.told(f"s-{number}" for number in numbers)
        self.list("leaving", *numbers)

    def drain_unheard(self, *numbers):
        """The list says so where no watch hears it: told as a watch begins that is answered, or 6 s later."""
        self.list("leaving", *numbers)
        changed_at, watches = self.scene.network.time, len(self.discovery.streams)

        def weigh():
            if len(self.discovery.streams) > watches or self.scene.network.time - changed_at >= TOLD_AFTER_US:
                self.relay.told(f"s-{number}" for number in numbers)
            else:
                self.discovery.loop.after(SAMPLE_US, weigh)

        weigh()

    def back(self, *numbers, **other):
        for number in numbers:
            self.relay.told_back(f"s-{number}")
        self.list("active", *numbers, **other)

    def worst_s(self):
        return max(self.relay.delay_us.values(), default=0) / SECOND


class DrainCase(unittest.TestCase):
    @staticmethod
    def limit_us(allowed_s):
        return int((GRACE_S + SLACK_S + allowed_s) * SECOND)

    def kept(self, fleet, allowed_s=0.0):
        """Each drain within the grace, what is allowed beside it on sockets, and what a fault of the relay adds."""
        late = {name: us / SECOND for name, us in fleet.relay.delay_us.items() if us > self.limit_us(allowed_s)}
        self.assertEqual((len(late), sorted(late.items())[:3]), (0, []), "\n" + "\n".join(fleet.log()[-25:]))
        self.assertLessEqual(fleet.relay.most_waiting, fleet.relay.setup["QueueCap"])
        self.assertEqual(fleet.scene.counts["faults"], 0)


class Calls(DrainCase):
    """The word of the list comes while a call is on its way, or is the cause of the call that something happens to."""

    CASES = [
        ("in flight for as long as an answer may take", ["hold"], 0.0),
        ("not carried out", ["lost"], BROKEN_CALL_S),
        ("carried out, the connection breaks", ["done"], BROKEN_CALL_S),
        ("no answer", ["mute"], SILENT_CALL_S),
        ("an answer that cannot be read", ["spoilt"], SILENT_CALL_S),
        ("not carried out, twice", ["lost"] * 2, 2 * BROKEN_CALL_S),
        ("no answer, then lost", ["mute", "lost"], SILENT_CALL_S + BROKEN_CALL_S),
        ("throttled three times", ["throttled"] * 3, 0.0),
        ("invalid", ["invalid"], 0.0),
        ("invalid, in halves too", ["invalid"] * 3, 0.0),
        ("a table's line is refused", [3], 0.0),
    ]

    def test_words_before_and_after_a_call_that_something_happens_to(self):
        for name, fates, allowed_s in self.CASES:
            with self.subTest(name):
                fleet = Fleet()
                fleet.relay.fates = list(fates)
                fleet.drain(1, 2)
                fleet.run(0.02)
                fleet.drain(3)
                fleet.run(0.03)
                fleet.relay.release()
                fleet.run(6)
                self.kept(fleet, allowed_s)

    def test_a_call_that_is_refused_at_the_withdrawal(self):
        """The order at which the relay stops is dropped; the decisions hold the server for withdrawn."""
        fleet = Fleet(**LONG_QUEUE, slices=400)
        fleet.relay.fates = [0]
        fleet.drain(1)
        fleet.run(6)
        self.kept(fleet)

    def test_a_word_while_a_large_call_is_in_doubt(self):
        """Nothing goes out for as long as the lines of the call in doubt would take."""
        for slices, fates, allowed_s in ((78, ["lost"], BROKEN_CALL_S), (192, ["lost"], BROKEN_CALL_S)):
            with self.subTest(slices=slices):
                fleet = Fleet(**LONG_QUEUE, slices=slices)
                fleet.run(4)
                fleet.relay.fates = list(fates)
                fleet.drain(*range(1, 10))
                fleet.run(0.05)
                fleet.drain(13)
                fleet.run(6)
                self.kept(fleet, allowed_s)


class Channel(DrainCase):
    """The word of the list comes while the channel is busy, or is held to be."""

    def test_words_that_come_one_behind_the_other(self):
        for servers_each in (2, 4):
            with self.subTest(servers_each):
                fleet = Fleet(**LONG_QUEUE, slices=192)
                fleet.run(4)
                for place in range(4):
                    fleet.drain(*range(1 + servers_each * place, 1 + servers_each * (place + 1)))
                    fleet.run(0.1)
                fleet.run(5)
                self.kept(fleet)

    def test_many_servers_at_once(self):
        for count in (6, 12, 18):
            with self.subTest(count):
                fleet = Fleet(**LONG_QUEUE, slices=192)
                fleet.run(4)
                fleet.drain(*range(1, 1 + count))
                fleet.run(5)
                self.kept(fleet)

    def test_answers_to_marks_that_never_come(self):
        """What was not answered stayed in the books for eight times what the queue takes, and held up what came."""

        def streams_break(fleet):
            proxies = list(fleet.relay.proxies)
            for proxy in proxies:
                fleet.relay.leave(proxy)
            fleet.run(0.3)
            for proxy in proxies:
                fleet.relay.come_back(proxy)

        for name, happens, allowed_s in (
            ("all streams of proxies break and come back", streams_break, 0.0),
            ("news falls silent", lambda fleet: fleet.relay.fall_silent(), SILENT_CALL_S),
        ):
            with self.subTest(name):
                fleet = Fleet(**SHORT_QUEUE, slices=78)
                fleet.run(4)
                fleet.drain(*range(1, 13))
                fleet.run(0.03)
                happens(fleet)
                fleet.run(2.5)
                fleet.drain(13)
                fleet.run(10)
                self.kept(fleet, allowed_s)

    def test_servers_that_are_back_are_let_in_again(self):
        """A line of each message was kept for each of them, none of which might go before tables had changed."""
        fleet = Fleet(**SHORT_QUEUE | {"EgressPerS": 8_000.0, "QueueCap": 16_000.0}, slices=96)
        fleet.run(4)
        fleet.drain(*range(1, 7))
        fleet.run(0.8)
        fleet.back(*range(1, 7))
        fleet.run(20)
        self.assertEqual(fleet.manager.withdrawals.barred, set(), "\n" + "\n".join(fleet.log()[-9:]))
