"""Messages of RFC 4678 as plain values. `encode(message, message_id)` and `decode(bytes)`; raises BadMessage.

Decoding looks at each byte once, makes no more objects than the bytes hold, and trusts no length field further than
the component around it.
"""

import ipaddress
import struct
from dataclasses import dataclass

from . import numbers as n

MESSAGE_MOST = 1 << 20  # bytes of one message
TEXT_MOST = 255


class BadMessage(Exception):
    """`code` is the reply that the protocol has for it, `framed` whether the next message can still be found."""

    def __init__(self, text, code=n.NOT_UNDERSTOOD, framed=True):
        super().__init__(text)
        self.code, self.framed = code, framed


@dataclass(frozen=True, slots=True)
class Member:
    """A worker as balancers name it. `host` is IPv4 or IPv6 text."""

    host: str
    port: int
    protocol: int = n.PROTOCOL_TCP
    label: str = ""


@dataclass(frozen=True, slots=True)
class Group:
    """A group of one balancer; `rows` are Members, WeightEntries or MemberStates, by the message it stands in."""

    lb_uid: str
    name: str
    rows: tuple = ()


@dataclass(frozen=True, slots=True)
class WeightEntry:
    member: Member
    weight: int
    contact: bool = True
    quiesce: bool = False
    registered: bool = True


@dataclass(frozen=True, slots=True)
class MemberState:
    member: Member
    state: int = 0
    quiesce: bool = False


@dataclass(frozen=True, slots=True)
class RegistrationRequest:
    groups: tuple
    from_lb: bool = True


@dataclass(frozen=True, slots=True)
class DeregistrationRequest:
    """Groups without members are deregistered whole."""

    groups: tuple
    reason: int = 0
    from_lb: bool = True


@dataclass(frozen=True, slots=True)
class GetWeightsRequest:
    groups: tuple


@dataclass(frozen=True, slots=True)
class GetWeightsReply:
    code: int
    interval_s: int
    groups: tuple = ()


@dataclass(frozen=True, slots=True)
class SendWeights:
    groups: tuple


@dataclass(frozen=True, slots=True)
class LbStateRequest:
    lb_uid: str
    health: int = 0x7F
    push: bool = True
    trust: bool = False
    only_changes: bool = False


@dataclass(frozen=True, slots=True)
class MemberStateRequest:
    groups: tuple
    from_lb: bool = True


@dataclass(frozen=True, slots=True)
class Reply:
    """`kind` is the type of the reply's component."""

    kind: int
    code: int


# To bytes.


def component(kind, body):
    if len(body) + 4 > 0xFFFF:
        raise BadMessage("a component is too long for its length field")
    return struct.pack("!HH", kind, len(body) + 4) + body


def text(value, code):
    data = value.encode()
    if len(data) > TEXT_MOST:
        raise BadMessage("a name is longer than 255 bytes", code)
    return bytes([len(data)]) + data


def member_bytes(member):
    try:
        address = ipaddress.ip_address(member.host)
    except ValueError:
        raise BadMessage(f"{member.host!r:.60} is no address") from None
    packed = address.packed if address.version == 6 else b"\0" * 10 + b"\xff\xff" + address.packed
    return component(
        n.MEMBER_DATA, struct.pack("!BH", member.protocol, member.port) + packed + text(member.label, n.NOT_UNDERSTOOD)
    )


def group_bytes(group, kind=None):
    data = component(n.GROUP_DATA, text(group.lb_uid, n.BAD_LB_UID_SIZE) + text(group.name, n.BAD_GROUP_NAME_SIZE))
    if kind is None:
        return data
    rows = b"".join(ROWS[kind](row) for row in group.rows)
    return component(kind, struct.pack("!H", len(group.rows)) + data + rows)


def weight_bytes(row):
    flags = n.CONTACT * row.contact | n.QUIESCE * row.quiesce | n.REGISTERED * row.registered
    return component(n.WEIGHT_ENTRY, member_bytes(row.member) + struct.pack("!BH", flags, row.weight))


def state_bytes(row):
    return component(n.MEMBER_STATE, member_bytes(row.member) + bytes([row.state, n.STATE_QUIESCE * row.quiesce]))


