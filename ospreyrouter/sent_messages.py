"""What a manager knows about its channel: the messages sent, how much may still be in the channel, and its pace.

No I/O; the clock is an argument. Times are whole microseconds. A line is counted once for each proxy it goes to.
"""

from dataclasses import dataclass

MAX_SLOWDOWN = 8  # a channel is assumed to be at most this many times slower than the settings state


@dataclass
class SentMessage:
    """One message to all joined proxies.

    `unconfirmed`: lines in total that are not proven to have left the channel.
    `lines`: lines at each proxy, head included.
    `lines_ahead`: lines in total that were ahead of it in the channel, half of its own included; 0 once a proxy has
        acknowledged its mark.
    `proxies`: number of proxies joined when it was sent.
    `expires_at`: when it is taken to have left although no acknowledgement comes; None while acknowledgements are
        expected.
    """

    mark: int
    unconfirmed: float
    lines: float
    sent_at: int
    lines_ahead: float
    proxies: int
    expires_at: int | None = None


class SentMessages:
    """The messages that may still be in the channel, in the order sent.

    `pace_lines`: estimated lines per second that the channel carries. `free_at`: when it would have sent everything
    handed to it, at the pace stated in the settings.
    """

    def __init__(self, setup):
        self.setup, self.messages, self.pace_lines = setup, [], setup.lines_per_s
        self.free_at = 0

    def add(self, now, mark, lines, queued, proxies):
        """A message of `lines` at each of `proxies` proxies is sent, behind `queued` lines."""
        cost = lines * proxies
        self.messages.append(SentMessage(mark, cost, lines, now, queued + cost / 2, proxies))
        self._occupy(now, cost)

    def _occupy(self, now, lines):
        self.free_at = max(self.free_at, now) + int(lines / self.setup.lines_per_s * 1_000_000)

    def _index(self, mark):
        return next((index for index, message in enumerate(self.messages) if message.mark == mark), None)

    def acknowledge(self, mark, delay_us):
        """A proxy has acknowledged a mark `delay_us` after it was sent.

        Messages leave in order, so everything sent before it has left the channel.
        """
        index = self._index(mark)
        if index is None:
            return
        self.messages = self.messages[index:]
        message = self.messages[0]
        # More proxies may acknowledge than were known of when it was sent.
        message.unconfirmed = max(0.0, message.unconfirmed - message.lines)
        # The first acknowledgement of a mark shows the true pace: the lines ahead of it took that long to leave.
        if message.lines_ahead:
            leave_us, stated_pace = delay_us - self.setup.transit_us, self.setup.lines_per_s
            late = leave_us > self.setup.max_transit_us
            self.pace_lines = min(stated_pace, message.lines_ahead / leave_us * 1_000_000) if late else stated_pace
            message.lines_ahead = 0

    def merge(self, earlier, later):
        """Two messages were sent as one call that carries the mark `later`: they count as one, with one head."""
        earlier_index, later_index = self._index(earlier), self._index(later)
        if earlier_index is None or later_index is None:
            return
        first, second = self.messages[earlier_index], self.messages[later_index]
        head = self.setup.message_head
        second.lines += first.lines - head
        second.unconfirmed += max(0.0, first.unconfirmed - head * first.proxies)
        second.lines_ahead += first.lines * first.proxies / 2
        del self.messages[earlier_index]

    def expect_no_acknowledgements(self, now):
        """Messages sent so far will not be acknowledged: each counts until it would have left at the known pace."""
        for message in self.messages:
            own_lines = message.lines * message.proxies
            leaves_us = max(message.lines_ahead + own_lines / 2, own_lines) / self.pace_lines * 1_000_000
            message.expires_at = max(now, message.sent_at + int(leaves_us))

    def requeue_after(self, now, accepted_mark, proxies):
        """Messages after `accepted_mark` enter the channel only now, for `proxies` proxies."""
        index = self._index(accepted_mark)
        not_accepted = self.messages[0 if index is None else index + 1 :]
        lines = sum(message.lines * message.proxies for message in not_accepted)
        self.free_at = max(now, self.free_at - int(lines / self.setup.lines_per_s * 1_000_000))
        for message in not_accepted:
            message.unconfirmed = max(message.unconfirmed, message.lines * proxies)
            message.sent_at, message.proxies, message.expires_at = now, proxies, None
            self._occupy(now, message.lines * proxies)

    def drop_expired(self, now):
        """Drop messages that even the slowest channel would have sent by now."""
        slowest_us = self.setup.queue_lines / self.setup.lines_per_s * MAX_SLOWDOWN * 1_000_000
        since = now - slowest_us - self.setup.max_transit_us
        self.messages = [
            message
            for message in self.messages
            if message.sent_at > since and (message.expires_at is None or now < message.expires_at)
        ]

    def unconfirmed_and_queued(self, now, count, recent_us):
        """Returns the lines not proven to have left, and those of them that are not expected to have left yet.

        `count`: number of proxies that have joined, or may have. A message of the last `recent_us` may have gone to all
        of them.
        """
        unconfirmed, queued = (
            sum(sent.unconfirmed + self._late_lines(sent, now, count, recent_us) for sent in self.messages),
            0.0,
        )
        for message in self.messages:
            left_at = message.sent_at + message.lines_ahead / self.pace_lines * 1_000_000
            overdue = message.lines_ahead and now > left_at + self.setup.max_transit_us
            queued = unconfirmed if overdue else queued + message.unconfirmed * (message.lines_ahead and left_at > now)
        # The channel is no faster than stated, so this much cannot have left unless an acknowledgement proves it.
        unsent = max(0, self.free_at - now) / 1_000_000 * self.setup.lines_per_s
        return unconfirmed, max(queued, min(unconfirmed, unsent))

    def _late_lines(self, message, now, count, recent_us):
        """Lines to proxies that were reported after the message was sent, but may have joined before it left.

        All that joined before it left are reported before its first acknowledgement.
        """
        recent = self.setup.slice_count and message.lines_ahead and now - message.sent_at < recent_us
        return message.lines * max(0, count - message.proxies) if recent else 0.0

    def lines_per_proxy(self):
        """Lines of all messages that are kept, at one proxy."""
        return sum(message.lines for message in self.messages)
