"""Frames: what stands around a message between entry hosts.

A frame is one byte of protocol version and one MessagePack array: a heartbeat,
or an envelope with a request or an answer.
"""

import msgspec

from ebonystream._ids import HostId, Incarnation
from ebonystream.peer._drop import DropReason
from ebonystream.peer._messages import Heartbeat, PeerAnswer, PeerRequest
from ebonystream.peer._slots import PeerNote

PROTOCOL_VERSION = 1


class Envelope(msgspec.Struct, tag='e', frozen=True, array_like=True):
    """A request or an answer, with its sender.

    Attributes:
        sender: The host that sent it.
        incarnation: Which run of the sender.
        recipient: The incarnation that an answer is for.
        message: The request, the answer or the note.
    """

    sender: HostId
    incarnation: Incarnation
    recipient: Incarnation | None
    message: PeerRequest | PeerAnswer | PeerNote


Frame = Heartbeat | Envelope
"""Everything that travels between entry hosts."""

_decoder = msgspec.msgpack.Decoder(Frame)
_encoder = msgspec.msgpack.Encoder()
_prefix = bytes((PROTOCOL_VERSION,))


def encode_frame(frame: Frame) -> bytes:
    """Spell a frame.

    Args:
        frame: A heartbeat or an envelope.
    """
    return _prefix + _encoder.encode(frame)


def decode_frame(sent: bytes, *, max_bytes: int) -> Frame | DropReason:
    """Read a frame, or tell why it has to be dropped.

    Args:
        sent: What came over the network.
        max_bytes: The longest frame that is taken.
    """
    if len(sent) > max_bytes:
        return DropReason.OVERSIZE
    if not sent:
        return DropReason.MALFORMED
    if sent[0] != PROTOCOL_VERSION:
        return DropReason.UNKNOWN_VERSION
    try:
        return _decoder.decode(memoryview(sent)[1:])
    except (msgspec.MsgspecError, RecursionError):
        return DropReason.MALFORMED
