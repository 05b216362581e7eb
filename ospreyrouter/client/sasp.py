"""Speaks SASP to the managers: `SaspFollower(loop, addresses, uid, groups)`.

`groups` is {slice: [workers]}, the members that this balancer (named `uid`) registers. Each slice is registered at one
manager after the other until the one in charge of it accepts. After a connection is lost its slices are registered
again; the last weights stay in force meanwhile. A drain is sent as a member state, and again to each manager that takes
over a slice. With `doors`, the addresses of the managers' HTTP API in the same order as `addresses`, the outcome of a
change that a lost connection left unknown is queried over HTTP once the connection is restored.
"""

from random import Random

from ..sasp import (
    Framer,
    GetWeightsReply,
    GetWeightsRequest,
    Group,
    InvalidMessage,
    LbStateRequest,
    Member,
    MemberState,
    MemberStateRequest,
    RegistrationRequest,
    Reply,
    SendWeights,
    decode,
    encode,
    numbers,
)
from .changes import DID_NOT, SENT, TOOK_EFFECT, UNKNOWN
from .manager_api import ManagerApi
from .picking import Picker

REDIAL_US = (100_000, 400_000)  # range of the random delay before a connection is opened again
FIRST_POLL_US = 500_000  # until the manager has stated a polling interval
REGISTER_RETRY_US = 300_000  # for a slice that no manager is in charge of, while custody passes on


class ManagerConnection:
    """The connection to one manager.

    `pending` is {message id: (kind, subject)} of unanswered requests. `state_accepted` is set once the manager answered
    the balancer's state on this connection.
    """

    def __init__(self):
        self.stream, self.framer, self.pending, self.state_accepted = None, None, {}, False