ROWS = {n.GROUP_OF_MEMBERS: member_bytes, n.GROUP_OF_WEIGHTS: weight_bytes, n.GROUP_OF_STATES: state_bytes}


def groups_bytes(groups, kind):
    return struct.pack("!H", len(groups)) + b"".join(group_bytes(group, kind) for group in groups)


def body_of(message):
    if isinstance(message, RegistrationRequest):
        return n.REGISTRATION_REQUEST, bytes([n.FROM_LB * message.from_lb]) + groups_bytes(
            message.groups, n.GROUP_OF_MEMBERS
        )
    if isinstance(message, DeregistrationRequest):
        return n.DEREGISTRATION_REQUEST, bytes([n.FROM_LB * message.from_lb, message.reason]) + groups_bytes(
            message.groups, n.GROUP_OF_MEMBERS
        )
    if isinstance(message, GetWeightsRequest):
        return n.GET_WEIGHTS_REQUEST, groups_bytes(message.groups, None)
    if isinstance(message, GetWeightsReply):
        return n.GET_WEIGHTS_REPLY, struct.pack("!BH", message.code, message.interval_s) + groups_bytes(
            message.groups, n.GROUP_OF_WEIGHTS
        )
    if isinstance(message, SendWeights):
        return n.SEND_WEIGHTS, groups_bytes(message.groups, n.GROUP_OF_WEIGHTS)
    if isinstance(message, LbStateRequest):
        flags = n.PUSH * message.push | n.TRUST * message.trust | n.NO_CHANGE_NO_SEND * message.only_changes
        return n.LB_STATE_REQUEST, text(message.lb_uid, n.BAD_LB_UID_SIZE) + bytes([message.health, flags])
    if isinstance(message, MemberStateRequest):
        return n.MEMBER_STATE_REQUEST, bytes([n.FROM_LB * message.from_lb]) + groups_bytes(
            message.groups, n.GROUP_OF_STATES
        )
    return message.kind, bytes([message.code])


# The lengths of a message's own component are 32 bits in the header; the component's 16-bit field holds what fits, and
# for longer messages 0xFFFF: the header's length then counts. (Where the RFC is silent, so far as we remember.)


def encode(message, message_id):
    kind, body = body_of(message)
    size = len(body) + 4
    inner = struct.pack("!HH", kind, min(size, 0xFFFF)) + body
    total = n.HEADER_LENGTH + size
    if total > MESSAGE_MOST:
        raise BadMessage("a message is longer than a megabyte")
    return struct.pack("!HHBII", n.HEADER, n.HEADER_LENGTH, n.VERSION, total, message_id & 0xFFFFFFFF) + inner


# From bytes.


class Reader:
    """A place in the bytes of one component; what reaches beyond its end is not there."""

    __slots__ = ("data", "place", "end")

    def __init__(self, data, place, end):
        self.data, self.place, self.end = data, place, end

    def take(self, size):
        place = self.place
        if place + size > self.end:
            raise BadMessage("a component ends before its content")
        self.place = place + size
        return self.data[place : place + size]

    def numbers(self, form):
        return struct.unpack(form, self.take(struct.calcsize(form)))

    def text(self, code):
        (size,) = self.take(1)
        try:
            return self.take(size).decode()
        except UnicodeDecodeError:
            raise BadMessage("a name is not UTF-8", code) from None

    def inner(self, kind):
        """The next component, which must be of that kind."""
        found, size = self.numbers("!HH")
        if found != kind:
            raise BadMessage(f"a component of type {found:#06x} where {kind:#06x} belongs")
        if size < 4 or self.place + size - 4 > self.end:
            raise BadMessage("a length field lies")
        reader = Reader(self.data, self.place, self.place + size - 4)
        self.place += size - 4
        return reader

    def done(self):
        if self.place != self.end:
            raise BadMessage("bytes are left over in a component")


def member_from(reader):
    reader = reader.inner(n.MEMBER_DATA)
    protocol, port = reader.numbers("!BH")
    address = ipaddress.IPv6Address(reader.take(16))
    label = reader.text(n.NOT_UNDERSTOOD)
    reader.done()
    return Member(str(address.ipv4_mapped or address), port, protocol, label)


