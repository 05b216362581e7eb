"""The manager's program against stand-ins of its peers, in virtual time: relay, discovery, probes and callers."""

import json
import unittest
from collections import Counter

from ospreyrouter.interface import ProbeOutcome, WorkerState
from ospreyrouter.loop import Loop
from ospreyrouter.naming import Malformed
from ospreyrouter.node import frames, listing, relay_lines
from ospreyrouter.node.calls import Calls
from ospreyrouter.node.frames import FrameReader, UnreadableMessage, encode_frame
from ospreyrouter.node.log import Log
from ospreyrouter.node.reports import load_report

from .peers import SECOND, RecordingManager, ServiceHarness, StandInDiscovery, StandInRelay, list_entry, make_settings

SOURCE = {"msg": "SOURCE", "az": "a"}
LOAD = {
    "msg": "LOAD",
    "az": "a",
    "host": "s-1",
    "n": 10,
    "bad": 1,
    "avg": 41.7,
    "window": 500.0,
    "report": {"util": 0.5, "qps": 9},
}
SHARD = {"msg": "SHARD", "partition": 1, "kind": "order", "n": 4, "bad": 0, "window": 500.0}


class CodecTests(unittest.TestCase):
    """Parsing and formatting of messages, without I/O."""

    def test_frames_arrive_in_pieces_and_invalid_ones_are_rejected(self):
        reader, data = FrameReader(), encode_frame(SOURCE) + encode_frame(LOAD)
        messages = [message for start in range(0, len(data), 3) for message in reader.feed(data[start : start + 3])]
        self.assertEqual(messages, [SOURCE, LOAD])
        for data in (
            b"GET / HTTP/1.1\r\n",
            b"\x00\x00\x00\x00{}",
            b"\x7f\xff\xff\xff",
            b"\x00\x00\x00\x04{{{{",
            b"\x00\x00\x00\x03NaN",
            b'\x00\x00\x00\x03"\xff"',
        ):
            with self.subTest(data=data), self.assertRaises(UnreadableMessage):
                FrameReader().feed(data)

    def test_answers_to_calls(self):
        for line, answer in [
            (b"OK 2", ("taken", 2)),
            (b"OK", ("following", 0)),
            (b"ERR throttled", ("refused", "throttled")),
            (b"throttled", ("refused", "throttled")),
            (b"OK -1", None),
            (b"OK 2 3", None),
            (b"", None),
            (b"O\xff 2", None),
            (b"OK 99999999", None),
            (b"perhaps", None),
        ]:
            with self.subTest(line=line):
                self.assertEqual(relay_lines.parse_answer(line), answer)

    def test_lines_of_news(self):
        self.assertEqual(relay_lines.parse_news(b"* SUBSCRIBE 17 a 21.5 1"), ("SUBSCRIBE", 17, "a", 21.5, True))
        self.assertEqual(relay_lines.parse_news(b"*"), ())
        for line in (b"OK", b"* ACK 17 905", b"* ROW 1 s-1 nan", b"* GRANT 1 2", b"* CLOSED -1", b"* TEA 1"):
            with self.subTest(line=line), self.assertRaises(UnreadableMessage):
                relay_lines.parse_news(line)

    def test_entries_of_the_list(self):
        name, address, *_, state, weight, born_ms = listing.parse_entry(list_entry(1, "leaving", 5, share=2))
        self.assertEqual(
            (name, address, state, weight, born_ms), ("s-1", ("10.1.0.1", 8443), WorkerState.DRAINING, 2, 5)
        )
        for key, value in [
            ("host", "a;b"),
            ("host", ""),
            ("host", 3),
            ("health", "well"),
            ("share", -1),
            ("share", "1"),
            ("born_ms", -1),
            ("block", 1.5),
            ("dial", "somewhere:80"),
            ("dial", "10.0.0.1:99999"),
        ]:
            with self.subTest(key=key, value=value), self.assertRaises(Malformed):
                listing.parse_entry(list_entry(1) | {key: value})
        for line in (b"[]", b'{"seq":true,"whole":true,"hosts":[]}', b'{"seq":1,"hosts":[]}', b"{"):
            with self.subTest(line=line), self.assertRaises(UnreadableMessage):
                listing.parse_line(line)

    def test_load_reports(self):
        self.assertEqual(load_report({"util": 0.5, "qps": 9, "new": "?"}), {"utilization": 0.5, "throughput": 9.0})
        for report in ([], {"util": -0.1}, {"util": "0.5"}, {"qps": True}, {"util": 1e9}):
            with self.subTest(report=report), self.assertRaises(Malformed):
                load_report(report)


