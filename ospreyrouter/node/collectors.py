"""The listener of the manager: collectors that join and send reports, and connections that do not join.

    collectors = Collectors(loop, address, name_index, counts, on_events, max_unidentified)
    collectors.drain(on_done)      # for a limited time, answer what arrives; then close and call `on_done()`

A connection is unidentified until its peer joins as a collector by naming its zone. One that has not joined within
JOIN_TIMEOUT_US gets a NACK and is closed, even if it has sent a PING; so is one that sends anything else than PING
first. Before joining only short frames are accepted. When there are more than `max_unidentified` such connections, the
oldest one is rejected at once, so that descriptors remain for collectors and for this manager's own links. The only
message that a collector gets is PONG.

No peer may take all of the time or memory. In a turn of the loop a limited amount is read from each connection, and
rejected ones are closed for a limited time. A connection may send MAX_BYTES_BEFORE_JOIN before it joins; incomplete
messages of all collectors together may have `max_buffered_bytes`, and each has to be complete within MAX_PARTIAL_US.
"""

from collections import deque

from ..naming import Malformed
from . import frames
from .frames import FrameReader, UnreadableMessage

JOIN_TIMEOUT_US = 900_000
SWEEP_INTERVAL_US = 100_000  # between two searches for connections that did not join in time
MAX_FRAME_BEFORE_JOIN = 1024  # bytes
MAX_BYTES_BEFORE_JOIN = 64 << 10  # more PINGs than a caller sends until it has to have joined
READ_SIZE = 16 << 10  # bytes that a collector may deliver in a turn of the loop
READ_SIZE_BEFORE_JOIN = 1 << 10  # the same for a caller that has not joined
MAX_FINAL_BYTES = 16 << 10  # read at most from a rejected connection, for PINGs that arrived before its close
CLOSING_SLICE_US = 20_000  # time in a turn of the loop for closing rejected connections
MAX_PARTIAL_US = 15_000_000  # from the beginning of a collector's message to its end
DRAIN_QUIET_US = 40_000  # draining ends when no PING has arrived for this time
MAX_DRAIN_US = 400_000  # in any case it ends then: the platform kills no sooner than 0.7 s after SIGTERM
MAX_UNREAD = 128 << 10  # bytes that a peer may leave unread
MAX_PER_ZONE = 4  # collectors; beyond that, the one silent for longest is closed, as it may be half-open


class Caller:
    """A connection to the manager's address.

    `zone` is the index of the zone of a collector, None before it has joined. `partial_since_us`: when the incomplete
    message began, None if there is none. Times are microseconds on the loop's clock.
    """

    __slots__ = ("stream", "reader", "connected_us", "zone", "last_data_us", "partial_since_us")

    def __init__(self, stream, connected_us):
        self.stream, self.reader, self.connected_us = stream, FrameReader(), connected_us
        self.zone, self.last_data_us, self.partial_since_us = None, connected_us, None

    @property
    def partial_bytes(self):
        """Number of bytes of the incomplete message."""
        return len(self.reader.partial)


