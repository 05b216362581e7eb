"""Hosts managers for the simulator: reads batches of events, runs one round of each manager, writes one reply.

A batch is a line of JSON: a clock reading in seconds, a turn number and, in groups, the events of each manager. Events
become tuples of a method name of `policy.Manager` and its arguments; the orders of a manager become actions of the
reply, in the order in which it gives them.
"""

import json
import traceback

from ..interface import ProbeOutcome, WorkerState
from ..naming import Malformed, NameIndex, micros
from ..policy import Manager

WORKER_STATES = {"in_service": WorkerState.READY, "terminating": WorkerState.DRAINING, "terminated": WorkerState.GONE}
PROBE_OUTCOMES = {
    "pass": ProbeOutcome.PASSED,
    "fault": ProbeOutcome.ERROR,
    "no_room": ProbeOutcome.FULL,
    "too_slow": ProbeOutcome.TIMED_OUT,
    "no_route": ProbeOutcome.UNREACHABLE,
    "cut": ProbeOutcome.RESET,
    "undone": ProbeOutcome.CANCELLED,
    "stale_send": ProbeOutcome.CANCELLED,
}
REPORT_FIELDS = {"outstanding", "backlog", "utilization", "recent_ms", "throughput", "errors_per_s"}

NUMBER, INTEGER, STRING, BOOLEAN, ARRAY, OBJECT_OR_NULL = (
    "number",
    "whole number",
    "text",
    "bool",
    "array",
    "object or null",
)
EVENT_TYPES = {
    "BEGIN": (INTEGER, "object"),
    "SHUTDOWN": (),
    "SNAPSHOT_ROWS": (INTEGER, ARRAY),
    "MEMBERSHIP": (STRING, INTEGER, "whole number or null"),
    "FIRED": (INTEGER,),
    "STATUS_BACK": (STRING, STRING, NUMBER, OBJECT_OR_NULL),
    "DATAGRAM": (INTEGER, STRING),
    "ENROLLED": (INTEGER, STRING, NUMBER, BOOLEAN),
    "PARTED": (INTEGER,),
    "STATS": (STRING, STRING, INTEGER, INTEGER, NUMBER, NUMBER, OBJECT_OR_NULL),
    "USAGE": (INTEGER, STRING, INTEGER, INTEGER, NUMBER),
    "KEY_LOAD": (INTEGER, STRING, INTEGER, INTEGER, NUMBER),
    "CUSTODY": (BOOLEAN, INTEGER),
    "RECORDED": (NUMBER, INTEGER, STRING),
    "CONFIRMED": (INTEGER, NUMBER, INTEGER),
}
TYPE_CHECKS = {
    NUMBER: lambda value: isinstance(value, (int, float)) and not isinstance(value, bool),
    INTEGER: lambda value: isinstance(value, int) and not isinstance(value, bool),
    STRING: lambda value: isinstance(value, str),
    BOOLEAN: lambda value: isinstance(value, bool),
    ARRAY: lambda value: isinstance(value, list),
    OBJECT_OR_NULL: lambda value: value is None or isinstance(value, dict),
    "object": lambda value: isinstance(value, dict),
    "whole number or null": lambda value: value is None or (isinstance(value, int) and not isinstance(value, bool)),
}


def check_event(event):
    """Check the name of an event and the number and types of its values. Raises Malformed."""
    if not isinstance(event, list) or not event or not isinstance(event[0], str):
        raise Malformed(f"an event is not an array that starts with a name: {event!r:.80}")
    name, *values = event
    types = EVENT_TYPES.get(name)
    if types is None:
        raise Malformed(f"unknown event {name!r:.60}")
    if len(values) != len(types):
        raise Malformed(f"{name} has {len(values)} values, not {len(types)}")
    for position, (value, type_name) in enumerate(zip(values, types), 1):
        if not TYPE_CHECKS[type_name](value):
            raise Malformed(f"{name}: value {position} is not a {type_name}: {value!r:.60}")