class CallQueueTests(unittest.TestCase):
    """`Calls` without a relay: which calls are sent after each outcome."""

    def setUp(self):
        class Names:
            def worker_name(self, worker):
                return f"s-{worker}"

        self.tables = {0: {}, 1: {}, 7: {}}
        self.calls = Calls(Names(), Counter(), self.tables)

    def next_orders(self):
        """The orders of the next call, or None."""
        data = self.calls.next_call()
        return data and data.decode().removeprefix("txn ").rstrip("\r\n").split(";")

    def test_the_last_value_wins_and_marks_stay_last(self):
        self.calls.set_weight(0, 1, 1.0)
        self.calls.send_mark(1, True)
        self.calls.set_weight(0, 1, 0.25)
        self.calls.set_weight(0, 2, 1 / 3)
        self.calls.send_mark(2, True)
        self.assertEqual(self.next_orders(), ["share,0,s-1,0.25", "share,0,s-2,0.333333", "mark,2,1"])

    def test_no_order_overtakes_a_call_in_doubt(self):
        self.calls.set_weight(0, 1, 1.0)
        self.calls.set_weight(0, 2, 1.0)
        self.next_orders()
        self.calls.set_weight(1, 1, 1.0)
        self.calls.set_weight(0, 2, 0)
        self.assertIsNone(self.next_orders())
        self.calls.call_in_doubt()
        self.assertEqual(self.next_orders(), ["share,0,s-1,1", "share,1,s-1,1", "share,0,s-2,0"])

    def test_partial_acceptance_drops_one_order_and_sends_the_rest(self):
        for worker in range(4):
            self.calls.set_weight(0, worker, 1.0)
        self.next_orders()
        self.assertEqual(self.calls.call_accepted(1)[1], ["share,0,s-1,1"])
        self.assertEqual(self.next_orders(), ["share,0,s-2,1", "share,0,s-3,1"])
        self.assertIsNone(self.calls.call_accepted(3))

    def test_calls_keep_the_size_limit_and_the_order(self):
        for worker in range(6000):
            self.calls.set_weight(7, worker, 1.0)
        self.calls.send_mark(1, True)
        orders = []
        while self.calls.waiting:
            call = self.next_orders()
            self.assertLessEqual(len(";".join(call)), 60_000)
            orders += call
            self.calls.call_accepted(len(call))
        self.assertEqual((len(orders), orders[-1]), (6001, "mark,1,1"))

    def test_clearing_a_table_discards_its_waiting_orders(self):
        self.calls.set_weight(0, 1, 1.0)
        self.calls.set_weight(1, 1, 1.0)
        self.calls.set_withheld(0, True)
        self.calls.clear_table(0)
        self.assertEqual(self.next_orders(), ["share,1,s-1,1", "withdraw,s-0", "clear,0"])

    def test_orders_repeated_during_a_call_are_sent_although_its_mark_is_acknowledged(self):
        for acknowledged in ("before the doubt", "after it"):
            with self.subTest(acknowledged):
                self.setUp()
                for number in (1, 2):  # the second time for a proxy that has joined since
                    self.calls.set_withheld(3, True)
                    self.calls.set_weight(0, 1, 1.0 / number)
                    self.calls.send_mark(number, True)
                    if number == 1:
                        self.calls.set_weight(1, 1, 0.5)
                        self.calls.send_mark(1, True)
                        self.next_orders()
                if acknowledged == "after it":
                    self.calls.call_in_doubt()
                self.calls.mark_acknowledged(1)
                if acknowledged == "before the doubt":
                    self.calls.call_in_doubt()
                self.assertEqual(self.next_orders(), ["withdraw,s-3", "share,0,s-1,0.5", "mark,2,1"])

    def test_orders_in_flight_for_a_reassigned_slice_are_replaced_by_present_weights(self):
        remaining, present = ["share,1,s-1,1", "mark,4,1"], ["share,0,s-1,0", "share,0,s-2,0.25"]
        for accepted, sent in (
            (4, present),
            (2, ["mark,4,1"] + present),
            (None, remaining + present),
        ):  # None: no answer
            with self.subTest(accepted=accepted):
                self.setUp()
                self.calls.set_weight(0, 1, 1.0)
                self.calls.set_weight(0, 2, 0.5)
                self.calls.set_weight(1, 1, 1.0)
                self.calls.send_mark(4, True)
                self.next_orders()
                self.calls.discard_table(0)  # revoked and granted again with other rows
                self.tables[0] = {2: 0.25}
                self.calls.call_in_doubt() if accepted is None else self.calls.call_accepted(accepted)
                self.assertEqual(self.next_orders(), sent)
                self.calls.call_in_doubt()
                self.assertEqual(self.next_orders(), sent)


