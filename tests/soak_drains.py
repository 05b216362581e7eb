"""Days of overlapping faults among real processes, drawn from a seed: managers, servers and the links between them.

    python -m tests.soak_drains 50        # seeds 0 to 49; a line for each that broke something, then one JSON object
    python -m tests.soak_drains 50 20     # seeds 20 to 49

Four managers (started by `run` of the deploy file, some through `tests.faulty_program`) share the slices of one store.
Each has a relay with a channel and an agent of discovery of its own, and fault proxies in front of these; servers are
processes behind fault proxies. The events of a day are drawn first (`drain_day_events`) and then played, so that faults
overlap.

The rules of the protocol page are checked: drains, slices without a server, the queue of the channel, servers that
proxies still hold out at the end, answers to PING, termination by SIGTERM, the time until a manager is ready, faults in
the logs. `disturbed` counts the turns of this process that took so long that a relay may have answered too late:
results of such a day need a closer look.
"""

import json
import signal
import sys
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from random import Random

from .drain_day_events import draw_events
from .drain_day_peers import ServerProcess
from .fault_proxy import UNIMPAIRED, Impairment
from .peers import SECOND, list_entry, make_settings
from .program_case import ROOT, ProgramCase
from .soak_final_answers import UNIDENTIFIED_DATA
from .steered_manager import MAX_READY_S, SteeredManager, loopback_host

