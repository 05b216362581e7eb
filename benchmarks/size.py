"""Measures one manager with 120 proxies, 400 slices and 78 workers, and a drain from the worker list to the last file.

    python -m benchmarks.size [--proxies 120] [--short]

The manager is a process of its own. Proxies are file agents without traffic, 20 per process, that send load reports
like those of real proxies; nothing else of a proxy is modelled. The last line of the output is one
JSON object.
"""

import argparse
import json
import os
import subprocess
import sys
import tempfile
from itertools import count
from pathlib import Path
from random import Random

import orjson

from ospreyrouter.deployment import DeploymentFile, read_deployment
from ospreyrouter.files import Disk, FileAgent, TableReader
from ospreyrouter.helper import InlineCalls
from ospreyrouter.loop import Loop
from ospreyrouter.loop.real import monotonic_us
from ospreyrouter.rehearse.day import WorkerSpec
from ospreyrouter.rehearse.processes import free_ports
from ospreyrouter.standins import Journal, WorkerListService
from ospreyrouter.store import TableStore
from ospreyrouter.versions import next_version
from ospreyrouter.web import Client, Server
from ospreyrouter.xds.documents import Line
from ospreyrouter.xds.reports import load_stats_request

AGENTS_PER_PROCESS = 20


class SilentLog:
    """A log that drops all events."""

    def debug(self, event, **fields):
        pass

    info = warning = error = debug


def write_deployment(folder, proxies, slices, workers):
    """Writes a deployment with one manager to `folder`; returns its path and the DeploymentFile."""
    ports = iter(free_ports(proxies + 2))
    zones = ["a", "b", "c"]
    classes = [
        {"name": "look-up", "quoted_s": 1.2, "client_timeout_s": 3.0, "repeat": "safe"},
        {"name": "order", "quoted_s": 1.2, "client_timeout_s": 4.0, "utility": 3.0, "repeat": "keyed", "dedup_s": 4.0},
    ]
    setup = DeploymentFile.model_validate(
        {
            "zones": zones,
            "slices": slices,
            "classes": classes,
            "store": "store",
            "managers": [{"name": "manager-0", "zone": "a", "listen": {"port": next(ports)}}],
            "proxies": [
                {
                    "name": f"proxy-{k}",
                    "zone": zones[k % 3],
                    "agent": {"port": next(ports)},
                    "folder": f"proxies/{k}",
                    "usual_per_s": 6.0,
                }
                for k in range(proxies)
            ],
            "worker_list": {"listen": {"port": next(ports)}, "wait_s": 5.0},
            "channel": {"lines_per_s": 8000.0, "queue_lines": 8000.0, "transit_s": 0.1, "transit_most_s": 0.5},
            "rules": {"drain_grace_s": 2.0},
            "reports": {"period_s": 0.5, "lines_per_s": 500.0},
            "flush": False,
        }
    )
    path = folder / "deployment.json"
    path.write_text(setup.model_dump_json())
    return path, setup


class ReportGenerator:
    """Makes the load reports of a proxy with an equal part of 710 transactions per second.

    Slices are drawn at random, workers by the weights of the current tables.
    """

    def __init__(self, reader, setup, zone, seed):
        self.reader, self.setup, self.zone, self.rng = reader, setup, zone, Random(seed)

    def __call__(self, manager):
        """Returns a LoadStatsRequest for `manager` that covers one reporting period."""
        tries_by_worker, demand = {}, {}
        for _ in range(round(710 / len(self.setup.proxies) * self.setup.reports.period_s) + 1):
            slice_index = self.rng.randrange(self.setup.slices)
            entry = self.reader.tables.get(slice_index)
            count = demand.setdefault((slice_index, self.rng.choice(("look-up", "look-up", "order"))), [0, 0, 0])
            count[0] += 1
            lines = [line for line in entry[0].lines if line.worker not in entry[1]] if entry else []
            if lines:
                line = self.rng.choices(lines, [line.weight for line in lines])[0]
                sums = tries_by_worker.setdefault(line.worker, [0, 0, 0.0, {"utilization": 0.5, "throughput": 9.0}])
                sums[0], sums[2] = sums[0] + 1, sums[2] + 250_000
        return load_stats_request("proxy", self.zone, tries_by_worker, demand, round(self.setup.reports.period_s * 1e6))


DRAINED_WORKER = "worker-7"


def record_release(reader, folder):
    """Reads the tables after a swap, as a proxy does.

    While DRAINED_WORKER has no usable line, the file `let-go` in `folder` holds the time in us since when.
    """
    reader.poll()
    left_file, usable = (
        os.path.join(folder, "let-go"),
        any(
            line.worker == DRAINED_WORKER and DRAINED_WORKER not in entry[1]
            for entry in reader.tables.values()
            for line in entry[0].lines
        ),
    )
    if usable and os.path.exists(left_file):
        os.unlink(left_file)
    elif not usable and not os.path.exists(left_file):
        Path(left_file).write_text(str(monotonic_us()))


