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

__all__ = (
    'FetchSnapshot',
    'ForwardAnswer',
    'ForwardCall',
    'Heartbeat',
    'PeerMessage',
    'ServerLoad',
    'Snapshot',
    'VersionBrake',
    'decode_message',
    'encode_message',
)
