"""Measures custody in virtual time: 50 managers and 5,000 slices through crashes and restarts, against a plain lease.

    python -m benchmarks.custody [--managers 50] [--slices 5000] [--short]

Each manager renews its lease and reads the store four times per lease; every store operation takes 5 to 60 ms. Managers
crash one at a time, then a fifth of them at once, then all are started again. For comparison the same crashes run with
the plain lease of an earlier version: one other manager took all slices of a crashed manager, returned all of them at
its first heartbeat, and published the slices that it took at once. The last line of the output is one JSON object.
"""

import argparse
import heapq
import json
import sys
import time
from random import Random
from unittest import mock

from ospreyrouter.custody import Custody, custody

LEASE_US = 1_000_000


class PlainLease(Custody):
    """The plain lease of an earlier version: slices that were taken over are published without a waiting time."""

    def epoch_seen(self, epoch, now):
        super().epoch_seen(epoch, now)
        self.pending_takeovers = {}


class Fleet:
    """Managers that run `custody_class` on one simulated store, in virtual time (microseconds, `now`)."""

    def __init__(self, managers, slices, seed, custody_class):
        self.rng, self.now, self.events, self.event_count = Random(seed), 0, [], 0
        self.managers, self.slices, self.custody_class = managers, slices, custody_class
        self.heartbeats, self.epochs, self.writes, self.moved_slices, self.writing = [0] * managers, [], 0, 0, set()
        self.processes, self.is_up = [None] * managers, [False] * managers
        for manager in range(managers):
            self.start(manager)

    def schedule(self, delay_us, callback, *arguments):
        """Calls `callback(*arguments)` after `delay_us`."""
        self.event_count += 1
        heapq.heappush(self.events, (self.now + delay_us, self.event_count, callback, arguments))

    def store_delay_us(self):
        """Duration of one store operation."""
        return self.rng.randint(5_000, 60_000)

    def start(self, manager):
        """Starts a new process of the manager; its first cycle begins at a random time within a quarter of a lease."""
        self.is_up[manager], self.processes[manager] = (
            True,
            self.custody_class(manager, self.managers, self.slices, LEASE_US, 0.05),
        )
        self.schedule(self.rng.randrange(LEASE_US // 4), self.run_cycle, manager, self.processes[manager])

    def stop(self, manager):
        """Crashes the manager: none of its pending operations has an effect."""
        self.is_up[manager] = False

    def is_current(self, manager, process):
        """Whether `process` is the running process of the manager."""
        return self.is_up[manager] and self.processes[manager] is process

    def run_cycle(self, manager, process):
        """Renews the lease, reads the store and proposes an epoch; repeated every quarter of a lease."""
        if not self.is_current(manager, process):
            return
        self.schedule(LEASE_US // 4, self.run_cycle, manager, process)
        self.schedule(self.store_delay_us(), self.heartbeat_done, manager, process, self.now)
        self.schedule(self.store_delay_us() + 60_000, self.read_store, manager, process, self.now + 60_000)
        self.start_proposal(manager, process)

    def start_proposal(self, manager, process):
        """Writes the epoch that the process proposes, unless it has a write in progress."""
        epoch = (
            process.propose_epoch(self.now)
            if self.is_current(manager, process) and process not in self.writing
            else None
        )
        if epoch is not None:
            self.writing.add(process)
            self.schedule(self.store_delay_us(), self.create_epoch, manager, process, epoch)

    def heartbeat_done(self, manager, process, began):
        """The heartbeat that was begun at `began` is stored."""
        if self.is_current(manager, process):
            self.heartbeats[manager] += 1
            self.writes += 1
            process.heartbeat_written(began, self.now)

    def read_store(self, manager, process, began):
        """Passes the heartbeats of all others and the newest epoch, as read from `began` on, to the process."""
        if self.is_current(manager, process):
            for other in range(self.managers):
                if other != manager and self.heartbeats[other]:
                    process.heartbeat_seen(began, self.now, other, self.heartbeats[other])
            process.epoch_seen(self.epochs[-1] if self.epochs else None, self.now)
            process.check_completed(began, self.now)
            if process.pending_takeovers:
                self.schedule(10_000 + self.store_delay_us(), self.read_store, manager, process, self.now + 10_000)

    def create_epoch(self, manager, process, epoch):
        """Stores the epoch if its number is the next one; otherwise the process reads again and proposes later."""
        self.writing.discard(process)
        if not self.is_current(manager, process):
            return
        self.writes += 1
        if epoch.number == len(self.epochs) + 1:
            if self.epochs:
                self.moved_slices += sum(a != b for a, b in zip(self.epochs[-1].owners, epoch.owners))
            self.epochs.append(epoch)
            process.epoch_written(epoch, self.now)
        else:
            wait, store_delay_us = process.epoch_refused(), self.store_delay_us()
            self.schedule(store_delay_us, self.read_store, manager, process, self.now)
            self.schedule(store_delay_us + wait, self.start_proposal, manager, process)

    def run_for(self, duration_us, on_change=None):
        """Runs the scheduled callbacks of the next `duration_us`; `on_change` is called after each read or epoch."""
        end_us = self.now + duration_us
        while self.events and self.events[0][0] <= end_us:
            self.now, _, callback, arguments = heapq.heappop(self.events)
            callback(*arguments)
            if on_change is not None and callback.__name__ in ("read_store", "create_epoch"):
                on_change()
        self.now = end_us

    def find_publishers(self):
        """Returns {slice: manager that may publish it} and how many slices have a second such manager."""
        owners, duplicates = {}, 0
        for manager, process in enumerate(self.processes):
            if self.is_up[manager]:
                for slice_index in process.publishable_slices(self.now):
                    duplicates += slice_index in owners
                    owners[slice_index] = manager
        return owners, duplicates


def count_extremes(owners, live_managers):
    """Returns the largest and the smallest non-zero number of slices of one manager."""
    counts = [0] * live_managers
    for owner in owners.values():
        counts[owner] += 1
    return max(counts), min(count for count in counts if count) if any(counts) else 0


def measure(managers, slices, seed, custody_class):
    """Runs all crashes and restarts with `custody_class` and returns the figures as a dict."""
    started, fleet, result, double_owners = time.perf_counter(), Fleet(managers, slices, seed, custody_class), {}, 0
    fleet.run_for(10 * LEASE_US)
    publishers, duplicates = fleet.find_publishers()
    result["at_start"] = {"owned": len(publishers), "most": count_extremes(publishers, managers)[0]}
    takeover_ms = []

    def wait_until_owned(event, limit_us):
        """Milliseconds until every slice has a publisher again, checked every 10 ms; None after `limit_us`."""
        nonlocal double_owners
        start_us = fleet.now
        while fleet.now - start_us < limit_us:
            fleet.run_for(10_000)
            publishers, duplicates = fleet.find_publishers()
            double_owners += duplicates
            if len(publishers) == slices:
                return (fleet.now - start_us) / 1000
        return None

    for manager in range(3, 3 + min(5, managers - 4)):
        fleet.stop(manager)
        takeover_ms.append(wait_until_owned("death", 10 * LEASE_US))
    stopped = list(range(10, 10 + managers // 5)) if managers > 20 else [1]
    for manager in stopped:
        fleet.stop(manager)
    takeover_ms.append(wait_until_owned("many", 10 * LEASE_US))
    publishers, _ = fleet.find_publishers()
    live_managers = managers - sum(not up for up in fleet.is_up)
    result["after_losses"] = {
        "living": live_managers,
        "mean": round(slices / live_managers, 1),
        "most": count_extremes(publishers, managers)[0],
    }
    writes, start_us = fleet.writes, fleet.now
    fleet.run_for(10 * LEASE_US)
    result["writes_a_second_calm"] = round((fleet.writes - writes) / ((fleet.now - start_us) / 1e6), 1)
    restart_us, writes, max_unowned = fleet.now, fleet.writes, 0
    for manager in range(managers):
        if not fleet.is_up[manager]:
            fleet.start(manager)
    largest_move, moved_before = 0, fleet.moved_slices
    for _ in range(400):
        fleet.run_for(50_000)
        publishers, duplicates = fleet.find_publishers()
        double_owners, max_unowned = double_owners + duplicates, max(max_unowned, slices - len(publishers))
        largest_move, moved_before = max(largest_move, fleet.moved_slices - moved_before), fleet.moved_slices
        if fleet.epochs and all(
            owner == slice_index % managers for slice_index, owner in enumerate(fleet.epochs[-1].owners)
        ):
            break
    result["return"] = {
        "s": round((fleet.now - restart_us) / 1e6, 2),
        "largest_move_in_50_ms": largest_move,
        "most_without_publisher": max_unowned,
        "writes_a_second": round((fleet.writes - writes) / max(1e-6, (fleet.now - restart_us) / 1e6), 1),
    }
    reached_ms = sorted(value for value in takeover_ms if value is not None)
    result |= {
        "takeover_ms": [takeover_ms[0], reached_ms[-1] if reached_ms else None],
        "never_taken": takeover_ms.count(None),
        "double_owners": double_owners,
        "epochs": len(fleet.epochs),
        "epoch_bytes": slices * 24,
        "cpu_s": round(time.perf_counter() - started, 1),
    }
    return result


def main():
    """Prints the figures; the exit code is 1 if a slice had two publishers or was never taken over."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--managers", type=int, default=50)
    parser.add_argument("--slices", type=int, default=5_000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--short", action="store_true")
    options = parser.parse_args()
    managers, slices = (6, 120) if options.short else (options.managers, options.slices)
    results = {"strict": measure(managers, slices, options.seed, Custody)}
    with mock.patch.object(custody, "RETURN_STEPS", 1):
        results["plain"] = measure(managers, slices, options.seed, PlainLease)
    print(
        json.dumps(
            {
                "managers": managers,
                "slices": slices,
                "takeover_p99_ms": results["strict"]["takeover_ms"][1],
                "double_owners": results["strict"]["double_owners"],
                **results,
            }
        )
    )
    return 0 if not results["strict"]["double_owners"] and not results["strict"]["never_taken"] else 1


if __name__ == "__main__":
    sys.exit(main())
