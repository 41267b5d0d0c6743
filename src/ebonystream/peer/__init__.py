"""The peer aggregate: what entry hosts tell and ask one another."""

from ebonystream.peer._messages import (
    FetchSnapshot,
    ForwardAnswer,
    ForwardCall,
    Heartbeat,
    PeerMessage,
    ServerLoad,
    Snapshot,
    VersionBrake,
    decode_message,
    encode_message,
)
from ebonystream.peer._slots import AskSlots, GrantSlot, SlotClaim

__all__ = (
    'AskSlots',
    'FetchSnapshot',
    'ForwardAnswer',
    'ForwardCall',
    'GrantSlot',
    'Heartbeat',
    'PeerMessage',
    'ServerLoad',
    'SlotClaim',
    'Snapshot',
    'VersionBrake',
    'decode_message',
    'encode_message',
)
