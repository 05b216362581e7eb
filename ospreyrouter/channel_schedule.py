"""Decides when the next message to all proxies may be sent and how long it may be.

This is the only module that decides so. It does no I/O.

A channel sends messages one after another. A message that was handed over to it can be neither merged with later
updates nor overtaken by more urgent ones, and the head of each message costs as much as many lines. So no message is
handed over that would make a withdrawal right behind it miss the drain grace. Such a message waits until the channel is
about to be free, together with everything else that becomes due. Repeats always wait for that, so they never build up a
queue.

Times are whole microseconds on the caller's clock. Lines are counted once per proxy unless stated otherwise. "In total"
means summed over all proxies.
"""

from collections import Counter
from dataclasses import dataclass
from enum import Enum

from .sent_messages import SentMessages

ORDINARY_FILL = 0.40  # part of the queue's limit that ordinary messages may fill
# Parts of the queue's limit that unconfirmed lines may fill, so that no more wait however slow the channel is: where
# all proxies have been reported, and at least where some never were.
QUEUE_FILL, UNREPORTED_FILL = 0.97, 0.85
# Part of the unconfirmed limit that ordinary messages may fill before any of their lines is proven to have left.
UNCONFIRMED_FILL = 0.8
ORDINARY_GRACE = 0.25  # part of the drain grace in which ordinary messages must leave the channel, at its true pace
HANDOVER_GRACE = 0.03  # part of the drain grace by which a message is handed over before the channel is free
MIN_WORTHWHILE_LINES = 8  # lines at each proxy from which a message is worth its head


class Urgency(Enum):
    """Why a message is due."""

    WITHDRAWAL = "withdrawal"  # the list has a worker as draining or gone
    LEVELS = "levels"  # admission levels have changed
    BARE_SLICE = "bare slice"  # a slice has few warm servers left
    REPEAT = "repeat"  # some proxy may have missed a withdrawal or a readmission
    ORDINARY = "ordinary"


@dataclass(frozen=True)
class ChannelState:
    """What may still be in the channel, and what fits.

    `unconfirmed`: lines in total that are not proven to have left.
    `queued`: those of them that are not expected to have left yet.
    `receivers`: number of proxies that may get the next message.
    `head`: lines at each proxy of a message that carries only its mark and the levels.
    `limit`: lines in total that may be unconfirmed.
    `longest`: lines at each proxy, head included, of the longest message that fits even if it is repeated when all
        proxies have joined.
    """

    unconfirmed: float
    queued: float
    receivers: int
    head: float
    limit: float
    longest: float

    @property
    def room(self):
        """Lines at each proxy, besides its head, that a message may have now."""
        return int(min((self.limit - self.unconfirmed) / self.receivers, self.longest) - self.head)

    @property
    def room_when_empty(self):
        """Lines at each proxy, besides its head, that a message may have if the channel is empty."""
        return int(min(self.limit / self.receivers, self.longest) - self.head)

    @property
    def shortest_worthwhile(self):
        """Lines in total of the shortest message that is worth its head."""
        return (self.head + MIN_WORTHWHILE_LINES) * self.receivers


