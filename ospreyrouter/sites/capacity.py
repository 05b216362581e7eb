"""Capacity of each worker when warm, learned from its load reports. No I/O; the clock is an argument.

    capacities = CapacityEstimator(cold_share, cold_us)
    capacities.record_load_report(worker, load, age_us)   # ORCA's utilization and throughput; process age or None
    capacities.full_per_s(worker)                         # tries a second at full use when warm, or None
    capacities.current_per_s(worker, age_us)              # the same for a process of that age, by the stated ramp

The estimate is throughput over utilization, as a ratio of sums: a single report covers only a few tries. A worker that
never reported counts as the mean of those that did; if none did, nothing is known, and nothing is planned with it.
"""

RETAINED_FRACTION = 0.95  # of the sums at each new report: about 20 reports count
MIN_UTILIZATION = 0.1  # below this the ratio is noise


class CapacityEstimator:
    """Capacities by worker. A process younger than `cold_us` is cold: it starts at `cold_share` of its capacity."""

    def __init__(self, cold_share, cold_us):
        self.cold_share, self.cold_us, self.sums, self.last_reports = cold_share, cold_us, {}, {}

    def record_load_report(self, worker, load, age_us):
        """Adds a report, a dict with "utilization" (0 to 1) and "throughput" (tries a second)."""
        utilization, throughput = load.get("utilization", 0.0), load.get("throughput", 0.0)
        if (
            utilization < MIN_UTILIZATION
            or throughput <= 0
            or self.last_reports.get(worker) == (utilization, throughput)
        ):
            return  # nothing new: many proxies pass on the same report
        self.last_reports[worker] = (utilization, throughput)
        if age_us is not None and age_us < self.cold_us:
            return  # the ramp gives only a bound of how far a cold worker has warmed up
        worker_sums = self.sums.setdefault(worker, [0.0, 0.0])
        worker_sums[0] = worker_sums[0] * RETAINED_FRACTION + throughput
        worker_sums[1] = worker_sums[1] * RETAINED_FRACTION + utilization

    def forget(self, worker):
        """Drops what is known of a worker."""
        self.sums.pop(worker, None)
        self.last_reports.pop(worker, None)

    def full_per_s(self, worker):
        """Returns the tries a second at full use when warm: the worker's own, else the mean of all known, else None."""
        worker_sums = self.sums.get(worker)
        if worker_sums is not None:
            return worker_sums[0] / worker_sums[1]
        known = [throughput / utilization for throughput, utilization in self.sums.values()]
        return sum(known) / len(known) if known else None

    def current_per_s(self, worker, age_us):
        """Returns the tries a second at full use for a process of this age (None if it is warm), or None."""
        full_per_s = self.full_per_s(worker)
        if full_per_s is None or age_us is None or age_us >= self.cold_us:
            return full_per_s
        return full_per_s * (self.cold_share + (1 - self.cold_share) * max(0, age_us) / self.cold_us)
