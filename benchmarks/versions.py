"""Measures 100,000 versions of 400 slices: pushed bytes, apply rate, recovery time, disk space and crash safety.

    python -m benchmarks.versions [--versions 100000] [--short]

Deltas are made as by a manager and applied as by a file agent; some are altered, repeated or lack their base. The store
is killed at every write. The last line of the output is one JSON object.
"""

import argparse
import json
import os
import sys
import tempfile
import time
from importlib import resources
from random import Random

from ospreyrouter.files import Ledger, Rejected, TableReader
from ospreyrouter.files.disk import Disk
from ospreyrouter.helper.work import Work
from ospreyrouter.rehearse import play_virtually
from ospreyrouter.rehearse.day import Day
from ospreyrouter.standins.failing_disk import FailingDisk, Killed
from ospreyrouter.store import TableStore
from ospreyrouter.versions import VersionHistory, delta_is_cheaper, make_delta, next_version
from ospreyrouter.xds.documents import Line, Push, parse_push, push_body

SLICES, WORKERS, LINES_PER_TABLE = 400, 78, 6


class DirectCalls:
    """Executes disk operations at once in this process; an OSError becomes the `error` of `on_done`."""

    def __init__(self, disk):
        self.work = Work(disk, lock=False)

    def submit(self, operation, arguments, on_done):
        try:
            result, error = getattr(self.work, operation)(*arguments), None
        except OSError as os_error:
            result, error = None, os_error
        on_done(result, error)


def digests_by_slice(tables):
    """Returns {slice: digest}. A digest does not depend on the order of the lines of a table."""
    return {slice_index: table.digest for slice_index, table in tables.items()}


def worker_line(worker, weight):
    """Returns the line of worker number `worker` with this weight."""
    return Line(f"worker-{worker}", "127.0.0.1", 9000 + worker, "abc"[worker % 3], weight)


def next_lines(table, rng):
    """Returns lines for the next version: one or two lines removed, replaced or added; the first version has six."""
    lines_by_worker = {line.worker: line for line in table.lines} if table else {}
    if not lines_by_worker:
        return [worker_line(worker, 0.16) for worker in sorted(rng.sample(range(WORKERS), LINES_PER_TABLE))]
    for _ in range(rng.randint(1, 2)):
        if len(lines_by_worker) > 3 and rng.random() < 0.4:
            del lines_by_worker[rng.choice(sorted(lines_by_worker))]
        else:
            line = worker_line(rng.randrange(WORKERS), round(rng.uniform(0.01, 1.0), 2))
            lines_by_worker[line.worker] = line
    return [lines_by_worker[name] for name in sorted(lines_by_worker)]