class RelayTests(unittest.TestCase):
    """The links to the relay, for calls and for news."""

    def test_a_start_takes_over_the_present_state(self):
        harness = ServiceHarness(RecordingManager).run(1)
        self.assertEqual([name for name, *_ in harness.manager.events[:1]], ["worker_list_received"])
        self.assertEqual(harness.manager.named("proxy_joined"), [(0, 0, 5.0, True), (1, 0, 5.0, True)])
        self.assertEqual(harness.manager.named("slice_ownership_changed"), [(0, True), (1, True)])
        self.assertEqual(harness.manager.tables, {0: {0: 1.0}, 1: {1: 1.0}})

    def test_rows_that_arrive_in_pieces_are_handled_in_one_round(self):
        rounds = []

        class RoundRecorder(RecordingManager):
            def round(self, now, events, orders):
                rounds.append([name for name, *_ in events if name in ("slice_ownership_changed", "table_line_loaded")])

        ServiceHarness(RoundRecorder).run(1)
        self.assertEqual([names for names in rounds if names], [["slice_ownership_changed", "table_line_loaded"] * 2])

    def test_each_outcome_of_a_call(self):
        """Whatever happens to calls, all orders are in force in the end, the later ones last."""
        for outcome in ("lost", "done", "mute", "malformed", "throttled", "internal", "conflict"):
            for times in (1, 3):
                with self.subTest(outcome=outcome, times=times):
                    harness = ServiceHarness(RecordingManager).run(1)
                    harness.relay.call_outcomes = [outcome] * times
                    harness.service.set_weight(0, 0, 0.5)
                    harness.service.set_weight(0, 1, 0.5)
                    harness.service.send_mark(9, True)
                    harness.service.relay.send_orders()
                    harness.run(0.01)
                    harness.service.set_weight(0, 1, 0.0)  # must not be overtaken by the order in doubt
                    harness.service.relay.send_orders()
                    harness.run(4)
                    self.assertEqual(harness.relay.slices[0], {"s-1": 0.5})
                    self.assertIn((0, 9, 200_000), harness.manager.named("mark_acknowledged"))
                    self.assertFalse(harness.service.waiting or harness.service.in_flight)

    def test_the_channel_time_of_a_call_is_that_of_its_lines_or_of_a_full_channel(self):
        calls = ServiceHarness(RecordingManager).service
        for orders, proxies, seconds in ((4, 0, 0.0), (4, 83, 0.2), (67, 80, 0.8), (2000, 400, 1.0)):
            calls.in_flight = [(("line", 0, worker), "") for worker in range(orders)]
            self.assertAlmostEqual(calls.channel_time_us(proxies) / SECOND, seconds, places=4)

    def test_an_order_that_makes_calls_invalid_is_the_only_one_dropped(self):
        harness = ServiceHarness(RecordingManager).run(1)
        handle_line = harness.relay._handle_line
        harness.relay._handle_line = lambda stream, line: (
            stream.write(b"ERR invalid\r\n") if "s-2,0.5" in line else handle_line(stream, line)
        )
        for worker, weight in ((0, 0.5), (1, 0.5), (0, 0.25)):
            harness.service.set_weight(worker and 1, worker, weight)
            harness.service.set_weight(0, worker, weight)
        harness.service.send_mark(3, True)
        harness.service.relay.send_orders()
        harness.run(3)
        self.assertEqual(harness.relay.slices, {0: {"s-1": 0.25}, 1: {"s-2": 1.0}})
        self.assertEqual(harness.counts["orders refused"], 2)
        self.assertIn((0, 3, 200_000), harness.manager.named("mark_acknowledged"))

    def test_after_partial_acceptance_the_orders_behind_the_refused_one_are_sent(self):
        harness = ServiceHarness(RecordingManager, call_outcomes=[1]).run(1)
        harness.service.set_weight(0, 0, 0.5)
        harness.service.set_weight(0, 1, 0.5)
        harness.service.set_weight(1, 0, 0.5)
        harness.service.relay.send_orders()
        harness.run(1)
        self.assertEqual(harness.relay.slices, {0: {"s-1": 0.5}, 1: {"s-2": 1.0, "s-1": 0.5}})
        self.assertEqual(
            [fields["order"] for event, fields in harness.logged if event == "order refused"], ["share,0,s-2,0.5"]
        )

    def test_a_silent_relay_is_noticed_and_its_next_snapshot_compared(self):
        harness = ServiceHarness(RecordingManager).run(1)
        harness.network.cut("manager", "far")
        harness.service.set_weight(0, 1, 0.25)
        harness.service.relay.send_orders()
        harness.run(5)
        self.assertTrue(harness.service.waiting)
        harness.service.set_weight(0, 1, 0.5)
        harness.relay.proxies = [1, 2]
        harness.relay.slices = {0: {"s-1": 1.0}, 1: {"s-2": 1.0}}
        harness.network.restore("manager", "far")
        harness.manager.events.clear()
        harness.run(3)
        self.assertEqual(harness.manager.named("proxy_left"), [(0,)])
        self.assertEqual([proxy for proxy, *_ in harness.manager.named("proxy_joined")], [1, 2])
        self.assertEqual(harness.manager.named("slice_ownership_changed"), [])
        self.assertEqual(harness.relay.slices[0], {"s-1": 1.0, "s-2": 0.5})
        self.assertEqual(len(harness.relay.orders("share,0,s-2")), 1)

    def test_differences_of_the_snapshot_after_broken_news(self):
        cases = [  # the slices in the relay then, and the events of slices
            ({0: {"s-1": 1.0}, 1: {"s-2": 1.0}}, []),
            ({0: {"s-1": 1.0}}, [("slice_ownership_changed", 1, False)]),
            (
                {0: {"s-1": 1.0}, 1: {"s-1": 0.5}},
                [("slice_ownership_changed", 1, True), ("table_line_loaded", 1, 0, 0.5)],
            ),
            ({0: {"s-1": 1.0}, 1: {}}, [("slice_ownership_changed", 1, True)]),
        ]
        for slices, expected in cases:
            with self.subTest(slices=slices):
                harness = ServiceHarness(RecordingManager).run(1)
                harness.manager.events.clear()
                harness.relay.slices = slices
                harness.relay.news_streams[0].abort()
                harness.run(1)
                self.assertEqual(
                    [
                        event
                        for event in harness.manager.events
                        if event[0] in ("slice_ownership_changed", "table_line_loaded")
                    ],
                    expected,
                )
                self.assertEqual(harness.relay.follow_count, 2)

    def test_news_after_the_snapshot(self):
        harness = ServiceHarness(RecordingManager).run(1)
        harness.manager.events.clear()
        harness.service.set_weight(1, 0, 1.0)  # discarded when the slice is revoked
        harness.relay.send_news(
            "* CLOSED 0",
            "* GRANT 1 0",
            "* SUBSCRIBE 0 a 7 0",
            "* GRANT 1 1",
            "* ROW 1 s-9 2.0",
            "* SUBSCRIBE 99 a 7 0",
            "* SUBSCRIBE 1 mars 7 0",
            "* CLOSED 3",
            "* ACK 3 1 2.0",
        )
        harness.run(1)
        self.assertEqual(
            harness.manager.events,
            [
                ("proxy_left", 0),
                ("slice_ownership_changed", 1, False),
                ("proxy_joined", 0, 0, 7.0, False),
                ("slice_ownership_changed", 1, True),
                ("table_line_loaded", 1, 2, 2.0),
            ],
        )
        self.assertFalse(harness.service.waiting)
        self.assertEqual(harness.counts["news spoilt: proxy"], 1)

    def test_an_idle_connection_is_not_used_for_a_call(self):
        harness = ServiceHarness(RecordingManager).run(1)
        for wait in (0.5, 5):
            harness.service.set_weight(0, 0, wait)
            harness.service.relay.send_orders()
            harness.run(wait)
        harness.service.set_weight(0, 0, 1.0)
        harness.service.relay.send_orders()
        harness.run(1)
        self.assertEqual(len(harness.relay.streams), 3)  # news, calls, and a new one for calls after five seconds
        self.assertFalse([name for name in harness.counts if "doubt" in name])

    def test_moving_to_other_addresses_keeps_all_state(self):
        harness = ServiceHarness(RecordingManager).run(1)
        new_relay, new_discovery = ("10.2.0.9", 6400), ("10.2.0.9", 8500)
        relay = StandInRelay(harness.remote, new_relay)
        discovery = StandInDiscovery(harness.remote, new_discovery)
        harness.manager.events.clear()
        harness.service.move(new_discovery, new_relay)
        harness.service.set_weight(0, 0, 0.5)
        harness.run(1)
        self.assertEqual(
            (relay.follow_count, len(harness.relay.news_streams), len(harness.discovery.streams)), (1, 0, 0)
        )
        discovery.send_list(2, False, list_entry(1, "leaving"))
        harness.run(1)
        self.assertEqual(relay.slices[0], {"s-1": 0.5})
        self.assertEqual(discovery.since, [1])
        self.assertEqual({name for name, *_ in harness.manager.events}, {"proxy_joined", "worker_list_received"})
        harness.service.move(new_discovery, new_relay)  # the same addresses: nothing is dialled
        harness.run(1)
        self.assertEqual((relay.follow_count, len(discovery.since)), (1, 1))


