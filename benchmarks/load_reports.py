"""Measures load reports: the errors of the manager's estimates with 10,000 reporters on loopback, and the load on it.

    python -m benchmarks.load_reports [--reporters 10000] [--seconds 60] [--short]

2,000 reporters have a stream each, the others share streams of 100 reporters (JSON, JSON with zstandard, protobuf). An
estimate covers the 4 s that ended `settled_us` ago. It is compared with the simulated true rate of exactly those 4 s,
which varies over time, and the age of that span is printed. Then two measurements run in virtual time: `Handover` is
compared with `OldestFirst` at the same budget of lines, and the CPU time is measured by number of reporters. All
reporters are stand-ins and report simulated figures. The last line of the output is one JSON object.
"""

import argparse
import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import orjson

from benchmarks.size import cpu_s, rss_mb, write_deployment
from ospreyrouter.digest import Digest, Handover, OldestFirst, Reporters
from ospreyrouter.digest.estimates import BUCKET_US, SPAN_BUCKETS
from ospreyrouter.files import TableReader
from ospreyrouter.intake import decode
from ospreyrouter.loop import Loop
from ospreyrouter.rehearse.day import WorkerSpec
from ospreyrouter.standins import Journal, WorkerListService
from ospreyrouter.standins.reporters import (
    JSON,
    PROTOBUF,
    ZSTD,
    FloodSender,
    Reporter,
    ReporterFleet,
    TrueLoad,
    encode_reports,
    worker_shares,
)
from ospreyrouter.web import Client, Server

WORKERS, SLICES, INTERVAL_US, REPORTERS_PER_STREAM, SEED = 78, 400, 2_000_000, 100, 5
ESTIMATE_US = BUCKET_US * SPAN_BUCKETS  # the span that an estimate covers
WARMUP_S = 14.0  # estimates are compared from then on: their span begins after the first reports of every reporter


def group_by_stream(reporters, direct_count):
    """Returns the direct streams and the shared ones, each as a list of lists of the numbers of their reporters."""
    direct_groups = [[number] for number in range(min(direct_count, reporters))]
    shared = list(range(len(direct_groups), reporters))
    return direct_groups, [
        shared[number : number + REPORTERS_PER_STREAM] for number in range(0, len(shared), REPORTERS_PER_STREAM)
    ]


def run_fleet(options):
    """Runs one process of reporters with its part of the direct and shared streams; prints its counts as JSON."""
    plan, loop = json.loads(options.fleet), Loop()
    truth = TrueLoad(WORKERS, plan["start_us"], plan["seconds"], SEED)
    coverage_parts = plan["parts"]
    direct, shared = group_by_stream(plan["reporters"], plan["direct"])
    process_index, process_count = plan["part"], plan["of"]

    def make_reporters(group):
        """Returns the reporters of one stream; their clocks differ by up to 15 s."""
        return [
            Reporter(number, truth, SLICES, SEED, loop.now(), clock_offset_us=(number % 11 - 5) * 3_000_000)
            for number in group
        ]

    address, fleets = tuple(plan["address"]), []
    fleets.append(
        ReporterFleet(
            loop,
            address,
            truth,
            coverage_parts,
            [make_reporters(group) for group in direct[process_index::process_count]],
            JSON,
            INTERVAL_US,
            process_index,
        )
    )
    own_shared = shared[process_index::process_count]
    for index, encoding in enumerate((JSON, ZSTD, PROTOBUF)):
        fleets.append(
            ReporterFleet(
                loop,
                address,
                truth,
                coverage_parts,
                [make_reporters(group) for group in own_shared[index::3]],
                encoding,
                INTERVAL_US,
                f"{process_index}/{encoding}",
            )
        )
    if process_index == 0 and plan["flood"]:
        flood = FloodSender(loop, address, 200, 10, 1)
        flood_start_us = plan["start_us"] + round(plan["seconds"] * 0.6e6)
        loop.at(flood_start_us, lambda: flood.control("flood", True))
        loop.at(flood_start_us + 8_000_000, lambda: flood.control("flood", False))
    print("ready", flush=True)
    loop.run(plan["start_us"] + round(plan["seconds"] * 1e6))
    print(
        json.dumps(
            {
                "sent": sum(reporter_fleet.sent for reporter_fleet in fleets),
                "refused": sum(reporter_fleet.refused for reporter_fleet in fleets),
                "failed": sum(reporter_fleet.failed for reporter_fleet in fleets),
                "busy": loop.busy_us,
            }
        ),
        flush=True,
    )


