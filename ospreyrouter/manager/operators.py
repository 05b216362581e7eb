"""Rollbacks, which operators request over HTTP: slices return to an earlier version of their tables.

`POST /v3/rollback` with `{"to": VERSION or time in us, "slices": [..] or null, "hold_s": 0, "key": TEXT}`; the answer
has an entry for each slice: its new version, or why it was left as it is. A repeated key gets the same answer and has
no second effect, also after a restart, as the versions that a command created carry its key as their cause.

The lines to restore are selected by `versions.restorable_lines`.
"""

import orjson

from ..changes import Change
from ..versions import VersionLookupError, restorable_lines

BATCH_SLICES = 50  # slices restored or handed over per batch, which limits how long withdrawals have to wait
BATCH_INTERVAL_US = 20_000
# How often held slices are handed over to the policy; less than the time for which it leaves such tables unchanged.
HOLD_INTERVAL_US = 1_000_000
MAX_HOLD_S = 86_400
CAUSE_PREFIX = "rollback "
CALLER_PREFIX = "operator/"


class RunningRollback:
    """A rollback in progress.

    `pending` has the (slice, lines) that are still to be restored, `writes_open` counts writes that have not ended.
    """

    def __init__(self, request, key, hold_s, answer, pending):
        self.request, self.key, self.hold_s, self.answer, self.pending = request, key, hold_s, answer, pending
        self.writes_open, self.all_stored = 0, True