class WatchTests(unittest.TestCase):
    """The watch on the worker list."""

    def entries(self, harness):
        """What the manager got: for each line, whether it was whole and (worker, state, start) of its entries."""
        return [
            (whole, [(entry.worker, entry.state, entry.started_us) for entry in entries])
            for whole, entries in harness.manager.named("worker_list_received")
        ]

    def test_changes_restarts_and_a_moved_address(self):
        harness = ServiceHarness(RecordingManager).run(1)
        began = harness.network.time
        harness.service.watch.clock_ms = lambda: 1_700_000_004_000 + (harness.network.time - began) // 1000
        harness.discovery.send_list(
            2,
            False,
            list_entry(1, born_ms=1_700_000_000_000, dial="10.1.0.77:1"),
            list_entry(2, "left"),
            list_entry(3) | {"site": "mars"},
        )
        harness.run(1)
        started = self.entries(harness)[-1][1][0][2]
        self.assertTrue(harness.network.time - 6 * SECOND < started <= harness.network.time - 4 * SECOND)
        self.assertEqual(
            self.entries(harness)[-1], (False, [(0, WorkerState.READY, started), (1, WorkerState.GONE, None)])
        )
        self.assertEqual(harness.service.watch.addresses, {0: ("10.1.0.77", 1)})
        harness.service.watch.clock_ms = lambda: 1_700_000_099_000  # a stepped clock is not a new start
        harness.discovery.send_list(3, False, list_entry(1, born_ms=1_700_000_000_000))
        harness.run(1)
        self.assertEqual(self.entries(harness)[-1][1][0][2], started)
        self.assertIsNone(harness.name_index.find_worker("s-3"))

    def test_a_stepped_wall_clock_moves_no_start_into_the_future_or_the_distant_past(self):
        for step_ms in (-3_600_000, -5_000, 0, 5_000, 3_600_000):
            with self.subTest(step_ms=step_ms):
                harness = ServiceHarness(RecordingManager).run(3)
                born_ms = 1_700_000_000_000
                harness.service.watch.clock_ms = lambda offset_ms=step_ms: born_ms + 1_000 + offset_ms
                harness.discovery.send_list(2, False, list_entry(1, born_ms=born_ms))
                harness.run(1)
                started = self.entries(harness)[-1][1][0][2]
                # Changes arrive within 6 s, and the last line before this one was up to 4 s ago.
                self.assertTrue(harness.network.time - 10.1 * SECOND <= started <= harness.network.time, started)

    def test_the_last_list_remains_while_discovery_is_down_and_the_watch_resumes_from_it(self):
        harness = ServiceHarness(RecordingManager).run(1)
        harness.discovery.send_list(7, False, list_entry(3))
        harness.run(1)
        harness.network.cut("manager", "far")
        harness.run(20)
        self.assertEqual(len(self.entries(harness)), 2)
        harness.network.restore("manager", "far")
        harness.discovery.lines = [json.dumps({"seq": 9, "whole": True, "hosts": [list_entry(3)]})]
        harness.run(3)
        self.assertEqual(harness.discovery.since[-1], 7)
        self.assertEqual(self.entries(harness)[-1], (True, [(2, WorkerState.READY, None)]))
        self.assertEqual(harness.service.watch.addresses.keys(), {2})

    def test_a_watch_with_unreadable_data_is_dialled_again(self):
        for data in (b"5\r\n{{{{\n\r\n", b"zz\r\n"):
            with self.subTest(data=data):
                harness = ServiceHarness(RecordingManager).run(1)
                harness.discovery.streams[0].write(data)
                harness.run(1)
                self.assertEqual((len(harness.discovery.since), len(harness.discovery.streams)), (2, 1))


