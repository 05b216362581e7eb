"""One manager's channel: messages leave one after the other, at so many lines a second.

    channel = PacedChannel(lines_per_s, message_head, queue_lines)
    dropped = channel.order(now, proxies, lines, content)   # proxies whose streams must be closed
    for proxy, waiting in channel.due(now): ...             # to be written now
    channel.taken(proxy, waiting)                           # the proxy's socket has taken it
    channel.broke(proxy)                                    # its stream broke: what waited for it is lost

A line waits from its order until the proxy's socket has taken it: a proxy that does not read makes the queue
longer, as the slow channel of the operators does. The limit holds whatever is ordered: what does not fit is not
queued, and the proxies concerned have to read the store again, which brings them the newest tables at once.
"""

from collections import deque


class Waiting:
    """One message for one proxy."""

    __slots__ = ("proxy", "lines", "content", "ordered_us", "released", "lost")

    def __init__(self, proxy, lines, content, ordered_us):
        self.proxy, self.lines, self.content, self.ordered_us = proxy, lines, content, ordered_us
        self.released, self.lost = False, False


class PacedChannel:
    """See the top of this module. Times in microseconds; lines are those of a message and of its head."""

    def __init__(self, lines_per_s, message_head, queue_lines, messages_most=0, messages_over_us=0):
        self.lines_per_s, self.head, self.limit = lines_per_s, message_head, queue_lines
        self.messages_most, self.messages_over_us = messages_most, messages_over_us
        self.queue, self.free_at = deque(), 0.0
        self.by_proxy, self.waiting, self.longest = {}, 0.0, 0.0
        self.written = {}  # by proxy: when messages were ordered, where their number is limited
        self.lines_ordered = self.lines_sent = self.refused = 0

    def joined(self, proxy):
        self.by_proxy.setdefault(proxy, set())
        self.written[proxy] = deque()

    def order(self, now, proxies, lines, content):
        """Queue one message for each proxy; returns those for whom it would not fit."""
        dropped = []
        for proxy in proxies:
            if proxy not in self.by_proxy:
                continue
            cost = lines + self.head
            if self.waiting + cost > self.limit or self._too_many(now, proxy):
                self.refused += 1
                dropped.append(proxy)
                continue
            row = Waiting(proxy, cost, content, now)
            self.queue.append(row)
            self.by_proxy[proxy].add(row)
            self.waiting += cost
            self.lines_ordered += cost
        self.longest = max(self.longest, self.waiting)
        return dropped

    def _too_many(self, now, proxy):
        if not self.messages_most:
            return False
        times = self.written[proxy]
        while times and now - times[0] >= self.messages_over_us:
            times.popleft()
        if len(times) >= self.messages_most:
            return True
        times.append(now)
        return False

    def next_at(self, now):
        """When the next message may leave, or None."""
        while self.queue and self.queue[0].lost:
            self.queue.popleft()
        return max(now, round(self.free_at)) if self.queue else None

    def due(self, now):
        """Messages whose time to leave has come, in order."""
        out = []
        while self.queue:
            row = self.queue[0]
            if row.lost:
                self.queue.popleft()
                continue
            # An idle channel does not save up pace: a burst after a pause leaves no faster.
            start = max(self.free_at, row.ordered_us)
            if start > now:
                break
            self.queue.popleft()
            self.free_at = start + row.lines / self.lines_per_s * 1_000_000
            row.released = True
            out.append((row.proxy, row))
        return out

    def taken(self, proxy, row):
        rows = self.by_proxy.get(proxy)
        if rows is not None and row in rows:
            rows.discard(row)
            self.waiting -= row.lines
            self.lines_sent += row.lines

    def broke(self, proxy):
        """Forget a proxy; what waited for it is lost."""
        for row in self.by_proxy.pop(proxy, ()):
            row.lost = True
            self.waiting -= row.lines
        self.written.pop(proxy, None)