def measure_deltas(versions, seed):
    """Measures pushed bytes with and without deltas, the apply rate, and how faulty pushes are repaired."""
    rng, current_tables, ledger = Random(seed), {}, Ledger()
    sizes, apply_s, delta_count, whole_reads, rejected = {"delta": 0, "whole": 0}, 0.0, 0, 0, 0
    for number in range(versions):
        slice_index = rng.randrange(SLICES)
        old = current_tables.get(slice_index)
        new = current_tables[slice_index] = next_version(old, slice_index, "manager-0", 1, next_lines(old, rng))
        delta = make_delta(old, new) if old else None
        sent = delta if delta is not None and delta_is_cheaper(delta, new) else new
        delta_count += sent is not new
        body = push_body(Push("manager-0", 1, number + 1, 1, [sent], {}, {}))
        sizes["delta"] += len(body)
        sizes["whole"] += len(push_body(Push("manager-0", 1, number + 1, 1, [new], {}, {})))
        if rng.random() < 0.002:
            continue  # the push is lost: the next delta of this slice has no base
        push = parse_push(body, "manager-0")
        if rng.random() < 0.002 and sent is not new and push.tables[0].changed:
            line = push.tables[0].changed[0]
            push.tables[0] = type(sent)(
                *(getattr(push.tables[0], name) for name in ("slice", "manager", "version", "base", "target")),
                (Line(line.worker, line.host, line.port, line.zone, line.weight + 1),),
                push.tables[0].removed,
            )
        started_at = time.perf_counter()
        try:
            missing = ledger.apply_push(push)[2]
        except Rejected:
            missing, rejected = {slice_index}, rejected + 1
        for slice_index in missing:
            whole_reads += 1
            ledger.apply_read("manager-0", 1, [current_tables[slice_index]])
        apply_s += time.perf_counter() - started_at
        if rng.random() < 0.01:
            try:
                ledger.apply_push(push)  # a duplicate of the push
            except Rejected:
                pass
    repaired = 0
    for slice_index, table in current_tables.items():
        if slice_index not in ledger.tables or ledger.tables[slice_index].digest != table.digest:
            # The next audit would find the stale table and request it.
            repaired += ledger.apply_read("manager-0", 1, [table]) == {slice_index}
    wrong_tables = sum(
        ledger.tables[slice_index].digest != table.digest for slice_index, table in current_tables.items()
    )
    return {
        "versions": versions,
        "delta_part": round(delta_count / versions, 3),
        "mb_with_deltas": round(sizes["delta"] / 1e6, 1),
        "mb_whole": round(sizes["whole"] / 1e6, 1),
        "applied_per_s": round(versions / apply_s),
        "whole_reads": whole_reads,
        "refused_as_altered": rejected,
        "mended_by_audit": repaired,
        "wrong_final_tables": wrong_tables,
    }


