"""A small stand-in for the service that takes usage reports."""

import json

import attrs
import trio

from ebonystream._ids import Monotonic
from ebonystream.http1 import Message, encode_response
from ebonystream.ingress import CallerPresence, EncodedResponse
from standins.messages import serve_messages

OK, CONFLICT, NOT_FOUND = 200, 409, 404


@attrs.frozen
class UsageCall:
    """A call of the service.

    Attributes:
        holder: Host that made it, as its header says.
        token: Fencing token.
        window: Window of the report.
        counts: Requests of each workspace.
        status: Status of the response.
    """

    holder: str
    token: int
    window: int
    counts: dict[str, int]
    status: int


@attrs.define
class UsageStandIn:
    """The service: it rejects tokens lower than the highest seen.

    Attributes:
        calls: The calls in the order of their arrival.
    """

    calls: list[UsageCall] = attrs.field(factory=list)

    async def respond(
        self, message: Message, arrived: Monotonic, presence: CallerPresence
    ) -> EncodedResponse:
        """Respond to one call.

        Args:
            message: Request of the call.
            arrived: Time of its arrival.
            presence: Presence of the caller.
        """
        await trio.lowlevel.checkpoint()
        if message.target != b'/usage':
            return EncodedResponse(encode_response(NOT_FOUND, (), b''), False)
        headers = dict(message.headers)
        token = int(headers[b'ebonystream-fencing-token'])
        highest = max((call.token for call in self.calls), default=0)
        status = OK if token >= highest else CONFLICT
        report = json.loads(message.body)
        self.calls.append(
            UsageCall(
                holder=headers[b'ebonystream-duty-holder'].decode(),
                token=token,
                window=report['window_id'],
                counts=report['counts'],
                status=status,
            )
        )
        return EncodedResponse(encode_response(status, (), b''), False)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection.

        Args:
            stream: The connection.
        """
        await serve_messages(stream, self.respond)
