"""A connection of the HTTP server and its requests.

What arrives waits in `input` until the server gives the connection time (`process`). A head goes to the parser only
when it is complete and short enough, so that no head can take much time or memory.
"""

import re

import h11

MAX_HEAD = 32 << 10  # bytes of a request head
MAX_HEAD_LINES = 200  # lines of a request head: very many short fields take far more memory than bytes
READ_SIZE = 16 << 10  # bytes that a connection may deliver in a turn of the loop
MAX_WAITING_INPUT = 16 << 10  # bytes that may wait behind a request without a response; then reading stops
LINGER_US = 500_000  # for which a refused client may go on sending until it has read the refusal
NO_ROOM = "no room for requests"
END_OF_HEAD = re.compile(rb"\n\r?\n")


class Request:
    """A request. `headers` is a dictionary by lower-case name, `body` is bytes.

    Handlers may keep state in `connection.context` for as long as the connection lasts.
    """

    __slots__ = ("method", "path", "headers", "body", "connection", "responded")

    def __init__(self, method, path, headers, body, connection):
        self.method, self.path, self.headers, self.body = method, path, headers, body
        self.connection, self.responded = connection, False

    def respond(self, status, headers=(), body=b""):
        """Send the response; only the first call has an effect. `headers`: (name, value) pairs."""
        if not self.responded:
            self.responded = True
            self.connection._respond(status, headers, body)


