"""Reports that are wrong, in range or not, must not push over a cold worker or move slices that they don't concern.

A report of 600,000 tries for one slice made all other slices look small beside the bins, which were parts of the total,
so one cold worker was given the slices of three workers that left.
"""

import unittest
from random import Random

from ospreyrouter.interface import ProbeOutcome

from .manager_harness import DRAINING, SECOND, ManagerHarness, entry
from .peers import Caller
from .release_case import PROXIES, SERVERS, ReleaseCase

REPORT_S = 0.5  # between two reports of a collector


class WrongReportToProgram(ReleaseCase):
    slices, lines_per_s, max_queued_lines, grace_ms = 71, 8_300.0, 8_300.0, 2_000

    def test_a_cold_worker_does_not_get_the_slices_of_several_others_after_a_spoilt_count(self):
        self.start_program_with_relay()
        collector = Caller(self.loop, self.listen_address, {"msg": "SOURCE", "az": "a"})
        self.wait_until(lambda: collector.stream)
        count = round(5.0 * PROXIES / (2 * self.slices) * REPORT_S)  # each proxy states 5.0 tries per second
        report = {"msg": "SHARD", "kind": self.name_of_first_class(), "n": count, "bad": 0, "window": 1000 * REPORT_S}

        def run_with_reports(seconds):
            for _ in range(int(seconds / REPORT_S)):
                collector.send(*(report | {"partition": table} for table in range(self.slices)))
                self.run_for(REPORT_S)

        run_with_reports(4)
        collector.send(report | {"partition": 0, "n": 600_000})
        run_with_reports(1)
        leaving, cold = range(1, 7), [f"s-{SERVERS + number}" for number in range(6)]
        for number in leaving:
            self.publish(self.list_entry(SERVERS + number - 1, born_ms=self.now_ms()))
        self.run_for(0.3)  # their probes pass
        self.publish(*(self.list_entry(number, "leaving") for number in leaving))
        run_with_reports(2)
        rules = self.config["settings"]["Rules"]
        max_slices = rules["FallMultiple"] * rules["ColdFrom"] * self.slices / SERVERS  # of a fully loaded fleet
        for name in cold:
            rows = self.relay.slices.values()
            load = sum(row.get(name, 0.0) / sum(row.values()) for row in rows)
            self.assertLessEqual(load, max_slices, name)

    def name_of_first_class(self):
        return self.config["settings"]["Lanes"][0]["Name"]


SLICES, WORKERS, REPLACED, ZONES = 48, 12, 5, 3
TRIES_PER_S, LOAD = 320.0, 0.6  # of all proxies; of a warm worker, as a part of its capacity
SPAN_US = int(REPORT_S * SECOND)


def replaced(report, **values):
    """A report with other values of these fields."""
    names = ("name", "zone", "worker") if report[0] == "tries_reported" else ("name", "slice", "kind")
    names += ("tries", "lost") + (("delay", "span", "load") if report[0] == "tries_reported" else ("span", "zone"))
    return tuple((dict(zip(names, report)) | values).values())