def measure_recovery(versions, seed, folder):
    """Measures the recovery time and the size of the log by length of history and after compaction.

    Returns the figures as a dict; `store_failures` counts failed writes and recoveries with wrong tables.
    """
    rng, current_tables, recovery, wall_clock_us = Random(seed), {}, {}, [0]
    store = TableStore(
        folder,
        "manager-0",
        DirectCalls(Disk(flush=False)),
        history=VersionHistory(64, 10**18),
        wall_clock=lambda: wall_clock_us[0],
    )
    checkpoints = [versions // 10, versions // 3, versions]
    failures, batch = [], []
    for number in range(1, versions + 1):
        slice_index = rng.randrange(SLICES)
        current_tables[slice_index] = next_version(
            current_tables.get(slice_index),
            slice_index,
            "manager-0",
            1,
            next_lines(current_tables.get(slice_index), rng),
        )
        batch.append(current_tables[slice_index])
        wall_clock_us[0] += 10_000
        if len(batch) == 20 or number in checkpoints:
            # A manager writes all versions of a turn at once.
            store.append(batch, lambda error: error and failures.append(error))
            batch = []
        if number in checkpoints:
            started_at = time.perf_counter()
            recovered = TableStore(folder, "manager-1", None, history=VersionHistory(10**9, 10**18))
            recovery[str(number)] = {
                "recovery_s": round(time.perf_counter() - started_at, 2),
                "mb": round(os.path.getsize(store.path) / 1e6, 1),
            }
            if digests_by_slice(recovered.newest) != digests_by_slice(current_tables):
                failures.append("newest differs")
    store.compact()
    started_at = time.perf_counter()
    recovered = TableStore(folder, "manager-1", None, history=VersionHistory(10**9, 10**18))
    after = {
        "recovery_s": round(time.perf_counter() - started_at, 2),
        "mb": round(os.path.getsize(store.path) / 1e6, 1),
        "versions": len(recovered.history.by_digest),
    }
    if (
        digests_by_slice(recovered.newest) != digests_by_slice(current_tables)
        or recovered.damage_reports
        or recovered.history.find_inconsistencies()
    ):
        failures.append("after compaction")
    return {"recovery": recovery, "after_compaction": after, "store_failures": len(failures)}


def crash_at_every_write(rounds, seed):
    """Crashes at every write of a run of appends and compactions, with none, half or all of the write done.

    Every acknowledged version must be recovered, and a new process must be able to append. Returns the number of
    crash points and of versions that were lost, with damage reports counted as losses.
    """
    crash_points = lost = 0
    for crash_mode in ("kill", "half", "after"):
        calls_before_crash = 0
        while True:
            rng, current_tables, acknowledged, completed = Random(seed), {}, {}, True
            with tempfile.TemporaryDirectory(dir="/dev/shm" if os.access("/dev/shm", os.W_OK) else None) as folder:
                try:
                    store = TableStore(
                        folder,
                        "manager-0",
                        DirectCalls(FailingDisk(calls_before_crash, crash_mode)),
                        history=VersionHistory(3, 10**18),
                    )
                    for round_number in range(rounds):
                        tables = []
                        for slice_index in rng.sample(range(5), 2):
                            current_tables[slice_index] = next_version(
                                current_tables.get(slice_index),
                                slice_index,
                                "manager-0",
                                1,
                                next_lines(current_tables.get(slice_index), rng),
                            )
                            tables.append(current_tables[slice_index])
                        store.append(tables, lambda error: None)
                        acknowledged.update({table.slice: table for table in tables})
                        if round_number % 5 == 4:
                            store.compact()
                except Killed:
                    completed = False
                recovered = TableStore(
                    folder, "manager-0", DirectCalls(Disk(flush=False)), history=VersionHistory(3, 10**18)
                )
                for slice_index, table in acknowledged.items():
                    recovered_table = recovered.newest.get(slice_index)
                    lost += recovered_table is None or recovered_table.version < table.version
                lost += len(recovered.damage_reports)
                next_table = next_version(recovered.newest.get(0), 0, "manager-0", 2, next_lines(None, rng))
                recovered.append([next_table], lambda error: None)
                lost += TableStore(folder, "manager-2", None).newest[0].digest != next_table.digest
            if completed:
                break
            crash_points, calls_before_crash = crash_points + 1, calls_before_crash + 1
    return {"crash_points": crash_points, "lost_versions": lost}


def measure_rollback(seed):
    """Measures the effect of a rollback after a wrong worker list, which empties half the tables (simulated).

    The list reports half the workers as gone for 8 s. After it is corrected, the operator rolls back or does not.
    Returns {"with" or "without": figures}; `back_s` is the time in seconds from the correction until the service is
    back within 0.02 of its usual value for two seconds, or None.
    """
    result = {}
    for with_rollback in (False, True):
        troubles = [{"what": "hidden", "at_s": 10.0, "for_s": 8.0, "workers": list(range(0, 16, 2))}]
        troubles += [{"what": "rollback", "at_s": 18.8, "for_s": 10.0, "back_s": 9.5}] if with_rollback else []
        day = Day.model_validate(
            {
                "name": "wrong list",
                "seconds": 40.0,
                "seed": seed,
                "slices": 64,
                "flush": False,
                "classes": [{"name": "look-up", "quoted_s": 1.0, "client_timeout_s": 3.0, "repeat": "safe"}],
                "fleet": {
                    "zones": ["a", "b", "c"],
                    "managers": 2,
                    "proxies": 4,
                    "workers": 16,
                    "cores": 3,
                    "queue": 40,
                    "list_notice_s": 0.2,
                },
                "traffic": {
                    "per_s": 250.0,
                    "shares": {"look-up": 1.0},
                    "work_ms": {"look-up": 160.0},
                    "keys": 400,
                    "retries": 2,
                },
                "rules": {"gone_binds": True, "drain_grace_s": 2.0},
                "troubles": troubles,
                "channel": {"lines_per_s": 3000.0, "queue_lines": 3000.0, "transit_s": 0.03},
            }
        )
        with tempfile.TemporaryDirectory(dir="/dev/shm" if os.access("/dev/shm", os.W_OK) else None) as folder:
            audit_result, environment = play_virtually(day, folder)
        start = min(record["asked"] for record in environment.journal_rows if record["what"] == "transaction")
        counts_by_second = {}
        for record in environment.journal_rows:
            if record["what"] == "transaction":
                counts = counts_by_second.setdefault((record["asked"] - start) // 1_000_000, [0, 0])
                counts[0] += 1
                counts[1] += record["how"] == "answered" and record["took"] <= 1_000_000
        fulfilled_by_second = {
            second: fulfilled / requested for second, (requested, fulfilled) in counts_by_second.items()
        }
        usual_service = sum(fulfilled_by_second[second] for second in range(4, 10)) / 6
        back_after_s = next(
            (
                second - 18
                for second in range(18, 39)
                if all(
                    fulfilled_by_second.get(later_second, 1.0) >= usual_service - 0.02
                    for later_second in (second, second + 1)
                )
            ),
            None,
        )
        result["with" if with_rollback else "without"] = {
            "back_s": back_after_s,
            "usual": round(usual_service, 3),
            "worst": round(min(fulfilled_by_second[second] for second in range(10, 22)), 3),
            "after": round(sum(fulfilled_by_second[second] for second in range(19, 29)) / 10, 3),
            "rules_broken": sum(rule["broken"] for rule in audit_result["rules"].values()),
            "rolled": sum(
                record["what"] == "rollback" and record["status"] == 200 for record in environment.journal_rows
            ),
        }
    return result


def run_bad_days():
    """Runs the bad day in virtual time with whole tables, with deltas, and with deltas through relays that tamper."""
    plan, result = Day.model_validate_json((resources.files("ospreyrouter.rehearse") / "bad-day.json").read_bytes()), {}
    for name, changes in (("whole", {"deltas": False}), ("changes", {}), ("tampered", {"tampered": 0.2})):
        with tempfile.TemporaryDirectory(dir="/dev/shm" if os.access("/dev/shm", os.W_OK) else None) as folder:
            audit_result, environment = play_virtually(plan.model_copy(update=changes), folder)
            wrong_tables, published = 0, {}
            managers = [service for name, service in environment.services.items() if name.startswith("manager")]
            for manager in managers:
                published |= manager.table_store.history.by_digest
            for proxy in environment.setup.proxies:
                reader = TableReader(os.path.join(folder, proxy.folder))
                reader.poll()
                wrong_tables += sum(entry[0].digest not in published for entry in reader.tables.values())
        push_delays_us = sorted(
            record["t"] - int(record["ordered"]) for record in environment.journal_rows if record["what"] == "pushed"
        )
        result[name] = {
            "service": audit_result["service"],
            "rules_broken": sum(rule["broken"] for rule in audit_result["rules"].values()),
            "lines": round(sum(manager.proxies.channel.lines_sent for manager in managers)),
            "kb_pushed": round(sum(manager.counts["bytes pushed"] for manager in managers) / 1000),
            "to_agent_ms_p50": round(push_delays_us[len(push_delays_us) // 2] / 1000, 1),
            "to_agent_ms_p99": round(push_delays_us[len(push_delays_us) * 99 // 100] / 1000, 1),
            "wrong_tables": wrong_tables,
            "tampered": sum(environment.tamper_counts.values()),
        }
    return result


def main():
    """Prints the figures; the exit code is 1 on a wrong final table, a lost version or a failure of the store."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--versions", type=int, default=100_000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--short", action="store_true")
    options = parser.parse_args()
    versions = 5_000 if options.short else options.versions
    result = measure_deltas(versions, options.seed)
    with tempfile.TemporaryDirectory() as folder:
        result |= measure_recovery(versions, options.seed, folder)
    result |= crash_at_every_write(15 if options.short else 60, options.seed)
    result["wrong_list"] = {} if options.short else measure_rollback(options.seed)
    result["bad_days"] = {} if options.short else run_bad_days()
    print(json.dumps(result))
    return 0 if not (result["wrong_final_tables"] or result["lost_versions"] or result["store_failures"]) else 1


if __name__ == "__main__":
    sys.exit(main())
