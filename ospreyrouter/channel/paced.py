"""The channel of one manager: messages to all proxies leave one after the other at a limited rate of lines.

    channel = PacedChannel(lines_per_s, message_head, queue_lines)
    rejected = channel.enqueue(now, proxies, lines, content)   # proxies that must be disconnected
    for proxy, message in channel.release_due(now): ...        # may be written now
    channel.mark_sent(proxy, message)                          # has been written to the proxy's socket
    channel.remove_proxy(proxy)                                # its connection ended: its messages are discarded

A line counts as waiting from its order until it is written to the proxy's socket, so a proxy that does not read makes
the queue longer, as it would in the operators' own slow channel. The limit of waiting lines always holds: a message
that does not fit is not queued. The proxy concerned is disconnected and reads the store when it joins again, which
brings it the newest tables at once.
"""

from collections import deque


class QueuedMessage:
    """One message for one proxy. `lines` includes the message head; `lost` is set when the proxy is removed."""

    __slots__ = ("proxy", "lines", "content", "ordered_us", "released", "lost")

    def __init__(self, proxy, lines, content, ordered_us):
        self.proxy, self.lines, self.content, self.ordered_us = proxy, lines, content, ordered_us
        self.released, self.lost = False, False


class PacedChannel:
    """Queue with a limited rate of lines; see the module docstring.

    `message_head` is the number of lines that each message counts besides its own, `queue_lines` the maximum number of
    waiting lines. At most `max_messages` messages per proxy are accepted within `max_messages_span_us`; 0 is no limit.
    Times are in microseconds.
    """

    def __init__(self, lines_per_s, message_head, queue_lines, max_messages=0, max_messages_span_us=0):
        self.lines_per_s, self.head_lines, self.max_waiting_lines = lines_per_s, message_head, queue_lines
        self.max_messages, self.max_messages_span_us = max_messages, max_messages_span_us
        self.queue, self.next_release_us = deque(), 0.0
        self.messages_by_proxy, self.waiting_lines, self.peak_waiting_lines = {}, 0.0, 0.0
        self.order_times = {}  # {proxy: times of the accepted messages}, used if their number is limited
        self.lines_ordered = self.lines_sent = self.refused = 0

    def add_proxy(self, proxy):
        """Accept messages for a proxy."""
        self.messages_by_proxy.setdefault(proxy, set())
        self.order_times[proxy] = deque()

    def enqueue(self, now, proxies, lines, content):
        """Queue a message for each proxy and return the proxies for which it exceeds a limit."""
        rejected_proxies = []
        for proxy in proxies:
            if proxy not in self.messages_by_proxy:
                continue
            cost = lines + self.head_lines
            if self.waiting_lines + cost > self.max_waiting_lines or self._exceeds_message_limit(now, proxy):
                self.refused += 1
                rejected_proxies.append(proxy)
                continue
            message = QueuedMessage(proxy, cost, content, now)
            self.queue.append(message)
            self.messages_by_proxy[proxy].add(message)
            self.waiting_lines += cost
            self.lines_ordered += cost
        self.peak_waiting_lines = max(self.peak_waiting_lines, self.waiting_lines)
        return rejected_proxies

    def _exceeds_message_limit(self, now, proxy):
        """Count a message for a proxy, unless it is one too many within the span."""
        if not self.max_messages:
            return False
        recent = self.order_times[proxy]
        while recent and now - recent[0] >= self.max_messages_span_us:
            recent.popleft()
        if len(recent) >= self.max_messages:
            return True
        recent.append(now)
        return False

    def next_at(self, now):
        """The time at which the next message may be released, or None if none waits."""
        while self.queue and self.queue[0].lost:
            self.queue.popleft()
        return max(now, round(self.next_release_us)) if self.queue else None

    def release_due(self, now):
        """Remove the messages that may be written now from the queue; return (proxy, message) in their order."""
        due_messages = []
        while self.queue:
            message = self.queue[0]
            if message.lost:
                self.queue.popleft()
                continue
            # An idle channel accumulates no credit: a burst after a pause is paced like any other.
            start_us = max(self.next_release_us, message.ordered_us)
            if start_us > now:
                break
            self.queue.popleft()
            self.next_release_us = start_us + message.lines / self.lines_per_s * 1_000_000
            message.released = True
            due_messages.append((message.proxy, message))
        return due_messages

    def mark_sent(self, proxy, message):
        """Count the lines of a released message as sent, once it is written to the proxy's socket."""
        messages = self.messages_by_proxy.get(proxy)
        if messages is not None and message in messages:
            messages.discard(message)
            self.waiting_lines -= message.lines
            self.lines_sent += message.lines

    def remove_proxy(self, proxy):
        """Remove a proxy and discard its waiting messages."""
        for message in self.messages_by_proxy.pop(proxy, ()):
            message.lost = True
            self.waiting_lines -= message.lines
        self.order_times.pop(proxy, None)
