"""Decides the admission levels: in an overload, which tries proxies refuse early.

The levels are measured and set by `AdmissionLevels`, a base class of `policy.Manager`, which holds the state. No I/O.
"""

from .channel_schedule import Urgency
from .interface import LevelKind

OVERLOAD_LATENCY = 0.4  # a server is overloaded if its good answers take longer than this part of the mean quoted time
# Levels fall if more than the first part of the fleet is overloaded and may rise below the second.
OVERLOADED_HIGH, OVERLOADED_LOW = 0.4, 0.2
# They also fall if the fleet's latency is above OVERLOAD_LATENCY, less than the first part of all tries is answered,
# and more than the second part of the fleet is affected: overloaded, or answering less than WORKER_ANSWERED_LOW of its
# own tries.
ANSWERED_LOW, AFFECTED_HIGH = 0.7, 0.5
WORKER_ANSWERED_LOW = 0.85
LIGHT_LOAD_LATENCY = 0.7  # part of OVERLOAD_LATENCY below which a fleet with few overloaded servers is lightly loaded
LEVEL_INTERVAL_US = 1_000_000  # interval at which levels are reconsidered
LEVEL_LIMIT_SETTLE_US = 4_000_000  # for this long after an upper limit fell, answers still reflect the time before
MAX_ESTIMATE_FALL, MAX_ESTIMATE_RISE = 0.10, 0.15  # largest change of the estimated capacity per interval
# Above the estimate of the last overload it rises only by the first part per interval, unless answers take less than
# the second number times the shortest mean time seen.
SLOW_ESTIMATE_RISE, IDLE_LATENCY_FACTOR = 0.03, 1.3
# Answers from which a mean time to answer is meaningful; change of a level that justifies a message to all proxies.
MIN_ANSWERS_FOR_MEAN, MIN_LEVEL_CHANGE = 50, 0.02
# Weight of the latest observation of which part of the tries the levels really admit; the second one under light load.
ADMITTED_LEARNING_RATE, ADMITTED_LEARNING_RATE_LIGHT_LOAD = 0.1, 0.9
MIN_SENT_SHARE = 0.1  # of the demand, that the levels are taken to let through at least
MIN_ADMITTED_SHARE = 0.4  # smaller observations of that part are raised to this
ADMITTED_CAPACITY, MIN_ADMITTED_CAPACITY = 0.9, 0.3  # part of the estimate to admit; the least while a queue drains
BACKLOG_REDUCTION = 0.35  # reduction of that part per quoted time by which answers exceed OVERLOAD_LATENCY
# The estimate grows to at most this many times the work answered lately. If it would admit this many times the work
# that is requested, the overload is over and the estimate is dropped.
MAX_ESTIMATE_LEAD = 1.5


class AdmissionLevels:
    """The part of a manager that sets its admission levels. The state is in `policy.Manager`."""

    def update_levels(self):
        """Set the admission levels: in an overload, refuse early what the fleet could not answer in time.

        The work answered during an overload is the estimate of the fleet's capacity, and a little less than that is
        admitted. The classes with the least utility for their work are refused first; the work of a try is taken to be
        proportional to its quoted time. Once few workers are overloaded the estimate grows: quickly up to that of the
        last overload or while answers are nearly as quick as the quickest seen, otherwise slowly.
        """
        ready = self.ready_workers()
        if (
            not ready
            or self.now < self.levels_at
            or self.schedule.is_capped(self.now, self.channel_state(), Urgency.ORDINARY)
        ):
            return
        self.levels_at = self.now + LEVEL_INTERVAL_US
        records = [self.workers[worker] for worker in ready]
        overloaded_part = sum(record.weight for record in records if record.overloaded) / sum(
            record.weight for record in records
        )
        work = [
            sum(bucket[class_index] for bucket in self.arrivals.buckets) * kind.quoted_us + 1e-9
            for class_index, kind in enumerate(self.setup.classes)
        ]
        affected = sum(record.weight for record in records if record.overloaded or record.failing) / sum(
            record.weight for record in records
        )
        # Workers that only lose tries do not look slow. If they are few, the others get their work and nothing is
        # refused.
        if (
            overloaded_part > OVERLOADED_HIGH
            or self.latency > OVERLOAD_LATENCY
            and self.answered_share < ANSWERED_LOW
            and affected > AFFECTED_HIGH
        ):
            # Observations lag, and the work answered falls with the level, too, so the estimate falls slowly.
            self.estimate = (
                self.answered_work
                if self.estimate is None
                else max(self.answered_work, self.estimate * (1.0 - MAX_ESTIMATE_FALL))
            )
            self.overload_estimate = self.estimate
        elif overloaded_part < OVERLOADED_LOW and self.estimate is not None:
            idle = self.estimate < self.overload_estimate or self.latency < IDLE_LATENCY_FACTOR * self.min_latency
            # Growth is limited relative to the work answered, or the estimate would rise unproven into the next
            # overload. Failed tries count as work here: where few workers are overloaded, failures of some say nothing
            # about the capacity of the others.
            grown = min(
                self.estimate * (1.0 + (MAX_ESTIMATE_RISE if idle else SLOW_ESTIMATE_RISE)),
                MAX_ESTIMATE_LEAD * self.answered_work / self.answered_share,
            )
            self.estimate = max(grown, self.estimate * (1.0 - MAX_ESTIMATE_FALL))
        admitted_part = (
            max(
                MIN_ADMITTED_CAPACITY,
                ADMITTED_CAPACITY - BACKLOG_REDUCTION * max(0.0, self.latency - OVERLOAD_LATENCY),
            )
            if overloaded_part > OVERLOADED_LOW
            else ADMITTED_CAPACITY
        )
        remaining = sum(work) if self.estimate is None else admitted_part * self.estimate / self.admitted_share
        self.estimate = None if remaining > MAX_ESTIMATE_LEAD * sum(work) else self.estimate
        negative_value, levels = [-kind.utility / kind.quoted_us for kind in self.setup.classes], [1.0] * len(work)
        for class_index in sorted(range(len(work)), key=negative_value.__getitem__):
            levels[class_index] = round(min(1.0, max(0.0, remaining / work[class_index])), 2)
            remaining -= work[class_index]
        self.set_levels(levels)

    def set_levels(self, levels):
        """Put levels in force, by class, within their upper limits; small changes are left out."""
        self.own_levels, levels = levels, [min(level, limit) for level, limit in zip(levels, self.max_levels)]
        if self.setup.level_kind is LevelKind.RATE:
            # A rate per proxy would have to follow the demand of that proxy, so rates are left unlimited.
            levels = [1e6] * len(levels)
        for class_index in range(len(levels)):
            if abs(levels[class_index] - self.levels.get(class_index, -1.0)) > (
                MIN_LEVEL_CHANGE if 0.0 < levels[class_index] < 1.0 else 0.0
            ):
                self.levels[class_index], self.levels_message_due, self.levels_message = (
                    levels[class_index],
                    True,
                    self.withdrawals.message_count + 1,
                )
                self.unsent_levels.add(class_index)

    def sent_share(self):
        """Part of the demand that the levels let proxies send to servers."""
        sums = [sum(column) for column in zip(*self.arrivals.buckets)]
        arrived, admitted = (sum(part) for part in (sums[: len(self.setup.classes)], sums[len(self.setup.classes) :]))
        return max(MIN_SENT_SHARE, admitted / arrived) if arrived and self.setup.level_kind is LevelKind.SHARE else 1.0
