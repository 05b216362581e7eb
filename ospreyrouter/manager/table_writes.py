"""Tables on their way into the store, one write at a time; what it refuses is kept and tried again.

writes = TableWrites(tables, counts, log, name)
writes.save([table, ...], cause, then)      # then(stored) once they, or what came after them, are stored or refused
writes.unsaved                              # tables by slice that the store lacks
"""


class TableWrites:
    """See the top of this module."""

    def __init__(self, tables, counts, log, name):
        self.tables, self.counts, self.log, self.name = tables, counts, log, name
        self.unsaved, self.saving, self.behind, self.causes, self.savers = {}, False, False, {}, []

    def save(self, tables, cause="", then=None):
        """Into the store. A store that refuses does not stop drains: what it lacks is kept and tried again.
        `then(stored)` is called when these tables, or what came after them, are in the store or were refused."""
        if then is not None:
            self.savers.append((tables, then))
        self.causes.update((table.slice, cause) for table in tables)
        self.unsaved.update((table.slice, table) for table in tables)
        if self.saving or not self.unsaved:
            return
        self.saving, rows = True, dict(self.unsaved)

        def done(problem):
            self.saving = False
            if problem is not None:
                self.counts["store refused"] += 1
                if not self.behind:
                    self.log.error("store_refused", manager=self.name, reason=problem.strerror, tables=len(rows))
                self.behind = True
                savers, self.savers = self.savers, []
                for _, then in savers:
                    then(False)
                return
            self.unsaved = {item: table for item, table in self.unsaved.items() if rows.get(item) is not table}
            if self.behind:
                self.behind = False
                self.log.info("store_caught_up", manager=self.name)
            waiting = [row for row in self.savers if any(self.unsaved.get(table.slice) is table for table in row[0])]
            ended, self.savers = [row for row in self.savers if row not in waiting], waiting
            for _, then in ended:
                then(True)
            self.save([])

        # One write for each cause; the last one's end is the end of all, as they are done in order.
        causes = sorted({self.causes.get(item, "") for item in rows})
        for place, cause in enumerate(causes):
            some = [table for item, table in rows.items() if self.causes.get(item, "") == cause]
            self.tables.append(some, done if place + 1 == len(causes) else lambda problem: None, cause)