def weight_from(reader):
    reader = reader.inner(n.WEIGHT_ENTRY)
    member = member_from(reader)
    flags, weight = reader.numbers("!BH")
    reader.done()
    return WeightEntry(member, weight, bool(flags & n.CONTACT), bool(flags & n.QUIESCE), bool(flags & n.REGISTERED))


def state_from(reader):
    reader = reader.inner(n.MEMBER_STATE)
    member = member_from(reader)
    state, flags = reader.take(2)
    reader.done()
    return MemberState(member, state, bool(flags & n.STATE_QUIESCE))


ROWS_FROM = {n.GROUP_OF_MEMBERS: member_from, n.GROUP_OF_WEIGHTS: weight_from, n.GROUP_OF_STATES: state_from}


def group_from(reader, kind):
    count = 0
    if kind is not None:
        reader = reader.inner(kind)
        (count,) = reader.numbers("!H")
    data = reader.inner(n.GROUP_DATA)
    lb_uid, name = data.text(n.BAD_LB_UID_SIZE), data.text(n.BAD_GROUP_NAME_SIZE)
    data.done()
    if not name and kind is not n.GROUP_OF_MEMBERS:
        raise BadMessage("a group has no name", n.BAD_GROUP_NAME_SIZE)
    rows = tuple(ROWS_FROM[kind](reader) for _ in range(count))
    if kind is not None:
        reader.done()
    return Group(lb_uid, name, rows)


def groups_from(reader, kind):
    (count,) = reader.numbers("!H")
    groups = tuple(group_from(reader, kind) for _ in range(count))
    reader.done()
    return groups


def decode(data):
    """(message, message id) of one whole message. Raises BadMessage."""
    reader = Reader(data, 0, len(data))
    header, length, version, total, message_id = reader.numbers("!HHBII")
    if header != n.HEADER or length != n.HEADER_LENGTH or total != len(data):
        raise BadMessage("the header is none", framed=False)
    if version != n.VERSION:
        raise BadMessage(f"version {version} is not spoken here")
    kind, size = reader.numbers("!HH")
    if size != min(reader.end - reader.place + 4, 0xFFFF):
        raise BadMessage("a length field lies")
    try:
        return message_from(kind, reader), message_id
    except BadMessage:
        raise
    except (struct.error, ValueError) as problem:
        raise BadMessage(str(problem)) from None


def message_from(kind, reader):
    if kind == n.REGISTRATION_REQUEST:
        (flags,) = reader.take(1)
        return RegistrationRequest(groups_from(reader, n.GROUP_OF_MEMBERS), bool(flags & n.FROM_LB))
    if kind == n.DEREGISTRATION_REQUEST:
        flags, reason = reader.take(2)
        return DeregistrationRequest(groups_from(reader, n.GROUP_OF_MEMBERS), reason, bool(flags & n.FROM_LB))
    if kind == n.GET_WEIGHTS_REQUEST:
        return GetWeightsRequest(groups_from(reader, None))
    if kind == n.GET_WEIGHTS_REPLY:
        code, interval = reader.numbers("!BH")
        return GetWeightsReply(code, interval, groups_from(reader, n.GROUP_OF_WEIGHTS))
    if kind == n.SEND_WEIGHTS:
        return SendWeights(groups_from(reader, n.GROUP_OF_WEIGHTS))
    if kind == n.LB_STATE_REQUEST:
        uid = reader.text(n.BAD_LB_UID_SIZE)
        health, flags = reader.take(2)
        reader.done()
        return LbStateRequest(
            uid, health, bool(flags & n.PUSH), bool(flags & n.TRUST), bool(flags & n.NO_CHANGE_NO_SEND)
        )
    if kind == n.MEMBER_STATE_REQUEST:
        (flags,) = reader.take(1)
        return MemberStateRequest(groups_from(reader, n.GROUP_OF_STATES), bool(flags & n.FROM_LB))
    if kind in (n.REGISTRATION_REPLY, n.DEREGISTRATION_REPLY, n.LB_STATE_REPLY, n.MEMBER_STATE_REPLY):
        (code,) = reader.take(1)
        reader.done()
        return Reply(kind, code)
    raise BadMessage(f"a message of type {kind:#06x} is not known here")