class Instance:
    """A manager, its name index, and `actions`, the part of the next reply that is its own.

    It is the `interface.Orders` of that manager. Raises Malformed for invalid settings (`profile`).
    """

    def __init__(self, seed, profile):
        self.name_index, self.actions = NameIndex(profile), []
        self.manager = Manager(self.name_index.deployment, seed)

    def _worker_entry(self, row):
        """A row of a worker list as a WorkerEntry. Raises Malformed."""
        if not isinstance(row, list) or len(row) != 7:
            raise Malformed(f"SNAPSHOT_ROWS: an entry is not an array of 7 values: {row!r:.80}")
        name, zone, kind, cell, state, weight, ready_at = row
        if not (
            isinstance(name, str)
            and isinstance(kind, str)
            and TYPE_CHECKS[INTEGER](cell)
            and TYPE_CHECKS[NUMBER](weight)
            and (ready_at is None or TYPE_CHECKS[NUMBER](ready_at))
        ):
            raise Malformed(f"SNAPSHOT_ROWS: an entry has a value of the wrong type: {row!r:.120}")
        return self.name_index.entry(
            name,
            zone,
            kind,
            cell,
            self.name_index.look_up(WORKER_STATES, state, "worker state"),
            weight,
            micros(ready_at) if ready_at else None,
        )

    def _report(self, fields):
        """The known, numeric fields of a worker's load report; all others are ignored."""
        return {
            key: float(value)
            for key, value in (fields or {}).items()
            if key in REPORT_FIELDS and TYPE_CHECKS[NUMBER](value)
        }

    def manager_event(self, event, lists):
        """An event as the name of a method of the manager and its arguments.

        `lists`: received worker lists by number. Raises Malformed.
        """
        (name, *values), name_index = event, self.name_index
        if name == "MEMBERSHIP":
            if values[0] == "failed":
                return ("worker_list_failed",)
            if values[0] not in ("delta", "full", "cached"):
                raise Malformed(f"MEMBERSHIP: unknown scope {values[0]!r:.60}")
            if values[2] not in lists:
                raise Malformed(f"MEMBERSHIP: no list has number {values[2]}")
            return ("worker_list_received", values[0] != "delta", [self._worker_entry(row) for row in lists[values[2]]])
        if name == "STATS":
            return (
                "tries_reported",
                name_index.zone_index(values[0]),
                name_index.worker_index(values[1]),
                values[2],
                values[3],
                micros(values[4]),
                micros(values[5]),
                self._report(values[6]),
            )
        if name == "KEY_LOAD":
            return (
                "demand_reported",
                values[0],
                name_index.class_index(values[1]),
                values[2],
                values[3],
                micros(values[4]),
            )
        if name == "USAGE":
            return (
                "usage_reported",
                values[0],
                name_index.class_index(values[1]),
                values[2],
                values[3],
                micros(values[4]),
            )
        if name == "FIRED":
            return ("alarm_fired", values[0])
        if name == "STATUS_BACK":
            return (
                "probe_completed",
                name_index.worker_index(values[0]),
                name_index.look_up(PROBE_OUTCOMES, values[1], "outcome"),
                micros(values[2]),
                self._report(values[3]),
            )
        if name == "DATAGRAM":
            return ("peer_message_received", values[0], values[1])
        if name == "ENROLLED":
            return ("proxy_joined", values[0], name_index.zone_index(values[1]), float(values[2]), values[3])
        if name == "PARTED":
            return ("proxy_left", values[0])
        if name == "CUSTODY":
            return ("slice_ownership_changed", values[1], values[0])
        if name == "RECORDED":
            return ("table_line_loaded", values[1], name_index.worker_index(values[2]), float(values[0]))
        return ("mark_acknowledged", values[0], values[2], micros(values[1]))

    # interface.Orders: each method adds one action to the reply.

    def set_weight(self, table, worker, weight):
        """Set the weight of a worker in a table; 0 removes its line."""
        self.actions.append(["PUT_LINE", table, self.name_index.worker_name(worker), weight])

    def clear_table(self, table):
        """Remove all lines of a table."""
        self.actions.append(["WIPE", table])

    def bind_proxy(self, proxy, table, classes):
        """Make a proxy use a table for the classes of a bit mask."""
        self.actions.append(["PIN", proxy, table, classes])

    def set_withheld(self, worker, withheld):
        """Withdraw a worker from all tables of all proxies, or readmit it."""
        self.actions.append(["HOLD_BACK", self.name_index.worker_name(worker), withheld])

    def set_level(self, table, classes, amount, retry):
        """Set the admission level and the retry policy of the classes of a bit mask in a table."""
        self.actions.append(["THROTTLE", table, classes, amount, int(retry)])

    def send_mark(self, number, all_proxies):
        """Send a numbered barrier that proxies acknowledge."""
        self.actions.append(["FENCE_POST", number, all_proxies])

    def probe(self, worker):
        """Probe a worker."""
        self.actions.append(["CHECK", self.name_index.worker_name(worker)])

    def schedule_wake(self, after_us, token):
        """Request a wake-up after `after_us`, which is sent in seconds."""
        self.actions.append(["SET_ALARM", after_us / 1_000_000, token])

    def send_to_manager(self, manager, text):
        """Send a text to another manager, or to all if `manager` is None."""
        self.actions.append(["SAY", "*" if manager is None else manager, text])

    def follow_list(self, enabled):
        """Start or stop following the changes of the worker list."""
        self.actions.append(["STREAM_CHANGES", enabled])

    def fetch_list(self):
        """Request the whole worker list."""
        self.actions.append(["LIST_ALL"])

    def log(self, text):
        """Write a text to the log."""
        self.actions.append(["DEBUG", text])


