"""Codec of the Server/Application State Protocol, version 1 (RFC 4678). No I/O.

`numbers` has the constants of the protocol, `messages` the messages as plain values and their encoding, `framing` cuts
a stream of bytes into messages.
"""

from .framing import Framer
from .messages import (
    DeregistrationRequest,
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
    WeightEntry,
    decode,
    encode,
)

__all__ = [
    "InvalidMessage",
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