def percentile(values, part):
    """Returns the value below which the fraction `part` of `values` lies; 0.0 if there are none."""
    values = sorted(values)
    return values[min(len(values) - 1, int(part * len(values)))] if values else 0.0


class Watcher:
    """Requests the manager's estimates and compares them with the true rates of the same span."""

    def __init__(self, loop, address, truth):
        self.loop, self.truth, self.client = loop, truth, Client(loop, address)
        (
            self.comparisons,
            self.errors,
            self.truth_ages_s,
            self.silent_confidence,
            self.pressure_steps,
            self.last_response,
        ) = [], [], [], [], set(), {}

    def request_estimates(self):
        """Sends the request; the response is compared when it arrives."""
        self.client.send_request("GET", "/v3/estimates", [], b"", self._record_estimates, 10_000_000)

    def _record_estimates(self, response):
        """Records errors, ages and the pressure step of a response with status 200."""
        if response.status != 200:
            return
        data = self.last_response = orjson.loads(response.body)
        now, is_warm = data["now_us"], data["now_us"] > self.truth.start_us + WARMUP_S * 1e6
        self.pressure_steps.add(data["pressure"]["step"])
        for name, estimate in data["workers"].items():
            worker = int(name.rpartition("-")[2])
            if worker == self.truth.silent_worker and now > self.truth.start_us + (self.truth.silent_from_s + 8) * 1e6:
                self.silent_confidence.append(estimate["confidence"])
                continue
            if is_warm and estimate["confidence"] > 0:
                settled_end_us = (now - data["settled_us"]) // 500_000 * 500_000
                true_rate = self.truth.tries_between(worker, settled_end_us - ESTIMATE_US, settled_end_us) / (
                    ESTIMATE_US / 1e6
                )
                self.errors.append(abs(estimate["rate"] - true_rate) / max(true_rate, 1.0))
                self.comparisons.append(
                    (round((now - self.truth.start_us) / 1e6, 1), worker, round(self.errors[-1], 3))
                )
                self.truth_ages_s.append((now - settled_end_us) / 1e6)


