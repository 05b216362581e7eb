"""Changes that callers request from a manager: applied, stored in batches, and answered when they are stored.

    changes = Changes(loop, folder, name, calls, log)
    changes.effect_handlers["drain"] = (replay, current_effects)
    changes.open(stopped)
    changes.submit(change, on_stored)   # on_stored(change), or on_stored(None) if the store refused and it was undone

An effect is a list whose first entry names its kind. `replay(caller, effect)` applies a stored effect after a restart,
`current_effects()` returns the present state as [(caller, effect)]. Callbacks in `on_open` are called when the log has
been read. Changes may be submitted only when `ready` is set.
"""

from ..changes import Change, ChangeRegistry
from ..store.changes import ChangeLog

REOPEN_DELAY_US = 500_000


class Changes:
    """The changes of one manager and their log; see the module docstring."""

    def __init__(self, loop, folder, name, calls, log):
        self.loop, self.name, self.log = loop, name, log
        self.book, self.change_log = ChangeRegistry(), ChangeLog(folder, name, calls)
        self.effect_handlers, self.ready, self.write_scheduled, self.rewriting, self.write_count, self.on_open = (
            {},
            False,
            False,
            False,
            0,
            [],
        )

    def open(self, stopped=lambda: False):
        """Read the log and restore the state, repeated until it succeeds or `stopped()` is true."""

        def opened(rows, damaged, error):
            if stopped():
                return
            if error is not None:
                self.log.error("changes_unreadable", manager=self.name, reason=error.strerror)
                self.loop.after(REOPEN_DELAY_US, lambda: self.open(stopped))
                return
            for detail in damaged:
                self.log.error("store_damaged", manager=self.name, detail=detail)
            for row in rows:
                self._restore_row(row)
            self.ready = True
            for callback in self.on_open:
                callback()

        self.change_log.open(opened)

    def _restore_row(self, row):
        """Restore one stored row: an effect that was current when the log was rewritten, or a change made since."""
        try:
            row_kind, caller, *rest = row
            if row_kind == "state":
                self._replay(caller, rest[0])
                return
            key, digest, subjects, effect, answer = rest
            if row_kind == "change":
                self._replay(caller, effect)
            self.book.restore(Change(caller, key, digest, frozenset(subjects), effect, answer))
        except (ValueError, TypeError, KeyError, IndexError) as error:
            self.log.error("store_damaged", manager=self.name, detail=f"a stored change cannot be applied: {error}")

    def _replay(self, caller, effect):
        """Apply a stored effect by the handler of its kind."""
        self.effect_handlers[effect[0]][0](caller, effect)

    def submit(self, change, on_stored):
        """Record an applied change and store it; `on_stored` is called with the result."""
        self.book.add(change, on_stored)
        if not self.write_scheduled:
            # All changes of one turn of the loop are stored by one write.
            self.write_scheduled = True
            self.loop.soon(self._write)

    def _write(self):
        """Store all waiting changes, unless a write is active."""
        self.write_scheduled = False
        changes = self.book.next_batch()
        if changes is None:
            return
        self.write_count += 1
        self.change_log.append([stored_row(change, "change") for change in changes], self._written)

    def _written(self, error):
        """Call back those who waited for the write, and start the next one."""
        if error is None:
            finished = self.book.batch_stored()
        else:
            self.log.error("changes_refused", manager=self.name, reason=error.strerror)
            finished = self.book.batch_failed()
        for on_stored, change in finished:
            on_stored(change)
        self._write()
        if self.change_log.needs_rewrite() and not self.rewriting and not self.book.writing:
            self._rewrite()

    def _rewrite(self):
        """Replace the log by the current effects and the changes that callers may still ask about.

        Changes that wait to be stored are not included: the log performs writes in order, and theirs come later.
        """
        self.rewriting = True
        rows = [
            ["state", caller, effect]
            for _, current_effects in self.effect_handlers.values()
            for caller, effect in current_effects()
        ]
        rows += [stored_row(change, "done") for change in self.book.stored_changes()]

        def done(error):
            self.rewriting = False
            if error is not None:
                self.log.error("changes_not_compacted", manager=self.name, reason=error.strerror)

        self.change_log.rewrite(rows, done)

    def figures(self):
        """Counters for the last log line and for measurements."""
        return {
            "changes_stored_in": self.write_count,
            "changes_repeated": self.book.repeat_count,
            "changes_undone": self.book.undone_count,
        }


def stored_row(change, row_kind):
    """The row of the log for a change: kind "change", or "done" in a rewritten log."""
    # A rewritten log has the effects in "state" rows, so its "done" rows omit them: they must not be applied twice.
    return [
        row_kind,
        change.caller,
        change.key,
        change.digest,
        sorted(change.subjects),
        change.effect if row_kind == "change" else None,
        change.answer,
    ]
