"""The Server/Application State Protocol, version 1 (RFC 4678). A codec without I/O.

`numbers` has every constant of the protocol; `messages` the messages as plain values, to bytes and back; `framing`
cuts a stream of bytes into messages.
"""

from .framing import Framer
from .messages import (
    BadMessage,
    DeregistrationRequest,
    GetWeightsReply,
    GetWeightsRequest,
    Group,
    LbStateRequest,
    Member,
    MemberState,
    MemberStateRequest,
    RegistrationRequest,
    Reply,
    SendWeights,
    WeightEntry,
    decode,
    encode,
)

__all__ = [
    "BadMessage",
    "DeregistrationRequest",
    "Framer",
    "GetWeightsReply",
    "GetWeightsRequest",
    "Group",
    "LbStateRequest",
    "Member",
    "MemberState",
    "MemberStateRequest",
    "RegistrationRequest",
    "Reply",
    "SendWeights",
    "WeightEntry",
    "decode",
    "encode",
]