class Collectors:
    """Listens on `address` and passes reports on as events, with `on_events(events)`.

    `address` holds the actual address, `unidentified` and `collectors` the callers before and after joining, in the
    order of connecting and joining.
    """

    def __init__(self, loop, address, name_index, counts, on_events, max_unidentified, max_buffered_bytes):
        self.loop, self.name_index, self.counts, self.on_events, self.max_unidentified = (
            loop,
            name_index,
            counts,
            on_events,
            max_unidentified,
        )
        self.max_buffered_bytes = max_buffered_bytes
        self.unidentified, self.collectors = {}, {}
        self.rejected = deque()  # callers that are still to be closed
        self.closing_until_us = None  # until then callers may be closed in this turn of the loop; None if none was
        self.closing_caller = None  # the caller that is just being closed
        self.last_ping_us = 0
        self.listener = loop.listen(address, self._accepted)
        self.address = self.listener.address
        self._sweep()

    @property
    def unsent(self):
        """Number of callers to which some data has not been sent yet."""
        return sum(caller.stream.unsent > 0 for caller in [*self.unidentified, *self.collectors])

    def _accepted(self, stream):
        caller = Caller(stream, self.loop.now())
        stream.max_unsent, stream.read_size = MAX_UNREAD, READ_SIZE_BEFORE_JOIN
        self.unidentified[caller] = None
        stream.start(lambda data: self._data_received(caller, data), lambda reason: self._closed(caller))
        self.counts["callers"] += 1
        if len(self.unidentified) > self.max_unidentified:
            self._reject_unless_joining(next(iter(self.unidentified)), "crowded out")

    def _closed(self, caller):
        self.unidentified.pop(caller, None)
        if self.collectors.pop(caller, None):
            self.counts["collectors lost"] += 1

    def _reject_unless_joining(self, caller, reason):
        """Handle what has arrived by now, which may be the joining, then reject the caller if it has not joined.

        Data may have arrived unnoticed because this process was stopped.
        """
        caller.stream.read_now(MAX_FINAL_BYTES)
        if caller in self.unidentified:
            self._reject(caller, reason)

    def _reject(self, caller, reason):
        """Send NACK and close, in this turn of the loop or a later one."""
        self.counts[f"shown out: {reason}"] += 1
        self.unidentified.pop(caller, None)
        caller.stream.pause()
        self.rejected.append(caller)
        if self.closing_until_us is None:
            self._close_rejected()
        elif self.loop.now() < self.closing_until_us:
            self._close_with_nack(self.rejected.pop())

    def _close_rejected(self):
        """Close rejected callers for CLOSING_SLICE_US; the rest follows in the next turn."""
        self.closing_until_us = self.loop.now() + CLOSING_SLICE_US
        self.loop.soon(self._begin_slice)
        while self.rejected and self.loop.now() <= self.closing_until_us:
            self._close_with_nack(self.rejected.popleft())

    def _begin_slice(self):
        self.closing_until_us = None
        if self.rejected:
            self._close_rejected()

    def _close_with_nack(self, caller):
        self.closing_caller = caller
        caller.stream.resume()
        caller.stream.read_now(MAX_FINAL_BYTES)
        self.closing_caller = None
        caller.stream.write(frames.NACK)
        caller.stream.flush_and_close(0)

    def _sweep(self):
        self.loop.after(SWEEP_INTERVAL_US, self._sweep)
        self._reject_late()
        latest = self.loop.now() - MAX_PARTIAL_US
        for caller in list(self.collectors):
            if caller.partial_since_us is not None and caller.partial_since_us < latest:
                self._close_collector(caller, "message without end")

    def _reject_late(self):
        """Reject callers that have not joined in time, for CLOSING_SLICE_US; the rest follows in the next turn."""
        now = self.loop.now()
        for caller in list(self.unidentified):  # in the order of connecting
            if caller.connected_us > now - JOIN_TIMEOUT_US:
                break
            if self.loop.now() > now + CLOSING_SLICE_US:
                self.loop.soon(self._reject_late)
                break
            self._reject_unless_joining(caller, "did not join")

    def _data_received(self, caller, data):
        if caller in self.unidentified:
            self._read_before_join(caller, data)
        elif caller in self.collectors:
            self._read_reports(caller, data)
        elif caller is self.closing_caller:
            self._answer_final_pings(caller, data)

    def _answer_final_pings(self, caller, data):
        """Answer the PINGs that are read from a rejected caller just before its connection is closed."""
        try:
            messages = caller.reader.feed(data, MAX_FRAME_BEFORE_JOIN)
        except UnreadableMessage as error:
            messages = error.before
        for message in messages:
            if frames.message_kind(message) == "PING":
                self._answer_ping(caller)

    def _read_before_join(self, caller, data):
        try:
            # Reports may follow the joining at once; only frames up to the joining have to be short.
            messages = caller.reader.feed(
                data, MAX_FRAME_BEFORE_JOIN, lambda message: self._joining_zone(message) is not None
            )
        except UnreadableMessage as error:
            self._handle_before_join(caller, error.before)
            if caller in self.unidentified:
                self._reject(caller, f"unreadable: {error}")
            elif caller in self.collectors:
                self._close_collector(caller, f"unreadable: {error}")
        else:
            self._handle_before_join(caller, messages)
            self._note_partial(caller)
            if caller in self.unidentified and caller.stream.bytes_in > MAX_BYTES_BEFORE_JOIN:
                self._reject(caller, "too much before joining")

    def _handle_before_join(self, caller, messages):
        for index, message in enumerate(messages):
            if frames.message_kind(message) == "PING":
                self._answer_ping(caller)
                continue
            zone = self._joining_zone(message)
            if zone is None:
                self._reject(caller, "no collector")
                return
            self._join(caller, zone)
            self._handle_messages(caller, messages[index + 1 :])
            return

    def _answer_ping(self, caller):
        self.counts["pings answered"] += 1
        self.last_ping_us = self.loop.now()
        caller.stream.write(frames.PONG)

    def _joining_zone(self, message):
        """The index of the zone of a joining collector; None if the message is no joining or the zone is unknown."""
        joins = frames.message_kind(message) == "SOURCE" and isinstance(message.get("az"), str)
        return self.name_index.zone_indices.get(message["az"]) if joins else None

    def _join(self, caller, zone):
        del self.unidentified[caller]
        same_zone = [other for other in self.collectors if other.zone == zone]
        if len(same_zone) >= MAX_PER_ZONE:
            most_silent = min(same_zone, key=lambda other: other.last_data_us)
            most_silent.stream.flush_and_close()  # answers what has arrived by now
            self.collectors.pop(most_silent, None)
        caller.zone, caller.last_data_us, caller.stream.read_size = zone, self.loop.now(), READ_SIZE
        self.collectors[caller] = True
        self.counts["collectors joined"] += 1

    def _read_reports(self, caller, data):
        caller.last_data_us = self.loop.now()
        try:
            messages = caller.reader.feed(data)
        except UnreadableMessage as error:
            self._handle_messages(caller, error.before)
            self._close_collector(caller, f"unreadable: {error}")
            return
        self._handle_messages(caller, messages)
        self._note_partial(caller)

    def _note_partial(self, caller):
        """Note since when a message is incomplete; close the caller if all such messages together are too large."""
        if not caller.partial_bytes:
            caller.partial_since_us = None
            return
        if caller.partial_since_us is None:
            caller.partial_since_us = self.loop.now()
        if (
            caller in self.collectors
            and sum(other.partial_bytes for other in self.collectors) > self.max_buffered_bytes
        ):
            self._close_collector(caller, "no room for its message")

    def _close_collector(self, caller, reason):
        """Close a collector whose stream cannot be read any further; earlier messages have been handled."""
        self.counts[f"collector {reason}"] += 1
        del self.collectors[caller]
        caller.stream.close()

    def _handle_messages(self, caller, messages):
        events = []
        for message in messages:
            if frames.message_kind(message) == "PING":
                self._answer_ping(caller)
                continue
            try:
                events.append(frames.parse_report(message, self.name_index, caller.zone))
            except Malformed as error:
                kind = frames.message_kind(message)
                self.counts[f"report spoilt: {kind if kind in frames.REPORTS else 'other'} {error.cause}"] += 1
        if events:
            self.counts["reports"] += len(events)
            self.on_events(events)

    def drain(self, on_done):
        """For the end of the program: go on answering, also on new connections, then close and call `on_done()`.

        Ends when no PING has arrived for DRAIN_QUIET_US while callers could be accepted, at the latest after
        MAX_DRAIN_US.
        """
        self.last_ping_us, deadline_us = self.loop.now(), self.loop.now() + MAX_DRAIN_US

        def close_when_quiet():
            if self.listener.paused:  # callers may wait whose PINGs could not be read yet
                self.last_ping_us = self.loop.now()
            quiet_us = min(self.last_ping_us + DRAIN_QUIET_US, deadline_us)
            if self.loop.now() < quiet_us:
                self.loop.at(quiet_us, close_when_quiet)
                return
            self.close()
            on_done()

        close_when_quiet()

    def close(self):
        """Close everything at once, after sending what is unsent.

        Aborting instead would drop unsent answers, and unread data would turn the close into a reset.
        """
        self.listener.accept_all()
        self.listener.close()
        while self.rejected:
            self._close_with_nack(self.rejected.popleft())
        # Those with least unread come first: a crowd that floods does not use up the time in which others are answered.
        for caller in sorted([*self.unidentified, *self.collectors], key=lambda caller: caller.stream.unread_bytes):
            caller.stream.flush_and_close(MAX_FINAL_BYTES if caller in self.unidentified else None)
