"""Issue of idempotency keys that this host owns."""

from collections.abc import Callable
from random import Random

import msgspec

from ebonystream._ids import EpochMs, IdempotencyKey
from ebonystream.call import Answer, Received, Serve, refuse
from ebonystream.errors import EbonystreamError, ErrorKind, Outcome
from ebonystream.ownership._key import make_key
from ebonystream.ownership._owner import Owner

ISSUE_TARGET = '/-/idempotency-key'
"""Request target at which callers obtain a key."""

MAX_DRAWS = 1000
"""Random keys to try. For a host that owns one of 64 slices, all of them miss
with a probability below one in a million; a host that owns no slice spends
some milliseconds."""

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


def make_key_issue(*, owner: Owner, random: Random) -> IssueKey:
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


def serve_keys(*, serve: Serve, issue: IssueKey, owner: Owner) -> Serve:
    """Return a function that handles requests for keys and passes others on.

    Args:
        serve: Handles the other requests.
        issue: Issues a key.
        owner: Ownership of keys on this host.
    """

    async def issue_or_serve(received: Received) -> Answer:
        if received.target != ISSUE_TARGET:
            return await serve(received)
        try:
            key = issue()
        except EbonystreamError as error:
            return refuse(error)
        key_body = _KeyBody(key, owner.timers.wall_ms())
        return Answer(
            outcome=Outcome.RAN,
            status=OK_STATUS,
            headers=JSON_HEADERS,
            body=msgspec.json.encode(key_body),
        )

    return issue_or_serve
