"""State of each site: up, doubtful, lost or returning. No I/O; the clock is an argument.

    sites = SiteMonitor(names, window_us)
    sites.record(now, site, kind, good, bad)   # kind "sums": tries that proxies made there; "probes": this manager's
    for site, old, new, why in sites.update(now): ...
    sites.proven_fraction(site)                # fraction of its capacity that is proven, 0 to 1
    sites.usable_fraction(site)                # fraction of their size for which its workers count
    sites.is_blind(site)                       # this manager cannot reach it although proxies get answers there
    sites.hold_out(site, is_held_out)          # an operator's order

Proxies are the ones that have to reach a site, so their outcomes outweigh what this manager observes itself: probes
that fail while tries are answered do not make a site lost. A worker list that reports workers as ready is no evidence,
as none of them may answer; a list without any worker of a site counts as no answers if proxies report no tries there.

A returning site gets more load by proof, not by time: by a window in which at least half of its allowed load was
carried and answered. Each loss within CALM_WINDOWS windows of the previous one doubles the time for which the site must
answer before it counts as returning.
"""

from dataclasses import dataclass

from .evidence import Evidence

MIN_OBSERVED = {"sums": 5.0, "probes": 2.0}  # attempts within a window; with fewer, nothing is known
LOST_BELOW, DOUBT_BELOW, PROVEN_FROM = 0.1, 0.6, 0.9  # fractions answered
FIRST_FRACTION, GROWTH = 0.15, 1.6  # what a returning site may carry at first, and the factor for each proof
MIN_USED = 0.5  # of what it was allowed to carry: less proves nothing
MAX_FLAPS, CALM_WINDOWS = 5, 60
# After this number of tries lost in a row, over at least this time, while probes fail too, a site is lost at once:
# earlier answers in the window no longer count.
LOST_RUN_TRIES, LOST_RUN_US = 6, 200_000


@dataclass
class SiteState:
    """What is known of one site; times in microseconds.

    `answers_since_us` is set for a lost site while it answers; `lost_run` counts tries lost since one was answered.
    """

    evidence: Evidence
    state: str = "up"
    state_since_us: int = 0
    answers_since_us: int | None = None
    proven_fraction: float = 1.0
    last_proof_us: int = 0
    flaps: int = 0
    lost_at_us: int | None = None
    held_out: bool = False
    answered_fraction: float | None = None
    lost_run: float = 0.0
    lost_run_since_us: int = 0
    blind: bool = False