class ProbeTests(unittest.TestCase):
    """Probes of workers."""

    def test_outcomes_of_probes(self):
        harness = ServiceHarness(RecordingManager, workers=5).run(1)
        harness.probe_responses = {1: (200, b'{"inflight":7,"util":0.61}'), 2: (503, b""), 3: (0, b""), 4: (200, b"{{")}
        harness.service.watch.addresses[5] = ("10.1.0.99", 1)
        for worker in range(7):
            harness.service.watch.addresses.setdefault(worker, ("10.1.0.5", 8443))
        del harness.service.watch.addresses[6]
        for worker in range(7):
            harness.service.probe(worker)
        harness.run(2)
        results = {worker: (outcome, report) for worker, outcome, _, report in harness.manager.named("probe_completed")}
        self.assertEqual(
            results,
            {
                0: (ProbeOutcome.PASSED, {"outstanding": 7.0, "utilization": 0.61}),
                1: (ProbeOutcome.ERROR, {}),
                2: (ProbeOutcome.TIMED_OUT, {}),
                3: (ProbeOutcome.PASSED, {}),
                4: (ProbeOutcome.PASSED, {"outstanding": 1.0, "utilization": 0.3, "throughput": 4.0}),
                5: (ProbeOutcome.UNREACHABLE, {}),
                6: (ProbeOutcome.UNREACHABLE, {}),
            },
        )
        harness.probe_responses[1] = (0, b"")
        harness.service.probe(0)
        harness.run(0.1)
        for stream in [candidate for candidate in harness.remote.streams if candidate.peer[0] == "manager"]:
            stream.abort()
        harness.run(1)
        self.assertEqual(harness.manager.named("probe_completed")[-1][1], ProbeOutcome.RESET)

    def test_many_probes_are_queued_and_no_worker_has_two(self):
        harness = ServiceHarness(
            RecordingManager, known=(1, True, [list_entry(number, dial="10.1.0.1:8443") for number in range(200)])
        ).run(1)
        for _ in range(3):
            for worker in range(200):
                harness.service.probe(worker)
        self.assertEqual(len(harness.service.probes.active), harness.service.probes.max_active)
        self.assertEqual(len(harness.service.probes.queue), 200 - harness.service.probes.max_active)
        harness.run(3)
        self.assertEqual(sorted(worker for worker, *_ in harness.manager.named("probe_completed")), list(range(200)))
        self.assertEqual(harness.counts["probe still under way"], 400)
        self.assertFalse(harness.service.probes.active or harness.service.probes.queue)