def wait_for_release_ms(loop, setup, folder, drain_start_us, seconds):
    """Returns the ms from `drain_start_us` until the last proxy released the drained worker.

    Waits up to `seconds`; None if a proxy has not released the worker by then.
    """
    deadline_us, left_files = (
        loop.now() + round(seconds * 1e6),
        [folder / proxy.folder / "let-go" for proxy in setup.proxies],
    )
    while loop.now() < deadline_us and not all(left_file.exists() for left_file in left_files):
        loop.run(loop.now() + 50_000)
    return (
        max(int(left_file.read_text()) - drain_start_us for left_file in left_files) / 1000
        if all(left_file.exists() for left_file in left_files)
        else None
    )


def run_agents(path, first, agent_count, send_reports=True):
    """Runs a process of `agent_count` agents, from proxy number `first` on, until its standard input is closed."""
    setup, loop = read_deployment(path), Loop()
    for proxy in setup.proxies[first : first + agent_count]:
        folder = str(Path(path).parent / proxy.folder)
        os.makedirs(folder, exist_ok=True)
        reader = TableReader(folder)
        generator = ReportGenerator(reader, setup, proxy.zone, proxy.name)
        name, sequence_numbers = proxy.name, count()

        def report(manager, generator=generator, name=name, sequence_numbers=sequence_numbers):
            """Returns a report with the name of the proxy, a sequence number and the time of sending."""
            data = generator(manager)
            data["node"]["id"] = name
            data["node"]["metadata"] = {"life": "1", "sequence": next(sequence_numbers), "sent_us": loop.now()}
            return data

        FileAgent(
            loop,
            setup,
            proxy,
            folder,
            InlineCalls(loop, Disk(flush=False)),
            SilentLog(),
            on_swap=lambda reader=reader, folder=folder: record_release(reader, folder),
            load_stats=report if send_reports else None,
        )
    print("ready", flush=True)
    os.set_blocking(0, False)

    def stop_with_parent():
        """Stops the loop when standard input is closed; runs every 200 ms."""
        loop.after(200_000, stop_with_parent)
        try:
            if os.read(0, 1) == b"":
                loop.stop()
        except BlockingIOError:
            pass

    stop_with_parent()
    loop.run()


def cpu_s(pid):
    """Returns the CPU time of a process, user and system, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def rss_mb(pid):
    """Returns the peak resident memory of a process in MiB; None if it is not known."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM"):
            return round(int(line.split()[1]) / 1024, 1)
    return None


def measure(folder, proxies, slices, workers, seconds):
    """Runs one manager with this number of proxies, slices and workers; returns the figures as a dict."""
    path, setup = write_deployment(folder, proxies, slices, workers)
    loop = Loop()
    probes = [Server(loop, ("127.0.0.1", 0), lambda request: request.respond(200)) for _ in range(workers)]
    specs = [
        WorkerSpec(
            f"worker-{k}", "127.0.0.1", probes[k].address[1], "abc"[k % 3], k % 9, 4, 1.0, 64, 0.3, 10_000_000, 0, 0
        )
        for k in range(workers)
    ]
    write_earlier_history(folder, specs, slices)
    worker_list = WorkerListService(loop, setup, specs, Journal(loop), 0)
    processes = []
    try:
        for first in range(0, proxies, AGENTS_PER_PROCESS):
            processes.append(
                subprocess.Popen(
                    [sys.executable, "-m", "benchmarks.size", "--agents", str(path), "--first", str(first)],
                    stdin=subprocess.PIPE,
                    stdout=subprocess.PIPE,
                )
            )
        for process in processes:
            process.stdout.readline()
        log = open(folder / "manager.log", "wb")
        manager = subprocess.Popen(
            [sys.executable, "-m", "ospreyrouter", "manager", str(path), "--name", "manager-0", "--seed", "1"],
            stderr=log,
            stdout=subprocess.DEVNULL,
        )
        processes.append(manager)
        readers = [TableReader(str(folder / proxy.folder)) for proxy in setup.proxies]
        started_us = loop.now()

        def settled():
            """Whether every proxy has every table, each with at least one line."""
            for reader in readers:
                reader.poll()
                if len(reader.tables) < slices or not all(entry[0].lines for entry in reader.tables.values()):
                    return False
            return True

        while not settled() and loop.now() - started_us < 60_000_000:
            loop.run(loop.now() + 100_000)
        all_tables_s = (loop.now() - started_us) / 1e6
        loop.run(loop.now() + 4_000_000)
        cpu, cpu_from_us = cpu_s(manager.pid), loop.now()
        loop.run(loop.now() + round(seconds * 1e6))
        cpu = (cpu_s(manager.pid) - cpu) / ((loop.now() - cpu_from_us) / 1e6)
        drain_start_us = loop.now()
        worker_list.control("state", workers=[DRAINED_WORKER], state="draining", now=True)
        drain_ms = wait_for_release_ms(loop, setup, folder, drain_start_us, 15)
        rollback_figures = roll_back_all(loop, setup, readers)
        memory_mb = rss_mb(manager.pid)
        manager.terminate()
        manager.wait(10)
        log_records = [
            orjson.loads(line) for line in (folder / "manager.log").read_bytes().splitlines() if line.startswith(b"{")
        ]
        figures = next(record for record in log_records if record["event"] == "figures")
        stopped = next(record for record in log_records if record["event"] == "stopped")
        return {
            "proxies": proxies,
            "slices": slices,
            "workers": workers,
            "cpu_part": round(cpu, 3),
            "rss_mb": memory_mb,
            "longest_turn_ms": stopped["longest_turn_us"] / 1000,
            "mb_pushed": round(figures.get("bytes pushed", 0) / 1e6, 2),
            "pushes": figures.get("pushes", 0),
            "lines_longest": figures["lines_longest"],
            "all_tables_s": round(all_tables_s, 1),
            "drain_ms": drain_ms,
            "joins_put_off": figures.get("joins put off", 0),
            "reports": figures["reports"].get("reports", 0),
            "refused": figures["refused"],
        } | rollback_figures
    finally:
        for process in processes:
            if process.poll() is None:
                process.terminate()
                process.wait(10)


