"""How far withdrawals have come: from the word of the list to the last proxy's answer. No I/O, decides nothing.

    progress = DrainProgress(log, grace_us)
    progress.listed(now, workers)             # the list has these as draining or gone
    progress.ordered(now, workers, mark)      # a call withdraws these; its last order asks for answers to `mark`
    progress.joined(now, proxy); progress.left(proxy)
    progress.answered(now, proxy, mark)

One line of the log for each call that withdraws, once every proxy that was joined at the call has answered its mark or
a later one, or once the call has been followed by `CALLS_MOST` others. `late` counts answers to first withdrawals that
came later than the drain grace after the list's word. Times are microseconds on the loop's clock.
"""

from dataclasses import dataclass, field

CALLS_MOST = 32  # calls whose answers are awaited at once
PROXIES_LOGGED = 4


@dataclass
class Withdrawal:
    """One call that withdraws workers, and the proxies whose answer to its mark is still to come."""

    mark: int
    workers: int
    told_at: int  # when the list first said so of the worker that has waited longest
    sent_at: int
    first_told_at: int | None  # the earliest of those withdrawn for the first time since; None: all are repeats
    awaited: set = field(default_factory=set)


class DrainProgress:
    def __init__(self, log, grace_us):
        self.log, self.told, self.calls, self.proxies = log, {}, [], {}
        self.grace_us, self.late = grace_us, 0
        self.withdrawn = set()  # workers of `told` that some call has withdrawn

    def left_in(self, now, named):
        """Of the workers `named` by tables: how many the list has as draining or gone, and for how long at most."""
        since = [at for worker, at in self.told.items() if worker in named]
        return len(since), now - min(since, default=now)

    def ordered_before(self, workers):
        """How many of these have been withdrawn before since the list said so: a repeat."""
        return sum(worker in self.withdrawn for worker in workers)

    def listed(self, now, workers, ready):
        for worker in ready:
            self.told.pop(worker, None)
            self.withdrawn.discard(worker)
        for worker in workers:
            self.told.setdefault(worker, now)

    def joined(self, now, proxy):
        self.proxies[proxy] = now

    def left(self, proxy):
        self.proxies.pop(proxy, None)
        for call in self.calls:
            call.awaited.discard(proxy)

    def ordered(self, now, workers, mark):
        first = [self.told[worker] for worker in workers if worker in self.told and worker not in self.withdrawn]
        self.withdrawn.update(workers)
        told = min((self.told.get(worker, now) for worker in workers), default=now)
        self.calls.append(Withdrawal(mark, len(workers), told, now, min(first, default=None), set(self.proxies)))
        if len(self.calls) > CALLS_MOST:
            self._end(now, self.calls.pop(0))

    def answered(self, now, proxy, mark):
        """An answer to a mark is one to every earlier mark too: a proxy's messages come in order."""
        place = next((place for place, call in enumerate(self.calls) if call.mark == mark), None)
        if place is None:
            return
        for call in self.calls[: place + 1]:
            if proxy in call.awaited and call.first_told_at is not None:
                self.late += now - call.first_told_at > self.grace_us
            call.awaited.discard(proxy)
        for call in [call for call in self.calls[: place + 1] if not call.awaited]:
            self.calls.remove(call)
            self._end(now, call)

    def _end(self, now, call):
        self.log(
            "withdrawn",
            mark=call.mark,
            workers=call.workers,
            sent_ms=(call.sent_at - call.told_at) // 1000,
            ms=(now - call.told_at) // 1000,
            silent=sorted(call.awaited)[:PROXIES_LOGGED],
        )