def measure_on_sockets(folder, reporters, direct, seconds, processes, flood):
    """Runs a manager with agents and reporters as processes on loopback sockets; returns the figures as a dict."""
    path, setup = write_deployment(folder, 12, SLICES, WORKERS)
    loop = Loop()
    probes = [Server(loop, ("127.0.0.1", 0), lambda request: request.respond(200)) for _ in range(WORKERS)]
    specs = [
        WorkerSpec(
            f"worker-{k}", "127.0.0.1", probes[k].address[1], "abc"[k % 3], k % 9, 4, 1.0, 64, 0.3, 10_000_000, 0, 0
        )
        for k in range(WORKERS)
    ]
    worker_list = WorkerListService(loop, setup, specs, Journal(loop), 0)
    processes_started, manager = [], None
    try:
        agents = subprocess.Popen(
            [sys.executable, "-m", "benchmarks.size", "--agents", str(path), "--first", "0", "--no-sums"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        processes_started.append(agents)
        agents.stdout.readline()
        with open(folder / "manager.log", "wb") as log:
            manager = subprocess.Popen(
                [sys.executable, "-m", "ospreyrouter", "manager", str(path), "--name", "manager-0", "--seed", "1"],
                stderr=log,
                stdout=subprocess.DEVNULL,
            )
        processes_started.append(manager)
        readers = [TableReader(str(folder / proxy.folder)) for proxy in setup.proxies]
        deadline_us = loop.now() + 30_000_000
        while loop.now() < deadline_us:
            loop.run(loop.now() + 200_000)
            for reader in readers:
                reader.poll()
            if all(len(reader.tables) == SLICES for reader in readers):
                break
        loop.run(loop.now() + 2_000_000)
        start_us = loop.now() + 4_000_000 + reporters * 300
        truth = TrueLoad(WORKERS, start_us, seconds, SEED)
        coverage_parts = worker_shares(reporters, truth, SLICES, SEED) if reporters else []
        plan = {
            "start_us": start_us,
            "seconds": seconds,
            "parts": coverage_parts,
            "reporters": reporters,
            "direct": direct,
            "of": processes,
            "address": list(setup.managers[0].listen.pair),
            "flood": flood,
        }
        fleets = [
            subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "benchmarks.load_reports",
                    "--fleet",
                    json.dumps(plan | {"part": process_index}),
                ],
                stdout=subprocess.PIPE,
            )
            for process_index in range(processes if reporters else 0)
        ]
        processes_started += fleets
        for fleet in fleets:
            fleet.stdout.readline()
        watcher, drains_ms = Watcher(loop, setup.managers[0].listen.pair, truth), []
        loop.run(start_us)
        cpu, cpu_from_us = cpu_s(manager.pid), loop.now()

        def set_state(name, state):
            """Changes the state of a worker in the worker list and returns the time of the change in us."""
            worker_list.control("state", workers=[name], state=state, now=True)
            return loop.now()

        for drain_index, fraction in enumerate((0.25, 0.45, 0.65, 0.85)):
            name = f"worker-{drain_index * 7 + 1}"
            while loop.now() < start_us + seconds * fraction * 1e6:
                loop.run(loop.now() + 250_000)
                watcher.request_estimates()
            drain_start_us, drain_ms = set_state(name, "draining"), None
            while drain_ms is None and loop.now() < drain_start_us + 8_000_000:
                loop.run(loop.now() + 4_000)
                for reader in readers:
                    reader.poll()
                if not any(
                    line.worker == name and name not in entry[1]
                    for reader in readers
                    for entry in reader.tables.values()
                    for line in entry[0].lines
                ):
                    drain_ms = (loop.now() - drain_start_us) / 1000
            drains_ms.append(drain_ms if drain_ms is not None else 8000.0)
            set_state(name, "ready")
        while loop.now() < start_us + seconds * 1e6 - 500_000:
            loop.run(loop.now() + 250_000)
            watcher.request_estimates()
        loop.run(loop.now() + 400_000)
        cpu, memory_mb = (cpu_s(manager.pid) - cpu) / ((loop.now() - cpu_from_us) / 1e6), rss_mb(manager.pid)
        fleet_figures = [json.loads(fleet.communicate(timeout=20)[0].splitlines()[-1]) for fleet in fleets]
        manager.terminate()
        manager.wait(10)
        log_records = [
            orjson.loads(line) for line in (folder / "manager.log").read_bytes().splitlines() if line.startswith(b"{")
        ]
        stopped = next(record for record in log_records if record["event"] == "stopped")
        report_figures = next(record for record in log_records if record["event"] == "figures")["reports"]
        return {
            "reporters": reporters,
            "streams": len(group_by_stream(reporters, direct)[0]) + len(group_by_stream(reporters, direct)[1]),
            "seconds": seconds,
            "reports_per_s": round(report_figures.get("reports", 0) / seconds),
            "error_p50": round(percentile(watcher.errors, 0.5), 4),
            "error_p99": round(percentile(watcher.errors, 0.99), 4),
            "error_max": round(max(watcher.errors, default=0.0), 4),
            "compared": len(watcher.errors),
            "worst": sorted(watcher.comparisons, key=lambda comparison: -comparison[2])[:200:20],
            "truth_late_s": round(percentile(watcher.truth_ages_s, 0.5), 2),
            "silent_box_confidence_least": round(min(watcher.silent_confidence, default=1.0), 3),
            "loop_turn_p99_ms": stopped["turn_p99_us"] / 1000,
            "longest_turn_ms": stopped["longest_turn_us"] / 1000,
            "drain_ms": drains_ms,
            "cpu_part": round(cpu, 3),
            "rss_mb": memory_mb,
            "steps": sorted(watcher.pressure_steps),
            "dropped": {name[9:]: count for name, count in report_figures.items() if name.startswith("dropped: ")},
            "no_room": report_figures.get("no room", 0),
            "longest_slice_ms": report_figures["longest slice us"] / 1000,
            "fleet": {
                "sent": sum(fleet_result["sent"] for fleet_result in fleet_figures),
                "failed": sum(fleet_result["failed"] for fleet_result in fleet_figures),
            },
        }
    finally:
        for process in processes_started:
            if process.poll() is None:
                process.terminate()
                process.wait(10)