class ChannelSchedule:
    """Decides when messages go and how long they may be.

    `violations`: how often a message was handed over that breaks a rule of this module, by rule.
    """

    def __init__(self, setup):
        self.setup, self.sent_messages = setup, SentMessages(setup)
        self.send_times = []
        self.violations = Counter()

    def state(self, now, joined, known, more_joins_expected, recent_us, stalled):
        """The present ChannelState.

        `joined`: number of joined proxies; `known`: of those that have joined at any time. `recent_us`: a message no
        older than this may have gone to all proxies that joined since. `stalled`: the channel accepts nothing now, and
        all proxies that join until it does get what is queued.
        """
        setup = self.setup
        self.sent_messages.drop_expired(now)
        receivers = max(1, joined)
        # Proxies join in groups. Those that join meanwhile get what is ordered now before they are reported.
        if setup.slice_count and more_joins_expected:
            receivers = max(receivers, setup.proxy_count)
        unconfirmed, queued = self.sent_messages.unconfirmed_and_queued(now, receivers, recent_us)
        if stalled:
            receivers = max(receivers, setup.proxy_count)
            unconfirmed = queued = max(unconfirmed, receivers * self.sent_messages.lines_per_proxy())
        head = setup.message_head + 1 + len(setup.classes)
        # Where proxies are many, a short message may fill an empty channel, or nothing would ever be sent.
        shortest = min((head + MIN_WORTHWHILE_LINES) * receivers, setup.queue_lines * QUEUE_FILL)
        one_line = (head + 1) * receivers
        shortest = max(shortest, one_line if one_line <= setup.queue_lines else 0.0)
        all_proxies = max(1, joined, setup.proxy_count if setup.slice_count else 1)
        fill = max(UNREPORTED_FILL, QUEUE_FILL * min(1.0, max(receivers, known) / all_proxies))
        limit = max(setup.queue_lines * fill, shortest)
        longest = max(limit / all_proxies, head + MIN_WORTHWHILE_LINES)
        return ChannelState(unconfirmed, queued, receivers, head, limit, longest)

    # When a message may be sent.

    def earliest_send_at(self, now, state, urgency):
        """When the next message may be handed over.

        That is now, as long as a withdrawal right behind it would still be in time. Otherwise the message waits until
        the channel is about to be free. Repeats always wait for that, or they would build up a queue of their own. A
        withdrawal relies on the stated pace: on a slower channel it goes early rather than late. Everything else also
        waits for the queue to leave at the learned pace, though no longer than ordinary messages may take.
        """
        prompt = state.queued + state.shortest_worthwhile <= self.max_prompt_lines(state)
        if prompt and urgency is not Urgency.REPEAT:
            return now
        free_at = self.sent_messages.free_at if state.unconfirmed > 0 else now
        if urgency is not Urgency.WITHDRAWAL:
            by_learned_pace = now + state.queued / self.sent_messages.pace_lines * 1_000_000
            free_at = max(free_at, min(by_learned_pace, free_at + ORDINARY_GRACE * self.setup.drain_grace_us))
        return int(free_at - HANDOVER_GRACE * self.setup.drain_grace_us)

    def is_capped(self, now, state, urgency):
        """Whether the channel or the limit on the message rate has no room for another message.

        Ordinary messages may use half of the limit on the rate; the rest is kept for urgent ones.
        """
        setup = self.setup
        self.send_times = [sent_at for sent_at in self.send_times if now - sent_at < setup.message_window_us]
        part = 0.5 if urgency is Urgency.ORDINARY else 1.0
        message_limit = setup.max_messages * part or len(self.send_times) + 2
        return (
            len(self.send_times) + 2 > message_limit or state.unconfirmed + state.head * state.receivers > state.limit
        )

    def drain_time_us(self, state, lines):
        """How long the channel takes for its queue and one more message of `lines` at each proxy."""
        return (state.queued + (state.head + lines) * state.receivers) / self.sent_messages.pace_lines * 1e6

    # How long a message may be.

    def lines_worth_sending(self, state, lines):
        """How many of the `lines` that are due at each proxy go now.

        Zero if so few fit that they are not worth a message's head, as the heads would fill the channel.
        """
        # Some lines may stay unconfirmed long after they have left, if a proxy does not acknowledge them.
        most = state.room_when_empty * (UNCONFIRMED_FILL if state.queued <= 0 else 1.0)
        min_lines = max(1, min(lines, max(state.head, lines / 2), most))
        return min(lines, state.room) if state.room >= min_lines else 0

    def max_prompt_lines(self, state):
        """Lines in total that may be queued so that a short withdrawal behind them is still in time."""
        available_us = self.setup.drain_grace_us - self.setup.max_transit_us
        return max(self.setup.lines_per_s * available_us / 1e6 - state.shortest_worthwhile, state.shortest_worthwhile)

    def max_repair_lines(self, state):
        """Lines in total that may be queued once a message with repair lines is sent.

        Repair lines end what fills the channel by itself, so they may use half of the time between the mean transit and
        the longest one. A withdrawal right behind them is late only if its transit takes longer than the middle.
        """
        available_us = self.setup.drain_grace_us - self.expected_transit_us
        withdrawal = (state.head + 1) * state.receivers
        return max(self.setup.lines_per_s * available_us / 1e6 - withdrawal, self.max_prompt_lines(state))

    @property
    def expected_transit_us(self):
        """The transit time allowed for where a message carries repair lines: the middle of the mean and the longest."""
        return (self.setup.transit_us + self.setup.max_transit_us) // 2

    def max_ordinary_lines(self, state):
        """Lines in total that may be queued once an ordinary message is sent."""
        setup = self.setup
        # Behind a long queue a withdrawal is too late, so what is usually queued must leave in a part of the grace.
        usual = min(
            setup.queue_lines * ORDINARY_FILL,
            self.sent_messages.pace_lines * setup.drain_grace_us / 1e6 * ORDINARY_GRACE,
        )
        # Where proxies are many, even the shortest message exceeds that, and tables would never change. It is sent on
        # an empty channel if a withdrawal behind it, which waits until enough lines are confirmed, is still in time.
        shortest = min(state.shortest_worthwhile, UNCONFIRMED_FILL * state.limit)
        withdrawal = (state.head + 1) * state.receivers
        delay_us = (max(0.0, shortest + withdrawal - state.limit) + withdrawal) / self.sent_messages.pace_lines * 1e6
        alone = state.queued < 0.1 * shortest and delay_us + 2 * setup.max_transit_us < setup.drain_grace_us
        return max(usual, shortest) if alone else usual

    # What was sent.

    def record_message(self, now, state, mark, lines, joined, has_repairs):
        """A message of `lines` at each proxy, head included, is handed over for `joined` proxies.

        `has_repairs`: it carries lines that slices need at once or that end repeats.
        """
        limit = self.max_repair_lines(state) if has_repairs else self.max_prompt_lines(state)
        max_queued = max(limit, state.head * state.receivers)
        if state.queued + lines * state.receivers > max_queued:
            self.violations["message that holds up a withdrawal"] += 1
        if state.unconfirmed + lines * state.receivers > self.setup.queue_lines:
            self.violations["message beyond the queue's limit"] += 1
        self.sent_messages.add(now, mark, lines, state.queued, joined)
        self.send_times.append(now)