def write_earlier_history(folder, specs, slices):
    """Writes two versions of every slice, as of an earlier process; the first one has other workers than later ones."""
    store = TableStore(str(folder / "store"), "manager-0", InlineCalls(Loop(), Disk(flush=False)))
    for slice_index in range(slices):
        previous = None
        for version in range(2):
            picked = [specs[(5 * slice_index + 7 * k + 3 * version) % len(specs)] for k in range(5)]
            lines = {
                spec.name: Line(spec.name, spec.host, spec.port, spec.zone, 0.2 + 0.1 * k)
                for k, spec in enumerate(picked)
            }
            previous = next_version(previous, slice_index, "manager-0", 1, tuple(lines[name] for name in sorted(lines)))
            store.append([previous], lambda error: None)


def roll_back_all(loop, setup, readers):
    """Rolls all slices back to the first version of the earlier process; returns the figures as a dict."""
    loop.run(loop.now() + 3_000_000)
    responses, started_us = [], loop.now()
    Client(loop, setup.managers[0].listen.pair).send_request(
        "POST",
        "/v3/rollback",
        [],
        orjson.dumps({"to": "1.1", "key": "size", "hold_s": 30}),
        responses.append,
        30_000_000,
    )
    while not responses:
        loop.run(loop.now() + 5_000)
    response_ms = (loop.now() - started_us) / 1000
    slices = orjson.loads(responses[0].body).get("slices", {})
    expected_versions = {
        int(slice_index): result["version"] for slice_index, result in slices.items() if "version" in result
    }

    def arrived(reader):
        """Whether the reader has the expected version of every slice, or a later one."""
        # The policy may have published newer versions since: that version or a later one counts.
        return expected_versions and all(
            reader.tables[slice_index][0].version >= tuple(int(part) for part in version.split("."))
            for slice_index, version in expected_versions.items()
        )

    return {
        "rolled_back": len(expected_versions),
        "rollback_answer_ms": round(response_ms),
        "rollback_last_file_ms": wait_for_readers_ms(loop, readers, started_us, 60, arrived),
    }


def wait_for_readers_ms(loop, readers, started_us, seconds, is_up_to_date):
    """Returns the ms from `started_us` until `is_up_to_date(reader)` was true once for every reader.

    Waits up to `seconds`; None if a reader was not up to date by then. This is an upper bound: reading 120 sets of
    files takes this process 1 s or more.
    """
    deadline_us, waiting_readers = loop.now() + round(seconds * 1e6), list(readers)
    while waiting_readers and loop.now() < deadline_us:
        loop.run(loop.now() + 5_000)
        for reader in list(waiting_readers):
            reader.poll()
            if is_up_to_date(reader):
                waiting_readers.remove(reader)
    return None if waiting_readers else (loop.now() - started_us) // 1000


def main():
    """Prints one line per size, then all figures; the exit code is 1 if a proxy did not release the drained worker."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--proxies", type=int, default=120)
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--agents")
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--no-sums", action="store_true")
    options = parser.parse_args()
    if options.agents:
        run_agents(options.agents, options.first, AGENTS_PER_PROCESS, not options.no_sums)
        return 0
    sizes = [(20, 60, 12)] if options.short else [(30, 100, 20), (60, 200, 39), (options.proxies, 400, 78)]
    results = []
    for proxies, slices, workers in sizes:
        with tempfile.TemporaryDirectory(dir="/dev/shm" if os.access("/dev/shm", os.W_OK) else None) as folder:
            results.append(measure(Path(folder), proxies, slices, workers, 3 if options.short else 15))
        print(json.dumps(results[-1]))
    print(json.dumps(results[-1] | {"smaller": results[:-1]}))
    return 0 if results[-1]["drain_ms"] is not None else 1


if __name__ == "__main__":
    sys.exit(main())
