"""The links to the relay, one for calls and one for news; both are opened again when they break or fall silent.

    relay = Relay(loop, address, calls, news, counts, on_events, rng, log)
    relay.send_orders()       # orders have been queued
    relay.move(address)       # change to another address, keep all state

`on_events(events)` is called with events for the manager, and `on_events([], flush=True)` before a snapshot is compared
with what was known, so that earlier events are handled first. Every wait has a time limit, as a half-open connection is
never reset.

A stream of news begins with a snapshot, which is compared with what was ordered. So no call may be in flight from the
request for news until the snapshot has been read: a new connection for news waits until the call in flight has ended
(Phase.HELD), and calls wait while news has been requested (Phase.ASKED) or a snapshot is being read.
"""

from enum import Enum

from . import relay_lines
from .frames import UnreadableMessage
from .link import MIN_BACKOFF_US, Link

ANSWER_TIMEOUT_US = 150_000  # the relay answers a call within 50 ms or never; the rest allows for a busy core
FOLLOW_TIMEOUT_US = 400_000  # for the answer to a request for news
NEWS_SILENCE_US = 1_700_000  # without any line; the relay sends a keep-alive line every second
SNAPSHOT_QUIET_US = 60_000  # after this time without a line a snapshot counts as complete
MAX_IDLE_US = 2_000_000  # the relay closes idle connections, so a call is not sent on one idle for longer
THROTTLED_US = 100_000  # until a refused call is sent again
MAX_WAIT_US = 30_000  # orders that wait for longer are reported to the manager as a stalled channel


class Phase(Enum):
    """How far a link for news has got on its present connection; the values appear in the log."""

    DOWN = "down"
    HELD = "held"  # connected, but news is not requested yet because a call is in flight
    ASKED = "asked"  # news has been requested
    FOLLOWING = "following"  # news arrives


