"""Constants of SASP version 1 (RFC 4678).

All numbers are in network byte order; lengths include a component's own type and length fields. The constants were
written down without the text of the RFC; those that may be wrong are marked as unverified.
"""

VERSION = 1
HEADER = 0x2010
HEADER_LENGTH = 13  # type, length, version, message length, message id

REGISTRATION_REQUEST, REGISTRATION_REPLY = 0x1010, 0x1015
DEREGISTRATION_REQUEST, DEREGISTRATION_REPLY = 0x1020, 0x1025
GET_WEIGHTS_REQUEST, GET_WEIGHTS_REPLY = 0x1030, 0x1035
SEND_WEIGHTS = 0x1040
LB_STATE_REQUEST, LB_STATE_REPLY = 0x1050, 0x1055
MEMBER_STATE_REQUEST, MEMBER_STATE_REPLY = 0x1060, 0x1065

MEMBER_DATA, GROUP_DATA, WEIGHT_ENTRY, MEMBER_STATE = 0x3010, 0x3011, 0x3012, 0x3013
GROUP_OF_MEMBERS, GROUP_OF_WEIGHTS, GROUP_OF_STATES = 0x4010, 0x4011, 0x4012

# Flag of a registration: set if the balancer sends it, clear if a member does.
FROM_LB = 0x01
# Flags of a weight entry; their bits are unverified, their meaning is certain.
CONTACT, QUIESCE, REGISTERED = 0x80, 0x40, 0x20
# Flags of Set LB State.
PUSH, TRUST, NO_CHANGE_NO_SEND = 0x80, 0x40, 0x20
# Flag of Set Member State.
STATE_QUIESCE = 0x80

# Reply codes; some of those from 0x40 on are unverified.
SUCCESS = 0x00
NOT_UNDERSTOOD = 0x10
NOT_ACCEPTED = 0x11
ALREADY_REGISTERED = 0x40
DUPLICATE = 0x41
UNKNOWN_GROUP = 0x42
BAD_GROUP_NAME_SIZE = 0x50
BAD_LB_UID_SIZE = 0x51
UNKNOWN_MEMBER = 0x61

MAX_WEIGHT = 0xFFFF
PROTOCOL_TCP = 6
