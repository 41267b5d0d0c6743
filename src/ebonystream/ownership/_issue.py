"""Fresh keys that the answering host owns itself."""

from collections.abc import Callable
from random import Random

import msgspec

from ebonystream._ids import EpochMs, IdempotencyKey
from ebonystream.call import Answer, Received, Serve, refuse
from ebonystream.errors import EbonystreamError, ErrorKind, Outcome
from ebonystream.ownership._key import make_key
from ebonystream.ownership._owner import Owner

ISSUE_TARGET = '/-/idempotency-key'
"""Where callers ask for a fresh key."""

MAX_DRAWS = 1000
"""A host that owns one slice in 64 draws this often in vain less than once in
a million times; one that owns none spends some milliseconds."""

JSON_HEADERS = ((b'content-type', b'application/json'),)
OK_STATUS = 200

IssueKey = Callable[[], IdempotencyKey]
"""Gives a fresh key that this host owns.

Raises `EbonystreamError` of the kind `KEY_UNOWNED` where it owns none now.
"""


class IssuedKey(msgspec.Struct):
    """The answer to a caller that asks for a key.

    Attributes:
        key: A fresh key.
        time_ms: This host's wall clock.
    """

    key: IdempotencyKey
    time_ms: EpochMs


def make_key_issue(*, owner: Owner, random: Random) -> IssueKey:
    """Make the function that gives fresh keys.

    A call under such a key needs no forwarding, and no other host's failure
    touches it.

    Args:
        owner: The state of ownership on this host.
        random: Where the keys' random bits come from.
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
    """Answer requests for keys, and pass all others on.

    Args:
        serve: Answers the other requests.
        issue: Gives fresh keys.
        owner: The state of ownership on this host.
    """

    async def serve_or_issue(received: Received) -> Answer:
        if received.target != ISSUE_TARGET:
            return await serve(received)
        try:
            key = issue()
        except EbonystreamError as error:
            return refuse(error)
        body = IssuedKey(key, owner.timers.wall_ms())
        return Answer(
            outcome=Outcome.RAN,
            status=OK_STATUS,
            headers=JSON_HEADERS,
            body=msgspec.json.encode(body),
        )

    return serve_or_issue