class SaspFollower(Picker):
    """Registers groups at the managers and follows their weights; see the module's docstring.

    With `push` False the weights are polled. `managers_by_slice` has the index of the manager that accepted each slice.
    """

    def __init__(self, loop, addresses, uid, groups, seed=None, doors=(), push=True):
        super().__init__(seed)
        self.loop, self.addresses, self.uid, self.groups = loop, list(addresses), uid, groups
        self.connections, self.managers_by_slice, self.closed = [ManagerConnection() for _ in self.addresses], {}, False
        self.redial_rng, self.manager_api, self.push = Random(f"{uid}/{seed}"), ManagerApi(loop, doors), push
        # Message ids are keys of changes: another incarnation of this balancer must not reuse them.
        self.last_message_id = Random().getrandbits(32)
        # Confirmed drains are sent again to the next manager of a slice.
        self.poll_interval_us, self.confirmed_drains = 0, set()
        for manager_index in range(len(self.addresses)):
            self._dial(manager_index)

    def _dial(self, manager_index):
        """Opens the connection to a manager."""
        if not self.closed:
            self.loop.connect(
                self.addresses[manager_index], 1_000_000, lambda stream, reason: self._connected(manager_index, stream)
            )

    def _connected(self, manager_index, stream):
        """Sends state and registrations on a new connection; without a stream it is dialled again later."""
        if stream is None or self.closed:
            self.loop.after(self.redial_rng.randint(*REDIAL_US), lambda: self._dial(manager_index))
            return
        connection = self.connections[manager_index] = ManagerConnection()
        connection.stream, connection.framer = stream, Framer()
        stream.start(
            lambda data: self._data(manager_index, connection, data),
            lambda reason: self._disconnected(manager_index, connection),
        )
        self._send(connection, LbStateRequest(self.uid, push=self.push, only_changes=True), ("state", None))
        if not self.push:
            self._poll_weights(manager_index, connection, FIRST_POLL_US)
        for slice_index in sorted(self.groups):
            if self.managers_by_slice.get(slice_index) in (None, manager_index):
                self._register(manager_index, connection, slice_index)

    def _send(self, connection, message, request):
        """Sends a message and remembers `request`, (kind, subject), for its reply; returns (key, bytes)."""
        self.last_message_id = self.last_message_id + 1 & 0xFFFFFFFF
        connection.pending[self.last_message_id] = request
        body = encode(message, self.last_message_id)
        connection.stream.write(body)
        return str(self.last_message_id), body

    def _poll_weights(self, manager_index, connection, after_us):
        """Polls the weights of all slices at a manager after `after_us`, then at the interval that it states."""

        def poll():
            if (
                self.connections[manager_index] is connection
                and connection.stream is not None
                and connection.stream.open
            ):
                groups = tuple(
                    Group(self.uid, f"slice-{slice_index}")
                    for slice_index in sorted(self.managers_by_slice)
                    if self.managers_by_slice[slice_index] == manager_index
                )
                if groups:
                    self._send(connection, GetWeightsRequest(groups), ("all", None))
                self._poll_weights(manager_index, connection, self.poll_interval_us or FIRST_POLL_US)

        self.loop.after(after_us, poll)

    def _send_drain(self, change):
        """Sends a drain to each manager that is in charge of slices with the worker."""
        for manager_index, connection in enumerate(self.connections):
            slice_indices = [
                slice_index
                for slice_index, owner in sorted(self.managers_by_slice.items())
                if owner == manager_index and change.worker in self.groups[slice_index]
            ]
            if slice_indices and connection.stream is not None and connection.stream.open:
                self._send_states(manager_index, connection, slice_indices, [change.worker], change.on, change)

    def _send_states(self, manager_index, connection, slice_indices, workers, on, change=None):
        """Quiesces workers in slices at a manager, or ends that; the request becomes a part of `change` if given."""
        state_groups = tuple(
            Group(
                self.uid,
                f"slice-{slice_index}",
                tuple(
                    MemberState(Member(host, port), 0, on)
                    for host, port in workers
                    if (host, port) in self.groups[slice_index]
                ),
            )
            for slice_index in slice_indices
        )
        key, body = self._send(connection, MemberStateRequest(state_groups), ("drain", change))
        if change is not None:
            change.parts[manager_index, key], change.bodies[manager_index, key] = SENT, body

    def ask(self, change):
        """Asks the managers for the outcome of the unknown parts of a change, over HTTP."""
        for manager_index, key in change.unknown():
            if manager_index < len(self.manager_api.addresses) and self.connections[manager_index].state_accepted:
                self.manager_api.change_state(
                    manager_index,
                    f"sasp/{self.uid}",
                    key,
                    lambda state, manager_index=manager_index, key=key: self._set_change_state(
                        change, manager_index, key, state, from_query=True
                    ),
                )

    def _set_change_state(self, change, manager_index, key, state, from_query=False):
        """Sets the state of a part of a change; `from_query`: the state was queried over HTTP."""
        change.set_state(manager_index, key, state)
        if change.state == TOOK_EFFECT:
            (self.confirmed_drains.add if change.on else self.confirmed_drains.discard)(change.worker)
            if from_query and change.on and change.worker in self.drained:
                # Slices may have passed to other managers while the outcome was unknown: they get the drain now.
                for owner, connection in enumerate(self.connections):
                    slice_indices = [
                        slice_index
                        for slice_index in sorted(self.managers_by_slice)
                        if self.managers_by_slice[slice_index] == owner and change.worker in self.groups[slice_index]
                    ]
                    if slice_indices and connection.stream is not None and connection.stream.open:
                        self._send_states(owner, connection, slice_indices, [change.worker], True)

    def repeat(self, change):
        """Sends unknown parts again with the same keys, and parts that did not take effect with new keys."""
        for (manager_index, key), state in list(change.parts.items()):
            connection = self.connections[manager_index]
            if connection.stream is None or not connection.stream.open:
                continue
            if state == UNKNOWN:
                change.parts[manager_index, key] = SENT
                connection.pending[int(key)] = ("drain", change)
                connection.stream.write(change.bodies[manager_index, key])
            elif state == DID_NOT:
                # The manager would refuse the key, which it declared as not done: a new request is sent, for the
                # slices that the manager is in charge of now.
                del change.parts[manager_index, key], change.bodies[manager_index, key]
                slice_indices = [
                    slice_index
                    for slice_index, owner in sorted(self.managers_by_slice.items())
                    if owner == manager_index and change.worker in self.groups[slice_index]
                ]
                if slice_indices:
                    self._send_states(manager_index, connection, slice_indices, [change.worker], change.on, change)

    def _register(self, manager_index, connection, slice_index):
        """Registers a slice at a manager."""
        members = tuple(Member(host, port) for host, port in self.groups[slice_index])
        self._send(
            connection,
            RegistrationRequest((Group(self.uid, f"slice-{slice_index}", members),)),
            ("register", slice_index),
        )

    def _disconnected(self, manager_index, connection):
        """Handles the end of a connection: its slices are registered elsewhere, and it is dialled again."""
        if self.connections[manager_index] is connection:
            # The last weights stay in force until another manager accepts the slices.
            connection.stream, connection.state_accepted = None, False
            for change in self.changes:
                change.connection_lost(manager_index)
            for slice_index in [
                slice_index for slice_index, owner in self.managers_by_slice.items() if owner == manager_index
            ]:
                del self.managers_by_slice[slice_index]
            self.loop.after(self.redial_rng.randint(*REDIAL_US), lambda: self._dial(manager_index))
            self.loop.after(REGISTER_RETRY_US, self._register_unassigned)

    def _register_unassigned(self):
        """Registers slices that no manager accepted at all connected managers."""
        if self.closed:
            return
        for slice_index in sorted(self.groups):
            if self.managers_by_slice.get(slice_index) is None:
                for manager_index, connection in enumerate(self.connections):
                    if connection.stream is not None:
                        self._register(manager_index, connection, slice_index)

    def _data(self, manager_index, connection, data):
        """Handles received bytes; a malformed message closes the connection."""
        try:
            for message in connection.framer.feed(data):
                self._message(manager_index, connection, *decode(message))
        except InvalidMessage:
            connection.stream.abort("malformed")

    def _message(self, manager_index, connection, message, message_id):
        """Handles one message of a manager."""
        if isinstance(message, SendWeights):
            self._apply_weights(manager_index, message.groups)
        elif isinstance(message, GetWeightsReply):
            connection.pending.pop(message_id, None)
            self.poll_interval_us = message.interval_s * 1_000_000
            self._apply_weights(manager_index, message.groups)
        elif isinstance(message, Reply):
            request = connection.pending.pop(message_id, None) or ("", None)
            if request[0] == "state":
                # The manager has bound this connection and closed the one before. A change that it does not know by
                # its key was not done and never will be.
                connection.state_accepted = True
                for change in self.changes:
                    if change.unknown(manager_index):
                        self.ask(change)
            elif request[0] == "drain" and request[1] is not None:
                self._set_change_state(
                    request[1],
                    manager_index,
                    str(message_id),
                    TOOK_EFFECT if message.code == numbers.SUCCESS else DID_NOT,
                )
            if request[0] != "register":
                return
            slice_index = request[1]
            if message.code in (numbers.SUCCESS, numbers.ALREADY_REGISTERED):
                # Already registered: the manager restored the registration from its store after a restart.
                self.managers_by_slice[slice_index] = manager_index
                still_drained = [
                    worker
                    for worker in sorted(self.confirmed_drains & self.drained)
                    if worker in self.groups[slice_index]
                ]
                if still_drained:
                    self._send_states(manager_index, connection, [slice_index], still_drained, True)
                self._send(
                    connection, GetWeightsRequest((Group(self.uid, f"slice-{slice_index}"),)), ("weights", slice_index)
                )
            elif self.managers_by_slice.get(slice_index) is None:
                self.loop.after(
                    REGISTER_RETRY_US,
                    lambda: (
                        self.managers_by_slice.get(slice_index) is None
                        and connection.stream is not None
                        and connection.stream.open
                        and self._register(manager_index, connection, slice_index)
                    ),
                )

    def _apply_weights(self, manager_index, groups):
        """Takes the weights of groups; the manager that sent them is in charge of their slices."""
        for group in groups:
            slice_index = int(group.name.rpartition("-")[2])
            self.managers_by_slice[slice_index] = manager_index
            self.set_table(
                slice_index,
                {
                    (entry.member.host, entry.member.port): entry.weight
                    for entry in group.rows
                    if entry.weight > 0 and not entry.quiesce
                },
            )

    def close(self):
        """Closes all connections and dials no more."""
        self.closed = True
        self.manager_api.close()
        for connection in self.connections:
            if connection.stream is not None:
                connection.stream.close()
