"""An HTTP/1.1 client of one connection: one request at a time, in the order of the calls.

    client = Client(loop, address)
    client.send_request("PUT", "/v3/tables", headers, body, on_response, timeout_us)

`on_response(response)` is called once. Without a response of the server `response.status` is 0 and `response.reason`
tells why. `response.sent` tells whether anything of the request was written; if not, the server has not begun it.

With `on_part`, each piece of the body of a response with status 200 is passed on as it arrives and is not kept. Then
`timeout_us` bounds the wait for the first piece and `idle_timeout_us` that for each later one; without `on_part`,
`timeout_us` bounds the whole exchange.
"""

from collections import deque

import h11

MAX_HEAD = 32 << 10  # bytes of a response head
MAX_BODY = 64 << 20  # bytes of a response body


class Response:
    """The response to a request, or the reason why there is none (status 0).

    `headers` is a dictionary by lower-case name, `body` is bytes.
    """

    __slots__ = ("status", "headers", "body", "reason", "sent")

    def __init__(self, status, headers=None, body=b"", reason="", sent=True):
        self.status, self.headers, self.body, self.reason, self.sent = status, headers or {}, body, reason, sent


class _PendingRequest:
    """A request that waits for its response; `on_part` may be None."""

    __slots__ = ("method", "path", "headers", "body", "on_response", "timeout_us", "on_part", "idle_timeout_us")

    def __init__(self, *values):
        (
            self.method,
            self.path,
            self.headers,
            self.body,
            self.on_response,
            self.timeout_us,
            self.on_part,
            self.idle_timeout_us,
        ) = values


class Client:
    """One persistent connection, which is opened at once and not opened again after it has ended.

    `on_closed(reason)`, if given, is called once when it ends; `max_body` limits the body of a response, in bytes.
    """

    def __init__(self, loop, address, connect_timeout_us=1_000_000, on_closed=None, max_body=MAX_BODY):
        self.loop, self.address, self.on_closed, self.max_body = loop, address, on_closed, max_body
        self.stream, self.http, self.queue, self.current = None, None, deque(), None
        self.closed, self.timer, self.head, self.body, self.body_size = False, None, None, [], 0
        self.dial = loop.connect(address, connect_timeout_us, self._connected)

    @property
    def idle(self):
        """Whether the connection can take a request and none is waiting."""
        return not self.closed and self.current is None and not self.queue

    @property
    def outstanding(self):
        """Number of requests without a response."""
        return len(self.queue) + (self.current is not None)

    def _connected(self, stream, reason):
        if stream is None:
            self._end(reason)
            return
        self.stream, self.http = stream, h11.Connection(h11.CLIENT, MAX_HEAD)
        stream.start(self._received, self._stream_closed)
        self._send_next()

    def send_request(self, method, path, headers, body, on_response, timeout_us, on_part=None, idle_timeout_us=None):
        """Queue a request; see the top of this module. `headers`: (name, value) pairs, `body`: bytes."""
        pending = _PendingRequest(
            method, path, headers, body, on_response, timeout_us, on_part, idle_timeout_us or timeout_us
        )
        if self.closed:
            self.loop.soon(lambda: on_response(Response(0, reason="closed", sent=False)))
            return
        self.queue.append(pending)
        if self.stream is not None and self.current is None:
            self._send_next()

    def _send_next(self):
        if not self.queue or self.closed:
            return
        pending = self.current = self.queue.popleft()
        self.timer = self.loop.after(pending.timeout_us, lambda: self.abort("timed out"))
        self.head, self.body, self.body_size = None, [], 0
        headers = [
            ("host", "{}:{}".format(*self.address)),
            *pending.headers,
            ("content-length", str(len(pending.body))),
        ]
        data = self.http.send(h11.Request(method=pending.method, target=pending.path, headers=headers))
        if pending.body:
            data += self.http.send(h11.Data(data=pending.body))
        self.stream.write(data + self.http.send(h11.EndOfMessage()))

    def _stream_closed(self, reason):
        if reason == "closed by the peer" and not self.closed:
            try:
                self._process_events(b"")  # this ends a response without a length
            except h11.RemoteProtocolError:
                pass  # the connection ended within a response
        self._end(reason)

    def _received(self, data):
        try:
            self._process_events(data)
        except h11.RemoteProtocolError:
            self.abort("malformed answer")

    def _process_events(self, data):
        self.http.receive_data(data)
        while not self.closed and self.current is not None:
            event = self.http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                self.head = event
            elif isinstance(event, h11.Data) and self.current.on_part and self.head.status_code == 200:
                self.timer.cancel()
                self.timer = self.loop.after(self.current.idle_timeout_us, lambda: self.abort("timed out"))
                self.current.on_part(bytes(event.data))
            elif isinstance(event, h11.Data):
                self.body_size += len(event.data)
                if self.body_size > self.max_body:
                    self.abort("answer too large")
                    return
                self.body.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._response_complete()
            elif isinstance(event, h11.ConnectionClosed):
                return

    def _response_complete(self):
        pending, self.current = self.current, None
        self.timer.cancel()
        headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in self.head.headers}
        response = Response(self.head.status_code, headers, b"".join(self.body))
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            pending.on_response(response)
            if self.current is None:
                self._send_next()
        else:
            pending.on_response(response)
            self.close()

    def _end(self, reason):
        if self.closed:
            return
        self.closed = True
        self.dial.cancel()
        if self.timer is not None:
            self.timer.cancel()
        current, unsent = self.current, list(self.queue)
        self.current = None
        self.queue.clear()
        if current is not None:
            current.on_response(Response(0, reason=reason, sent=True))
        for pending in unsent:
            pending.on_response(Response(0, reason=reason, sent=False))
        if self.on_closed is not None:
            self.on_closed(reason)

    def abort(self, reason):
        """Reset the connection; requests without a response get status 0 and this reason."""
        if self.stream is not None:
            self.stream.abort(reason)
        self._end(reason)

    def close(self):
        """Close the connection; requests without a response get status 0."""
        if self.stream is not None:
            self.stream.close()
        self._end("closed here")
