"""Issue of idempotency keys that this host owns."""

from collections.abc import Callable
from random import Random

import msgspec

from ebonystream._ids import EpochMs, IdempotencyKey
from ebonystream.call import (
    CallRequest,
    CallResponse,
    HandleRequest,
    make_error_response,
)
from ebonystream.errors import EbonystreamError, ErrorKind, Outcome
from ebonystream.ownership._key import make_key
from ebonystream.ownership._owner import KeyOwner

ISSUE_KEY_TARGET = '/-/idempotency-key'
"""Request target at which callers obtain a key."""

MAX_DRAWS = 1000
"""Upper bound on the random keys tried. A host that owns one of 64 slices finds
none in it with a probability below one in a million; a host that owns no slice
spends some milliseconds on all of them."""

JSON_HEADERS = ((b'content-type', b'application/json'),)
OK_STATUS = 200

IssueKey = Callable[[], IdempotencyKey]
"""Returns a new key that this host owns.

Raises `EbonystreamError` of the kind `KEY_UNOWNED` if it owns no slice now.
"""


class _KeyBody(msgspec.Struct):
    """The JSON body of the response to a request for a key.

    Attributes:
        key: The new key.
        time_ms: Wall-clock time of this host.
    """

    key: IdempotencyKey
    time_ms: EpochMs


def make_issue_key(*, owner: KeyOwner, random: Random) -> IssueKey:
    """Return a function that issues keys.

    A call with such a key needs no forwarding and does not depend on another
    host.

    Args:
        owner: Ownership of keys on this host.
        random: Random numbers for the keys.
    """

    def issue() -> IdempotencyKey:
        now = owner.timers.wall_ms()
        for _ in range(MAX_DRAWS):
            key = make_key(now, random)
            if owner.find_owner(key) == owner.incarnation:
                return key
        raise EbonystreamError(ErrorKind.KEY_UNOWNED, 'this host owns no slice')

    return issue


def make_handle_key_requests(
    *, handle_request: HandleRequest, issue_key: IssueKey, owner: KeyOwner
) -> HandleRequest:
    """Return a function that handles requests for keys and passes others on.

    Args:
        handle_request: Handles the other requests.
        issue_key: Issues a key.
        owner: Ownership of keys on this host.
    """

    async def handle(request: CallRequest) -> CallResponse:
        if request.target != ISSUE_KEY_TARGET:
            return await handle_request(request)
        try:
            key = issue_key()
        except EbonystreamError as error:
            return make_error_response(error)
        key_body = _KeyBody(key, owner.timers.wall_ms())
        return CallResponse(
            outcome=Outcome.RAN,
            status=OK_STATUS,
            headers=JSON_HEADERS,
            body=msgspec.json.encode(key_body),
        )

    return handle