class Day:
    """A day on which five of twelve workers are replaced by cold ones; `change(day, zone, report)` alters its reports.

    `stated_part`: part of their traffic that the proxies state. `peak`: the largest load of a cold worker, as a part of
    the load that makes it fail. `carried`: tries that went to cold workers.
    """

    def __init__(self, seed, change, stated_part=1.0):
        self.rng, self.change, self.peak, self.carried = Random(seed), change, 0.0, 0.0
        self.half_seconds, self.born = 0, {}
        sizes = [self.rng.lognormvariate(0.0, 0.6) for _ in range(SLICES)]
        self.rates = [TRIES_PER_S * size / sum(sizes) for size in sizes]  # tries per second by slice
        self.capacity = TRIES_PER_S / WORKERS / LOAD
        self.harness = ManagerHarness(
            workers=WORKERS,
            slice_count=SLICES,
            rate=stated_part * TRIES_PER_S / 4,
            lines_per_s=20_000.0,
            queue_lines=20_000.0,
            zones=("a", "b", "c"),
        )

    def run(self):
        """Run the day; returns itself."""
        self.step(16)
        for leaving in range(REPLACED):
            cold = WORKERS + leaving
            self.born[cold] = self.harness.now
            self.harness.round(
                ("worker_list_received", False, [entry(cold, started=self.harness.now)]),
                ("probe_completed", cold, ProbeOutcome.PASSED, 0, {}),
            )
            self.harness.round(("worker_list_received", False, [entry(leaving, DRAINING)]), after=0.1)
            self.step(2)
        self.step(6)
        return self

    def step(self, count):
        """Let half seconds pass."""
        for _ in range(count):
            reports = [changed for zone in range(ZONES) for changed in self.reports(zone)]
            self.harness.round(*reports, after=REPORT_S)
            self.half_seconds += 1
            self.measure()

    def reports(self, zone):
        """The reports of a zone for half a second, as changed."""
        load, reports = self.harness.load(dict(enumerate(self.rates))), []
        for table, rate in enumerate(self.rates):
            reports.append(("demand_reported", table, 0, self.sample(rate), 0, SPAN_US, zone))
        for worker, rate in load.items():
            values = {"utilization": rate / self.capacity, "throughput": rate}
            delay_us = 300_000 if rate < self.capacity else 900_000  # 1 s is quoted
            noisy = {name: value * self.rng.uniform(0.9, 1.1) for name, value in values.items()}
            reports.append(("tries_reported", zone, worker, self.sample(rate), 0, delay_us, SPAN_US, noisy))
        return [changed for report in reports for changed in self.change(self, zone, report)]

    def sample(self, rate):
        """A random count of tries in the reports of a zone."""
        return int(rate * REPORT_S / ZONES + self.rng.random())

    def measure(self):
        """Compare the load of each cold worker with the one that makes it fail."""
        setup, load = self.harness.setup, self.harness.load(dict(enumerate(self.rates)))
        for worker, born in self.born.items():
            age = min(1.0, (self.harness.now - born) / setup.cold_us)
            capacity = self.capacity * (setup.cold_share + (1.0 - setup.cold_share) * age)
            self.peak = max(self.peak, load.get(worker, 0.0) / (setup.overload_multiple * capacity))
            self.carried += load.get(worker, 0.0) * REPORT_S


def unchanged(day, zone, report):
    """All reports are right."""
    return [report]


def changed_demand(applies, tries, **values):
    """A change of the reports of demand for which `applies(day, zone, slice)` is true; `tries`: of the right count."""

    def change(day, zone, report):
        if report[0] != "demand_reported" or not applies(day, zone, report[1]):
            return [report]
        return [replaced(report, tries=tries(report[3]), **values)]

    return change


def once(day, zone, table):
    return (day.half_seconds, zone, table) == (14, 0, 3)


