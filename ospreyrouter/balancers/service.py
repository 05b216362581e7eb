"""Balancers on sockets: registration, weights on request and by push, states; conflated, bounded, closed alone.

    front = SaspFront(loop, address, slices, log, keep)
    front.publish(slice, {(host, port): share}, withheld)    # whatever the manager published
    front.list(fleet); front.give_up(slice)                  # the worker list; a slice that another manager has now

`keep(registrations)` stores who registered what; `restore(registrations)` brings it back after a restart. Whoever
reads slowly is sent nothing more until it has read what was sent, and then the newest: weights that were overtaken are
never queued. One that has not read for STUCK_US is closed.
"""

from collections import Counter

from ..advice import Refused, Registry
from ..sasp import (BadMessage, DeregistrationRequest, Framer, GetWeightsReply, GetWeightsRequest, Group, LbStateRequest,
                    Member, MemberStateRequest, RegistrationRequest, Reply, SendWeights, WeightEntry, decode, encode)
from ..sasp import numbers as n
from .pacing import Admission, Turns

INTERVAL_S = 5  # what balancers that ask are told: how often to ask
UNREAD_MOST = 64 << 10  # bytes that a balancer has not read: above it nothing more is written to it
STUCK_US = 5_000_000  # and it is closed after so long without reading
PUSHES_A_TURN = 20
CONNECTIONS_MOST = 2_000
KEEP_US = 500_000  # after which registrations are stored; a balancer whose were lost registers anew
MESSAGES_PER_S = 200  # of one balancer
ADMIT_PER_S, ADMIT_BURST = 200, 200

CODES = {"unknown group": n.UNKNOWN_GROUP, "duplicate": n.DUPLICATE, "already registered": n.ALREADY_REGISTERED,
         "unknown member": n.UNKNOWN_MEMBER, "too many members": n.NOT_ACCEPTED, "too many groups": n.NOT_ACCEPTED}
REPLIES = {RegistrationRequest: n.REGISTRATION_REPLY, DeregistrationRequest: n.DEREGISTRATION_REPLY,
           LbStateRequest: n.LB_STATE_REPLY, MemberStateRequest: n.MEMBER_STATE_REPLY}


class Line:
    """One connection of a balancer."""

    def __init__(self, front, stream):
        self.front, self.stream, self.framer = front, stream, Framer()
        self.lb, self.push, self.number, self.blocked_since = None, False, 0, None
        self.budget = Admission(MESSAGES_PER_S, MESSAGES_PER_S)
        stream.start(self._data, self._closed)

    def _data(self, data):
        try:
            for one in self.framer.feed(data):
                if not self.budget.admit(self.front.loop.now()):
                    self.front.refuse(self, "too many messages")
                    return
                self._message(one)
                if not self.stream.open:
                    return
        except BadMessage as problem:
            # Where the next message begins is not known any more: only this connection ends.
            self.front.refuse(self, f"malformed: {problem}")

    def _message(self, data):
        number = int.from_bytes(data[9:13], "big")
        try:
            message, number = decode(data)
            answer = self.front.answer(self, message)
        except BadMessage as problem:
            self.front.counts["malformed"] += 1
            kind = int.from_bytes(data[13:15], "big")
            answer = Reply(kind + 5, problem.code) if kind + 5 in REPLIES.values() else None
            if kind == n.GET_WEIGHTS_REQUEST:
                answer = GetWeightsReply(problem.code, INTERVAL_S)
        if answer is not None:
            self.stream.write(encode(answer, number))

    def _closed(self, reason):
        self.front.gone(self, reason)

    @property
    def blocked(self):
        return self.stream.unsent > UNREAD_MOST


