"""Messages of SASP (RFC 4678) as plain values: `encode(message, message_id)` and `decode(data)`.

Both raise InvalidMessage. Decoding reads each byte once, creates no more objects than the bytes hold, and accepts no
length field that reaches beyond the enclosing component.
"""

import ipaddress
import struct
from dataclasses import dataclass

from . import numbers

MAX_MESSAGE_BYTES = 1 << 20  # of one whole message
MAX_TEXT_BYTES = 255  # of a name or label: its length field is one byte


class InvalidMessage(Exception):
    """A message that cannot be encoded or decoded.

    `code` is the reply code of the protocol, `framed` whether the start of the next message is still known.
    """

    def __init__(self, text, code=numbers.NOT_UNDERSTOOD, framed=True):
        super().__init__(text)
        self.code, self.framed = code, framed


@dataclass(frozen=True, slots=True)
class Member:
    """A worker as balancers identify it. `host` is an IPv4 or IPv6 address as text."""

    host: str
    port: int
    protocol: int = numbers.PROTOCOL_TCP
    label: str = ""


@dataclass(frozen=True, slots=True)
class Group:
    """A group of one balancer; `rows` are Members, WeightEntries or MemberStates, depending on the message."""

    lb_uid: str
    name: str
    rows: tuple = ()


@dataclass(frozen=True, slots=True)
class WeightEntry:
    """The weight of a member: `contact` is False if it is unknown, `quiesce` True if it must get nothing."""

    member: Member
    weight: int
    contact: bool = True
    quiesce: bool = False
    registered: bool = True


@dataclass(frozen=True, slots=True)
class MemberState:
    """The state that a balancer or member reports; a member that is quiesced gets weight 0."""

    member: Member
    state: int = 0
    quiesce: bool = False


@dataclass(frozen=True, slots=True)
class RegistrationRequest:
    """Registers members of groups; `from_lb`: whether the balancer sends it, or a member."""

    groups: tuple
    from_lb: bool = True


@dataclass(frozen=True, slots=True)
class DeregistrationRequest:
    """Deregisters members of groups; a group without members is deregistered whole."""

    groups: tuple
    reason: int = 0
    from_lb: bool = True


@dataclass(frozen=True, slots=True)
class GetWeightsRequest:
    """Asks for the weights of groups."""

    groups: tuple


@dataclass(frozen=True, slots=True)
class GetWeightsReply:
    """Answers a GetWeightsRequest; the balancer should ask again after `interval_s` seconds."""

    code: int
    interval_s: int
    groups: tuple = ()


@dataclass(frozen=True, slots=True)
class SendWeights:
    """Pushes the weights of groups to a balancer."""

    groups: tuple


@dataclass(frozen=True, slots=True)
class LbStateRequest:
    """Sets the state of a balancer: its health, and whether it wants pushes, and only of changed groups."""

    lb_uid: str
    health: int = 0x7F
    push: bool = True
    trust: bool = False
    only_changes: bool = False


@dataclass(frozen=True, slots=True)
class MemberStateRequest:
    """Sets the state of members."""

    groups: tuple
    from_lb: bool = True


@dataclass(frozen=True, slots=True)
class Reply:
    """Answers any other request; `kind` is the component type of the reply."""

    kind: int
    code: int


# Encoding.


def encode_component(kind, body):
    """Returns type, length and body of a component. Raises InvalidMessage."""
    if len(body) + 4 > 0xFFFF:
        raise InvalidMessage("a component exceeds its 16-bit length field")
    return struct.pack("!HH", kind, len(body) + 4) + body


def encode_text(value, code):
    """Returns a text with its length byte. Raises InvalidMessage with `code`."""
    data = value.encode()
    if len(data) > MAX_TEXT_BYTES:
        raise InvalidMessage("a name exceeds 255 bytes", code)
    return bytes([len(data)]) + data


