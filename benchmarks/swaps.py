"""Checks that no reader sees a partly replaced set of tables while tables are replaced and writers are killed.

    python -m benchmarks.swaps [--swaps 5000] [--short]

The whole system runs under traffic: a manager whose policy replaces every table, all with the same weight, as soon as
the proxies have acknowledged the previous replacement; proxies as processes with file agents and disk helpers, which
are killed at random; workers, worker list and clients; and readers that check on each poll that all tables of the set
carry one weight. A set with two weights is a torn read. The same readers then watch a writer that edits files in place,
which shows that they do detect torn reads. The figures of transactions are simulated.
"""

import argparse
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from ospreyrouter.files import TableReader
from ospreyrouter.helper import ProcessCalls
from ospreyrouter.loop import Loop
from ospreyrouter.manager import ManagerService
from ospreyrouter.policy import Manager
from ospreyrouter.rehearse.day import Day
from ospreyrouter.rehearse.processes import ProcessEnvironment
from ospreyrouter.standins.journal import read_journal
from ospreyrouter.xds.documents import CLUSTER_LOAD_ASSIGNMENT, Line, Table, discovery_response, table_resource, to_json

SLICES, PROXIES = 64, 2


class ReplacingManager(Manager):
    """Replaces every line of every table once all proxies have acknowledged the last replacement, or after 1 s."""

    generation = unanswered = mark_number = 0
    mark_sent_at_us = 0

    def send(self, capacity):
        """Replaces the tables and sends a mark to all proxies."""
        if not self.proxies or self.unanswered > 0 and self.now - self.mark_sent_at_us < 1_000_000:
            return
        self.generation += 1
        weight = 1 + self.generation % 9000 / 10_000
        for slice_index in sorted(self.owned_slices):
            for worker in sorted(self.workers):
                self.orders.set_weight(slice_index, worker, weight)
        self.mark_number = (self.mark_number + 1) % 65536
        self.orders.send_mark(self.mark_number, True)
        self.unanswered, self.mark_sent_at_us = len(self.proxies), self.now

    def mark_acknowledged(self, proxy, mark, delay_us):
        """Counts the proxies that have acknowledged the last mark."""
        if mark == self.mark_number:
            self.unanswered -= 1
            self.layout_due = True

    def proxy_left(self, proxy):
        """Replaces the tables at once: the proxy will not acknowledge the last mark."""
        super().proxy_left(proxy)
        self.unanswered, self.layout_due = 0, True


class SilentLog:
    """A log that drops all events."""

    def debug(self, event, **fields):
        pass

    info = warning = error = debug


def day():
    """Returns the day that is rehearsed: 64 slices, four workers and a channel without a noticeable limit."""
    transaction_class = {"name": "look-up", "quoted_s": 1.0, "client_timeout_s": 2.0, "repeat": "safe"}
    return Day.model_validate(
        {
            "name": "swaps",
            "seconds": 3000,
            "slices": SLICES,
            "classes": [transaction_class],
            "fleet": {"zones": ["a"], "managers": 1, "proxies": PROXIES, "workers": 4, "cores": 8},
            "traffic": {"per_s": 60.0, "shares": {"look-up": 1.0}, "work_ms": {"look-up": 20.0}, "retries": 3},
            "channel": {"lines_per_s": 1e8, "queue_lines": 1e9, "message_head": 1.0},
            "custody": {"lease_s": 3.0},
        }
    )


def run_reader(folder):
    """Runs a reader process, which polls every 0.5 ms and prints its counts as JSON on SIGTERM.

    Counts: `looks` (polls), `sets` (new sets), `torn` (sets with several weights, missing tables or bad files) and
    `without` (polls that found no set).
    """
    reader, counts = TableReader(folder), {"looks": 0, "sets": 0, "torn": 0, "without": 0}
    stop_requests = []
    signal.signal(signal.SIGTERM, lambda *_: stop_requests.append(1))
    has_tables = False
    print("ready", flush=True)
    while not stop_requests:
        counts["looks"] += 1
        if reader.poll():
            has_tables = has_tables or len(reader.tables) == SLICES  # the first set holds only fences
            counts["sets"] += 1
            weights = {line.weight for entry in reader.tables.values() for line in entry[0].lines}
            if len(weights) > 1 or has_tables and len(reader.tables) != SLICES:
                counts["torn"] += 1
        elif has_tables and not os.path.exists(reader.link):
            counts["without"] += 1
        time.sleep(0.0005)
    counts["torn"] += reader.counts["bad sets"]
    print(json.dumps(counts))


def start_reader(folder):
    """Starts a reader process on a proxy's folder and waits until it is ready."""
    process = subprocess.Popen(
        [sys.executable, "-m", "benchmarks.swaps", "--reader", str(folder)], stdout=subprocess.PIPE
    )
    process.stdout.readline()
    return process


def stop_reader(process):
    """Stops a reader process and returns its counts."""
    process.terminate()
    return json.loads(process.communicate(timeout=20)[0])


def percentile(values, part):
    """Returns the value below which the fraction `part` of `values` lies; 0 if there are none."""
    values = sorted(values)
    return values[min(len(values) - 1, int(part * len(values)))] if values else 0