class SaspFront:
    """See the top of this module. Raises Refused of the loop when the address cannot be had."""

    def __init__(self, loop, address, slices, log, name, keep=lambda rows: None):
        self.loop, self.log, self.name, self.keep = loop, log, name, keep
        self.registry, self.lines, self.by_lb, self.counts = Registry(slices), set(), {}, Counter()
        self.admission, self.turns = Admission(ADMIT_PER_S, ADMIT_BURST), Turns()
        self.owned, self.pushing, self.closed, self.keeping = set(), False, False, False
        self.listener = loop.listen(address, self._accepted)
        self.address = self.listener.address
        self._mind()

    def _accepted(self, stream):
        if len(self.lines) >= CONNECTIONS_MOST or not self.admission.admit(self.loop.now()):
            self.counts["connections put off"] += 1
            stream.start(None, None)
            stream.abort("too many connections")
            return
        self.lines.add(Line(self, stream))

    def refuse(self, line, reason):
        self.counts[reason.partition(":")[0]] += 1
        self.log.warning("balancer_closed", manager=self.name, balancer=line.lb or "", reason=reason)
        line.stream.abort(reason)
        self.gone(line, reason)

    def gone(self, line, reason):
        self.lines.discard(line)
        if line.lb is not None and self.by_lb.get(line.lb) is line:
            del self.by_lb[line.lb]
            self.turns.forget(line.lb)

    # What balancers say.

    def answer(self, line, message):
        try:
            if isinstance(message, GetWeightsRequest):
                return self._weights(line, message)
            if isinstance(message, LbStateRequest):
                self._belongs(line, message.lb_uid)
                line.push = message.push
                balancer = self.registry.balancers.get(message.lb_uid)
                if balancer is not None:
                    balancer.push, balancer.only_changes, balancer.health = message.push, message.only_changes, message.health
            elif isinstance(message, RegistrationRequest):
                self._register(line, message)
            elif isinstance(message, DeregistrationRequest):
                for group in message.groups:
                    self._belongs(line, group.lb_uid)
                    self.registry.deregister(group.lb_uid, group.name or None, [place(row) for row in group.rows])
                self._keep()
            elif isinstance(message, MemberStateRequest):
                for group in message.groups:
                    self._belongs(line, group.lb_uid)
                    for row in group.rows:
                        self.registry.quiesce(group.lb_uid, group.name, place(row.member), row.quiesce)
            else:
                return Reply(n.REGISTRATION_REPLY, n.NOT_ACCEPTED)
        except Refused as problem:
            self.counts[problem.reason] += 1
            return Reply(REPLIES[type(message)], CODES[problem.reason])
        if line.lb is not None:
            self._due(line.lb)
        return Reply(REPLIES[type(message)], n.SUCCESS)

    def _belongs(self, line, lb):
        """A connection speaks for one balancer; a newer connection of the same takes its place."""
        if line.lb is None:
            line.lb = lb
            older = self.by_lb.get(lb)
            self.by_lb[lb] = line
            if older is not None:
                older.stream.abort("connected anew")
        elif line.lb != lb:
            raise BadMessage("one connection speaks for two balancers", n.NOT_ACCEPTED)

    def _register(self, line, message):
        """All groups of a message or none: what was taken is taken back where a later one is refused."""
        done = []
        try:
            for group in message.groups:
                self._belongs(line, group.lb_uid)
                if self.registry.slice_of(group.name) not in self.owned:
                    raise Refused("unknown group")  # another manager has this slice: the balancer asks there
                members = [place(row) for row in group.rows]
                self.registry.register(group.lb_uid, group.name, members)
                done.append((group.lb_uid, group.name, members))
        except Refused:
            for lb, name, members in done:
                self.registry.deregister(lb, name, members)
            raise
        self._keep()

    def _weights(self, line, message):
        groups = []
        try:
            for group in message.groups:
                self._belongs(line, group.lb_uid)
                if self.registry.slice_of(group.name) not in self.owned:
                    raise Refused("unknown group")
                groups.append(self._group(group.lb_uid, group.name, line))
        except Refused as problem:
            return GetWeightsReply(CODES[problem.reason], INTERVAL_S)
        return GetWeightsReply(n.SUCCESS, INTERVAL_S, tuple(groups))

    def _group(self, lb, name, line):
        entries = self.registry.advice(lb, name)
        self.registry.taken(lb, name, entries)
        self.counts["groups told"] += 1
        return Group(lb, name, tuple(WeightEntry(Member(host, port), weight, contact, quiesce)
                                     for (host, port), weight, contact, quiesce in entries))

    # What balancers are told.

    def publish(self, item, lines, withheld):
        """A slice in charge has this table now."""
        self.owned.add(item)
        before = self.registry.weights.get(item, {})
        self.registry.published(item, lines, withheld)
        # Who loses its weight drains or is lost: those who may still send there come first.
        lost = any(self.registry.weights[item].get(member, 0) == 0 for member in before)
        name = f"slice-{item}"
        for lb, balancer in self.registry.balancers.items():
            if name in balancer.groups:
                self._due(lb, urgent=lost)

    def list(self, fleet):
        self.registry.listed(fleet)
        for lb in self.registry.balancers:
            self._due(lb)

    def give_up(self, item):
        """Another manager has the slice: its balancers are told to ask there, by the end of the connection."""
        self.owned.discard(item)
        name = f"slice-{item}"
        for lb, balancer in list(self.registry.balancers.items()):
            if name in balancer.groups:
                self.registry.deregister(lb, name)
                line = self.by_lb.get(lb)
                if line is not None:
                    line.stream.close()
                    self.gone(line, "slice given away")

    def _due(self, lb, urgent=False):
        line = self.by_lb.get(lb)
        if line is not None and line.push:
            self.turns.due(lb, urgent)
            if not self.pushing:
                self.pushing = True
                self.loop.soon(self._push)

    def _push(self):
        """Some balancers a turn of the loop; what is told is read from the registry now, so it is the newest."""
        for _ in range(PUSHES_A_TURN):
            lb = self.turns.next()
            if lb is None:
                self.pushing = False
                return
            line = self.by_lb.get(lb)
            if line is None or lb not in self.registry.balancers:
                continue
            if line.blocked:
                line.blocked_since = line.blocked_since or self.loop.now()
                continue  # `_mind` looks again
            line.blocked_since = None
            # Of a slice that is not in charge here (registered before a restart, say) nothing is known: not even zeros.
            names = [name for name in self.registry.due(lb) if self.registry.slice_of(name) in self.owned]
            if names:
                line.number += 1
                line.stream.write(encode(SendWeights(tuple(self._group(lb, name, line) for name in names)), line.number))
                self.counts["pushes"] += 1
        self.loop.soon(self._push)

    def _mind(self):
        if self.closed:
            return
        self.loop.after(100_000, self._mind)
        now = self.loop.now()
        for line in list(self.lines):
            if not line.blocked:
                if line.blocked_since is not None:
                    line.blocked_since = None
                    self._due(line.lb, urgent=True)
            elif line.blocked_since is None:
                line.blocked_since = now
            elif now - line.blocked_since > STUCK_US:
                self.refuse(line, "does not read")

    def unproven(self, member):
        """Balancers that may still send to a member: reachable ones and those that are not connected now."""
        rows = self.registry.unproven(member)
        return [lb for lb in rows if lb in self.by_lb], [lb for lb in rows if lb not in self.by_lb]

    # What outlives a restart.

    def _keep(self):
        """Soon, and once for all that register meanwhile: each time it is the whole that is written."""
        if not self.keeping:
            self.keeping = True
            self.loop.after(KEEP_US, self._keep_now)

    def _keep_now(self):
        self.keeping = False
        self.keep([[lb, name, [list(member) for member in sorted(state.members)]]
                   for lb, balancer in sorted(self.registry.balancers.items())
                   for name, state in sorted(balancer.groups.items())])

    def restore(self, rows):
        """Registrations as `keep` got them; what is not in charge any more or is refused is left out."""
        for lb, name, members in rows:
            try:
                self.registry.register(lb, name, [tuple(member) for member in members])
            except Refused:
                self.counts["registrations left out"] += 1

    def close(self):
        self.closed = True
        self.listener.close()
        for line in list(self.lines):
            line.stream.close()


def place(member):
    return (member.host, member.port)