def encode_member(member):
    """Returns a member's component; IPv4 addresses are mapped to IPv6. Raises InvalidMessage."""
    try:
        address = ipaddress.ip_address(member.host)
    except ValueError:
        raise InvalidMessage(f"{member.host!r:.60} is not an IP address") from None
    packed = address.packed if address.version == 6 else b"\0" * 10 + b"\xff\xff" + address.packed
    return encode_component(
        numbers.MEMBER_DATA,
        struct.pack("!BH", member.protocol, member.port) + packed + encode_text(member.label, numbers.NOT_UNDERSTOOD),
    )


def encode_group(group, kind=None):
    """Returns a group's component with entries of component type `kind`; without `kind` only its names."""
    data = encode_component(
        numbers.GROUP_DATA,
        encode_text(group.lb_uid, numbers.BAD_LB_UID_SIZE) + encode_text(group.name, numbers.BAD_GROUP_NAME_SIZE),
    )
    if kind is None:
        return data
    entries = b"".join(ENTRY_ENCODERS[kind](entry) for entry in group.rows)
    return encode_component(kind, struct.pack("!H", len(group.rows)) + data + entries)


def encode_weight_entry(entry):
    """Returns the component of a WeightEntry."""
    flags = numbers.CONTACT * entry.contact | numbers.QUIESCE * entry.quiesce | numbers.REGISTERED * entry.registered
    return encode_component(numbers.WEIGHT_ENTRY, encode_member(entry.member) + struct.pack("!BH", flags, entry.weight))


def encode_member_state(entry):
    """Returns the component of a MemberState."""
    return encode_component(
        numbers.MEMBER_STATE, encode_member(entry.member) + bytes([entry.state, numbers.STATE_QUIESCE * entry.quiesce])
    )


ENTRY_ENCODERS = {
    numbers.GROUP_OF_MEMBERS: encode_member,
    numbers.GROUP_OF_WEIGHTS: encode_weight_entry,
    numbers.GROUP_OF_STATES: encode_member_state,
}


def encode_groups(groups, kind):
    """Returns the count of groups and their components."""
    return struct.pack("!H", len(groups)) + b"".join(encode_group(group, kind) for group in groups)


def encode_body(message):
    """Returns (component type, body) of a message."""
    if isinstance(message, RegistrationRequest):
        return numbers.REGISTRATION_REQUEST, bytes([numbers.FROM_LB * message.from_lb]) + encode_groups(
            message.groups, numbers.GROUP_OF_MEMBERS
        )
    if isinstance(message, DeregistrationRequest):
        return numbers.DEREGISTRATION_REQUEST, bytes(
            [numbers.FROM_LB * message.from_lb, message.reason]
        ) + encode_groups(message.groups, numbers.GROUP_OF_MEMBERS)
    if isinstance(message, GetWeightsRequest):
        return numbers.GET_WEIGHTS_REQUEST, encode_groups(message.groups, None)
    if isinstance(message, GetWeightsReply):
        return numbers.GET_WEIGHTS_REPLY, struct.pack("!BH", message.code, message.interval_s) + encode_groups(
            message.groups, numbers.GROUP_OF_WEIGHTS
        )
    if isinstance(message, SendWeights):
        return numbers.SEND_WEIGHTS, encode_groups(message.groups, numbers.GROUP_OF_WEIGHTS)
    if isinstance(message, LbStateRequest):
        flags = (
            numbers.PUSH * message.push
            | numbers.TRUST * message.trust
            | numbers.NO_CHANGE_NO_SEND * message.only_changes
        )
        return numbers.LB_STATE_REQUEST, encode_text(message.lb_uid, numbers.BAD_LB_UID_SIZE) + bytes(
            [message.health, flags]
        )
    if isinstance(message, MemberStateRequest):
        return numbers.MEMBER_STATE_REQUEST, bytes([numbers.FROM_LB * message.from_lb]) + encode_groups(
            message.groups, numbers.GROUP_OF_STATES
        )
    return message.kind, bytes([message.code])


