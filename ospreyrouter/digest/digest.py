"""Aggregates load reports and selects what is passed to the policy. No I/O; one instance per manager.

    digest = Digest(reporters, handover, zones, classes, slices)
    reason = digest.ingest(now, report)      # None, or why the report was dropped
    lines = digest.take_lines(now)           # events for the policy
    estimates = digest.estimates(now)        # {worker: Estimate}, for people and for measurements

The digest supplies the data on which the policy decides; it does not judge the health of workers.
"""

import math
from collections import Counter

from ddsketch import DDSketch

from .estimates import WorkerSums, bucket_shares

SKETCH_ACCURACY = 0.02  # relative accuracy of delay quantiles
MAX_PLAUSIBLE_PER_S = 1_000_000  # tries per second of one reporter at one worker; more indicates a wrapped counter
LATENESS_STEP_US = 20  # smallest step of the lateness estimate, see `Digest._add`
MAX_SPAN_US = 60_000_000  # reports of this system cover less


class Digest:
    """The aggregated load reports of one manager; see the module docstring.

    `zones` and `classes` map names to indices, `slices` is the number of slices. Demand is counted for the slices in
    `owned_slices` only. Without a `silence_detector`, tries count when they end.
    """

    def __init__(self, reporters, handover, zones, classes, slices, silence_detector=None):
        self.silence_detector = silence_detector
        self.reporters, self.handover, self.zones, self.classes, self.slices = (
            reporters,
            handover,
            zones,
            classes,
            slices,
        )
        self.worker_sums, self.dropped = {}, Counter()
        self.demand_total = self.lateness_us = 0
        self.keep_details = True
        self.process_starts, self.worker_indices, self.owned_slices = {}, {}, set()
        self.try_sums, self.demand_sums = {}, {}

    def worker_started(self, name, index, started_us):
        """Set the index of a worker and the start of its process, None if long ago.

        A new start resets the sums of the worker, as they describe an earlier process.
        """
        self.worker_indices[name] = index
        if self.process_starts.get(name) != started_us:
            self.process_starts[name] = started_us
            if name in self.worker_sums and started_us is not None:
                self.worker_sums[name].reset(started_us)

    def settled_us(self):
        """Microseconds after which a time counts as completely reported, as observed from spans and transit times."""
        return max(0, self.lateness_us)

    def ingest(self, now, report):
        """Add a report. Returns None, or the reason why it was dropped."""
        reason = self._implausible(report) or self.reporters.admit(now, report)
        if reason is not None:
            self.dropped[reason] += 1
            return reason
        self._add(now, report)
        return None

    def _implausible(self, report):
        """Return "implausible" for a report with impossible values, else None."""
        if not 0 < report.span_us <= MAX_SPAN_US or not 0 <= report.sent_us < 1 << 62:
            return "implausible"
        max_count = MAX_PLAUSIBLE_PER_S * max(1.0, report.span_us / 1e6)
        for _, tries, lost, delay_sum_us, _, _ in report.try_rows:
            if not 0 <= lost <= tries <= max_count or not 0 <= delay_sum_us < math.inf:
                return "implausible"
        for _, _, demanded, lost in report.demand_rows:
            if not 0 <= lost or not 0 <= demanded <= max_count:
                return "implausible"
        if any(not 0 <= count <= max_count for _, _, count in report.refused_rows):
            return "implausible"
        return None

    def _add(self, now, report):
        """Add the rows of an accepted report to all sums."""
        begin_us, end_us, weight, zone = report.begin_us, report.end_us, report.weight, self.zones.get(report.zone, 0)
        # Estimates the 99th percentile of the time between the begin of a span and its report: a step up for each later
        # report, a ninety-ninth of that down for each other one. The maximum would be determined by single outliers.
        report_age_us = now - begin_us
        self.lateness_us += LATENESS_STEP_US * 99 if report_age_us > self.lateness_us else -LATENESS_STEP_US
        shares = bucket_shares(now, begin_us, end_us)
        worker_sums, worker_indices, process_starts, handover = (
            self.worker_sums,
            self.worker_indices,
            self.process_starts,
            self.handover,
        )
        for worker, tries, lost, delay_sum_us, load_report, buckets in report.try_rows:
            index = worker_indices.get(worker)
            if index is None:
                self.dropped["unknown worker"] += 1
                continue
            started_us = process_starts.get(worker)
            if started_us is not None and begin_us < started_us:
                self.dropped["before its start"] += 1
                continue
            sums = worker_sums.get(worker)
            if sums is None:
                sums = worker_sums[worker] = WorkerSums()
            sums.add(now, begin_us, end_us, tries, lost, delay_sum_us, weight, shares)
            if load_report and end_us >= sums.load_report_us:
                sums.load_report, sums.load_report_us = load_report, end_us
            if self.keep_details and buckets:
                if sums.sketch is None:
                    sums.sketch = DDSketch(SKETCH_ACCURACY)
                for value, count in buckets:
                    sums.sketch.add(value, count * weight)
            worker_totals = self.try_sums.get(index)
            if worker_totals is None:
                worker_totals = self.try_sums[index] = [0.0, 0.0, 0.0]
            worker_totals[0] += tries * weight
            worker_totals[1] += lost * weight
            worker_totals[2] += delay_sum_us * weight
            # A load report that is older than one already passed on is omitted.
            handover.add_tries(
                now,
                zone,
                index,
                tries * weight,
                lost * weight,
                delay_sum_us * weight,
                begin_us,
                load_report if load_report and end_us >= sums.load_report_us else None,
            )
        if self.silence_detector is not None:
            self._count_silent_tries(now, report, zone)
        for slice_index, class_name, demanded, lost in report.demand_rows:
            class_index = self.classes.get(class_name)
            if class_index is None or slice_index >= self.slices:
                self.dropped["unknown class or slice"] += 1
            elif slice_index in self.owned_slices:
                self.demand_total += demanded * weight
                class_totals = self.demand_sums.get((report.zone, class_name))
                if class_totals is None:
                    class_totals = self.demand_sums[report.zone, class_name] = [0.0, 0.0]
                class_totals[0] += demanded * weight
                handover.add_demand(now, slice_index, class_index, demanded * weight, lost * weight, begin_us)
            else:
                self.dropped["not in charge"] += 1
        for slice_index, class_name, count in report.refused_rows:
            if slice_index in self.owned_slices and (report.zone, class_name) in self.demand_sums:
                self.demand_sums[report.zone, class_name][1] += count * weight

    def take_try_sums(self):
        """Return {worker index: [tries, lost tries, sum of delays of answered tries in us]} since the last call.

        Includes all reports accepted so far, whereas estimates wait until a span is completely reported.
        """
        sums, self.try_sums = self.try_sums, {}
        return sums

    def _count_silent_tries(self, now, report, zone):
        """Pass tries that wait at silent workers to the policy as lost before they end.

        Estimates count tries when they end and are not changed by this.
        """
        answering_workers = {row[0] for row in report.try_rows if row[1] > row[2]} if report.pending_rows else ()
        for worker, count in self.silence_detector.observe(
            now, report.reporter, report.pending_rows, answering_workers
        ).items():
            index = self.worker_indices.get(worker)
            if index is None:
                continue
            self.dropped["tries at silent workers"] += count
            self.handover.add_tries(
                now, zone, index, count * report.weight, count * report.weight, 0.0, report.begin_us, None
            )
            worker_totals = self.try_sums.setdefault(index, [0.0, 0.0, 0.0])
            worker_totals[0] += count * report.weight
            worker_totals[1] += count * report.weight

    def latest_load(self, worker):
        """Return the newest load report of a worker, or None if it is unknown."""
        sums = self.worker_sums.get(worker)
        return None if sums is None else sums.load_report

    def take_demand_sums(self):
        """Return {(zone, class): [transactions, refused ones]} of the owned slices since the last call."""
        taken, self.demand_sums = self.demand_sums, {}
        return taken

    def take_lines(self, now):
        """Return the events for the policy that the line budget allows."""
        return self.handover.take(now)

    def estimates(self, now):
        """Return {worker name: Estimate} of all workers of the list; one without reports has confidence 0."""
        settling_us = self.settled_us()
        return {
            name: self.worker_sums.setdefault(name, WorkerSums()).estimate(now, settling_us)
            for name in self.worker_indices
        }

    def delay_quantile(self, worker, quantile):
        """Return a quantile (0 to 1) of the delays of a worker's answered tries in microseconds, or None."""
        sums = self.worker_sums.get(worker)
        return None if sums is None or sums.sketch is None else sums.sketch.get_quantile_value(quantile)