class SiteMonitor:
    """States of all sites, judged over windows of `window_us` microseconds."""

    def __init__(self, names, window_us):
        self.window_us = window_us
        self.site_states = {name: SiteState(Evidence(window_us)) for name in names}

    def record(self, now, site, kind, good, bad):
        """Adds answered and lost attempts of a kind ("sums" or "probes") at a site."""
        site_state = self.site_states[site]
        site_state.evidence.record(now, kind, good, bad)
        if kind == "sums" and (good or bad):
            site_state.lost_run_since_us = site_state.lost_run_since_us if site_state.lost_run and not good else now
            site_state.lost_run = 0.0 if good else site_state.lost_run + bad

    def hold_out(self, site, is_held_out):
        """Sets whether an operator holds the site out."""
        self.site_states[site].held_out = is_held_out

    def proven_fraction(self, site):
        """Returns the fraction of the site's capacity that is proven, 0 for a site that is held out."""
        site_state = self.site_states[site]
        return 0.0 if site_state.held_out else site_state.proven_fraction

    def usable_fraction(self, site):
        """Returns the fraction of their size for which its workers count; for a lost site, what a first proof needs."""
        site_state = self.site_states[site]
        return 1.0 if site_state.state in ("up", "doubtful") else max(site_state.proven_fraction, FIRST_FRACTION)

    def has_no_capacity(self, site):
        """Whether no capacity of the site counts: it is lost or held out."""
        return self.site_states[site].held_out or self.site_states[site].state == "lost"

    def is_excluded(self, site):
        """Whether the site is lost while another one is not: its workers must not be used until it returns."""
        return self.site_states[site].state == "lost" and any(
            site_state.state in ("up", "doubtful") and not site_state.held_out
            for site_state in self.site_states.values()
        )

    def is_blind(self, site):
        """Whether probes of this manager fail there while proxies get answers."""
        return self.site_states[site].blind

    def carried_per_s(self, now, site):
        """Returns the tries a second that proxies made there within the window."""
        good, bad = self.site_states[site].evidence.counts(now, "sums")
        return (good + bad) / (self.window_us / 1e6)

    def update(self, now, usual_per_s=None, ready_count=None):
        """Updates all states and returns the changes as (site, old, new, why).

        `usual_per_s(site)` is the load, in tries a second, that the site carries with all its capacity, used for
        judging proofs; without it any load counts as enough. `ready_count(site)` is how many of its workers the worker
        list has as ready.
        """
        changes = []
        for name, site_state in self.site_states.items():
            old, why = (
                site_state.state,
                self._evaluate(now, name, site_state, usual_per_s, ready_count is not None and not ready_count(name)),
            )
            if site_state.state != old:
                site_state.state_since_us = now
                changes.append((name, old, site_state.state, why))
        return changes

    def _evaluate(self, now, name, site_state, usual_per_s, is_unlisted):
        """Moves one site to its next state, if it changes, and returns the reason."""
        tries_answered = site_state.evidence.answered_fraction(now, "sums", MIN_OBSERVED["sums"])
        probes_answered = site_state.evidence.answered_fraction(now, "probes", MIN_OBSERVED["probes"])
        site_state.answered_fraction = (
            tries_answered if tries_answered is not None else 0.0 if is_unlisted else probes_answered
        )
        site_state.blind = (
            tries_answered is not None
            and probes_answered is not None
            and tries_answered >= DOUBT_BELOW
            and probes_answered < LOST_BELOW
        )
        if (
            site_state.state in ("up", "doubtful")
            and site_state.lost_run >= LOST_RUN_TRIES
            and now - site_state.lost_run_since_us >= LOST_RUN_US
            and probes_answered is not None
            and probes_answered < DOUBT_BELOW
        ):
            self._mark_lost(now, site_state)
            return f"{site_state.lost_run:.0f} tries in a row lost, and probes fail"
        if site_state.answered_fraction is None:
            return ""  # without evidence the state does not change
        if site_state.state in ("up", "doubtful"):
            if site_state.answered_fraction >= DOUBT_BELOW:
                if site_state.state == "doubtful" and site_state.answered_fraction >= PROVEN_FROM:
                    site_state.state = "up"
                    return "answers"
                return ""
            if site_state.state == "up":
                site_state.state = "doubtful"
                return f"{site_state.answered_fraction:.2f} answered"
            if site_state.answered_fraction < LOST_BELOW and now - site_state.state_since_us >= self.window_us // 2:
                self._mark_lost(now, site_state)
                return (
                    f"{site_state.answered_fraction:.2f} answered for {(now - site_state.state_since_us) / 1e6:.1f} s"
                )
            return ""
        if site_state.state == "lost":
            if site_state.answered_fraction < DOUBT_BELOW:
                site_state.answers_since_us = None
                return ""
            site_state.answers_since_us = now if site_state.answers_since_us is None else site_state.answers_since_us
            if now - site_state.answers_since_us >= self.hold_us(name):
                site_state.state, site_state.proven_fraction, site_state.last_proof_us = (
                    "returning",
                    FIRST_FRACTION,
                    now,
                )
                return f"answers for {(now - site_state.answers_since_us) / 1e6:.1f} s"
            return ""
        return self._evaluate_returning(now, name, site_state, tries_answered, usual_per_s)

    def _mark_lost(self, now, site_state):
        is_calm = site_state.lost_at_us is None or now - site_state.lost_at_us > CALM_WINDOWS * self.window_us
        site_state.flaps = 0 if is_calm else min(MAX_FLAPS, site_state.flaps + 1)
        site_state.state, site_state.proven_fraction, site_state.lost_at_us, site_state.answers_since_us = (
            "lost",
            0.0,
            now,
            None,
        )

    def _evaluate_returning(self, now, name, site_state, tries_answered, usual_per_s):
        if site_state.answered_fraction < DOUBT_BELOW:
            if site_state.answered_fraction < LOST_BELOW or site_state.proven_fraction <= FIRST_FRACTION / 2:
                self._mark_lost(now, site_state)
                return f"{site_state.answered_fraction:.2f} answered while returning"
            if now - site_state.last_proof_us >= self.window_us:
                site_state.proven_fraction, site_state.last_proof_us = site_state.proven_fraction / 2, now
            return ""
        is_loaded = usual_per_s is None or self.carried_per_s(
            now, name
        ) >= MIN_USED * site_state.proven_fraction * usual_per_s(name)
        if (
            now - site_state.last_proof_us >= self.window_us
            and tries_answered is not None
            and tries_answered >= PROVEN_FROM
            and is_loaded
        ):
            site_state.proven_fraction, site_state.last_proof_us = min(1.0, site_state.proven_fraction * GROWTH), now
            if site_state.proven_fraction >= 1.0:
                site_state.state = "up"
                return "proven in full"
        return ""

    def hold_us(self, site):
        """How long a lost site must answer before it counts as returning; doubles with each flap."""
        return self.window_us << self.site_states[site].flaps
