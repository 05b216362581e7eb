"""Plans over time what the remaining sites carry after a loss, and what is refused in advance. No I/O; the clock is an
argument.

    control = SpillController(sites, classes, tiers, reserve, cold_share, cold_us)
    control.record_demand(now, site, kind, offered, refused)  # at proxies there, for this manager's slices
    control.record_tries(now, worker, site, good, bad, delay_us)     # delay_us: sum over all good tries
    control.record_probe(now, worker, site, good)
    control.record_load_report(now, worker, site, load, age_us)      # ORCA's utilization and throughput
    if control.update(now, workers, impaired, proven, levels, own_share): ...
    control.admission_limits    # {class: largest admission level}, empty if nothing is bounded
    control.size_fractions      # {site: fraction of their size for which its workers count}

`workers` are (name, site, whether it may be used, age_us or None); `impaired` are sites that are lost, returning or
held out; `proven(site)` is the fraction of a returning site that may be counted on; `levels` by class are those in
force; `own_share` is this manager's share of all slices. Managers do not talk to each other: each one computes what all
sites can do, and admits its own share of it.

The controller acts only while a site lacks much of its usual capacity; overload of a whole fleet is left to the
policy. In that situation it knows what the policy cannot know: that capacity is gone, before answers become slow.
Relief is slow and protection quick: levels fall as soon as they must, and rise after HOLD_US at the earliest.
"""

from dataclasses import dataclass, field

from .capacity import CapacityEstimator
from .rates import Rates
from .spill import EPSILON, SpillPlan, admission_levels, plan_spill, relative_sizes

SECOND_US = 1_000_000
RATE_SPAN_US = 2_000_000
REPORT_LAG_US = 800_000  # between a level and the load reports about what it admitted
MAX_LOSSES = 5  # losses within FORGET_AFTER_US that count: each one makes levels rise later
HOLD_US = 2_000_000  # between two changes of size fractions, or until levels rise
FALL_INTERVAL_US = 500_000  # until levels fall further
# A worker or site with at least this number of lost tries and none answered does not count: if overloaded, it would
# answer some.
FAILING_TRIES = 4
LEARNING_US = 5_000_000  # before this, the usual capacity is not known
IMPAIRED_BELOW, GONE_BELOW = 0.7, 0.1  # fractions of a site's usual capacity
CALM_US = 3_000_000  # without an impaired site for this long, the loss is over
TARGET_FRACTION = 0.95  # of what a reserve leaves, aimed at by sizes: the policy rounds bins up and moves whole slices
MIN_FALL, MIN_RISE, MIN_SHIFT = 0.05, 0.02, 0.05  # smallest changes of a level or a size fraction that take effect
RELEASE_STEP = 0.15  # rise of levels a second once the loss is over
FORGET_AFTER_US = 60_000_000  # a worker missing for this long from a site that is up no longer belongs to it
# A worker is slow above SLOW_DELAY of the mean quoted time; above the fraction MANY_SLOW of slow workers less is
# admitted, below FEW_SLOW more.
SLOW_DELAY, MANY_SLOW, FEW_SLOW = 0.3, 0.3, 0.15
# Fraction of the available capacity that is planned with, and its change a second.
FIRST_UTILIZATION, MIN_UTILIZATION, UTILIZATION_FALL, UTILIZATION_RISE = 0.92, 0.8, 0.05, 0.1
SKEW_GAIN, MAX_SKEW = 0.05, 2.0  # learning of how much load this manager's slices get, relative to the mean slice
MIN_INFORMATIVE_LEVEL = 0.05  # below this level, what is admitted says nothing about the demand


@dataclass
class WorkerRecord:
    """What is known of a worker besides its capacity; times in microseconds.

    `lost_run` counts tries lost since one was answered; `reported` is the throughput over all managers' tries in its
    last load report, with the time of the report.
    """

    site: str
    counted_at: int = -FORGET_AFTER_US
    failing: bool = False
    lost_run: float = 0.0
    reported: tuple = (0.0, -FORGET_AFTER_US)


@dataclass
class Demand:
    """Demand for one class, without repeats of refused transactions.

    `offered_per_s` is in transactions a second, `unprocessed` counts (offered, refused) since the last update, `levels`
    are recent levels as (in force since, level), and `mix` is the demand relative to the classes that are admitted in
    full, or None if that is not known.
    """

    offered_per_s: float = 0.0
    unprocessed: tuple = (0.0, 0.0)
    levels: list = field(default_factory=lambda: [(-FORGET_AFTER_US, 1.0)])
    mix: float | None = None


@dataclass
class Totals:
    """Sums since the start, over this manager's slices."""

    offered: dict = field(default_factory=dict)  # by (site, class)
    refused: dict = field(default_factory=dict)  # by (site, class)
    carried: dict = field(default_factory=dict)  # by site
    spilled: dict = field(default_factory=dict)  # by (from, to), as planned
    unplaced: dict = field(default_factory=dict)  # by site: planned to be refused


