"""Serves balancers over SASP connections: registration, weights on request and by push, and member states.

    front = SaspFront(loop, address, slices, log, name, changes, grace_us, may_publish)
    front.publish(slice, {(host, port): share}, withheld)  # a table that the manager published
    front.update_workers({(host, port): confidence})       # the worker list
    front.release_slice(slice)                             # another manager is in charge of the slice now

What a balancer registers, deregisters or quiesces is stored by `changes` before it is answered and restored after a
restart. The same message with the same message id is answered again without a second effect.

A balancer with more than MAX_UNREAD_BYTES unread is sent nothing until it has read them, and then only the newest
weights: outdated weights are never queued. A balancer that has not read for MAX_BLOCKED_US is closed; no other
connection is affected.
"""

import hashlib
from collections import Counter

from ..advice import DrainWatch, Registry, RegistryError
from ..changes import Change, ChangeClosed
from ..sasp import (
    DeregistrationRequest,
    Framer,
    GetWeightsReply,
    GetWeightsRequest,
    Group,
    InvalidMessage,
    LbStateRequest,
    Member,
    MemberStateRequest,
    RegistrationRequest,
    Reply,
    SendWeights,
    WeightEntry,
    decode,
    encode,
    numbers,
)
from .pacing import PushQueue, TokenBucket

POLL_INTERVAL_S = 5  # sent to polling balancers: how often to ask for weights
MAX_UNREAD_BYTES = 64 << 10  # above this many unread bytes nothing more is written to a balancer
MAX_BLOCKED_US = 5_000_000  # a balancer that stays above MAX_UNREAD_BYTES for longer is closed
PUSHES_PER_TURN = 20  # pushes in one turn of the loop
MAX_CONNECTIONS = 2_000
MAX_IDLE_US = 60_000_000  # a balancer that sends nothing and wants no pushes is closed after this time
MAX_PARTIAL_US = 10_000_000  # a balancer whose message stays incomplete is closed after this time
MIN_PUSH_GAP_US = 20_000  # between two pushes to one balancer, unless a worker drains or is lost
MAX_MESSAGES_PER_S = 200  # of one balancer; also the burst
ADMISSIONS_PER_S, ADMISSION_BURST = 200, 200  # new connections

REPLY_CODES = {
    "unknown group": numbers.UNKNOWN_GROUP,
    "duplicate": numbers.DUPLICATE,
    "already registered": numbers.ALREADY_REGISTERED,
    "unknown member": numbers.UNKNOWN_MEMBER,
    "too many members": numbers.NOT_ACCEPTED,
    "too many groups": numbers.NOT_ACCEPTED,
}
REPLY_TYPES = {
    RegistrationRequest: numbers.REGISTRATION_REPLY,
    DeregistrationRequest: numbers.DEREGISTRATION_REPLY,
    LbStateRequest: numbers.LB_STATE_REPLY,
    MemberStateRequest: numbers.MEMBER_STATE_REPLY,
}


class Connection:
    """One connection of a balancer: cuts the bytes into messages and answers them.

    `balancer_name` is None until the first message that names the balancer. Times are microseconds, None if not set.
    """

    def __init__(self, front, stream):
        self.front, self.stream, self.framer = front, stream, Framer()
        self.balancer_name, self.push_id, self.blocked_since = None, 0, None
        self.last_received_us, self.partial_since, self.last_push_us, self.push_scheduled = (
            front.loop.now(),
            None,
            0,
            False,
        )
        self.message_budget = TokenBucket(MAX_MESSAGES_PER_S, MAX_MESSAGES_PER_S)
        stream.start(self._data, self._closed)

    def _data(self, data):
        """Handles received bytes; closes the connection on a framing error or above the message rate."""
        self.last_received_us = self.front.loop.now()
        try:
            for message in self.framer.feed(data):
                if not self.message_budget.admit(self.front.loop.now()):
                    self.front.close_connection(self, "too many messages")
                    return
                self._message(message)
                if not self.stream.open:
                    return
            self.partial_since = (self.partial_since or self.last_received_us) if self.framer.data else None
        except InvalidMessage as error:
            # The start of the next message is unknown; only this connection is closed.
            self.front.close_connection(self, f"malformed: {error}")

    def _message(self, data):
        """Answers one whole message; a malformed one gets its reply code if the message type has a reply."""
        message_id = int.from_bytes(data[9:13], "big")
        try:
            message, message_id = decode(data)
            answer = self.front.handle(
                self, message, message_id, hashlib.blake2b(data[13:], digest_size=16).hexdigest()
            )
        except InvalidMessage as error:
            self.front.counts["malformed"] += 1
            kind = int.from_bytes(data[13:15], "big")
            answer = Reply(kind + 5, error.code) if kind + 5 in REPLY_TYPES.values() else None
            if kind == numbers.GET_WEIGHTS_REQUEST:
                answer = GetWeightsReply(error.code, POLL_INTERVAL_S)
        if answer is not None:
            self.stream.write(encode(answer, message_id))

    def _closed(self, reason):
        """Called by the stream when it is closed."""
        self.front.forget_connection(self, reason)

    @property
    def blocked(self):
        """Whether the balancer has more than MAX_UNREAD_BYTES unread."""
        return self.stream.unsent > MAX_UNREAD_BYTES


