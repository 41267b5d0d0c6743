"""Peer aggregate: messages between entry hosts, and their transport."""

from ebonystream.peer._drop import DropReason
from ebonystream.peer._exchange import Exchange, ExchangeLimits
from ebonystream.peer._frame import (
    Envelope,
    Frame,
    decode_frame,
    encode_frame,
)
from ebonystream.peer._handlers import (
    AnswerCall,
    AnswerFetch,
    Handlers,
    TakeHeartbeat,
    TakeNote,
)
from ebonystream.peer._messages import (
    FetchSnapshot,
    ForwardAnswer,
    ForwardCall,
    Heartbeat,
    PeerAnswer,
    PeerRequest,
    ServerLoad,
    ServerStanding,
    Snapshot,
    VersionBrake,
    VersionEvidence,
)
from ebonystream.peer._questions import Questions
from ebonystream.peer._slots import AskSlots, GrantSlot, PeerNote, SlotClaim
from ebonystream.peer._transport import Transport
from ebonystream.peer._zmq import (
    ZmqSettings,
    ZmqTransport,
    open_zmq_transport,
)

__all__ = (
    'AnswerCall',
    'AnswerFetch',
    'AskSlots',
    'DropReason',
    'Envelope',
    'Exchange',
    'ExchangeLimits',
    'ForwardAnswer',
    'ForwardCall',
    'Frame',
    'FetchSnapshot',
    'GrantSlot',
    'Handlers',
    'Heartbeat',
    'PeerAnswer',
    'PeerNote',
    'PeerRequest',
    'Questions',
    'ServerLoad',
    'ServerStanding',
    'SlotClaim',
    'Snapshot',
    'TakeHeartbeat',
    'TakeNote',
    'Transport',
    'VersionBrake',
    'VersionEvidence',
    'ZmqSettings',
    'ZmqTransport',
    'decode_frame',
    'encode_frame',
    'open_zmq_transport',
)