def new_digest(handover, lines_per_s):
    """Returns a digest that knows all workers and owns all slices."""
    digest = Digest(Reporters(100_000), handover(lines_per_s), {"a": 0, "b": 1, "c": 2}, {"look-up": 0}, SLICES)
    for worker in range(WORKERS):
        digest.worker_started(f"worker-{worker}", worker, None)
    digest.owned_slices = set(range(SLICES))
    return digest


def compare_handovers(reporters, seconds, lines_per_s):
    """Compares both handovers: the error of the rates that the policy derives from their lines, and how soon it can
    detect workers that lose all tries. Returns {name of the handover: figures}."""
    result = {}
    for handover in (OldestFirst, Handover):
        truth = TrueLoad(WORKERS, 0, seconds, SEED)
        coverage_parts = worker_shares(reporters, truth, SLICES, SEED)
        fleet = [Reporter(number, truth, SLICES, SEED, 0) for number in range(reporters)]
        digest, lines_by_worker, errors, detected_s, fault_at_s = (
            new_digest(handover, lines_per_s),
            {},
            [],
            {},
            seconds * 0.5,
        )
        faulty_workers = [number for number in range(WORKERS) if number % 10 == 3]
        steps = int(seconds * 4)
        for step in range(1, steps + 1):
            now = step * 250_000
            for reporter in fleet[step % 8 :: 8]:
                for report in decode(
                    encode_reports([reporter.report(now, truth, coverage_parts)], JSON)[1], "application/json"
                ):
                    if now > fault_at_s * 1e6:
                        report.try_rows = [
                            (name, tries, tries if int(name[7:]) in faulty_workers else 0, delay, load, buckets)
                            for name, tries, _, delay, load, buckets in report.try_rows
                        ]
                    digest.ingest(now, report)
            for line in digest.take_lines(now):
                if line[0] == "tries_reported":
                    recent = lines_by_worker.setdefault(line[2], [])
                    recent.append((now, line[3], line[6]))
                    if line[4] * 2 > line[3] and line[2] in faulty_workers:
                        detected_s.setdefault(line[2], now / 1e6 - fault_at_s)
            if now > WARMUP_S * 1e6:
                for worker in range(WORKERS):
                    # The policy's own estimate: the tries of the lines of the last 2 s, its window.
                    handed_over = (
                        sum(
                            count
                            for taken_us, count, _ in lines_by_worker.get(worker, [])
                            if taken_us > now - 2_000_000
                        )
                        / 2.0
                    )
                    true_rate = truth.tries_between(worker, now - 2_000_000, now) / 2.0
                    if worker not in (truth.silent_worker,):
                        errors.append(abs(handed_over - true_rate) / max(true_rate, 1.0))
                for recent in lines_by_worker.values():
                    del recent[:-20]
        result[handover.__name__] = {
            "error_p50": round(percentile(errors, 0.5), 3),
            "error_p90": round(percentile(errors, 0.9), 3),
            "reaction_s_p50": round(percentile(list(detected_s.values()), 0.5), 2),
            "reaction_s_max": round(max(detected_s.values(), default=seconds), 2),
            "heard": len(detected_s),
            "of": len(faulty_workers),
        }
    return result