# The header gives the length of a message in 32 bits, the message's own component in 16 bits. A component that is too
# long for them has 0xFFFF there, and the header's length counts. (Unverified: the RFC does not seem to define this.)


def encode(message, message_id):
    """Returns the bytes of a message. Raises InvalidMessage."""
    kind, body = encode_body(message)
    size = len(body) + 4
    component = struct.pack("!HH", kind, min(size, 0xFFFF)) + body
    total = numbers.HEADER_LENGTH + size
    if total > MAX_MESSAGE_BYTES:
        raise InvalidMessage("a message exceeds 1 MiB")
    return (
        struct.pack("!HHBII", numbers.HEADER, numbers.HEADER_LENGTH, numbers.VERSION, total, message_id & 0xFFFFFFFF)
        + component
    )


# Decoding.


class Reader:
    """Reads the bytes of one component from `offset` to `end`; reads beyond the end raise InvalidMessage."""

    __slots__ = ("data", "offset", "end")

    def __init__(self, data, offset, end):
        self.data, self.offset, self.end = data, offset, end

    def read(self, size):
        """Returns the next `size` bytes."""
        offset = self.offset
        if offset + size > self.end:
            raise InvalidMessage("a component is truncated")
        self.offset = offset + size
        return self.data[offset : offset + size]

    def read_numbers(self, fmt):
        """Returns the next numbers, by a format of `struct`."""
        return struct.unpack(fmt, self.read(struct.calcsize(fmt)))

    def read_text(self, code):
        """Returns the next text, which follows its length byte. Raises InvalidMessage with `code`."""
        (size,) = self.read(1)
        try:
            return self.read(size).decode()
        except UnicodeDecodeError:
            raise InvalidMessage("a name is not UTF-8", code) from None

    def open_component(self, kind):
        """Returns a Reader of the next component, which must have type `kind`, and skips that component."""
        found, size = self.read_numbers("!HH")
        if found != kind:
            raise InvalidMessage(f"a component has type {found:#06x}, expected {kind:#06x}")
        if size < 4 or self.offset + size - 4 > self.end:
            raise InvalidMessage("a length field is wrong")
        reader = Reader(self.data, self.offset, self.offset + size - 4)
        self.offset += size - 4
        return reader

    def expect_end(self):
        """Raises InvalidMessage if bytes are left in the component."""
        if self.offset != self.end:
            raise InvalidMessage("a component has trailing bytes")


def decode_member(reader):
    """Returns the next Member; an IPv4-mapped address becomes IPv4 again."""
    reader = reader.open_component(numbers.MEMBER_DATA)
    protocol, port = reader.read_numbers("!BH")
    address = ipaddress.IPv6Address(reader.read(16))
    label = reader.read_text(numbers.NOT_UNDERSTOOD)
    reader.expect_end()
    return Member(str(address.ipv4_mapped or address), port, protocol, label)


def decode_weight_entry(reader):
    """Returns the next WeightEntry."""
    reader = reader.open_component(numbers.WEIGHT_ENTRY)
    member = decode_member(reader)
    flags, weight = reader.read_numbers("!BH")
    reader.expect_end()
    return WeightEntry(
        member, weight, bool(flags & numbers.CONTACT), bool(flags & numbers.QUIESCE), bool(flags & numbers.REGISTERED)
    )


def decode_member_state(reader):
    """Returns the next MemberState."""
    reader = reader.open_component(numbers.MEMBER_STATE)
    member = decode_member(reader)
    state, flags = reader.read(2)
    reader.expect_end()
    return MemberState(member, state, bool(flags & numbers.STATE_QUIESCE))


ENTRY_DECODERS = {
    numbers.GROUP_OF_MEMBERS: decode_member,
    numbers.GROUP_OF_WEIGHTS: decode_weight_entry,
    numbers.GROUP_OF_STATES: decode_member_state,
}


