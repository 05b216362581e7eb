"""The links to the relay: one for calls, one for news, both dialled again whenever they break or fall silent.

    relay = Relay(loop, address, calls, news, counts, heard, chance, log)
    relay.orders()            # something was ordered
    relay.move(address)       # go over to another address, state kept

`heard(tuples)` is called with what the manager is to hear, `heard([], flush=True)` before what stands is compared.
Every wait is bounded: a half-open peer never resets.
"""

from . import relay_lines
from .frames import Unreadable

DIAL_US = 500_000
ANSWER_US = 150_000  # an answer comes within 50 ms or never; what is beyond is for a busy core
FOLLOW_US = 400_000
SILENT_US = 1_700_000  # a sign of life is due each second
QUIET_US = 60_000  # after so long without a line the snapshot has come
IDLE_US = 2_000_000  # the relay closes what stood idle: a call is not begun on such a connection
BACKOFF_US, BACKOFF_MOST_US = 20_000, 640_000
THROTTLED_US = 100_000
STALL_US = 30_000  # orders that have waited longer have not come to the channel when they were written


class Link:
    """One connection that is dialled until it is there; `backoff_us` grows with failures and is reset by an answer."""

    def __init__(self, loop, chance, on_up, on_data, on_down):
        self.loop, self.chance, self.stream, self.dialling = loop, chance, None, False
        self.on_up, self.on_data, self.on_down = on_up, on_data, on_down
        self.backoff_us, self.dials, self.not_before, self.turn, self.address = 0, 0, 0, 0, None

    def dial(self, address):
        if self.dialling or self.stream is not None:
            return
        self.dialling, self.address = True, address
        self.turn = turn = self.turn + 1

        def dialled(stream, reason):
            if turn != self.turn:
                if stream is not None:
                    stream.start(None, None)
                    stream.abort()
                return
            self.dialling = False
            if stream is None:
                self.failed(reason)
                self.on_down(reason)
                return
            self.stream = stream
            stream.start(lambda data: self.stream is stream and self.on_data(data),
                         lambda reason: self.stream is stream and self.drop(reason))
            self.on_up()

        def begin():
            if turn == self.turn:
                self.dials += 1
                self.loop.connect(address, DIAL_US, dialled)
        wait = self.not_before - self.loop.now()
        self.loop.after(wait, begin) if wait > 0 else begin()

    def failed(self, reason):
        self.not_before = self.loop.now() + int(self.backoff_us * self.chance.uniform(0.8, 1.2))
        self.backoff_us = min(BACKOFF_MOST_US, max(BACKOFF_US, self.backoff_us * 2))

    def well(self):
        self.backoff_us = 0

    def drop(self, reason):
        """Give this connection up; what was awaited on it is in doubt."""
        self.close()
        self.failed(reason)
        self.on_down(reason)

    def close(self):
        self.turn += 1
        stream, self.stream, self.dialling = self.stream, None, False
        if stream is not None and stream.open:
            stream.abort()