class CallerTests(unittest.TestCase):
    """Callers of the manager's address: collectors and those that do not join."""

    def test_callers_that_do_not_join_are_rejected_in_time(self):
        long_frame = (5000).to_bytes(4, "big") + b"{" * 4000
        cases = [
            (),
            (encode_frame({"msg": "PING"}),),
            (encode_frame(SOURCE)[:9],),
            (b"GET / HTTP/1.1\r\n\r\n",),
            (long_frame,),
            (encode_frame(LOAD),),
            (encode_frame({"msg": "SOURCE", "az": "mars"}),),
            (encode_frame({"msg": "SOURCE", "az": ["a"]}),),
            (encode_frame([]),),
            (encode_frame({"msg": "SUBSCRIBE", "sidecar": 1}),),
            (b"\xff\xff\xff\xff",),
            (b"\0\0\0\0",),
        ]
        for messages in cases:
            with self.subTest(messages=messages):
                harness = ServiceHarness(RecordingManager).run(0.5)
                caller = harness.connect(*messages)
                harness.run(1.2)
                self.assertEqual(caller.received[-1], "NACK")
                self.assertEqual(caller.ended, "closed by the peer")
                self.assertEqual(caller.received[:-1], ["PONG"] * (b"PING" in b"".join(messages)))
                self.assertFalse(harness.service.collectors.unidentified or harness.manager.named("tries_reported"))

    def test_hundreds_of_unidentified_callers_leave_room_for_collectors(self):
        harness = ServiceHarness(RecordingManager, sockets=256).run(0.5)
        for _ in range(5):
            for _ in range(300):
                harness.connect()
            harness.run(0.02)
            self.assertLess(len(harness.host.streams), 200)
        collector = harness.connect(SOURCE, LOAD, {"msg": "PING"})
        harness.run(1.5)
        self.assertEqual((collector.received, collector.ended), (["PONG"], None))
        self.assertEqual(len(harness.manager.named("tries_reported")), 1)
        self.assertFalse(harness.service.collectors.unidentified)

    def test_malformed_reports_are_the_only_ones_dropped(self):
        harness = ServiceHarness(RecordingManager).run(0.5)
        malformed = [
            LOAD | {"n": -1},
            LOAD | {"bad": 11},
            LOAD | {"avg": "x"},
            LOAD | {"host": "s-99"},
            LOAD | {"az": 3},
            LOAD | {"host": ["s-1"]},
            LOAD | {"host": {}},
            LOAD | {"az": []},
            SHARD | {"kind": {}},
            LOAD | {"msg": []},
            {"msg": {}},
            None,
            [[]],
            LOAD | {"n": 2**62},
            LOAD | {"avg": 1e300},
            LOAD | {"report": {"util": []}},
            SHARD | {"partition": -1},
            LOAD | {"report": {"util": -1}},
            LOAD | {"n": 1.5},
            LOAD | {"window": None},
            SHARD | {"partition": 2},
            SHARD | {"kind": "tea"},
            SHARD | {"n": True},
            {"msg": "TEA"},
            {},
            7,
            {"msg": "SOURCE", "az": "mars"},
            {key: value for key, value in LOAD.items() if key != "bad"},
        ]
        collector = harness.connect(
            SOURCE,
            LOAD,
            *(message for report in malformed for message in (report, SHARD | {"bad": 5})),
            {"msg": "PING"},
        )
        harness.run(1)
        self.assertEqual(
            harness.manager.named("tries_reported"),
            [(0, 0, 10, 1, 41_700, 500_000, {"utilization": 0.5, "throughput": 9.0})],
        )
        self.assertEqual(harness.manager.named("demand_reported"), [(1, 0, 4, 5, 500_000, 0)] * len(malformed))
        counters = [name for name in harness.counts if name.startswith("report spoilt")]
        self.assertEqual(sum(harness.counts[name] for name in counters), len(malformed))
        collector.send(
            *({"msg": f"T{number}"} for number in range(50)), *(LOAD | {"az": f"z{number}"} for number in range(50))
        )
        harness.run(1)
        self.assertEqual(
            [name for name in harness.counts if name.startswith("report spoilt")], counters
        )  # callers cannot add counters
        self.assertEqual((collector.received, collector.ended), (["PONG"], None))

    def test_a_collector_with_an_unreadable_stream_is_closed_alone_and_may_join_again(self):
        harness = ServiceHarness(RecordingManager).run(0.5)
        unreadable, other = harness.connect(SOURCE), harness.connect(SOURCE)
        harness.run(0.5)
        unreadable.send(LOAD, b"\0\0\0\4{{{{", LOAD)
        harness.run(0.5)
        again = harness.connect(SOURCE, SHARD)
        harness.run(0.5)
        self.assertEqual(
            (unreadable.received, unreadable.ended, other.ended, again.ended), ([], "closed by the peer", None, None)
        )
        self.assertEqual(len(harness.manager.named("demand_reported")), 1)

    def test_only_four_collectors_of_a_zone_are_kept(self):
        harness = ServiceHarness(RecordingManager).run(0.5)
        callers = [harness.connect(SOURCE) for _ in range(9)]
        harness.run(1)
        self.assertEqual(sum(caller.ended is None for caller in callers), 4)