class SaspFront:
    """The SASP listener of a manager and the balancers that are connected to it; see the module's docstring.

    `owned` has the slices that this manager is in charge of, `may_publish()` tells whether it holds its lease. Raises
    `loop.AddressUnavailable` if the address cannot be listened on.
    """

    def __init__(self, loop, address, slices, log, name, changes, grace_us, may_publish=lambda: True):
        self.may_publish = may_publish
        self.loop, self.log, self.name, self.changes, self.watch = loop, log, name, changes, DrainWatch(grace_us)
        self.registry, self.connections, self.connections_by_lb, self.counts = Registry(slices), set(), {}, Counter()
        self.admission, self.push_queue = TokenBucket(ADMISSIONS_PER_S, ADMISSION_BURST), PushQueue()
        self.owned, self.pushing, self.closed = set(), False, False
        changes.effect_handlers["sasp"] = (self._restore_effect, self._registered_effects)
        self.listener = loop.listen(address, self._accepted)
        self.address = self.listener.address
        self._check_connections()

    def _accepted(self, stream):
        """Admits a new connection, or rejects it at once."""
        # No balancer is admitted before the stored registrations are restored: the second registration of a member,
        # restored or new, would be rejected.
        if (
            not self.changes.ready
            or len(self.connections) >= MAX_CONNECTIONS
            or not self.admission.admit(self.loop.now())
        ):
            self.counts["connections put off"] += 1
            stream.start(None, None)
            stream.abort("too many connections")
            return
        self.connections.add(Connection(self, stream))

    def close_connection(self, connection, reason):
        """Closes a connection at once, with a log entry; the reason up to its first colon is counted."""
        self.counts[reason.partition(":")[0]] += 1
        self.log.warning("balancer_closed", manager=self.name, balancer=connection.balancer_name or "", reason=reason)
        connection.stream.abort(reason)
        self.forget_connection(connection, reason)

    def forget_connection(self, connection, reason):
        """Removes a closed connection; pushes to its balancer stop until it asks for them again."""
        self.connections.discard(connection)
        if connection.balancer_name is not None and self.connections_by_lb.get(connection.balancer_name) is connection:
            del self.connections_by_lb[connection.balancer_name]
            self.push_queue.remove(connection.balancer_name)
            balancer = self.registry.balancers.get(connection.balancer_name)
            if balancer is not None:
                balancer.push = False  # the balancer states again what it wants when it reconnects
                self.registry.forget_if_idle(connection.balancer_name)

    # Requests of balancers.

    def handle(self, connection, message, message_id, digest):
        """Returns the reply to a message, or None if it follows once the change is stored.

        `digest` identifies the content, so that a repeated message is recognized. Raises InvalidMessage.
        """
        try:
            if isinstance(message, GetWeightsRequest):
                return self._answer_weights(connection, message)
            if isinstance(message, LbStateRequest):
                self._bind_connection(connection, message.lb_uid)
                self.registry.set_balancer_state(message.lb_uid, message.push, message.only_changes, message.health)
                self.registry.forget_if_idle(message.lb_uid)
            elif isinstance(message, (RegistrationRequest, DeregistrationRequest, MemberStateRequest)):
                if message.groups:
                    self._submit_change(connection, message, message_id, digest)
                    return None
            else:
                return Reply(numbers.REGISTRATION_REPLY, numbers.NOT_ACCEPTED)
        except RegistryError as error:
            self.counts[error.reason] += 1
            return Reply(REPLY_TYPES[type(message)], REPLY_CODES[error.reason])
        if connection.balancer_name is not None:
            self._schedule_push(connection.balancer_name)
        return Reply(REPLY_TYPES[type(message)], numbers.SUCCESS)

    def _bind_connection(self, connection, balancer_name):
        """Binds a connection to one balancer and replaces an older connection of it. Raises InvalidMessage."""
        if connection.balancer_name is None:
            connection.balancer_name = balancer_name
            older = self.connections_by_lb.get(balancer_name)
            self.connections_by_lb[balancer_name] = connection
            if older is not None:
                older.stream.abort("connected anew")
        elif connection.balancer_name != balancer_name:
            raise InvalidMessage("the connection already belongs to another balancer", numbers.NOT_ACCEPTED)

    def _submit_change(self, connection, message, message_id, digest):
        """Applies a message to all of its groups or to none; the reply is sent once the change is stored."""
        for group in message.groups:
            self._bind_connection(connection, group.lb_uid)
        balancer_name, kind = connection.balancer_name, REPLY_TYPES[type(message)]

        def reply(change):
            """Answers once the change is stored (`change`), or could not be stored (None)."""
            if change is None:
                self.counts["changes undone"] += 1
            if connection.stream.open:
                connection.stream.write(
                    encode(Reply(kind, numbers.NOT_ACCEPTED if change is None else change.answer), message_id)
                )

        try:
            if self.changes.book.answer_if_repeated(caller_name(balancer_name), str(message_id), digest, reply):
                return
        except ChangeClosed:
            reply(None)
            return
        if isinstance(message, RegistrationRequest):
            for group in message.groups:
                if self.registry.slice_of(group.name) not in self.owned:
                    raise RegistryError("unknown group")  # another manager is in charge: the balancer registers there
            steps = [
                ["register", group.name, [member_address(entry) for entry in group.rows]] for group in message.groups
            ]
        elif isinstance(message, DeregistrationRequest):
            steps = [
                ["deregister", group.name, [member_address(entry) for entry in group.rows]] for group in message.groups
            ]
        else:
            steps = [
                ["quiesce", group.name, member_address(entry.member), entry.quiesce]
                for group in message.groups
                for entry in group.rows
            ]
        self._apply_steps(balancer_name, str(message_id), digest, steps, reply)

    def _apply_steps(self, balancer_name, key, digest, steps, on_stored):
        """Applies registration steps at once and stores them, or raises RegistryError with nothing changed.

        A step is [kind, group name, members or member, ...]; `on_stored(change)` is called when the change is stored,
        or with None when it could not be stored and was reverted.
        """
        balancer = self.registry.balancers.get(balancer_name)
        names = {step[1] for step in steps} - {""}
        if any(not step[1] for step in steps):
            names |= set(balancer.groups) if balancer is not None else set()
        undo = self.registry.save_groups(balancer_name, names)
        try:
            for step in steps:
                self._apply_step(balancer_name, step)
        except RegistryError:
            undo()
            raise

        def revert():
            """Takes the steps back when the change could not be stored."""
            undo()
            self._schedule_push(balancer_name)

        self.changes.submit(
            Change(
                caller_name(balancer_name),
                key,
                digest,
                frozenset(names),
                ["sasp", balancer_name, *steps],
                numbers.SUCCESS,
                revert,
            ),
            on_stored,
        )
        for _, members in (step[1:3] for step in steps if step[0] == "register"):
            for member in members:
                self.watch.reopen(member)
        self._schedule_push(balancer_name)

    def _apply_step(self, balancer_name, step):
        """Applies one step to the registry. Raises RegistryError."""
        kind, name, members, *more = step
        if kind == "register":
            self.registry.register(balancer_name, name, [tuple(member) for member in members])
        elif kind == "deregister":
            self.registry.deregister(balancer_name, name or None, [tuple(member) for member in members])
        else:
            self.registry.quiesce(balancer_name, name, tuple(members), *more)

    def _answer_weights(self, connection, message):
        """Returns the reply to a Get Weights Request."""
        groups = []
        try:
            for group in message.groups:
                self._bind_connection(connection, group.lb_uid)
                if self.registry.slice_of(group.name) not in self.owned or not self.may_publish():
                    raise RegistryError("unknown group")  # or the lease has passed and another manager may be in charge
                groups.append(self._weights_group(group.lb_uid, group.name, connection))
        except RegistryError as error:
            return GetWeightsReply(REPLY_CODES[error.reason], POLL_INTERVAL_S)
        return GetWeightsReply(numbers.SUCCESS, POLL_INTERVAL_S, tuple(groups))

    def _weights_group(self, balancer_name, name, connection):
        """Returns a group with its present weights, recorded as sent. Raises RegistryError."""
        entries = self.registry.advice(balancer_name, name)
        self.registry.mark_sent(balancer_name, name, entries)
        self.counts["groups told"] += 1
        return Group(
            balancer_name,
            name,
            tuple(
                WeightEntry(Member(host, port), weight, contact, quiesce)
                for (host, port), weight, contact, quiesce in entries
            ),
        )

    # Weights sent to balancers.

    def publish(self, slice_index, lines, withheld):
        """Takes the table of a slice that this manager is in charge of: {(host, port): share}, and withheld members."""
        self.owned.add(slice_index)
        before = self.registry.weights.get(slice_index, {})
        self.watch.set_withheld(self.loop.now(), withheld)
        self.registry.publish_table(slice_index, lines, withheld)
        # A member that loses its weight drains or is lost: balancers that may still send to it are served first.
        lost = any(self.registry.weights[slice_index].get(member, 0) == 0 for member in before)
        name = f"slice-{slice_index}"
        for balancer_name, balancer in self.registry.balancers.items():
            if name in balancer.groups:
                self._schedule_push(balancer_name, urgent=lost)

    def update_workers(self, confidences):
        """Takes the worker list as {(host, port): confidence}."""
        self.registry.set_workers(confidences)
        for balancer_name in self.registry.balancers:
            self._schedule_push(balancer_name)

    def release_slice(self, slice_index):
        """Deregisters a slice that another manager took over; closed connections make its balancers register there."""
        self.owned.discard(slice_index)
        name = f"slice-{slice_index}"
        for balancer_name, balancer in list(self.registry.balancers.items()):
            if name in balancer.groups:
                # Stored, or a restart would restore the registration in addition to the one at the other manager.
                self._apply_steps(
                    balancer_name,
                    f"given away {name}",
                    str(self.loop.now()),
                    [["deregister", name, []]],
                    lambda change: None,
                )
                connection = self.connections_by_lb.get(balancer_name)
                if connection is not None:
                    connection.stream.close()
                    self.forget_connection(connection, "slice given away")

    def _schedule_push(self, balancer_name, urgent=False):
        """Queues a push to a connected balancer that wants pushes, no earlier than MIN_PUSH_GAP_US unless urgent."""
        connection, balancer = self.connections_by_lb.get(balancer_name), self.registry.balancers.get(balancer_name)
        if connection is not None and balancer is not None and balancer.push:
            if not urgent and self.loop.now() - connection.last_push_us < MIN_PUSH_GAP_US:
                if not connection.push_scheduled:  # limits the messages that a flapping member causes
                    connection.push_scheduled = True
                    self.loop.after(MIN_PUSH_GAP_US, lambda: self._push_later(connection, balancer_name))
                return
            self.push_queue.add(balancer_name, urgent)
            if not self.pushing:
                self.pushing = True
                self.loop.soon(self._push_next)

    def _push_later(self, connection, balancer_name):
        """Schedules the push that MIN_PUSH_GAP_US delayed."""
        connection.push_scheduled = False
        if connection.stream.open:
            self._schedule_push(balancer_name)

    def _push_next(self):
        """Pushes to up to PUSHES_PER_TURN balancers; the weights are read now, so they are the newest."""
        if not self.may_publish():
            # The process was paused past its lease, so another manager may own its slices. `_check_connections` resumes
            # the pushes once they are allowed.
            self.counts["pushes held without lease"] += 1
            self.pushing = False
            return
        for _ in range(PUSHES_PER_TURN):
            balancer_name = self.push_queue.next()
            if balancer_name is None:
                self.pushing = False
                return
            connection = self.connections_by_lb.get(balancer_name)
            if connection is None or balancer_name not in self.registry.balancers:
                continue
            if connection.blocked:
                connection.blocked_since = connection.blocked_since or self.loop.now()
                continue  # `_check_connections` checks it again
            connection.blocked_since = None
            # Nothing is known of a slice that this manager is not in charge of, for example one registered before a
            # restart: not even weights of 0 are sent for it.
            names = [
                name for name in self.registry.groups_due(balancer_name) if self.registry.slice_of(name) in self.owned
            ]
            if names:
                connection.push_id = connection.push_id + 1 & 0xFFFFFFFF
                connection.last_push_us = self.loop.now()
                connection.stream.write(
                    encode(
                        SendWeights(tuple(self._weights_group(balancer_name, name, connection) for name in names)),
                        connection.push_id,
                    )
                )
                self.counts["pushes"] += 1
        self.loop.soon(self._push_next)

    def _check_connections(self):
        """Runs every 100 ms: resumes pushes, closes idle and blocked connections, logs events of drains."""
        if self.closed:
            return
        self.loop.after(100_000, self._check_connections)
        now = self.loop.now()
        if not self.pushing and (self.push_queue.urgent or self.push_queue.waiting) and self.may_publish():
            self.pushing = True
            self.loop.soon(self._push_next)
        for connection in list(self.connections):
            balancer = self.registry.balancers.get(connection.balancer_name)
            if connection.partial_since is not None and now - connection.partial_since > MAX_PARTIAL_US:
                self.close_connection(connection, "message without end")
            elif now - connection.last_received_us > MAX_IDLE_US and not (balancer is not None and balancer.push):
                self.close_connection(connection, "silent")
            elif not connection.blocked:
                if connection.blocked_since is not None:
                    connection.blocked_since = None
                    self._schedule_push(connection.balancer_name, urgent=True)
            elif connection.blocked_since is None:
                connection.blocked_since = now
            elif now - connection.blocked_since > MAX_BLOCKED_US:
                self.close_connection(connection, "does not read")
        for kind, member, detail in self.watch.check(now, self.balancers_unproven_or_unread):
            log = self.log.warning if kind != "proven" else self.log.info
            fields = {"balancers": detail[:20], "count": len(detail)} if kind == "unproven" else {"took_us": detail}
            log(f"drain_{kind}", manager=self.name, member=f"{member[0]}:{member[1]}", **fields)

    def unproven(self, member):
        """Returns the balancers that may still send to a member: those connected, and those that are not."""
        names = self.registry.balancers_unproven(member)
        return [name for name in names if name in self.connections_by_lb], [
            name for name in names if name not in self.connections_by_lb
        ]

    def balancers_unproven_or_unread(self, member):
        """Returns balancers that may still send to a member, and those that registered it and have unread bytes."""
        names = set(self.registry.balancers_unproven(member))
        for balancer_name, connection in self.connections_by_lb.items():
            balancer = self.registry.balancers.get(balancer_name)
            if (
                connection.stream.unsent
                and balancer is not None
                and any(member in state.members for state in balancer.groups.values())
            ):
                names.add(balancer_name)
        return sorted(names)

    # Stored registrations.

    def _restore_effect(self, caller, effect):
        """Applies a stored effect after a restart; steps that no longer apply are counted and skipped."""
        _, balancer_name, *steps = effect
        for step in steps:
            try:
                self._apply_step(balancer_name, step)
            except RegistryError:
                self.counts["registrations left out"] += 1

    def _registered_effects(self):
        """Yields (caller, effect) for everything registered, for the compacted log of changes."""
        for balancer_name, balancer in sorted(self.registry.balancers.items()):
            for name, state in sorted(balancer.groups.items()):
                yield (
                    caller_name(balancer_name),
                    [
                        "sasp",
                        balancer_name,
                        ["register", name, sorted(state.members)],
                        *(
                            ["quiesce", name, member, True]
                            for member, quiesced in sorted(state.members.items())
                            if quiesced
                        ),
                    ],
                )

    def release_slices_except(self, slice_indices):
        """Deregisters all slices but those that an epoch assigns to this manager (left over from before a restart)."""
        for balancer_name, balancer in list(self.registry.balancers.items()):
            removed = [name for name in balancer.groups if self.registry.slice_of(name) not in slice_indices]
            if removed:
                self._apply_steps(
                    balancer_name,
                    "given away at start",
                    str(self.loop.now()),
                    [["deregister", name, []] for name in removed],
                    lambda change: None,
                )

    def close(self):
        """Stops listening and closes all connections."""
        self.closed = True
        self.listener.close()
        for connection in list(self.connections):
            connection.stream.close()


def caller_name(balancer_name):
    """Returns the name that a balancer has as a caller of changes."""
    return f"sasp/{balancer_name}"


def member_address(member):
    """Returns (host, port) of a SASP member."""
    return (member.host, member.port)