MANAGERS = 4
SERVERS, PROXIES, SLICES = (20, 28), (30, 50), (40, 72)  # drawn between these
GRACE_S, QUEUE_S = (2.0, 2.7), (1.0, 3.0)  # the latter: the queue limit, in seconds of the channel's rate
# The messages and lines that each proxy has to be sent within a grace, and the part of the channel that they may take:
# one message of withdrawals, two or three that repeat them for proxies that joined, one of readmissions, one of tables.
MESSAGES_PER_GRACE, LINES_PER_GRACE, CHANNEL_LOAD = 5.5, 38, (0.4, 0.9)
PLAYED_S, SETTLE_S = 14.0, 7.0
TICK_US, PING_INTERVAL_US, REPORT_INTERVAL_US = 12_500, 50_000, SECOND // 2
HAND_OVER_US, RESTART_US = (SECOND, 3 * SECOND), (SECOND // 3, 2 * SECOND)
GIVE_BACK_US = (3 * SECOND, 4 * SECOND)  # after a manager is in use again
MAX_MANAGERS_DOWN = 2  # at a time
MAX_LIST_DELAY_US = 6 * SECOND  # a change of the list counts as sent to the manager after this time at the latest
MAX_LEAVING_PART = 0.25  # of the servers: at most this part drains or is away at a time
RELEASE_INTERVAL_US = 150_000
IN_PLACE_GROUP, IN_PLACE_INTERVAL_US, IN_PLACE_AWAY_US = (1, 3), (SECOND, 3 * SECOND), (2 * SECOND, 6 * SECOND)
ZONES = 3  # zones that restart or are lost
CROWD = 60, 120  # callers
SLOW_TURN_US = 45_000
REPORTED_SERVERS = 10  # in one report
LINGER_WEIGHT = 0.01
FIRST_SERVER_HOST = 20  # the last part of its address
TRACES = ROOT / "found"  # has a log for each seed that broke something


NOT_FAILURES = ("seeds", "asked", "drains", "disturbed")  # fields of `SoakResult`


@dataclass
class SoakResult:
    """The number of failures of each kind on one or several days, and of what was checked."""

    seeds: int = 0
    asked: int = 0
    drains: int = 0  # whose limit was reached, each counted at each manager
    unanswered: int = 0
    late_drains: int = 0
    blackholes: int = 0
    held_out: int = 0
    overfull: int = 0
    not_ready: int = 0
    not_ended: int = 0
    faults: int = 0
    crashes: int = 0
    disturbed: int = 0

    @property
    def broken(self):
        """The number of failures."""
        return sum(value for name, value in asdict(self).items() if name not in NOT_FAILURES)

    def __add__(self, other):
        return SoakResult(*(own + added for own, added in zip(asdict(self).values(), asdict(other).values())))


class DrainSoak(ProgramCase):
    """Plays the day of one seed; instances are made by hand: `DrainSoak("play")`."""

    def play(self, seed, *command, played_s=PLAYED_S, settle_s=SETTLE_S):
        """Plays the day of this seed and returns its `SoakResult`.

        `command` starts each manager in place of `run` of the deploy file and of `tests.faulty_program`.
        """
        self.seed, self.command, self.rng, self.result = seed, command, Random(seed), SoakResult(seeds=1)
        self.played_s = played_s
        self.began_at, self.notes, self.logs = self.loop.now(), [], []
        self.folder = Path(self.path).parent
        self.arrange()
        for manager in self.managers:
            manager.start()
        self.run_day_until(lambda: all(manager.in_use for manager in self.managers), MAX_READY_S)
        self.run_day_for(2.0)
        begin_at, events = self.loop.now(), draw_events(self.rng, played_s, played_s / PLAYED_S)
        for event in events:
            self.run_day_until(lambda: self.loop.now() - begin_at >= event.at_s * SECOND, played_s)
            self.note(event.kind.replace("_", " "))
            getattr(self, event.kind)(Random(event.seed))
        self.playing = False
        self.run_day_for(played_s - (self.loop.now() - begin_at) / SECOND)
        self.run_day_for(settle_s)
        self.check_held_out()
        for manager in self.managers:
            if manager.process_run is not None:
                manager.terminate(self.rng)
        self.run_day_until(lambda: all(manager.process_run is None for manager in self.managers), 3.0)
        self.sum_up()
        return self.result

    def arrange(self):
        """Draws the settings and the fleet and starts the servers."""
        generator = self.rng
        self.proxies = generator.randint(*PROXIES)
        servers, slices = generator.randint(*SERVERS), generator.randint(*SLICES)
        self.settings = self.draw_settings(slices)
        self.seq, self.entries, self.departed, self.servers, self.server_count = 1, {}, {}, {}, 0
        self.playing, self.reports_current_state = True, generator.random() < 0.5
        self.note(
            f"snapshots report the state of proxies {'now' if self.reports_current_state else 'when they joined'}"
        )
        self.demand = [generator.randint(2, 120) for _ in range(slices)]
        self.addCleanup(self.end_processes)
        self.managers = []
        for _ in range(servers):
            self.add_server()
        tables = [
            {f"s-{slice_index % servers}": 1.0, f"s-{(slice_index * 7 + 3) % servers}": LINGER_WEIGHT}
            for slice_index in range(slices)
        ]
        for number in range(MANAGERS):
            own_tables = {slice_index: tables[slice_index] for slice_index in range(number, slices, MANAGERS)}
            self.managers.append(SteeredManager(self, number, own_tables))
        self.run_for(0.5)  # until the servers listen
        for server in self.servers.values():
            self.publish_state(server, born_ms=0)
        self.slow_turns, self.ticks = 0, 0
        self.loop.after(PING_INTERVAL_US, self.send_pings)
        self.loop.after(REPORT_INTERVAL_US, self.send_reports)

    def draw_settings(self, slices):
        """Draws the settings of the managers, with a channel for the number of proxies."""
        config, generator = make_settings(slices, self.proxies), self.rng
        family = config["FamilyInfo"]
        grace_s = round(generator.uniform(*GRACE_S), 1)
        lines = (family["Overhead"] * MESSAGES_PER_GRACE + LINES_PER_GRACE) * self.proxies
        lines_per_s = round(lines / grace_s / generator.uniform(*CHANNEL_LOAD))
        family |= {
            "EgressPerS": float(lines_per_s),
            "QueueCap": float(round(lines_per_s * generator.uniform(*QUEUE_S))),
        }
        config["Rules"]["DrainGraceS"] = grace_s
        config["Balancers"] = MANAGERS
        self.note(
            f"grace {grace_s} s, {lines_per_s} lines/s, queue limit {family['QueueCap']:.0f}, {self.proxies} proxies"
        )
        return config

    # Time.

    def note(self, text):
        """Adds a line to the trace of the day."""
        self.notes.append((self.loop.now(), text))

    def run_day_for(self, seconds):
        """Runs the day for this many seconds."""
        end = self.loop.now() + int(seconds * SECOND)
        self.run_day_until(lambda: self.loop.now() >= end, seconds + 1)

    def run_day_until(self, condition, seconds):
        """Runs the loop and checks the managers until `condition()` holds, for `seconds` at most."""
        end = self.loop.now() + int(seconds * SECOND)
        while not condition() and self.loop.now() < end:
            began = self.loop.now()
            self.managers[self.ticks % MANAGERS].relay.check_rules()
            for manager in self.managers:
                manager.tick()
            self.ticks += 1
            work_us = self.loop.now() - began
            self.loop.longest_turn_us = 0
            self.loop.run(self.loop.now() + TICK_US)
            if max(work_us, self.loop.longest_turn_us) > SLOW_TURN_US:
                self.result.disturbed += 1
                self.note(f"disturbed: {work_us / 1000:.0f} ms of work, turn {self.loop.longest_turn_us / 1000:.0f} ms")

    def send_pings(self):
        """Sends a PING from each caller of each manager, again after each interval."""
        self.loop.after(PING_INTERVAL_US, self.send_pings)
        for manager in self.managers:
            manager.send_pings()

    def send_reports(self):
        """Sends each manager reports of its own slices and of some servers."""
        self.loop.after(REPORT_INTERVAL_US, self.send_reports)
        active = [name for name, entry in self.entries.items() if entry["health"] == "active"]
        for manager in self.managers:
            shards = [
                {
                    "msg": "SHARD",
                    "partition": slice_index,
                    "kind": "order",
                    "n": self.demand[slice_index],
                    "bad": 0,
                    "window": 500.0,
                }
                for slice_index in manager.relay.slices
            ]
            reported = self.rng.sample(active, min(len(active), REPORTED_SERVERS))
            loads = [
                {"msg": "LOAD", "az": "a", "host": name, "n": 20, "bad": 0, "avg": 40.0, "window": 500.0}
                for name in reported
            ]
            manager.report(shards + loads)

    # Servers.

    def add_server(self):
        """Starts a server with a new name."""
        name = f"s-{self.server_count}"
        self.server_count += 1
        server = ServerProcess(self.loop, loopback_host(FIRST_SERVER_HOST + self.server_count), name)
        self.servers[name] = server
        server.start()
        return server

    def publish_state(self, server, born_ms=None):
        """Publishes the present state of the server in the list."""
        self.seq += 1
        born_ms = self.entries.get(server.name, {}).get("born_ms", 0) if born_ms is None else born_ms
        state = "left" if server.health == "gone" else server.health
        changed = list_entry(0, state, born_ms, server.dial, host=server.name)
        self.entries[server.name] = changed
        if state == "left":
            del self.entries[server.name]
            self.departed[server.name] = self.seq
        else:
            self.departed.pop(server.name, None)
        seq = self.seq
        for manager in self.managers:
            manager.agent.publish(seq, list(self.entries.values()), changed)
            self.loop.after(MAX_LIST_DELAY_US, lambda relay=manager.relay: relay.record_list(seq, False, [changed]))
        self.note(f"list {seq}: {server.name} {state}")

    def drainable_servers(self):
        """The active servers, or none if too many are away already."""
        active = [server for server in self.servers.values() if server.health == "active"]
        return active if len(active) > (1 - MAX_LEAVING_PART) * len(self.servers) else []

    def drain_servers(self, rng):
        """Drains one to four servers; each ends 2.5 to 4 s later."""
        candidates = self.drainable_servers()
        for server in rng.sample(candidates, min(len(candidates), rng.randint(1, 4))):
            server.drain()
            self.publish_state(server)
            self.loop.after(int(rng.uniform(2.5, 4.0) * SECOND), lambda server=server: self.remove_server(server, rng))

    def release(self, rng):
        """A new version is rolled out: servers drain one after another until the allowed part of them is away."""
        for index in range(len(self.servers)):
            self.loop.after(index * RELEASE_INTERVAL_US, lambda: self.drain_servers(rng))

    def restart_servers_in_place(self, rng):
        """Servers drain a few at a time, end, and are ready again under their names, cold."""
        servers, size = rng.sample(list(self.servers.values()), len(self.servers)), rng.randint(*IN_PLACE_GROUP)
        interval_us, away_us = rng.randrange(*IN_PLACE_INTERVAL_US), rng.randrange(*IN_PLACE_AWAY_US)
        for first in range(0, len(servers), size):
            at_us = first // size * interval_us
            if self.loop.now() - self.began_at + at_us < self.played_s * SECOND:
                group = servers[first : first + size]
                self.loop.after(at_us, lambda group=group: self._drain_in_place(group, away_us))

    def _drain_in_place(self, servers, away_us):
        for server in servers:
            if server.health == "active" and self.drainable_servers():
                server.drain()
                self.publish_state(server)
                self.loop.after(away_us, lambda server=server: self._return_in_place(server))

    def _return_in_place(self, server):
        server.end()
        self.start_server(server)

    def _zone_servers(self, rng):
        """A third of the servers, those of them that are active."""
        servers = list(self.servers.values())[rng.randrange(ZONES) :: ZONES]
        return [server for server in servers if server.health == "active"]

    def restart_zone(self, rng):
        """The servers of a zone are killed and started at once; the list has them as ready with a new start."""
        for server in self._zone_servers(rng):
            self._return_in_place(server)

    def lose_zone(self, rng):
        """The servers of a zone are killed and gone, and return under their names, cold."""
        servers, away_us = self._zone_servers(rng), int(rng.uniform(1.5, 4.0) * SECOND)
        for server in servers:
            server.end()
            self.publish_state(server)
            self.loop.after(away_us, lambda server=server: self.start_server(server))

    def crowd(self, rng):
        """Many unidentified callers connect to a manager, say nothing or half a message, and stay."""
        self.on_a_manager(rng, lambda manager: manager.crowd(rng.randint(*CROWD), rng.choice(UNIDENTIFIED_DATA)))

    def lose_server(self, rng):
        """Kills a server; the list says so a little later."""
        candidates = self.drainable_servers()
        if candidates:
            server = rng.choice(candidates)
            self.note(f"{server.name} killed")
            server.end()
            self.loop.after(int(rng.uniform(0.2, 1.5) * SECOND), lambda: self.remove_server(server, rng))

    def remove_server(self, server, rng):
        """Ends the server; it returns under its name or a new one replaces it after a while."""
        server.end()
        self.publish_state(server)
        after_us = int(rng.uniform(0.3, 2.0) * SECOND)
        if rng.random() < 0.5:
            self.loop.after(after_us, lambda: self.start_server(server))
        else:
            del self.servers[server.name]
            self.loop.after(after_us, lambda: self.start_server(None))

    def start_server(self, server):
        """Starts this server again, or a new one for None."""
        if server is None:
            server = self.add_server()
        else:
            server.start()
        self.publish_state(server, born_ms=time.time_ns() // 1_000_000)

    def hang_server(self, rng):
        """Stops a server by SIGSTOP for a while."""
        candidates = self.drainable_servers()
        if candidates:
            server = rng.choice(candidates)
            server.stop()
            self.loop.after(int(rng.uniform(0.3, 2.0) * SECOND), server.resume)

    def roughen_server(self, rng):
        """Impairs, resets, silences or refuses the connections of a server."""
        proxy = rng.choice(list(self.servers.values())).proxy
        fault = rng.choice(["rough", "reset", "silent", "refused"])
        if fault == "rough":
            proxy.impair(Impairment(rng.randrange(60_000), rng.randint(1, 6)))
            self.loop.after(rng.randrange(3 * SECOND), lambda: proxy.impair(UNIMPAIRED))
        elif fault == "refused":
            proxy.refuse(rng.randrange(SECOND))
        else:
            (proxy.reset if fault == "reset" else proxy.silence)()

    # Proxies.

    def break_a_stream(self, rng):
        """Breaks the stream of one proxy to one manager."""
        self._break([rng.randrange(self.proxies)], [rng.choice(self.managers)], rng)

    def break_a_dozen_streams(self, rng):
        """Breaks the streams of 8 to 20 proxies to some managers."""
        chosen = rng.sample(range(self.proxies), rng.randint(8, 20))
        self._break(chosen, rng.sample(self.managers, rng.randint(1, MANAGERS)), rng)

    def _break(self, proxies, managers, rng):
        for manager in managers:
            for proxy in proxies:
                manager.relay.disconnect(proxy)
                self._connect_later(manager, proxy, rng)

    def _connect_later(self, manager, proxy, rng):
        self.loop.after(int(rng.uniform(0.05, 1.0) * SECOND), lambda: manager.relay.connect(proxy))

    def restart_a_proxy(self, rng):
        """Restarts one proxy."""
        self._restart([rng.randrange(self.proxies)], rng)

    def restart_a_dozen_proxies(self, rng):
        """Restarts 8 to 20 proxies."""
        self._restart(rng.sample(range(self.proxies), rng.randint(8, 20)), rng)

    def storm_of_restarts(self, rng):
        """Restarts proxies one after another for some seconds."""
        at_s, until_s, interval_s = 0.0, rng.uniform(2.0, 6.0), rng.uniform(0.06, 0.4)
        while at_s < until_s:
            proxy = rng.randrange(self.proxies)
            self.loop.after(int(at_s * SECOND), lambda proxy=proxy: self._restart([proxy], rng))
            at_s += interval_s

    def _restart(self, proxies, rng):
        for manager in self.managers:
            for proxy in proxies:
                manager.relay.restart(proxy)
                self._connect_later(manager, proxy, rng)

    # Managers and their slices.

    def steady_managers(self, going_down=False):
        """The managers that may be chosen for an event; `going_down`: the event takes the manager down."""
        down = sum(not manager.in_use for manager in self.managers)
        return (
            [] if going_down and down >= MAX_MANAGERS_DOWN else [manager for manager in self.managers if manager.steady]
        )

    def on_a_manager(self, rng, action, going_down=False):
        """Calls `action(manager)` with one of the steady managers, if there is one."""
        candidates = self.steady_managers(going_down)
        if candidates:
            manager = rng.choice(candidates)
            self.note(f"{manager}: chosen for this event")
            action(manager)

    def terminate_manager(self, rng):
        """Ends a manager by SIGTERM."""
        self.on_a_manager(rng, lambda manager: manager.terminate(rng), going_down=True)

    def kill_manager(self, rng):
        """Ends a manager by SIGKILL."""
        self.on_a_manager(rng, lambda manager: manager.kill(manager.process_run), going_down=True)

    def handle_process_end(self, manager, incarnation):
        """Called by a manager whose process has ended: its slices go to others, and it starts again, after a while."""
        self.logs.append((manager, incarnation, incarnation.log.read_text()))
        if self.playing or incarnation.terminated_at is None:
            self.loop.after(self.rng.randrange(*HAND_OVER_US), lambda: self.hand_over(manager))
            self.loop.after(self.rng.randrange(*RESTART_US), manager.start)
            self.loop.after(RESTART_US[1] + self.rng.randrange(*GIVE_BACK_US), lambda: self.give_back(manager))

    def hand_over(self, manager):
        """Distributes the slices of a manager over the others in use, as soon as there is one."""
        others = [other for other in self.managers if other.in_use and other is not manager]
        if not others:
            self.loop.after(SECOND // 10, lambda: self.hand_over(manager))
            return
        slice_indices = sorted(manager.relay.slices)
        for index, other in enumerate(others):
            self.move(manager, other, slice_indices[index :: len(others)])

    def give_back(self, manager):
        """Moves slices back to the manager until all have the same number, three at a time."""
        if not manager.in_use:
            return
        even_share = len(self.demand) // MANAGERS
        for other in self.managers:
            spare = sorted(other.relay.slices)[even_share:]
            for first in range(0, len(spare), 3):
                batch = spare[first : first + 3]
                self.loop.after(20_000 * first, lambda other=other, batch=batch: self.move(other, manager, batch))

    def move(self, old, new, slice_indices):
        """Moves those of the slices that manager `old` still has to manager `new`."""
        tables = {
            slice_index: old.relay.slices[slice_index]
            for slice_index in slice_indices
            if slice_index in old.relay.slices
        }
        if tables and old is not new:
            self.note(f"{len(tables)} slices from {old} to {new}: {sorted(tables)}")
            old.relay.revoke(tables)
            new.relay.grant(tables)

    def reload_manager(self, rng):
        """Changes the addresses of relay and discovery of a manager by SIGHUP."""
        self.on_a_manager(rng, lambda manager: manager.reload())

    def stop_manager(self, rng):
        """Stops a manager by SIGSTOP for 50 to 400 ms."""
        self.on_a_manager(rng, lambda manager: manager.pause(rng.randrange(50_000, 400_000)))

    # Relays and agents.

    def leave_a_call_in_doubt(self, rng):
        """Makes the outcome of a manager's next call to the relay unknown to it."""
        outcome = rng.choice(["lost", "done", "mute", "malformed"])
        self.note(outcome)
        self.on_a_manager(rng, lambda manager: manager.relay.call_outcomes.append(outcome))

    def break_news(self, rng):
        """Breaks the news stream of a manager."""
        self.on_a_manager(rng, lambda manager: manager.relay.break_news())

    def reset_relay(self, rng):
        """Resets the connections of a manager to its relay."""
        self.on_a_manager(rng, lambda manager: manager.reset_relay())

    def silence_relay(self, rng):
        """Silences the open connections of a manager to its relay."""
        self.on_a_manager(rng, lambda manager: manager.silence_relay())

    def refuse_relay(self, rng):
        """Refuses new connections of a manager to its relay for 50 to 300 ms."""
        self.on_a_manager(rng, lambda manager: manager.relay_proxy.refuse(rng.randrange(50_000, 300_000)))

    def silence_agent(self, rng):
        """Silences the discovery agent of a manager for 0.5 to 3 s."""
        self.on_a_manager(rng, lambda manager: manager.agent.silence(rng.randrange(SECOND // 2, 3 * SECOND)))

    def reset_agent(self, rng):
        """Resets the connections of a manager to its discovery agent."""
        self.on_a_manager(rng, lambda manager: manager.discovery_proxy.reset())

    def roughen_links(self, rng):
        """Impairs the connections of a manager to relay and discovery for 1 to 3 s."""
        impairment = Impairment(rng.randrange(15_000), rng.randint(1, 8))
        span_us = rng.randrange(SECOND, 3 * SECOND)
        self.on_a_manager(rng, lambda manager: manager.degrade_links(impairment, span_us))

    def shift_demand(self, rng):
        """Draws new demand for a quarter of the slices."""
        for slice_index in rng.sample(range(len(self.demand)), len(self.demand) // 4):
            self.demand[slice_index] = rng.randint(2, 120)

    # The end.

    def check_held_out(self):
        """Counts the pairs of a proxy and a ready server that is still withdrawn there at the end of the day."""
        for manager in self.managers:
            pairs = manager.relay.held_out() if manager.in_use else []
            self.result.held_out += len(pairs)
            if pairs:
                self.note(f"{manager} holds out {len(pairs)} pairs of proxy and server: {pairs[:4]}")

    def sum_up(self):
        """Adds the results of the managers; writes a trace if something was broken."""
        for manager in self.managers:
            relay = manager.relay
            self.result.drains += len(relay.checked_drains)
            self.result.late_drains += len(relay.overdue_drains)
            self.result.blackholes += len(relay.blackholes)
            self.result.overfull += relay.queue_limit_exceeded
            self.result.not_ended += manager.process_run is not None
            broken = [*relay.overdue_drains.values(), *relay.blackholes.values()]
            self.notes += [(at, f"BROKEN by n{manager.number}: {self.in_day_time(record)}") for at, record in broken]
            self.note(f"n{manager.number}: {relay.peak_waiting_lines:.0f} lines waited at most")
        self.result.faults = sum(
            logged.count('"event":"fault"') + logged.count("Traceback") for _, _, logged in self.logs
        )
        if self.result.broken:
            self.keep_trace()

    def in_day_time(self, record):
        """The fields of a late drain or blackhole, with times in milliseconds since the day began."""
        return {
            name: (value - self.began_at) // 1000 if name.endswith("_at") or name == "since" else value
            for name, value in asdict(record).items()
        }

    def keep_trace(self):
        """Writes the events of the day and the logs of the programs, by about the same clock, to a file in TRACES."""
        TRACES.mkdir(exist_ok=True)
        lines = [((at - self.began_at) / 1000, text) for at, text in self.notes]
        for manager in self.managers:
            relay_log = manager.relay.call_log + manager.relay.proxy_log
            lines += [((at - self.began_at) / 1000, f"  relay of n{manager.number}: {text}") for at, text in relay_log]
        for manager, incarnation, logged in self.logs:
            started_ms = incarnation.started_at * 1000 - self.began_at / 1000 + start_took_ms(incarnation, logged)
            for line in logged.splitlines():
                at_ms = started_ms + up_ms(line)
                lines.append((at_ms, f"  n{manager.number}.{incarnation.number} {line}"))
        body = [f"{at_ms:8.0f} {text}" for at_ms, text in sorted(lines, key=lambda line: line[0])]
        head = [f"seed {self.seed}: {self.result}", "times in ms"]
        (TRACES / f"soak-drains-{self.seed}-of-{self.played_s:g}-s.log").write_text("\n".join([*head, *body]) + "\n")

    def end_processes(self):
        """Kills all processes of the day."""
        for manager in self.managers:
            if manager.process_run is not None and manager.process_run.process.poll() is None:
                manager.process_run.process.kill()
                manager.process_run.process.wait()
        for server in self.servers.values():
            server.end()


CLOCK_STEPS_MS = (0, 2_000, -2_000, 3_600_000, -3_600_000)  # by which `tests.faulty_program` changes the wall clock


def start_took_ms(incarnation, logged):
    """Milliseconds from the start of the process to that of its log, from the wall-clock time of the first line.

    They are known to be less than two seconds, which tells how far the program's wall clock had been stepped.
    """
    first = next((json.loads(line) for line in logged.splitlines() if up_ms(line)), None)
    if first is None:
        return 0
    took_ms = first["time"] * 1000 - first["up_ms"] - incarnation.started_unix * 1000
    return next((took_ms - step_ms for step_ms in CLOCK_STEPS_MS if 0 <= took_ms - step_ms < 2_000), 0)


def up_ms(line):
    """The field `up_ms` of a log line: milliseconds since the start of the log; 0 if the line has none."""
    try:
        return json.loads(line)["up_ms"]
    except (ValueError, KeyError, TypeError):
        return 0


def run(seeds, *command, **durations):
    """Plays the days of the seeds and returns the sum of their results; prints each result with failures."""
    total = SoakResult()
    for seed in seeds:
        case = DrainSoak("play")
        case.setUp()
        try:
            result = case.play(seed, *command, **durations)
        finally:
            case.doCleanups()
        if result.broken:
            print(f"seed {seed}: {asdict(result)}", flush=True)
        total += result
    return total


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))  # then the clean-ups end the processes that were started
    end, first = int(sys.argv[1]), int(sys.argv[2]) if len(sys.argv) > 2 else 0
    total = run(range(first, end))
    print(json.dumps(asdict(total)))
    sys.exit(bool(total.broken))