class Relay:
    """Sends the orders in `calls` to the relay and passes its news to `news`, which are a `Calls` and a `News`."""

    def __init__(self, loop, address, calls, news, counts, on_events, rng, log):
        self.loop, self.address, self.calls, self.news = loop, address, calls, news
        self.counts, self.on_events, self.rng, self.log = counts, on_events, rng, log
        self.call_link = Link(loop, rng, self._call_link_up, self._answer_received, self._call_link_down)
        self.answer_reader, self.call_link_used_us = None, 0
        self.news_link, self.next_link = self._new_news_link(), None  # `next_link`: to the new address during a move
        self.news_link.dial(address)
        # No call is sent before `held_until_us`; `partial_line`: the last data of news ended within a line.
        self.hold_timer, self.held_until_us, self.quiet_timer, self.partial_line = None, 0, None, False
        self.closed = False
        self.waiting_since_us = None  # since when there have always been orders waiting, or None

    # News.

    def _new_news_link(self):
        link = Link(
            self.loop,
            self.rng,
            lambda: self._news_link_up(link),
            lambda data: self._news_received(link, data),
            lambda reason: self._news_link_down(link, reason),
        )
        link.reader, link.phase = None, Phase.DOWN
        return link

    def _links_in_phase(self, phase):
        return [link for link in (self.next_link, self.news_link) if link is not None and link.phase is phase]

    def _news_link_up(self, link):
        link.reader, link.phase = relay_lines.LineReader(), Phase.HELD
        self._request_news()

    def _request_news(self):
        """Request news on each connection that waits for that, unless a call is in flight."""
        if self.calls.in_flight:
            return
        for link in self._links_in_phase(Phase.HELD):
            link.phase = Phase.ASKED
            link.set_timeout(FOLLOW_TIMEOUT_US, "no answer to follow")
            link.stream.write(relay_lines.FOLLOW)

    def _news_received(self, link, data):
        events, accepted_mark = [], self.calls.accepted_mark
        try:
            lines = link.reader.feed(data)
            if lines and link.phase is not Phase.FOLLOWING:
                answer = relay_lines.parse_answer(lines.pop(0))
                if answer != ("following", 0) or link.phase is not Phase.ASKED:
                    raise UnreadableMessage(f"answer to follow: {answer}")
                self._news_begins(link)
            for line in lines:
                if line == b"*":
                    self._pass_on(events)
                    events = []
                    self._end_snapshot(link)
                else:
                    events += self.news.handle_line(line)
        except UnreadableMessage as error:
            self.counts["news unreadable"] += 1
            self._pass_on(events)  # the lines before are valid, and the next snapshot is compared with them
            link.drop(str(error))
            return
        if link.phase is Phase.FOLLOWING:
            link.set_timeout(NEWS_SILENCE_US, "silent")
            self.partial_line = bool(link.reader.partial)
            self._pass_on(events)
            if self.calls.accepted_mark != accepted_mark:
                self._call_proven()
            if self.news.in_snapshot:
                self._restart_quiet_timer(link)

    def _pass_on(self, events):
        if events:
            self.on_events(events)

    def _news_begins(self, link):
        link.phase = Phase.FOLLOWING
        link.reset_backoff()
        self.counts["follows"] += 1
        if link is self.next_link:
            old, self.news_link, self.next_link = self.news_link, link, None
            old.close()
        self.news.begin_snapshot()
        self.on_events([("acknowledgements_lost",)])

    def _restart_quiet_timer(self, link):
        if self.quiet_timer is not None:
            self.quiet_timer.cancel()
        self.quiet_timer = self.loop.after(
            SNAPSHOT_QUIET_US,
            lambda: self._restart_quiet_timer(link) if self.partial_line else self._end_snapshot(link),
        )

    def _end_snapshot(self, link):
        if self.news.in_snapshot and link is self.news_link:
            self.on_events([], flush=True)
            events = self.news.end_snapshot()
            self.log(
                "snapshot read",
                proxies=len(self.news.joined),
                slices=len(self.news.granted),
                differences=len(events),
            )
            self._pass_on(events)
            self.send_orders()

    def _news_link_down(self, link, reason):
        if link.phase is Phase.FOLLOWING or link.backoff_us > MIN_BACKOFF_US:
            self.counts[f"news broken: {reason}"] += 1
        self.log("news ended", reason=reason, phase=link.phase.value)
        link.phase = Phase.DOWN
        if link is self.news_link:  # the snapshot on `news_link` goes on if it is the other link that ended
            self.news.in_snapshot = self.partial_line = False
            self.quiet_timer = self.quiet_timer and self.quiet_timer.cancel()
        if link is self.next_link or self.next_link is None:
            link.dial(self.address)
        self.send_orders()  # orders may have waited for news that was requested on this link

    # Calls.

    @property
    def stalled(self):
        """Whether orders have been waiting for too long."""
        return self.waiting_since_us is not None and self.loop.now() - self.waiting_since_us > MAX_WAIT_US

    def send_orders(self):
        """Send the next call if orders wait, no call is in flight and no snapshot is awaited or being read.

        If there is no usable connection, one is opened and the call is sent when it is up.
        """
        if self.waiting_since_us is None and self.calls.waiting:
            self.waiting_since_us = self.loop.now()
        news_requested = self.news.in_snapshot or self._links_in_phase(Phase.HELD) or self._links_in_phase(Phase.ASKED)
        if self.closed or self.calls.in_flight or not self.calls.waiting or news_requested:
            return
        if self.loop.now() < self.held_until_us:
            if self.hold_timer is None:
                self.hold_timer = self.loop.at(self.held_until_us, self._hold_ended)
            return
        link = self.call_link
        if link.stream is not None and (
            link.address != self.address or self.loop.now() - self.call_link_used_us > MAX_IDLE_US
        ):
            link.close()
        if link.stream is None:
            link.dial(self.address)
        elif link.usable:  # if not, its end is reported within this turn, and a call written now would be in doubt
            self.call_link_used_us = self.loop.now()
            link.stream.write(self.calls.next_call())
            self.calls.call_written(self.loop.now(), len(self.news.joined))
            if fields := self.calls.log_fields():
                self.log("call", **fields)
            link.set_timeout(ANSWER_TIMEOUT_US, "no answer")

    def _hold_ended(self):
        self.hold_timer = None
        self.send_orders()

    def _call_link_up(self):
        self.answer_reader, self.call_link_used_us = relay_lines.LineReader(max_length=1024), self.loop.now()
        self.send_orders()

    def _answer_received(self, data):
        try:
            lines = self.answer_reader.feed(data)
        except UnreadableMessage:
            self.call_link.drop("unreadable answer")
            return
        for line in lines:
            mark_before, answer = self.calls.accepted_mark, relay_lines.parse_answer(line)
            settled = (
                answer
                and self.calls.in_flight
                and (
                    answer[0] == "taken"
                    and self.calls.call_accepted(answer[1])
                    or answer[0] == "refused"
                    and answer[1] in ("throttled", "invalid")
                    and self._call_refused(answer[1])
                )
            )
            if not settled:
                self.call_link.drop("unreadable answer")
                return
            self.call_link.clear_timeout()
            self.call_link.reset_backoff()
            if settled[0] and self.stalled:
                self.on_events([("channel_stalled", mark_before)])
            self.waiting_since_us = self.loop.now() if self.calls.waiting else None
            for text in settled[1]:
                self.log("order refused", order=text)
            if settled[1]:
                self.on_events([("alarm_fired", 0)])  # start a round, as a refused order may have to be repeated
        self._call_ended()

    def _call_refused(self, reason):
        """The call was not carried out: send it again a little later, in halves if the relay found it invalid.

        Returns keys and texts like `Calls.call_accepted`.
        """
        self.counts[f"calls {reason}"] += 1
        self.calls.call_not_executed()
        if reason == "invalid":
            if len(self.calls.in_flight) == 1:
                return self.calls.call_accepted(0)
            self.calls.max_orders = len(self.calls.in_flight) // 2
        self.calls.requeue_call()
        self.held_until_us = self.loop.now() + THROTTLED_US
        return [], []

    def _call_ended(self):
        self._request_news()
        self.send_orders()

    def _call_link_down(self, reason):
        if self.calls.in_flight:
            self.counts[f"call in doubt: {reason}"] += 1
            # If the call was carried out, its lines wait in the channel, and sending it again at once would fill the
            # channel with them twice. So it is held until they and the lines ahead of them would have left, unless its
            # mark is acknowledged before.
            hold_us = self.calls.hold_time_us(self.loop.now(), len(self.news.joined))
            in_doubt = self.calls.call_in_doubt()
            self.log("call in doubt", reason=reason, proven=not in_doubt, hold_ms=hold_us // 1000 if in_doubt else 0)
            if in_doubt:
                self.held_until_us = self.loop.now() + hold_us
            else:
                self._call_proven()
        self._call_ended()

    def _call_proven(self):
        """An acknowledged mark has proved that the call in doubt was carried out."""
        self.counts["calls proven by a mark"] += 1
        self.log("call proven", waiting=len(self.calls.waiting))
        self.waiting_since_us = self.loop.now() if self.calls.waiting else None
        self.held_until_us = self.loop.now()
        self.send_orders()

    # Another address.

    def move(self, address):
        """Change to another address. The present link for news is closed only when news arrives from the new one."""
        if address == self.address:
            return
        self.address = address
        if not self.calls.in_flight:
            self.call_link.close()
        if self.next_link is not None:
            self.next_link.close()
        self.next_link = self._new_news_link()
        self.next_link.dial(address)
        self.send_orders()

    @property
    def bursting(self):
        """Whether news that belongs together is still incomplete: a snapshot, a line, or the rows of a slice."""
        return self.news.in_snapshot or self.partial_line or self.news.rows_follow

    def close(self):
        """Close all links at once."""
        self.closed = True
        for link in (self.call_link, self.news_link, self.next_link):
            if link is not None:
                link.close()