class WrongDemandTest(unittest.TestCase):
    def test_no_wrong_count_of_tries_gives_a_cold_worker_more_than_it_can_do(self):
        for name, change in {
            "far out of range, once": changed_demand(once, lambda tries: 600_000),
            "out of range, once": changed_demand(once, lambda tries: 20_000),
            "as much as all proxies send, always, in two zones": changed_demand(
                lambda day, zone, table: zone < 2 and table == 3, lambda tries: int(TRIES_PER_S)
            ),
            "the same for half of the slices": changed_demand(
                lambda day, zone, table: zone < 2 and table % 2, lambda tries: int(TRIES_PER_S)
            ),
            "ten times, half of the slices of a zone": changed_demand(
                lambda day, zone, table: zone == 0 and table % 2, lambda tries: 10 * tries
            ),
            "none, half of the slices of a zone": changed_demand(
                lambda day, zone, table: zone == 0 and table % 2, lambda tries: 0
            ),
            "a fifth, half of the slices": changed_demand(lambda day, zone, table: table % 2, lambda tries: tries // 5),
        }.items():
            for seed in (1, 2, 3):
                with self.subTest(name, seed=seed):
                    self.assertLess(Day(seed, change).run().peak, 1.0)

    def test_cold_workers_carry_as_much_as_without_a_limit_of_their_own_if_reports_are_right(self):
        for seed in (1, 2, 3):
            self.assertEqual(Day(seed, unchanged).run().carried, Day(seed, unchanged, stated_part=0.0).run().carried)

    def test_demand_that_levels_refuse_does_not_reduce_what_a_cold_worker_gets(self):
        parts = []
        for rate in (80.0, 0.0):  # five times as much is asked for as proxies state, and the levels admit a fifth
            harness = ManagerHarness(slice_count=40, rate=rate)
            harness.manager.levels, harness.manager.set_levels = {0: 0.2, 1: 0.2}, lambda levels: None
            harness.run(4, dict.fromkeys(range(40), 20), dict.fromkeys(range(4), (40, 0, 0.5)))
            events = [("worker_list_received", False, [entry(4, started=harness.now)])]
            harness.round(*events, ("probe_completed", 4, ProbeOutcome.PASSED, 0, {}))
            harness.run(8, dict.fromkeys(range(40), 20), dict.fromkeys(range(4), (40, 0, 0.5)))
            harness.round(("worker_list_received", False, [entry(0, DRAINING)]), after=0.5)
            parts.append(sum(lines.get(4, 0.0) for lines in harness.manager.layout.values()))
        self.assertGreater(parts[0], 0.0)
        self.assertEqual(*parts)

    def test_a_surge_of_twenty_times_is_followed_as_quickly_as_without_stated_rates(self):
        for table in (3, 4, 5):
            limited, unlimited = Day(1, unchanged), Day(1, unchanged, stated_part=0.0)
            for day in (limited, unlimited):
                day.step(14)
                events = [("worker_list_received", False, [entry(12, started=day.harness.now)])]
                day.harness.round(*events, ("probe_completed", 12, ProbeOutcome.PASSED, 0, {}))
                day.step(4)
                day.rates[table] *= 20
            for _ in range(8):
                limited.step(1)
                unlimited.step(1)
                self.assertEqual(limited.harness.recorded.tables, unlimited.harness.recorded.tables)
            rows = limited.harness.recorded.tables[table]
            self.assertLess(max(rows.values()), 0.9 * sum(rows.values()))


# Values of single fields, in range or not, of reports of demand and of tries.
WRONG_DEMAND = [
    {"tries": count, "span": span_us}
    for count in (1, 40, 200, 1_000, 20_000, 10_000_000)
    for span_us in (0, SPAN_US, 3600 * SECOND)
]
WRONG_TRIES = [
    {"tries": 10_000_000},
    {"tries": 500, "lost": 500},
    {"tries": 10_000_000, "lost": 10_000_000},
    {"lost": 1},
    {"delay": 3600 * SECOND},
    {"delay": 0},
    {"load": {"utilization": 1e-6, "throughput": 1e7}},
    {"load": {"utilization": 1e-6, "throughput": 30.0}},
    {"load": {"utilization": 10.0, "throughput": 0.0}},
    {"load": {"utilization": 0.0, "throughput": 900.0}},
]


class OneWrongReport:
    """Changes one report at a random time to wrong values, or drops it."""

    def __init__(self, seed, dropped=False):
        rng, self.dropped = Random(seed), dropped
        self.kind, values = rng.choice([("demand_reported", WRONG_DEMAND), ("tries_reported", WRONG_TRIES)])
        self.values, self.zone, self.at = rng.choice(values), rng.randrange(ZONES), rng.randrange(12, 26)
        self.subject, self.done = rng.randrange(SLICES if self.kind == "demand_reported" else WORKERS), False

    def __call__(self, day, zone, report):
        subject = report[1] if self.kind == "demand_reported" else report[2]
        if (
            self.done
            or (report[0], zone, subject) != (self.kind, self.zone, self.subject)
            or day.half_seconds < self.at
        ):
            return [report]
        self.done = True
        return [] if self.dropped else [replaced(report, **self.values)]


class OneWrongReportTest(unittest.TestCase):
    def test_one_wrong_report_overloads_no_cold_worker_and_changes_nothing_if_it_is_impossible(self):
        rejected = 0
        for seed in range(60):
            change = OneWrongReport(seed)
            with self.subTest(seed=seed, kind=change.kind, values=change.values):
                day = Day(seed, change).run()
                self.assertLess(day.peak, 1.0)
                if day.harness.manager.rejected_reports:
                    rejected += 1
                    without = Day(seed, OneWrongReport(seed, dropped=True)).run()
                    self.assertEqual(day.harness.recorded.tables, without.harness.recorded.tables)
                    (text,) = [text for (text,) in day.harness.recorded.named("log") if text.startswith("impossible")]
                    self.assertIn(f"from zone {'abc'[change.zone]}", text)
        self.assertGreater(rejected, 10)


if __name__ == "__main__":
    unittest.main()
