"""Measures both fronts: the time from a drain in the worker list to the last balancer and to the last proxy's file.

    python -m benchmarks.fronts [--short]

One manager runs as a process with both fronts. Followers of the SASP front run in processes of up to 100, with and
without a tenth of them that registers and never reads; 12 file agents run at the same time. The shares of the workers
that followers pick are counted and compared with the weights that the manager sent. The last line of the output is one
JSON object.
"""

import argparse
import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path

from benchmarks.size import rss_mb, write_deployment
from ospreyrouter.client import SaspFollower
from ospreyrouter.files import TableReader
from ospreyrouter.loop import Loop
from ospreyrouter.rehearse.day import WorkerSpec
from ospreyrouter.rehearse.processes import free_ports
from ospreyrouter.sasp import Group, LbStateRequest, Member, RegistrationRequest, encode
from ospreyrouter.standins import Journal, WorkerListService
from ospreyrouter.web import Server

SLICES, WORKERS, FOLLOWERS_PER_PROCESS, GROUPS = 40, 20, 100, 8


def run_followers(plan):
    """Runs a process of followers: records when each worker left the last slice of each follower.

    Commands on standard input, one per line: `known` prints the number of followers that have weights for all their
    slices, a port prints when the worker on that port left each follower (us, or null), and `shares` prints the largest
    error of the shares of 20,000 picks. The process ends when its standard input is closed.
    """
    loop, plan = Loop(), json.loads(plan)
    workers = [tuple(worker) for worker in plan["workers"]]
    followers, left_at = [], {}

    def watch(balancer, follower):
        """Returns a subscriber that records when `follower` has no slice left with each worker."""

        def on_change(slice_index, weights):
            for worker in workers:
                if not any(worker in follower.tables.get(other_slice, ()) for other_slice in follower.groups):
                    left_at.setdefault((balancer, worker[1]), loop.now())
                else:
                    left_at.pop((balancer, worker[1]), None)

        return on_change

    for balancer in range(plan["first"], plan["first"] + plan["count"]):
        slice_indices = {(balancer * 3 + offset * 5) % SLICES: workers for offset in range(GROUPS)}
        if balancer % 10 == 9 and plan["deaf"]:

            def on_connected(stream, reason, balancer=balancer, slice_indices=slice_indices):
                if stream is not None:
                    stream.start(None, None)
                    stream.pause()
                    groups = tuple(
                        Group(f"lb-{balancer}", f"slice-{slice_index}", tuple(Member(*worker) for worker in workers))
                        for slice_index in slice_indices
                    )
                    stream.write(encode(LbStateRequest(f"lb-{balancer}"), 1) + encode(RegistrationRequest(groups), 2))

            loop.connect(tuple(plan["address"]), 5_000_000, on_connected)
            continue
        follower = SaspFollower(loop, [tuple(plan["address"])], f"lb-{balancer}", slice_indices, seed=balancer)
        follower.subscribe(watch(balancer, follower))
        followers.append((balancer, follower))
    print("ready", flush=True)
    os.set_blocking(0, False)
    results = []

    def handle_commands():
        """Answers the commands that have arrived on standard input; runs every 50 ms."""
        loop.after(50_000, handle_commands)
        try:
            command = os.read(0, 100)
        except BlockingIOError:
            return
        if command == b"":
            loop.stop()
        elif command.strip() == b"known":
            print(
                json.dumps(
                    sum(
                        all(follower.weights(slice_index) for slice_index in follower.groups)
                        for _, follower in followers
                    )
                ),
                flush=True,
            )
        elif command.strip().isdigit():
            port = int(command)
            print(json.dumps([left_at.get((balancer, port)) for balancer, _ in followers]), flush=True)
        elif command.strip() == b"shares":
            max_share_error = 0.0
            for _, follower in followers[:5]:
                for slice_index in list(follower.groups)[:2]:
                    weights, counts = follower.weights(slice_index), {}
                    for _ in range(20_000):
                        worker = follower.pick(slice_index)
                        counts[worker] = counts.get(worker, 0) + 1
                    max_share_error = max(
                        max_share_error,
                        max(
                            abs(counts.get(worker, 0) / 20_000 - weight / sum(weights.values()))
                            for worker, weight in weights.items()
                        ),
                    )
            print(json.dumps(max_share_error), flush=True)

    handle_commands()
    loop.run()
    return results


def percentile(values, part):
    """Returns the value below which the fraction `part` of `values` lies; None if there are none."""
    values = sorted(values)
    return values[min(len(values) - 1, int(part * len(values)))] if values else None