def decode_group(reader, kind):
    """Returns the next Group, with entries of component type `kind`, or only its names without `kind`."""
    count = 0
    if kind is not None:
        reader = reader.open_component(kind)
        (count,) = reader.read_numbers("!H")
    group_data = reader.open_component(numbers.GROUP_DATA)
    lb_uid, name = group_data.read_text(numbers.BAD_LB_UID_SIZE), group_data.read_text(numbers.BAD_GROUP_NAME_SIZE)
    group_data.expect_end()
    if not name and kind is not numbers.GROUP_OF_MEMBERS:
        raise InvalidMessage("a group has no name", numbers.BAD_GROUP_NAME_SIZE)
    entries = tuple(ENTRY_DECODERS[kind](reader) for _ in range(count))
    if kind is not None:
        reader.expect_end()
    return Group(lb_uid, name, entries)


def decode_groups(reader, kind):
    """Returns all groups up to the end of the component."""
    (count,) = reader.read_numbers("!H")
    groups = tuple(decode_group(reader, kind) for _ in range(count))
    reader.expect_end()
    return groups


def decode(data):
    """Returns (message, message id) of the bytes of one whole message. Raises InvalidMessage."""
    reader = Reader(data, 0, len(data))
    header, length, version, total, message_id = reader.read_numbers("!HHBII")
    if header != numbers.HEADER or length != numbers.HEADER_LENGTH or total != len(data):
        raise InvalidMessage("not a SASP message header", framed=False)
    if version != numbers.VERSION:
        raise InvalidMessage(f"version {version} is not supported")
    kind, size = reader.read_numbers("!HH")
    if size != min(reader.end - reader.offset + 4, 0xFFFF):
        raise InvalidMessage("a length field is wrong")
    try:
        return decode_body(kind, reader), message_id
    except InvalidMessage:
        raise
    except (struct.error, ValueError) as decode_error:
        raise InvalidMessage(str(decode_error)) from None


def decode_body(kind, reader):
    """Returns the message of a component type. Raises InvalidMessage."""
    if kind == numbers.REGISTRATION_REQUEST:
        (flags,) = reader.read(1)
        return RegistrationRequest(decode_groups(reader, numbers.GROUP_OF_MEMBERS), bool(flags & numbers.FROM_LB))
    if kind == numbers.DEREGISTRATION_REQUEST:
        flags, reason = reader.read(2)
        return DeregistrationRequest(
            decode_groups(reader, numbers.GROUP_OF_MEMBERS), reason, bool(flags & numbers.FROM_LB)
        )
    if kind == numbers.GET_WEIGHTS_REQUEST:
        return GetWeightsRequest(decode_groups(reader, None))
    if kind == numbers.GET_WEIGHTS_REPLY:
        code, interval_s = reader.read_numbers("!BH")
        return GetWeightsReply(code, interval_s, decode_groups(reader, numbers.GROUP_OF_WEIGHTS))
    if kind == numbers.SEND_WEIGHTS:
        return SendWeights(decode_groups(reader, numbers.GROUP_OF_WEIGHTS))
    if kind == numbers.LB_STATE_REQUEST:
        lb_uid = reader.read_text(numbers.BAD_LB_UID_SIZE)
        health, flags = reader.read(2)
        reader.expect_end()
        return LbStateRequest(
            lb_uid,
            health,
            bool(flags & numbers.PUSH),
            bool(flags & numbers.TRUST),
            bool(flags & numbers.NO_CHANGE_NO_SEND),
        )
    if kind == numbers.MEMBER_STATE_REQUEST:
        (flags,) = reader.read(1)
        return MemberStateRequest(decode_groups(reader, numbers.GROUP_OF_STATES), bool(flags & numbers.FROM_LB))
    if kind in (
        numbers.REGISTRATION_REPLY,
        numbers.DEREGISTRATION_REPLY,
        numbers.LB_STATE_REPLY,
        numbers.MEMBER_STATE_REPLY,
    ):
        (code,) = reader.read(1)
        reader.expect_end()
        return Reply(kind, code)
    raise InvalidMessage(f"unknown message type {kind:#06x}")
