"""State and limits of one caller's connection."""

import attrs

from ebonystream._ids import Monotonic, Seconds
from ebonystream._timers import Timers
from ebonystream.http1 import MessageReader, ReaderLimits
from ebonystream.ingress._metering import ConnectionMeter, MeteredStream
from ebonystream.ingress._open_connections import OpenConnections
from ebonystream.ingress._response import (
    MayOverlap,
    Respond,
    refuse_overlap,
)


@attrs.frozen(kw_only=True)
class ConnectionLimits:
    """Size limits and timeouts of a caller's connection.

    Attributes:
        message: Size limits of a request.
        receive_timeout: Upper bound on receiving one request, in seconds.
        idle_timeout: How long a connection may wait for a request, in seconds.
        may_overlap: Tells which requests may be served before earlier ones
            are answered.
    """

    message: ReaderLimits
    receive_timeout: Seconds
    idle_timeout: Seconds
    may_overlap: MayOverlap = refuse_overlap


@attrs.define(kw_only=True)
class Session:
    """State of one caller's connection.

    Attributes:
        stream: The connection.
        meter: Accounts for what the connection holds.
        reader: Reads requests from the connection.
        limits: Size limits and timeouts.
        timers: Clock that arrival times are read from.
        connections: Open connections of the listener.
        respond: Handles a request and returns the encoded response.
        first_byte_at: When the first byte of the latest request was received.
    """

    stream: MeteredStream
    meter: ConnectionMeter
    reader: MessageReader
    limits: ConnectionLimits
    timers: Timers
    connections: OpenConnections
    respond: Respond
    first_byte_at: Monotonic = Monotonic(0)