class Relay:
    def __init__(self, loop, address, calls, news, counts, heard, chance, log):
        self.loop, self.address, self.calls, self.news = loop, address, calls, news
        self.counts, self.heard, self.chance, self.log = counts, heard, chance, log
        self.call_link = Link(loop, chance, self._call_up, self._answer, self._call_down)
        self.call_lines, self.call_timer, self.used_at = None, None, 0
        self.news_link = self._news_link()
        self.next_link, self.follow_due = None, False
        self.news_link.dial(address)
        self.timer, self.held_until, self.quiet_timer, self.partial = None, 0, None, False
        self.waits_since = None  # since when orders wait without a break

    # News.

    def _news_link(self):
        link = Link(self.loop, self.chance, lambda: self._follow(link), lambda data: self._news(link, data),
                    lambda reason: self._news_down(link, reason))
        link.lines, link.following, link.timer = None, False, None
        return link

    def _bound(self, link, us, reason):
        if link.timer is not None:
            link.timer.cancel()
        link.timer = self.loop.after(us, lambda: link.drop(reason))

    def _follow(self, link):
        # What stands is compared with what was ordered: no call may be under way while it is read.
        self._bound(link, FOLLOW_US, "no answer to follow")
        link.lines, link.following = relay_lines.LineReader(), False
        self.follow_due = True
        if not self.calls.in_flight:
            self._ask_news(link)

    def _ask_news(self, link):
        self.follow_due = False
        link.stream.write(relay_lines.FOLLOW)

    def _news(self, link, data):
        try:
            lines = link.lines.feed(data)
            if lines and not link.following:
                said = relay_lines.answer(lines.pop(0))
                if said != ("following", 0):
                    raise Unreadable(f"answer to follow: {said}")
                self._following(link)
            heard = []
            for line in lines:
                if line == b"*":
                    self._flush(heard)
                    heard = []
                    self._settle(link)
                else:
                    heard += self.news.line(line)
        except Unreadable as problem:
            self.counts["news unreadable"] += 1
            link.drop(str(problem))
            return
        if link.following:
            self._bound(link, SILENT_US, "silent")
            self.partial = bool(link.lines.held)
            self._flush(heard)
            if self.news.in_snapshot:
                self._quiet(link)

    def _flush(self, heard):
        if heard:
            self.heard(heard)

    def _following(self, link):
        link.following = True
        link.well()
        self.counts["follows"] += 1
        if link is self.next_link:
            old, self.news_link, self.next_link = self.news_link, link, None
            old.timer = old.timer and old.timer.cancel()
            old.close()
        self.news.snapshot_begins()

    def _quiet(self, link):
        if self.quiet_timer is not None:
            self.quiet_timer.cancel()
        self.quiet_timer = self.loop.after(QUIET_US, lambda: self._quiet(link) if self.partial else self._settle(link))

    def _settle(self, link):
        if self.news.in_snapshot and link is self.news_link:
            self.heard([], flush=True)
            self._flush(self.news.snapshot_ended())
            self.orders()

    def _news_down(self, link, reason):
        link.timer = link.timer and link.timer.cancel()
        if link.following or link.backoff_us > BACKOFF_US:
            self.counts[f"news broken: {reason}"] += 1
        self.news.in_snapshot = self.partial = link.following = False
        self.quiet_timer = self.quiet_timer and self.quiet_timer.cancel()
        if link is self.next_link or self.next_link is None:
            link.dial(self.address)

    # Calls.

    @property
    def stalled(self):
        return self.waits_since is not None and self.loop.now() - self.waits_since > STALL_US

    def orders(self):
        """Send what is ordered, if the connection is there and no call is in flight."""
        if self.waits_since is None and self.calls.waiting:
            self.waits_since = self.loop.now()
        if self.calls.in_flight or not self.calls.waiting or self.news.in_snapshot or self.follow_due:
            return
        if self.loop.now() < self.held_until:
            if self.timer is None:
                self.timer = self.loop.at(self.held_until, self._held)
            return
        link = self.call_link
        if link.stream is not None and (link.address != self.address or self.loop.now() - self.used_at > IDLE_US):
            link.close()
        if link.stream is None:
            link.dial(self.address)
            return
        self.used_at = self.loop.now()
        link.stream.write(self.calls.take())
        self.call_timer = self.loop.after(ANSWER_US, lambda: link.drop("no answer"))

    def _held(self):
        self.timer = None
        self.orders()

    def _call_up(self):
        self.call_lines, self.used_at = relay_lines.LineReader(most=1024), self.loop.now()
        self.orders()

    def _answer(self, data):
        try:
            lines = self.call_lines.feed(data)
        except Unreadable:
            self.call_link.drop("unreadable answer")
            return
        for line in lines:
            before, said = self.calls.taken, relay_lines.answer(line)
            settled = said and self.calls.in_flight and (
                said[0] == "taken" and self.calls.answered(said[1])
                or said[0] == "refused" and said[1] in ("throttled", "invalid") and self._refused(said[1]))
            if not settled:
                self.call_link.drop("unreadable answer")
                return
            self.call_timer = self.call_timer and self.call_timer.cancel()
            self.call_link.well()
            if settled[0] and self.stalled:
                self.heard([("stalled", before)])
            self.waits_since = self.loop.now() if self.calls.waiting else None
            for text in settled[1]:
                self.log("order refused", order=text)
        self._after_call()

    def _refused(self, why):
        """The call was not carried out: it is sent again a little later, in halves if it could not be read."""
        self.counts[f"calls {why}"] += 1
        if why == "invalid":
            if len(self.calls.in_flight) == 1:
                return self.calls.answered(0)
            self.calls.most = len(self.calls.in_flight) // 2
        self.calls.unsettled()
        self.held_until = self.loop.now() + THROTTLED_US
        return [], []

    def _after_call(self):
        if self.follow_due and not self.calls.in_flight:
            for link in (self.next_link, self.news_link):
                if link is not None and link.stream is not None and not link.following:
                    self._ask_news(link)
                    return
            self.follow_due = False
        self.orders()

    def _call_down(self, reason):
        self.call_timer = self.call_timer and self.call_timer.cancel()
        if self.calls.in_flight:
            self.counts[f"call in doubt: {reason}"] += 1
            self.calls.unsettled()
        self._after_call()

    # Another address.

    def move(self, address):
        """News is asked for at the new address first; the old one is let go once that is there."""
        if address == self.address:
            return
        self.address = address
        if not self.calls.in_flight:
            self.call_link.close()
        if self.next_link is not None:
            self.next_link.timer = self.next_link.timer and self.next_link.timer.cancel()
            self.next_link.close()
        self.next_link = self._news_link()
        self.next_link.dial(address)

    @property
    def bursting(self):
        """Whether more of what belongs together is on its way: half a line, or a slice's rows."""
        return self.news.in_snapshot or self.partial or self.news.rows_follow

    def close(self):
        for link in (self.call_link, self.news_link, self.next_link):
            if link is not None:
                link.close()
