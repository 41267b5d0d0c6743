"""Handling of a request, from its admission to the response."""

from collections.abc import Awaitable, Callable, Mapping

from ebonystream._calls import CallKind
from ebonystream.call._admission import AdmitRequest
from ebonystream.call._call import Call, CallResponse
from ebonystream.call._error_response import make_error_response
from ebonystream.call._request import KEY_HEADER, CallRequest
from ebonystream.errors import EbonystreamError

HandleRequest = Callable[[CallRequest], Awaitable[CallResponse]]
"""Handles a request of a caller; the front end encodes the response."""

RunCall = Callable[[Call], Awaitable[CallResponse]]
"""Runs an admitted call; errors are returned as responses, not raised."""


def make_handle_request(
    *, admit: AdmitRequest, runs: Mapping[CallKind, RunCall]
) -> HandleRequest:
    """Return a function that handles requests.

    Args:
        admit: Admits a request as a call.
        runs: The function that runs each kind of call.
    """

    async def handle(request: CallRequest) -> CallResponse:
        try:
            call = admit(request)
        except EbonystreamError as error:
            has_key = request.find_header(KEY_HEADER) is not None
            return make_error_response(error, certain=not has_key)
        return await runs[call.kind](call)

    return handle