class Operators:
    """Handles rollback requests of a manager and keeps restored tables in force for as long as they are held."""

    def __init__(self, service):
        self.service, self.hold_active = service, False
        self.waiting_requests = {}  # {key: repeated requests that wait for the same answer}
        service.changes.effect_handlers["answer"] = (lambda caller, effect: None, lambda: ())
        service.changes.on_open.append(self._restore_answers)

    def _restore_answers(self):
        """Rebuild the answers of commands that stored versions, but ended before their answer was stored."""
        answers, book = {}, self.service.changes.book
        for version in sorted(self.service.table_store.history.by_digest.values(), key=lambda version: version.at_us):
            if version.cause.startswith(CAUSE_PREFIX):
                key = version.cause[len(CAUSE_PREFIX) :]
                answers.setdefault(key, {"key": key, "slices": {}})["slices"][str(version.slice)] = version_summary(
                    version
                )
        for key, answer in answers.items():
            if book.find_repeat(CALLER_PREFIX + key, key, "") is None:
                book.restore(command_change(key, answer))

    def roll_back(self, request):
        """Answer `POST /v3/rollback`: 400 malformed, 404 unknown version, 409 foreign slice, 503 no lease."""
        service = self.service
        try:
            order = self._parse_order(orjson.loads(request.body))
        except (ValueError, TypeError, KeyError) as error:
            self._answer(request, 400, {"error": "malformed", "detail": str(error)})
            return
        target, slices, hold_s, key = order
        if key in self.waiting_requests:
            self.waiting_requests[key].append(request)
            return
        if service.changes.ready and service.changes.book.answer_if_repeated(
            CALLER_PREFIX + key, key, "", lambda change: self._answer(request, 200, change.answer | {"repeated": True})
        ):
            return
        if not service.changes.ready or not service.custody.may_publish(service.loop.now()):
            self._answer(request, 503, {"error": "no lease", "detail": "this manager may not publish now"})
            return
        foreign = [slice_index for slice_index in slices or () if slice_index not in service.core.tables]
        if foreign:
            self._answer(
                request, 409, {"error": "not in charge", "detail": f"slice {foreign[0]} is not this manager's"}
            )
            return
        self._start_rollback(
            request,
            target,
            sorted(slices if slices is not None else service.core.tables),
            hold_s,
            key,
            named=slices is not None,
        )

    def _parse_order(self, data):
        """Return (target, slices or None, hold in seconds, key). Raises ValueError, TypeError or KeyError."""
        target, slices, hold_s, key = data["to"], data.get("slices"), data.get("hold_s", 0), data["key"]
        if not (isinstance(target, str) and 0 < len(target) < 100 or type(target) is int):
            raise ValueError("to: is not a version, digest or time")
        if slices is not None and not (
            isinstance(slices, list) and all(type(slice_index) is int for slice_index in slices)
        ):
            raise ValueError("slices: is not a list of numbers")
        if type(hold_s) not in (int, float) or not 0 <= hold_s <= MAX_HOLD_S:
            raise ValueError("hold_s: is not a number of seconds up to a day")
        if not (isinstance(key, str) and 0 < len(key) < 200 and key.isprintable()):
            raise ValueError("key: is missing or too long")
        return target, slices, hold_s, key

    def _start_rollback(self, request, target, slices, hold_s, key, named):
        """Determine the lines to restore for all slices, and restore the first batch."""
        service, core, now = self.service, self.service.core, self.service.loop.now()
        versions, answer = {}, {"key": key, "slices": {}}
        for slice_index in slices:
            try:
                versions[slice_index] = service.table_store.history.find(slice_index, target)
            except VersionLookupError as error:
                if named or error.reason == "malformed":
                    # If slices are named in the request, all of them are restored or none.
                    self._answer(request, 404, {"error": error.reason, "detail": str(error)})
                    return
                answer["slices"][str(slice_index)] = {"left": str(error)}
        restored = {}
        for slice_index, version in versions.items():
            current = core.published_tables.get(slice_index)
            lines, left_out = restorable_lines(
                version.table, lambda name: core.is_usable(name, now), current.lines if current else ()
            )
            if not lines:
                answer["slices"][str(slice_index)] = {"left": "none of its workers may be used now"}
            elif current is not None and weight_set(lines) == weight_set(current.lines):
                answer["slices"][str(slice_index)] = {"left": "it is in force"}
            else:
                restored[slice_index] = lines
                answer["slices"][str(slice_index)] = {"without": left_out} if left_out else {}
        if restored:
            self._restore_batch(RunningRollback(request, key, hold_s, answer, list(restored.items())))
        else:
            self._finish(request, key, answer, True)

    def _restore_batch(self, rollback):
        """Restore the next batch of slices; after the last one the request is answered.

        The lines to restore were determined when the command came, but slices may have been transferred since.
        """
        service, core, now = self.service, self.service.core, self.service.loop.now()
        self.waiting_requests.setdefault(rollback.key, [])
        batch, rollback.pending = rollback.pending[:BATCH_SLICES], rollback.pending[BATCH_SLICES:]
        publishing = not service.stopped and service.custody.may_publish(now)
        restored = {
            slice_index: lines
            for slice_index, lines in batch
            if publishing and slice_index in core.tables and slice_index not in core.transferring
        }
        for slice_index, _ in batch:
            if slice_index not in restored:
                rollback.answer["slices"][str(slice_index)] = {
                    "left": "it was given away meanwhile" if publishing else "the lease ran out"
                }
        if restored:
            tables = core.roll_back(now, restored, now + round(rollback.hold_s * 1e6))
            for table in tables:
                rollback.answer["slices"][str(table.slice)] |= version_summary(table)
            rollback.writes_open += 1

            def saved(stored):
                # The answer waits until the tables are stored or refused, so that a repeated key is answered in the
                # same way after the process was killed.
                rollback.writes_open, rollback.all_stored = rollback.writes_open - 1, rollback.all_stored and stored
                if not rollback.writes_open and not rollback.pending:
                    self._finish(rollback.request, rollback.key, rollback.answer, rollback.all_stored)

            service.writes.save(tables, CAUSE_PREFIX + rollback.key, saved)
            service.log.info(
                "rolled_back", manager=service.name, key=rollback.key, slices=len(tables), hold_s=rollback.hold_s
            )
            service.schedule_round()
            if rollback.hold_s and not self.hold_active:
                self.hold_active = True
                service.loop.after(BATCH_INTERVAL_US, self._reassert_holds)
        if rollback.pending:
            service.loop.after(BATCH_INTERVAL_US, lambda: self._restore_batch(rollback))
        elif not rollback.writes_open:
            self._finish(rollback.request, rollback.key, rollback.answer, rollback.all_stored)

    def _finish(self, request, key, answer, stored):
        """Store the answer of a command by its key, for repeats after a restart, and answer all its requests."""

        def done(change):
            reply = answer if stored and change is not None else answer | {"stored": False}
            if change is None:
                # The command has taken effect although its answer is not stored: repeats are known until a restart.
                self.service.changes.book.restore(command_change(key, answer))
            self._answer(request, 200, reply)
            for repeat in self.waiting_requests.pop(key, ()):
                self._answer(repeat, 200, reply | {"repeated": True})

        self.waiting_requests.setdefault(key, [])
        self.service.changes.submit(command_change(key, answer), done)

    def _reassert_holds(self):
        """Hand held slices over to the policy again, as long as there are any."""
        held_slices = self.service.core.reassert_held(self.service.loop.now(), BATCH_SLICES)
        self.hold_active = held_slices > 0 and not self.service.stopped
        if self.hold_active:
            self.service.schedule_round()
            self.service.loop.after(
                max(BATCH_INTERVAL_US, min(HOLD_INTERVAL_US, HOLD_INTERVAL_US * BATCH_SLICES // held_slices)),
                self._reassert_holds,
            )

    @staticmethod
    def _answer(request, status, data):
        request.respond(status, [("content-type", "application/json")], orjson.dumps(data))


def command_change(key, answer):
    """The change that records a command and its answer; each command counts as a caller of its own."""
    return Change(CALLER_PREFIX + key, key, "", frozenset(), ["answer"], answer)


def weight_set(lines):
    """The lines of a table as a set of (worker, weight)."""
    return {(line.worker, line.weight) for line in lines}


def version_summary(version):
    """The version and the digest of a table, as in answers."""
    return {"version": f"{version.version[0]}.{version.version[1]}", "digest": version.digest}
