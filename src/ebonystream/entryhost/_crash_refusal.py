"""Refusal of requests that crash the servers that run them."""

from ebonystream.dispatch import HandleRequest
from ebonystream.entryhost._crashes import refuse_crashing_request
from ebonystream.entryhost._observers import count_response
from ebonystream.entryhost._parts import HostParts
from ebonystream.ingress import CallerPresence
from ebonystream.request import Request, Response


def refuse_crashing_requests(
    parts: HostParts, handle_request: HandleRequest
) -> HandleRequest:
    """Wrap a handler so that requests that crash servers are refused.

    Args:
        parts: The state of the host.
        handle_request: Handles one request.
    """

    async def handle_unless_crashing(
        request: Request, presence: CallerPresence
    ) -> Response:
        refusal = refuse_crashing_request(parts, request)
        if refusal is None:
            return await handle_request(request, presence)
        count_response(parts, request, None, refusal)
        return refusal

    return handle_unless_crashing
