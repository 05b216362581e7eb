"""Measures the progress of withdrawals, from the worker list to the last proxy's acknowledgement. No I/O, no decisions.

    progress = DrainProgress(log, grace_us)
    progress.list_received(now, not_ready, ready)     # workers that are draining or gone, workers that are ready
    progress.call_sent(now, workers, mark)            # a call withdraws these workers and ends with this mark
    progress.proxy_joined(now, proxy); progress.proxy_left(proxy)
    progress.mark_acknowledged(now, proxy, mark)

Each call with withdrawals is logged in one line, when every proxy that was joined at the call has acknowledged its mark
or a later one, or when MAX_TRACKED_CALLS further calls have followed. `late` counts acknowledgements of first
withdrawals that came later than the drain grace after the list had shown the worker as draining or gone. Times are
microseconds on the loop's clock.
"""

from dataclasses import dataclass, field

MAX_TRACKED_CALLS = 32
MAX_LOGGED_PROXIES = 4


@dataclass
class WithdrawalCall:
    """A call that withdraws workers, and the proxies that have not acknowledged its mark yet."""

    mark: int
    workers: int  # number of withdrawn workers
    unready_us: int  # when the list first showed the one that has waited longest as draining or gone
    sent_us: int
    first_unready_us: int | None  # the same among workers not withdrawn before; None if all are repeats
    awaited: set = field(default_factory=set)  # proxies


class DrainProgress:
    """Tracks withdrawals and logs them with `log`; `grace_us` is the drain grace."""

    def __init__(self, log, grace_us):
        # `unready_since`: time by worker that is draining or gone; `joined_us`: time by proxy.
        self.log, self.unready_since, self.calls, self.joined_us = log, {}, [], {}
        self.grace_us, self.late = grace_us, 0
        self.withdrawn = set()  # workers of `unready_since` that some call has withdrawn

    def unready_among(self, now, in_tables):
        """How many of these workers, named by tables, are draining or gone, and for how long the longest of them."""
        since = [unready_us for worker, unready_us in self.unready_since.items() if worker in in_tables]
        return len(since), now - min(since, default=now)

    def count_repeats(self, workers):
        """How many of these workers have been withdrawn already since they became unready."""
        return sum(worker in self.withdrawn for worker in workers)

    def list_received(self, now, not_ready, ready):
        """The worker list shows these workers as draining or gone, and these as ready."""
        for worker in ready:
            self.unready_since.pop(worker, None)
            self.withdrawn.discard(worker)
        for worker in not_ready:
            self.unready_since.setdefault(worker, now)

    def proxy_joined(self, now, proxy):
        """A proxy has joined; it is awaited from the next call on."""
        self.joined_us[proxy] = now

    def proxy_left(self, proxy):
        """A proxy has left; its acknowledgements are no longer awaited."""
        self.joined_us.pop(proxy, None)
        for call in self.calls:
            call.awaited.discard(proxy)

    def call_sent(self, now, workers, mark):
        """A call withdraws these workers and ends with this mark."""
        first = [
            self.unready_since[worker]
            for worker in workers
            if worker in self.unready_since and worker not in self.withdrawn
        ]
        self.withdrawn.update(workers)
        unready_us = min((self.unready_since.get(worker, now) for worker in workers), default=now)
        self.calls.append(
            WithdrawalCall(mark, len(workers), unready_us, now, min(first, default=None), set(self.joined_us))
        )
        if len(self.calls) > MAX_TRACKED_CALLS:
            self._finish(now, self.calls.pop(0))

    def mark_acknowledged(self, now, proxy, mark):
        """A proxy has acknowledged a mark and thereby all earlier marks, as its messages arrive in order."""
        index = next((index for index, call in enumerate(self.calls) if call.mark == mark), None)
        if index is None:
            return
        for call in self.calls[: index + 1]:
            if proxy in call.awaited and call.first_unready_us is not None:
                self.late += now - call.first_unready_us > self.grace_us
            call.awaited.discard(proxy)
        for call in [call for call in self.calls[: index + 1] if not call.awaited]:
            self.calls.remove(call)
            self._finish(now, call)

    def _finish(self, now, call):
        self.log(
            "withdrawn",
            mark=call.mark,
            workers=call.workers,
            sent_ms=(call.sent_us - call.unready_us) // 1000,
            ms=(now - call.unready_us) // 1000,
            silent=sorted(call.awaited)[:MAX_LOGGED_PROXIES],
        )