def measure_cpu(reporters, rounds=3):
    """Returns the CPU seconds per second that this process needs to decode and digest the reports of `reporters`
    reporters at the usual interval of 2 s."""
    truth = TrueLoad(WORKERS, 0, 100, SEED)
    coverage_parts = worker_shares(reporters, truth, SLICES, SEED)
    fleet = [Reporter(number, truth, SLICES, SEED, 0) for number in range(reporters)]
    digest, spent_s, line_count = new_digest(Handover, 500.0), 0.0, 0
    for round_number in range(1, rounds + 1):
        now = round_number * INTERVAL_US
        bodies = [
            encode_reports(
                [
                    reporter.report(now, truth, coverage_parts)
                    for reporter in fleet[number : number + REPORTERS_PER_STREAM]
                ],
                JSON,
            )[1]
            for number in range(0, reporters, REPORTERS_PER_STREAM)
        ]
        started_s = time.process_time()
        for body in bodies:
            for report in decode(body, "application/json"):
                digest.ingest(now, report)
        line_count += len(digest.take_lines(now))
        spent_s += time.process_time() - started_s
    return round(spent_s / rounds / (INTERVAL_US / 1e6), 3)


def main():
    """Prints the figures as JSON; the exit code is 1 if the errors or the drain times exceed their limits."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--reporters", type=int, default=10_000)
    parser.add_argument("--direct", type=int, default=2_000)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--plot")
    parser.add_argument("--fleet")
    options = parser.parse_args()
    if options.fleet:
        run_fleet(options)
        return 0
    if options.short:
        options.reporters, options.direct, options.seconds = 600, 100, 20.0
    memory_folder = "/dev/shm" if os.access("/dev/shm", os.W_OK) else None
    with tempfile.TemporaryDirectory(dir=memory_folder) as folder:
        (Path(folder) / "quiet").mkdir()
        without_reports = measure_on_sockets(Path(folder) / "quiet", 0, 0, 12.0 if options.short else 20.0, 0, False)
    with tempfile.TemporaryDirectory(dir=memory_folder) as folder:
        result = measure_on_sockets(
            Path(folder), options.reporters, options.direct, options.seconds, 1 if options.short else 4, True
        )
    reporter_counts = (300, 1000) if options.short else (1000, 3000, 10_000, 30_000)
    cpu_by_reporters = {str(count): measure_cpu(count) for count in reporter_counts}
    handovers = compare_handovers(200 if options.short else 1000, 24.0 if options.short else 40.0, 150.0)
    if options.plot:
        plot(cpu_by_reporters, options.plot)
    result |= {
        "drain_reaction_ms": {"without": without_reports["drain_ms"], "with": result.pop("drain_ms")},
        "handover": handovers,
        "cpu_by_reporters": cpu_by_reporters,
    }
    print(json.dumps(result))
    within_limits = (
        result["error_p99"] <= (0.2 if options.short else 0.05) and max(result["drain_reaction_ms"]["with"]) < 2000
    )
    return 0 if within_limits else 1


def plot(cpu_by_reporters, path):
    """Plots CPU time by number of reporters into the file `path`."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(6, 4))
    counts = [int(count) for count in cpu_by_reporters]
    axes.loglog(counts, list(cpu_by_reporters.values()), "o-")
    axes.set_xlabel("reporters, one report each 2 s")
    axes.set_ylabel("CPU seconds a second (decode and digest)")
    axes.grid(True, which="both", alpha=0.3)
    figure.tight_layout()
    figure.savefig(path, dpi=110)


if __name__ == "__main__":
    sys.exit(main())