class Connection:
    """A connection of a client; `on_closed(reason)`, if set, is called when it ends.

    `pending_request` is the request that has no response yet. `began_us`: when the present request began to arrive,
    None before that; `idle_since_us`: when the connection was opened or the last response was sent.
    """

    def __init__(self, server, stream):
        self.server, self.stream, self.http = server, stream, h11.Connection(h11.SERVER, MAX_HEAD)
        self.context, self.on_closed, self.head, self.pending_request = None, None, None, None
        self.input, self.body, self.head_searched, self.head_lines = bytearray(), bytearray(), 0, 0
        self.counted_bytes, self.scheduled, self.refused, self.rest_refused = 0, False, False, False
        self.began_us, self.idle_since_us = None, server.loop.now()
        stream.read_size = READ_SIZE
        stream.start(self._received, self._closed)

    @property
    def open(self):
        """Whether the stream is still open."""
        return self.stream.open

    @property
    def incomplete(self):
        """Whether a part of a request has arrived and the rest has not."""
        return self.pending_request is None and bool(self.head is not None or self.input)

    @property
    def unhandled_bytes(self):
        """Number of bytes of requests that are incomplete or wait behind another one."""
        return len(self.input) + len(self.body)

    @property
    def buffered_bytes(self):
        """Number of bytes that are kept of requests without a response."""
        pending = len(self.pending_request.body) if self.pending_request is not None else 0
        return self.unhandled_bytes + pending

    def _closed(self, reason):
        self.input, self.body = bytearray(), bytearray()
        self.server.remove(self)
        if self.on_closed is not None:
            self.on_closed(reason)

    def close(self):
        """Close once all that was written has been sent."""
        self.stream.close()

    def abort(self, reason):
        """Reset the connection."""
        self.stream.abort(reason)
        if self.on_closed is None:
            self.server.remove(self)

    def end_if_idle(self):
        """Close the connection unless a request is pending or incomplete; for the end of the server.

        What has arrived by now is handled first: closing a socket with unread data would send a reset.
        """
        self.stream.read_now()
        self.process()
        if self.pending_request is None and not self.incomplete and not self.refused:
            self.stream.close()

    def give_up(self):
        """Refuse the pending or incomplete request, which could not be served in time; for the end of the server."""
        if self.pending_request is not None:
            self.pending_request.respond(503, [("connection", "close"), ("retry-after", "1")])
        elif self.stream.open:
            self.refuse(503, "incomplete at the end")

    def refuse_for_room(self):
        """Refuse what is incomplete, or what waits behind the pending request as soon as that has its response."""
        if self.pending_request is None:
            self.refuse(503, NO_ROOM)
            return
        self.input, self.rest_refused = bytearray(), True
        self.stream.pause()
        self.server.count_buffered(self)

    def refuse(self, status, reason):
        """Refuse what the client sends, and close."""
        if self.refused or not self.stream.open:
            return
        self.server.counts[reason] += 1
        self.refused, self.input, self.body, self.head = True, bytearray(), bytearray(), None
        try:
            head = h11.Response(status_code=status, headers=[("connection", "close"), ("content-length", "0")])
            self.stream.write(self.http.send(head) + self.http.send(h11.EndOfMessage()))
        except h11.LocalProtocolError:
            pass  # within a response: only closing is possible
        self.server.count_buffered(self)
        self.stream.linger_and_close(LINGER_US)

    def _received(self, data):
        if self.refused:
            return
        if self.began_us is None:
            self.began_us = self.server.loop.now()
        self.input += data
        if self.pending_request is not None and len(self.input) > MAX_WAITING_INPUT:
            self.stream.pause()
        self.server.count_buffered(self)
        if self.pending_request is None:
            self.server.schedule(self)

    def process(self, deadline_us=None):
        """Handle what has arrived, until `deadline_us` if given; returns whether more can be handled now."""
        try:
            while self.stream.open and not self.refused and self.pending_request is None:
                if not self._process_event():
                    return False
                if deadline_us is not None and self.server.loop.now() >= deadline_us:
                    return True
        except h11.RemoteProtocolError as error:
            self.refuse(getattr(error, "error_status_hint", 400) or 400, "malformed")
        finally:
            self.server.count_buffered(self)
        return False

    def _process_event(self):
        """Handle one event of the parser; returns whether there may be another one."""
        event = self.http.next_event()
        if event is h11.NEED_DATA:
            return self._feed()
        if event is h11.PAUSED:
            return False
        if isinstance(event, h11.Request):
            self.head, self.body = event, bytearray()
            if int(dict(event.headers).get(b"content-length", b"0")) > self.server.max_body:
                self.refuse(413, "too large")
        elif isinstance(event, h11.Data):
            self.body += event.data
            if len(self.body) > self.server.max_body:
                self.refuse(413, "too large")
        elif isinstance(event, h11.EndOfMessage):
            self._request_complete()
        elif isinstance(event, h11.ConnectionClosed):
            self.stream.close()
        return True

    def _feed(self):
        """Pass the next part of the input to the parser; returns whether there was one."""
        if self.head is None:
            return self._feed_head()
        if self.http.they_are_waiting_for_100_continue:
            self.stream.write(self.http.send(h11.InformationalResponse(status_code=100, headers=[])))
        if not self.input:
            return False
        data, self.input = bytes(self.input[:READ_SIZE]), self.input[READ_SIZE:]
        self.http.receive_data(data)
        return True

    def _feed_head(self):
        """Pass a head to the parser once it is complete; returns whether it is."""
        if self.input and self.input[0] <= ord(" "):  # no request begins so; the rest may never come
            self.refuse(400, "malformed")
            return False
        end = END_OF_HEAD.search(self.input, max(0, self.head_searched - 2))
        size = end.end() if end else len(self.input)
        self.head_lines += self.input.count(b"\n", self.head_searched, size)
        self.head_searched = size
        if size > MAX_HEAD or self.head_lines > MAX_HEAD_LINES:
            self.refuse(431, "malformed")
            return False
        if end is None:
            return False
        self.http.receive_data(bytes(self.input[:size]))
        del self.input[:size]
        self.head_searched = self.head_lines = 0
        return True

    def _request_complete(self):
        head, body = self.head, bytes(self.body)
        self.head, self.body = None, bytearray()
        headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in head.headers}
        request = Request(head.method.decode(), head.target.decode("latin-1"), headers, body, self)
        self.pending_request, self.began_us = request, None
        self.server.counts["requests"] += 1
        self.server.handle(request)

    def _respond(self, status, headers, body):
        if not self.stream.open:
            return
        head = [*headers, ("content-length", str(len(body)))] if status not in (204, 304) else list(headers)
        data = self.http.send(h11.Response(status_code=status, headers=head))
        if body and status not in (204, 304):
            data += self.http.send(h11.Data(data=body))
        data += self.http.send(h11.EndOfMessage())
        self.stream.write(data)
        self.pending_request, self.idle_since_us = None, self.server.loop.now()
        self.server.count_buffered(self)
        if self.http.our_state is h11.MUST_CLOSE:
            self.stream.close()
        elif self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self._begin_next_request()

    def _begin_next_request(self):
        """Go on with what has arrived behind the request that was answered."""
        behind, _ = self.http.trailing_data
        self.http = h11.Connection(h11.SERVER, MAX_HEAD)
        self.input[:0] = behind
        self.head_searched = self.head_lines = 0
        self.began_us = self.server.loop.now() if self.input else None
        if self.rest_refused:
            self.refuse(503, NO_ROOM)
            return
        if not self.stream.reading:
            self.stream.resume()
        self.server.schedule(self)