class ProgramTests(unittest.TestCase):
    """The program with the real manager."""

    def test_a_drain_reaches_the_proxies_and_an_exception_in_a_round_is_survived(self):
        harness = ServiceHarness(workers=3).run(2)
        harness.connect(SOURCE)
        harness.discovery.send_list(2, False, list_entry(1, "leaving"))
        harness.run(2)
        self.assertIn("withdraw,s-1", harness.relay.orders("withdraw"))
        self.assertNotIn("s-1", harness.relay.slices[0])
        harness.manager.round, original = None, harness.manager.round
        harness.run(1)
        harness.manager.round = original
        self.assertIn("fault", [event for event, _ in harness.logged])
        harness.run(12)
        self.assertIn("counts", [event for event, _ in harness.logged])

    def test_the_state_of_replaced_workers_is_freed(self):
        harness = ServiceHarness(workers=3, known=(1, True, [list_entry(number) for number in (1, 2)])).run(2)
        for step in range(60):
            harness.discovery.send_list(
                2 + step,
                False,
                list_entry(1000 + step, born_ms=1_700_000_000_000 + step, dial="10.1.0.3:8443"),
                list_entry(999 + step, "left"),
            )
            harness.run(2)
        self.assertLess(len(harness.manager.workers), 25)
        for table in (
            harness.name_index.worker_names,
            harness.name_index.worker_indices,
            harness.service.watch.started,
        ):
            self.assertLess(len(table), 30)

    def test_names_are_freed_although_events_never_pause(self):
        harness = ServiceHarness(workers=3, known=(1, True, [list_entry(number) for number in (1, 2, 3)])).run(2)
        harness.discovery.send_list(2, False, list_entry(3, "left"))

        def send_event():
            harness.service.handle_events([("alarm_fired", 7)])
            harness.host.after(1000, send_event)

        send_event()
        harness.run(45)
        self.assertIsNone(harness.name_index.find_worker("s-3"))

    def test_first_calls_refused_with_400_proxies_do_not_fill_the_channel(self):
        slices = {table: {f"s-{table % 3 + 1}": 1.0} for table in range(40)}
        harness = ServiceHarness(
            workers=3,
            settings=make_settings(40, 400),
            proxies=range(20),
            slices=slices,
            call_outcomes=["throttled"] * 9,
        )
        harness.run(0.3)
        harness.relay.send_news(*(f"* SUBSCRIBE {proxy} a 5.0 1" for proxy in range(20, 400)))
        harness.run(1.5)
        accepted = [orders for outcome, orders in harness.relay.calls if outcome == "ok"]
        self.assertEqual(len(harness.service.relay.news.joined), 400)
        self.assertTrue(accepted)
        self.assertLessEqual((len(accepted[0]) + 16) * 400, 8300)

    def test_a_killed_and_restarted_manager_keeps_the_tables(self):
        harness = ServiceHarness(workers=3).run(5)
        tables = json.dumps(harness.relay.slices)
        harness.host.kill()
        harness.relay.calls.clear()
        restarted = ServiceHarness(workers=3, slices=harness.relay.slices).run(5)
        self.assertEqual(json.dumps(restarted.relay.slices), tables)