class Host:
    """All instances of this process by name, and the worker lists by number, which the instances share."""

    def __init__(self, error_stream):
        self.instances, self.lists, self.error_stream = {}, {}, error_stream

    def log_error(self, text):
        """Write one line to the error stream."""
        print(f"benchlink: {text}", file=self.error_stream, flush=True)

    def process_group(self, now, name, received):
        """Process the events that one instance received in a batch; returns its actions.

        `now` is in microseconds. Any error is logged and reported as a FAULT action in place of all others.
        """
        actions, events, position = [], [], -1
        try:
            for position, event in enumerate(received):  # noqa: B007, error messages name the position
                check_event(event)
                event_name = event[0]
                if event_name == "SNAPSHOT_ROWS":
                    self.lists[event[1]] = event[2]
                elif event_name == "SHUTDOWN":
                    self.instances.pop(name, None)
                    actions, events = [], []
                elif event_name == "BEGIN":
                    self.instances[name] = Instance(event[1], event[2])
                    actions, events = [], []
                elif name not in self.instances:
                    raise Malformed(f"{event_name} before BEGIN")
                else:
                    events.append(self.instances[name].manager_event(event, self.lists))
            position = None
            if name in self.instances:
                instance = self.instances[name]
                instance.actions = actions
                instance.manager.round(now, events, instance)
            return actions
        except Malformed as error:
            text = f"{name}, event {position + 1}: {error}"
        except Exception as error:  # an error of the policy is reported to the simulator and must not end the process
            traceback.print_exc(file=self.error_stream)
            text = f"{name}: {type(error).__name__}: {error}"
        self.log_error(text)
        return [["FAULT", text]]

    def process_batch(self, line):
        """The reply to a batch, given as a line of JSON. Raises Malformed if it is not a batch."""
        try:
            data = json.loads(line)
        except ValueError as error:
            raise Malformed(f"the line is not JSON: {error}") from None
        if (
            not isinstance(data, dict)
            or not TYPE_CHECKS[NUMBER](data.get("WallS"))
            or not TYPE_CHECKS[INTEGER](data.get("turn"))
            or not isinstance(data.get("groups"), list)
        ):
            raise Malformed("WallS, turn or groups is missing or has the wrong type")
        now, replies = micros(data["WallS"]), []
        for group in data["groups"]:
            if (
                not isinstance(group, dict)
                or not isinstance(group.get("I"), str)
                or not isinstance(group.get("items"), list)
            ):
                raise Malformed(f"turn {data['turn']}: I or items of a group is missing or has the wrong type")
            actions = self.process_group(now, group["I"], group["items"])
            if actions:
                replies.append({"I": group["I"], "outbox": actions})
        return {"turn": data["turn"], "groups": replies}


def serve(source, sink, error_stream):
    """Reply to each line of `source` (binary) on `sink` until the end of input.

    Errors go to `error_stream` as text. A line that is no batch ends the process with exit code 2.
    """
    host, line_number = Host(error_stream), 0
    for line in source:
        line_number += 1
        try:
            reply = host.process_batch(line)
        except Malformed as error:
            host.log_error(f"line {line_number}: {error}")
            raise SystemExit(2) from None
        sink.write(json.dumps(reply, separators=(",", ":")).encode() + b"\n")
        sink.flush()