def measure_swaps(folder, swaps, kills, flush, seed, timeout_s):
    """Runs the whole system until a proxy has taken over `swaps` replacements; returns the figures as a dict.

    The process of a random proxy is killed at `kills` random points of the run and restarted after 0.3 s. The run ends
    after `timeout_s` at the latest.
    """
    rng, loop = random.Random(seed), Loop()
    plan = day().model_copy(update={"flush": flush})
    environment = ProcessEnvironment(plan, folder, loop)
    proxies = [row.name for row in environment.setup.proxies]
    swap_times_us, readers, progress = [], [], {"swaps": 0, "kills": 0}
    try:
        for name in ("workers", "list", *proxies):
            environment.start(name)
        environment.wait_ready(["workers", "list", *proxies])
        calls = ProcessCalls(loop, flush)
        manager = ManagerService(
            loop,
            environment.setup,
            "manager-0",
            str(environment.folder / "store"),
            calls,
            SilentLog(),
            seed,
            ReplacingManager,
        )
        original_handler = manager.core.mark_acknowledged

        def count_swap(now, proxy, mark):
            """Records the time from a mark to its acknowledgement, then calls the original handler."""
            if mark in manager.core.mark_sent_us:
                swap_times_us.append(now - manager.core.mark_sent_us[mark])
                progress["swaps"] += 1
            original_handler(now, proxy, mark)

        manager.core.mark_acknowledged = count_swap
        environment.start("clients", "--start-us", str(loop.now() + 3_000_000))
        readers = [start_reader(environment.folder / name) for name in proxies for _ in range(2)]
        kill_after = sorted(rng.uniform(0.05, 0.95) * swaps for _ in range(kills))

        def control_loop():
            """Kills proxies when they are due and stops the loop after the last swap; runs every 20 ms."""
            loop.after(20_000, control_loop)
            while kill_after and progress["swaps"] >= kill_after[0]:
                kill_after.pop(0)
                progress["kills"] += 1
                name = rng.choice(proxies)
                if environment.processes[name].poll() is None:
                    environment.kill(name)
                    loop.after(300_000, lambda name=name: environment.start(name))
            if progress["swaps"] >= swaps:
                loop.stop()

        control_loop()
        loop.run(loop.now() + round(timeout_s * 1e6))
        loop.run(loop.now() + 500_000)
        reader_counts = [stop_reader(reader) for reader in readers]
        readers = []
        manager.close()
        loop.run(loop.now() + 200_000)
        calls.join()
    finally:
        for reader in readers:
            reader.kill()
        environment.stop_all()
    transactions = [row for row in read_journal(environment.folder / "clients.journal") if row["what"] == "transaction"]
    return {
        "swaps": progress["swaps"],
        "kills": progress["kills"],
        "reads": sum(row["sets"] for row in reader_counts),
        "torn_reads": sum(row["torn"] for row in reader_counts),
        "moments_without": sum(row["without"] for row in reader_counts),
        "in_force_ms_p50": round(percentile(swap_times_us, 0.5) / 1000, 2),
        "in_force_ms_p99": round(percentile(swap_times_us, 0.99) / 1000, 2),
        "transactions": len(transactions),
        "refused_for_want_of_a_table": sum(row["how"] == "failed 503" for row in transactions),
    }


def measure_in_place_edits(folder, rounds):
    """Runs the same reader while the files of one set are edited in place `rounds` times; returns its counts."""
    (folder / "generations" / "1").mkdir(parents=True)
    (folder / "current").symlink_to("generations/1")

    def table_page(page, weight):
        """Returns one file of a set: 32 tables whose lines all carry `weight`."""
        lines = tuple(Line(f"w{k}", "127.0.0.1", 9, "a", weight) for k in range(4))
        return to_json(
            discovery_response(
                "1.1",
                CLUSTER_LOAD_ASSIGNMENT,
                [
                    table_resource(Table(slice_index, "m", (1, 1), lines))
                    for slice_index in range(page * 32, page * 32 + 32)
                ],
            )
        )

    # Two links to the same folder: readers read the files again only when `current` names another link.
    (folder / "generations" / "2").symlink_to("1")
    for page in range(2):
        (folder / "generations" / "1" / f"tables-{page:04d}.json").write_bytes(table_page(page, 1.0))
    reader = start_reader(folder)
    for round_number in range(rounds):
        for page in range(2):
            data, path = (
                table_page(page, 1 + round_number % 9000 / 10_000),
                folder / "generations" / "1" / f"tables-{page:04d}.json",
            )
            with open(path, "r+b") as file:
                for start in range(0, len(data), 4096):
                    file.seek(start)
                    file.write(data[start : start + 4096])
                    file.flush()
                file.truncate(len(data))
        new_link = folder / "current.new"
        new_link.symlink_to(f"generations/{1 + round_number % 2}")
        os.rename(new_link, folder / "current")
        time.sleep(0.0005)
    return stop_reader(reader)


def main():
    """Prints the figures; the exit code is 1 on a torn read, a missing set or if in-place edits were not detected."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--swaps", type=int, default=5000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--reader")
    options = parser.parse_args()
    if options.reader:
        run_reader(options.reader)
        return 0
    swaps = 300 if options.short else options.swaps
    with tempfile.TemporaryDirectory() as folder:
        folder = Path(folder)
        result = measure_swaps(folder / "plain", swaps, 4 if options.short else 40, False, options.seed, 600)
        flushed = measure_swaps(folder / "flushed", 60 if options.short else 300, 0, True, options.seed, 120)
        (folder / "in-place").mkdir()
        in_place_counts = measure_in_place_edits(folder / "in-place", 300 if options.short else 3000)
    result |= {
        "flushed_swaps": flushed["swaps"],
        "flushed_torn_reads": flushed["torn_reads"],
        "flushed_in_force_ms_p50": flushed["in_force_ms_p50"],
        "flushed_in_force_ms_p99": flushed["in_force_ms_p99"],
        "in_place_torn_reads": in_place_counts["torn"],
        "in_place_reads": in_place_counts["sets"] + in_place_counts["torn"],
    }
    print(json.dumps(result))
    passed = (
        result["swaps"] >= swaps
        and not result["torn_reads"]
        and not result["moments_without"]
        and not result["flushed_torn_reads"]
        and result["in_place_torn_reads"] > 0
    )
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
