"""Measures which slices have no server that proxies can use, and how long ready servers stay withdrawn.

    coverage = TableCoverage(log, limit_us)
    coverage.update(now, tables, ready, withdrawn)   # after a round; does nothing within UPDATE_INTERVAL_US
    coverage.fields(now)                             # for the "counts" line of the log

No I/O, no decisions. Workers and slices are indices. Times are microseconds on the loop's clock.
"""

UPDATE_INTERVAL_US = 200_000
MAX_LOGGED_SLICES = 4


class TableCoverage:
    """Logs with `log` when slices lose their last usable server and regain one, and when servers are readmitted.

    `limit_us`: how long a slice may lack a usable server. `over_limit` counts the slices that lacked one for longer.
    A server is usable if the list has it as ready and it is not withdrawn.
    """

    def __init__(self, log, limit_us):
        self.log, self.limit_us, self.over_limit = log, limit_us, 0
        # Since when each slice has no usable server; since when each ready server is withdrawn.
        self.unserved_since, self.held_since, self.next_update_at = {}, {}, 0

    def update(self, now, tables, ready, withdrawn):
        """Compare the tables of all owned slices, {slice: {worker: weight}}, with the workers that are usable."""
        if now < self.next_update_at:
            return
        self.next_update_at = now + UPDATE_INTERVAL_US
        self._update_unserved(now, tables, ready - withdrawn)
        self._update_held(now, ready, withdrawn)

    def _update_unserved(self, now, tables, usable):
        unserved = {slice_index for slice_index, lines in tables.items() if usable.isdisjoint(lines)}
        begun = sorted(unserved - self.unserved_since.keys())
        ended = [self.unserved_since.pop(slice_index) for slice_index in self.unserved_since.keys() - unserved]
        for slice_index in begun:
            self.unserved_since[slice_index] = now
        if begun:
            self.log("slices without server", slices=len(begun), first=begun[:MAX_LOGGED_SLICES], usable=len(usable))
        if ended:
            self.over_limit += sum(now - since > self.limit_us for since in ended)
            self.log("slices served again", slices=len(ended), ms=(now - min(ended)) // 1000)

    def _update_held(self, now, ready, withdrawn):
        held = ready & withdrawn
        ended = {worker: self.held_since.pop(worker) for worker in self.held_since.keys() - held}
        readmitted = [since for worker, since in ended.items() if worker in ready]
        for worker in held - self.held_since.keys():
            self.held_since[worker] = now
        if readmitted:
            self.log("readmitted", workers=len(readmitted), ms=(now - min(readmitted)) // 1000, held=len(held))

    def fields(self, now):
        """Log fields: slices without a usable server and ready servers that are withdrawn, each with the longest."""
        return {
            "unserved_slices": len(self.unserved_since),
            "unserved_ms": (now - min(self.unserved_since.values(), default=now)) // 1000,
            "unserved_over_limit": self.over_limit,
            "ready_withdrawn": len(self.held_since),
            "ready_withdrawn_ms": (now - min(self.held_since.values(), default=now)) // 1000,
        }
