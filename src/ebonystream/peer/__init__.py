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
    Handlers,
    OnHeartbeat,
    OnSlotMessage,
    RespondToCall,
    RespondToSnapshotRequest,
)
from ebonystream.peer._messages import (
    ForwardedCall,
    ForwardedResponse,
    Heartbeat,
    PeerRequest,
    PeerResponse,
    ServerLoad,
    ServerStanding,
    SnapshotRequest,
    SnapshotResponse,
    StoppedVersion,
    VersionEvidence,
)
from ebonystream.peer._pending import PendingRequests
from ebonystream.peer._slots import (
    SlotClaim,
    SlotGrant,
    SlotMessage,
    SlotRequest,
)
from ebonystream.peer._transport import Transport
from ebonystream.peer._zmq import (
    ZmqSettings,
    ZmqTransport,
    open_zmq_transport,
)

__all__ = (
    'RespondToCall',
    'RespondToSnapshotRequest',
    'SlotRequest',
    'DropReason',
    'Envelope',
    'Exchange',
    'ExchangeLimits',
    'ForwardedResponse',
    'ForwardedCall',
    'Frame',
    'SnapshotRequest',
    'SlotGrant',
    'Handlers',
    'Heartbeat',
    'PeerResponse',
    'SlotMessage',
    'PeerRequest',
    'PendingRequests',
    'ServerLoad',
    'ServerStanding',
    'SlotClaim',
    'SnapshotResponse',
    'OnHeartbeat',
    'OnSlotMessage',
    'Transport',
    'StoppedVersion',
    'VersionEvidence',
    'ZmqSettings',
    'ZmqTransport',
    'decode_frame',
    'encode_frame',
    'open_zmq_transport',
)