class SpillController:
    """See the top of this module.

    `classes` is {name: (utility, quoted_us)}, `tiers` {site: [[site, ...], ...]} and `reserve` {site: fraction}. A
    process younger than `cold_us` does from `cold_share` of its capacity upwards.
    """

    def __init__(self, sites, classes, tiers, reserve, cold_share, cold_us):
        self.sites, self.classes, self.tiers, self.reserve = list(sites), classes, tiers, reserve
        self.capacities = CapacityEstimator(cold_share, cold_us)
        self.rates, self.workers, self.totals = Rates(RATE_SPAN_US), {}, Totals()
        self.demand = {kind: Demand() for kind in classes}
        self.admission_limits, self.size_fractions = {}, dict.fromkeys(self.sites, 1.0)
        self.last_answer_at, self.restored_at = 0, None
        self.loss_times, self.gone_sites, self.learning_since = [], set(), None
        self.lost_runs = dict.fromkeys(self.sites, 0.0)  # by site, as WorkerRecord.lost_run by worker
        self.limits_set_at = self.fractions_set_at = self.updated_at = self.impaired_at = None
        self.skew, self.active, self.plan, self.utilization = 1.0, False, SpillPlan({}), FIRST_UTILIZATION
        self.usual_per_s = self.available_per_s = dict.fromkeys(self.sites, 0.0)

    # Observations.

    def record_demand(self, now, site, kind, offered, refused):
        """Adds transactions of a class that proxies of a site were asked for, and how many of them they refused."""
        key = (site, kind)
        class_demand = self.demand[kind]
        class_demand.unprocessed = (
            class_demand.unprocessed[0] + offered,
            class_demand.unprocessed[1] + min(refused, offered),
        )
        self.totals.offered[key] = self.totals.offered.get(key, 0.0) + offered
        self.totals.refused[key] = self.totals.refused.get(key, 0.0) + min(refused, offered)

    def record_tries(self, now, worker, site, good, bad, delay_us):
        """Adds answered and lost tries at a worker, with the sum of the delays of the answered ones."""
        self.rates.add(now, ("delay", worker), delay_us)
        self.rates.add(now, ("good", worker), good)
        self.rates.add(now, ("bad", worker), bad)
        self.totals.carried[site] = self.totals.carried.get(site, 0.0) + good
        self.last_answer_at = now if good else self.last_answer_at
        record = self._record(worker, site)
        record.lost_run = 0.0 if good else record.lost_run + bad
        self.lost_runs[site] = 0.0 if good else self.lost_runs[site] + bad
        if good or record.lost_run >= FAILING_TRIES:
            record.failing = not good

    def record_probe(self, now, worker, site, good):
        """Adds the outcome of a probe."""
        record = self._record(worker, site)
        # An answered probe counts only if no recent try contradicts it.
        if good and not self.rates.per_s(now, ("bad", worker)):
            record.failing, record.lost_run, self.lost_runs[site] = False, 0.0, 0.0

    def record_load_report(self, now, worker, site, load, age_us):
        """Adds a load report of a worker whose process has this age (None if unknown)."""
        self.capacities.record_load_report(worker, load, age_us)
        self._record(worker, site).reported = (load.get("throughput", 0.0), now)

    def _record(self, worker, site):
        record = self.workers.get(worker)
        if record is None:
            record = self.workers[worker] = WorkerRecord(site)
        record.site = site
        return record

    def restore_limits(self, now, levels):
        """Adopts levels in force from a former process of this manager, bound until LEARNING_US later. Returns whether
        the limits changed.
        """
        before = dict(self.admission_limits)
        for kind, level in levels.items():
            self.admission_limits[kind] = min(level, self.admission_limits.get(kind, 1.0))
        if self.admission_limits != before:
            self.limits_set_at = self.restored_at = now
        return self.admission_limits != before

    def estimated_demand(self, own_share):
        """Returns the demand on all managers in transactions a second, from this manager's share of the slices."""
        return sum(class_demand.offered_per_s for class_demand in self.demand.values()) / max(
            1e-3, min(1.0, own_share * self.skew)
        )

    # Decisions.

    def update(self, now, workers, impaired, proven, levels_in_force, own_share):
        """Recomputes the plan and returns whether `admission_limits` or `size_fractions` changed."""
        span = now - (self.updated_at if self.updated_at is not None else now)
        self.updated_at = now
        self.learning_since = now if self.learning_since is None and self.capacities.sums else self.learning_since
        counting = self._update_capacities(now, workers, impaired, proven)
        self._record_levels(now, levels_in_force)
        self._update_demand(now)
        if not self.active:
            self._learn_skew(now, counting, own_share)
        short_sites = [
            site
            for site in self.sites
            if site in impaired or self.available_per_s[site] < IMPAIRED_BELOW * self.usual_per_s[site]
        ]
        if short_sites and self.learning_since is not None and now - self.learning_since >= LEARNING_US:
            self.impaired_at = now
            gone_sites = {
                site for site in short_sites if self.available_per_s[site] < GONE_BELOW * self.usual_per_s[site]
            }
            if gone_sites - self.gone_sites and (not self.loss_times or now - self.loss_times[-1] >= CALM_US):
                self.loss_times = [*(at for at in self.loss_times if now - at < FORGET_AFTER_US), now][-MAX_LOSSES:]
            self.gone_sites = gone_sites
        self.active = self.impaired_at is not None and now - self.impaired_at < CALM_US
        if not self.active:
            self.plan, self.utilization = SpillPlan({}), FIRST_UTILIZATION
            return self._release(now)
        self._adjust_utilization(now, counting, span / 1e6)
        load_share = max(1e-3, min(1.0, own_share * self.skew))
        total_demand = self.estimated_demand(own_share)
        available = {site: amount * self.utilization for site, amount in self.available_per_s.items()}
        self.plan = plan_spill(total_demand, self.usual_per_s, available, self.tiers, self.reserve)
        for key, amount in self.plan.spilled.items():
            self.totals.spilled[key] = self.totals.spilled.get(key, 0.0) + amount * load_share * span / 1e6
        for site, amount in self.plan.refused.items():
            self.totals.unplaced[site] = self.totals.unplaced.get(site, 0.0) + amount * load_share * span / 1e6
        target_reserve = {site: 1 - (1 - reserve) * TARGET_FRACTION for site, reserve in self.reserve.items()}
        return self._set_limits(now, total_demand, load_share) | self._set_fractions(
            now, plan_spill(total_demand, self.usual_per_s, available, self.tiers, target_reserve), available
        )

    def is_answering(self, now, worker):
        """Whether a worker answered tries within RATE_SPAN_US."""
        return self.rates.per_s(now, ("good", worker)) > 0

    def _update_capacities(self, now, workers, impaired, proven):
        """Sets the available and the usual capacity of each site; returns the names of the workers that count now."""
        available, usual, counting = dict.fromkeys(self.sites, 0.0), dict.fromkeys(self.sites, 0.0), set()
        for name, site, may_be_used, age_us in workers:
            record = self._record(name, site)
            if may_be_used and not record.failing and self.lost_runs[site] < FAILING_TRIES:
                record.counted_at = now
                counting.add(name)
                available[site] += (self.capacities.current_per_s(name, age_us) or 0.0) * proven(site)
        for name, record in list(self.workers.items()):
            if now - record.counted_at < FORGET_AFTER_US or record.site in impaired and record.counted_at >= 0:
                usual[record.site] += self.capacities.full_per_s(name) or 0.0
            elif record.counted_at >= 0:
                del self.workers[name]
                self.capacities.forget(name)
                self.rates.forget(("good", name), ("bad", name), ("delay", name))
        self.available_per_s, self.usual_per_s = available, usual
        return counting

    def _update_demand(self, now):
        """Estimates the demand by class so that each transaction counts once.

        Admission is decided by the transaction's name: a repeat of a refused transaction is refused again, and what was
        admitted is the fraction of the demand that the level had at that time.
        """
        for kind, class_demand in self.demand.items():
            offered, refused = class_demand.unprocessed
            class_demand.unprocessed = (0.0, 0.0)
            level = next(
                (level for set_at_us, level in reversed(class_demand.levels) if set_at_us <= now - REPORT_LAG_US),
                class_demand.levels[0][1],
            )
            if level >= MIN_INFORMATIVE_LEVEL:
                self.rates.add(now, ("first", kind), (offered - refused) / level)
                class_demand.offered_per_s = self.rates.per_s(now, ("first", kind))
        # A class that is hardly admitted shows nothing: it is assumed to follow the classes admitted in full.
        admitted_per_s = sum(
            class_demand.offered_per_s for class_demand in self.demand.values() if class_demand.levels[-1][1] >= 1.0
        )
        for class_demand in self.demand.values():
            if admitted_per_s and class_demand.levels[-1][1] >= 1.0 - MIN_FALL:
                class_demand.mix = class_demand.offered_per_s / admitted_per_s
            elif admitted_per_s and class_demand.mix is not None and class_demand.levels[-1][1] < MIN_INFORMATIVE_LEVEL:
                class_demand.offered_per_s = class_demand.mix * admitted_per_s

    def _record_levels(self, now, levels_in_force):
        for kind, class_demand in self.demand.items():
            if abs(levels_in_force.get(kind, 1.0) - class_demand.levels[-1][1]) > 1e-6:
                class_demand.levels = [*class_demand.levels[-8:], (now, levels_in_force.get(kind, 1.0))]

    def _learn_skew(self, now, counting, own_share):
        """Learns the load of this manager's slices relative to the mean slice: own answered tries over the throughput
        that workers report for all managers.
        """
        reporting = [name for name in counting if now - self.workers[name].reported[1] < RATE_SPAN_US]
        throughput = sum(self.workers[name].reported[0] for name in reporting)
        answered = sum(self.rates.per_s(now, ("good", name)) for name in reporting)
        if throughput > 0 and answered > 0 and own_share > 0:
            self.skew += SKEW_GAIN * (min(MAX_SKEW, max(1 / MAX_SKEW, answered / throughput / own_share)) - self.skew)

    def _adjust_utilization(self, now, counting, seconds):
        """Adjusts how much of the available capacity is planned with.

        Load that arrived before the loss was noticed waits in queues, and slices are never spread quite evenly: at
        first less is admitted than could be carried, then more as long as few workers are slow.
        """
        total = sum(class_demand.offered_per_s for class_demand in self.demand.values())
        quoted_us = (
            sum(self.demand[kind].offered_per_s * self.classes[kind][1] for kind in self.demand) / total
            if total
            else 0.0
        )
        answered = {name: self.rates.per_s(now, ("good", name)) for name in counting}
        slow_count = sum(
            self.rates.per_s(now, ("delay", name)) > SLOW_DELAY * quoted_us * count
            for name, count in answered.items()
            if count
        )
        if slow_count > MANY_SLOW * len(counting):
            self.utilization = max(MIN_UTILIZATION, self.utilization - UTILIZATION_FALL * seconds)
        elif slow_count < FEW_SLOW * len(counting):
            self.utilization = min(1.0, self.utilization + UTILIZATION_RISE * seconds)

    def _set_limits(self, now, total_demand, load_share):
        """Sets the admission limits from the plan and returns whether they changed; `total_demand` is unused."""
        offered = {kind: class_demand.offered_per_s for kind, class_demand in self.demand.items()}
        total = sum(offered.values())
        capacity = self.plan.carried
        if capacity <= EPSILON and now - self.last_answer_at >= SECOND_US:
            # Nothing answers. Workers that return are cold, and all waiting load would reach them before this
            # manager knows that they are back.
            capacity = sum(self.usual_per_s.values()) * self.capacities.cold_share
        if not total or capacity <= EPSILON:
            return False
        mean_quoted_us = sum(offered[kind] * self.classes[kind][1] for kind in offered) / total
        weight = {kind: quoted_us / mean_quoted_us for kind, (_, quoted_us) in self.classes.items()}
        value = {kind: utility / quoted_us for kind, (utility, quoted_us) in self.classes.items()}
        wanted = admission_levels(offered, weight, value, capacity * load_share)
        current = {kind: self.admission_limits.get(kind, 1.0) for kind in offered}
        hold_us = HOLD_US * max(1, len(self.loss_times))
        elapsed_us = hold_us if self.limits_set_at is None else now - self.limits_set_at
        must_fall = any(wanted[kind] < current[kind] - MIN_FALL for kind in offered)
        differs = any(abs(wanted[kind] - current[kind]) > MIN_RISE for kind in offered)
        if must_fall and elapsed_us >= FALL_INTERVAL_US or differs and elapsed_us >= hold_us:
            self.admission_limits, self.limits_set_at = wanted, now
            return True
        return False

    def _set_fractions(self, now, plan, available):
        """Sets the size fractions from the plan and returns whether they changed."""
        wanted = {site: round(fraction, 2) for site, fraction in relative_sizes(plan, available).items()}
        elapsed_us = HOLD_US if self.fractions_set_at is None else now - self.fractions_set_at
        if elapsed_us >= HOLD_US and any(
            abs(wanted[site] - self.size_fractions[site]) > MIN_SHIFT for site in self.sites
        ):
            self.size_fractions, self.fractions_set_at = wanted, now
            return True
        return False

    def _release(self, now):
        """After a loss: raises the limits step by step and resets the sizes at once. Returns whether they changed."""
        changed = any(fraction < 1.0 for fraction in self.size_fractions.values())
        self.size_fractions = dict.fromkeys(self.sites, 1.0)
        if (
            self.admission_limits
            and now - self.limits_set_at >= SECOND_US
            and (self.restored_at is None or now - self.restored_at >= LEARNING_US)
        ):
            self.admission_limits = {
                kind: min(1.0, level + RELEASE_STEP) for kind, level in self.admission_limits.items()
            }
            self.limits_set_at, changed = now, True
            if all(level >= 1.0 for level in self.admission_limits.values()):
                self.admission_limits = {}
        return changed
