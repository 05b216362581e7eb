"""Writes tables to the store, one write at a time; tables that the store refuses are kept and written again.

    writes = TableWrites(tables, counts, log, name)
    writes.save([table, ...], cause, on_done)   # on_done(stored) when they, or later versions, are stored or refused
    writes.unsaved                              # {slice: table} that the store lacks

If several versions of a table wait, only the newest is written.
"""


class TableWrites:
    """Pending writes of one manager; see the module docstring. `tables` is the TableStore, `counts` a Counter."""

    def __init__(self, tables, counts, log, name):
        self.tables, self.counts, self.log, self.name = tables, counts, log, name
        self.unsaved, self.write_active, self.failing, self.causes, self.waiting_callbacks = {}, False, False, {}, []

    def save(self, tables, cause="", on_done=None):
        """Write tables, and all that are still unsaved. An empty list only repeats what was refused.

        A store that refuses does not delay drains: the tables are published all the same. `on_done(stored)` is called
        when these tables, or later versions of them, are in the store or were refused. `cause` is stored with each
        version.
        """
        if on_done is not None:
            self.waiting_callbacks.append((tables, on_done))
        self.causes.update((table.slice, cause) for table in tables)
        self.unsaved.update((table.slice, table) for table in tables)
        if self.write_active or not self.unsaved:
            return
        self.write_active, written = True, dict(self.unsaved)

        def done(error):
            self.write_active = False
            if error is not None:
                self.counts["store refused"] += 1
                if not self.failing:
                    self.log.error("store_refused", manager=self.name, reason=error.strerror, tables=len(written))
                self.failing = True
                callbacks, self.waiting_callbacks = self.waiting_callbacks, []
                for _, on_done in callbacks:
                    on_done(False)
                return
            self.unsaved = {
                slice_index: table
                for slice_index, table in self.unsaved.items()
                if written.get(slice_index) is not table
            }
            if self.failing:
                self.failing = False
                self.log.info("store_caught_up", manager=self.name)
            still_waiting = [
                entry
                for entry in self.waiting_callbacks
                if any(self.unsaved.get(table.slice) is table for table in entry[0])
            ]
            finished, self.waiting_callbacks = (
                [entry for entry in self.waiting_callbacks if entry not in still_waiting],
                still_waiting,
            )
            for _, on_done in finished:
                on_done(True)
            self.save([])

        # One write for each cause. Writes are performed in order, so all have ended when the last one has.
        causes = sorted({self.causes.get(slice_index, "") for slice_index in written})
        for index, cause in enumerate(causes):
            tables_of_cause = [
                table for slice_index, table in written.items() if self.causes.get(slice_index, "") == cause
            ]
            self.tables.append(tables_of_cause, done if index + 1 == len(causes) else lambda error: None, cause)
