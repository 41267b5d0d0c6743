"""Encoding of messages between entry hosts as frames.

A frame is one byte with the protocol version and one MessagePack array: a
heartbeat, or an envelope around any other message.
"""

import msgspec

from ebonystream._ids import HostId, Incarnation
from ebonystream.peer._drop import DropReason
from ebonystream.peer._messages import Heartbeat, PeerRequest, PeerResponse
from ebonystream.peer._slots import SlotMessage

PROTOCOL_VERSION = 1


class Envelope(msgspec.Struct, tag='e', frozen=True, array_like=True):
    """A message other than a heartbeat, with its sender.

    Attributes:
        sender: Name of the host that sent it.
        incarnation: Incarnation of the sender.
        recipient: Incarnation that a response is for; None for other messages.
        message: Request, response or message about slots.
    """

    sender: HostId
    incarnation: Incarnation
    recipient: Incarnation | None
    message: PeerRequest | PeerResponse | SlotMessage


Frame = Heartbeat | Envelope
"""All frames between entry hosts."""

_decoder = msgspec.msgpack.Decoder(Frame)
_encoder = msgspec.msgpack.Encoder()
_prefix = bytes((PROTOCOL_VERSION,))


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame.

    Args:
        frame: Frame to encode.
    """
    return _prefix + _encoder.encode(frame)


def decode_frame(encoded: bytes, *, max_bytes: int) -> Frame | DropReason:
    """Decode a frame, or return why it has to be dropped.

    Args:
        encoded: Bytes as they were received.
        max_bytes: Maximum size of a frame.
    """
    if len(encoded) > max_bytes:
        return DropReason.OVERSIZE
    if not encoded:
        return DropReason.MALFORMED
    if encoded[0] != PROTOCOL_VERSION:
        return DropReason.UNKNOWN_VERSION
    try:
        return _decoder.decode(memoryview(encoded)[1:])
    except (msgspec.MsgspecError, RecursionError):
        return DropReason.MALFORMED