def measure(folder, balancers, with_stalled):
    """Runs one manager with `balancers` followers, drains three workers and returns the figures as a dict."""
    path, setup = write_deployment(folder, 12, SLICES, WORKERS)
    data = json.loads(path.read_text())
    data["managers"][0]["sasp"] = {"host": "127.0.0.1", "port": free_ports(1)[0]}
    path.write_text(json.dumps(data))
    loop, processes = Loop(), []
    probes = [Server(loop, ("127.0.0.1", 0), lambda request: request.respond(200)) for _ in range(WORKERS)]
    specs = [
        WorkerSpec(
            f"worker-{k}", "127.0.0.1", probes[k].address[1], "abc"[k % 3], k % 4, 4, 1.0, 64, 0.3, 10_000_000, 0, 0
        )
        for k in range(WORKERS)
    ]
    worker_list = WorkerListService(loop, setup, specs, Journal(loop), 0)
    try:

        def start_process(*arguments):
            """Starts a module of this interpreter and waits for its first line, `ready`."""
            process = subprocess.Popen(
                [sys.executable, "-m", *arguments], stdin=subprocess.PIPE, stdout=subprocess.PIPE
            )
            processes.append(process)
            process.stdout.readline()
            return process

        start_process("benchmarks.size", "--agents", str(path), "--first", "0")
        with open(folder / "manager.log", "wb") as log:
            manager = subprocess.Popen(
                [sys.executable, "-m", "ospreyrouter", "manager", str(path), "--name", "manager-0", "--seed", "1"],
                stderr=log,
                stdout=subprocess.DEVNULL,
            )
        processes.append(manager)
        readers = [TableReader(str(folder / proxy.folder)) for proxy in setup.proxies]
        deadline_us = loop.now() + 40_000_000
        while loop.now() < deadline_us and not all(reader.poll() or len(reader.tables) == SLICES for reader in readers):
            loop.run(loop.now() + 200_000)
        loop.run(loop.now() + 4_000_000)
        address = [data["managers"][0]["sasp"]["host"], data["managers"][0]["sasp"]["port"]]
        plan = {"address": address, "workers": [[server.host, server.port] for server in specs], "deaf": with_stalled}
        followers = [
            start_process(
                "benchmarks.fronts",
                "--followers",
                json.dumps(plan | {"first": first, "count": min(FOLLOWERS_PER_PROCESS, balancers - first)}),
            )
            for first in range(0, balancers, FOLLOWERS_PER_PROCESS)
        ]

        def send_command(command, wait_us=200_000):
            """Waits `wait_us`, sends one command to every process of followers and returns their responses."""
            loop.run(loop.now() + wait_us)
            for process in followers:
                process.stdin.write(f"{command}\n".encode())
                process.stdin.flush()
            responses = []
            for process in followers:
                os.set_blocking(process.stdout.fileno(), False)
                line = b""
                while not line.endswith(b"\n"):
                    loop.run(loop.now() + 5_000)
                    line += process.stdout.readline() or b""
                responses.append(json.loads(line))
            return responses

        expected = balancers - (balancers // 10 if with_stalled else 0)
        deadline_us = loop.now() + 30_000_000
        while sum(send_command("known")) < expected and loop.now() < deadline_us:
            pass
        known, drain_ms, files_ms = sum(send_command("known")), [], []
        for worker_index in (3, 8, 13):
            spec = specs[worker_index]
            started_us = loop.now()
            worker_list.control("state", workers=[spec.name], state="draining", now=True)
            file_ms = None
            while file_ms is None and loop.now() < started_us + 6_000_000:
                loop.run(loop.now() + 4_000)
                for reader in readers:
                    reader.poll()
                if not any(
                    line.worker == spec.name and spec.name not in entry[1]
                    for reader in readers
                    for entry in reader.tables.values()
                    for line in entry[0].lines
                ):
                    file_ms = (loop.now() - started_us) / 1000
            files_ms.append(file_ms)
            left_us = [left for response in send_command(spec.port, 2_500_000) for left in response]
            drain_ms += [None if left is None else max(0, left - started_us) / 1000 for left in left_us]
            worker_list.control("state", workers=[spec.name], state="ready", now=True)
            loop.run(loop.now() + 1_000_000)
        share_error, memory_mb = max(send_command("shares")), rss_mb(manager.pid)
        manager.terminate()
        manager.wait(10)
        reached_ms = [value for value in drain_ms if value is not None]
        return {
            "balancers": balancers,
            "never_read": balancers // 10 if with_stalled else 0,
            "known": known,
            "p50_ms": round(percentile(reached_ms, 0.5) or 0, 1),
            "p99_ms": round(percentile(reached_ms, 0.99) or 0, 1),
            "never_told": len(drain_ms) - len(reached_ms),
            "file_front_ms": [round(value, 1) if value else None for value in files_ms],
            "share_error_max": round(share_error, 4),
            "rss_mb": memory_mb,
        }
    finally:
        for process in processes:
            if process.poll() is None:
                process.terminate()
                process.wait(10)


def main():
    """Prints one line per size, then all figures; the exit code is 1 if a follower missed a drain."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--followers")
    options = parser.parse_args()
    if options.followers:
        run_followers(options.followers)
        return 0
    results = []
    for balancers, with_stalled in (
        ((10, False),)
        if options.short
        else ((10, False), (10, True), (100, False), (100, True), (500, False), (500, True))
    ):
        with tempfile.TemporaryDirectory(dir="/dev/shm" if os.access("/dev/shm", os.W_OK) else None) as folder:
            results.append(measure(Path(folder), balancers, with_stalled))
        print(json.dumps(results[-1]))
    by_case = lambda key: {  # noqa: E731
        f"sasp/{row['balancers']}{'+deaf' if row['never_read'] else ''}": row[key] for row in results
    }
    files_ms = [value for result in results for value in result["file_front_ms"] if value is not None]
    print(
        json.dumps(
            {
                "p50_ms": by_case("p50_ms") | {"files/12": percentile(files_ms, 0.5)},
                "p99_ms": by_case("p99_ms") | {"files/12": percentile(files_ms, 0.99)},
                "sizes": results,
                "stalled_others": sum(result["never_told"] for result in results),
                "share_error_max": max(result["share_error_max"] for result in results),
            }
        )
    )
    return 0 if not sum(result["never_told"] for result in results) else 1


if __name__ == "__main__":
    sys.exit(main())