class ExceptionTests(unittest.TestCase):
    """Exceptions in callbacks of the loop."""

    def test_an_exception_of_a_callback_ends_the_loop_only_without_a_handler(self):
        for handled in (True, False):
            loop, errors, ran = Loop(), [], []
            self.addCleanup(loop.selector.close)
            loop.on_exception = errors.append if handled else None
            loop.soon(lambda: {}["nothing"])
            loop.after(0, lambda: {}["timer"])
            loop.soon(lambda: ran.append(1))
            if handled:
                loop.run(loop.now() + SECOND // 10)
                self.assertEqual(([str(error) for error in errors], ran), (["'timer'", "'nothing'"], [1]))
            else:
                self.assertRaises(KeyError, loop.run, loop.now() + SECOND // 10)


class UsageAndLogTests(unittest.TestCase):
    """Usage reports and the log."""

    def test_usage_report_of_a_proxy(self):
        name_index = ServiceHarness(RecordingManager).name_index
        message = {"msg": "RATE", "sidecar": 3, "kind": "order", "n": 2, "bad": 0, "window": 10}
        self.assertEqual(frames.parse_report(message, name_index, 1), ("usage_reported", 3, 0, 2, 0, 10_000, 1))

    def test_the_log_never_blocks_when_its_pipe_is_full(self):
        import os

        read, write = os.pipe()
        self.addCleanup(os.close, read)
        self.addCleanup(os.close, write)
        log = Log(write, "n0")
        for _ in range(3000):
            log("counts", reports=1)
        self.assertGreater(log.dropped, 0)


if __name__ == "__main__":
    unittest.main()
