"""Kinds of errors and the answer to each of them.

The kinds are a closed list. `ANSWERS` maps each kind to the answer that a
caller receives, independent of the front end; `EbonystreamError` is the only
exception that carries a kind through the code.
"""

import enum
from collections.abc import Mapping
from http import HTTPStatus
from types import MappingProxyType

import attrs


class Outcome(enum.Enum):
    """The outcome of a call, as far as it is known when it is answered."""

    RAN = 'ran'
    """The call was executed once and this is its complete response."""

    NOT_RUN = 'not_run'
    """The call was not executed, and it will not be under its key."""

    UNKNOWN = 'unknown'
    """The call may have been executed. Resending the same key is safe."""


class ErrorKind(enum.Enum):
    """All kinds of errors."""

    MALFORMED_REQUEST = 'malformed_request'
    HEAD_TOO_LARGE = 'head_too_large'
    BODY_TOO_LARGE = 'body_too_large'
    SLOW_SENDER = 'slow_sender'
    UNKNOWN_CUSTOMER = 'unknown_customer'
    UNKNOWN_ROUTE = 'unknown_route'
    KEY_MISSING = 'key_missing'
    KEY_MALFORMED = 'key_malformed'
    KEY_REUSED = 'key_reused'
    KEY_EXPIRED = 'key_expired'
    KEY_UNOWNED = 'key_unowned'
    OWNER_UNREACHABLE = 'owner_unreachable'
    MEMORY_FULL = 'memory_full'
    MEMORY_SHORT = 'memory_short'
    DEADLINE_MALFORMED = 'deadline_malformed'
    DEADLINE_EXPIRED = 'deadline_expired'
    STILL_RUNNING = 'still_running'
    OUTCOME_LOST = 'outcome_lost'
    OVER_LIMIT = 'over_limit'
    NO_BACKEND = 'no_backend'
    REFUSED_BY_BACKEND = 'refused_by_backend'
    CRASHES_BACKENDS = 'crashes_backends'
    NOT_CONFIGURED = 'not_configured'
    LEAVING = 'leaving'
    LOG_UNAVAILABLE = 'log_unavailable'
    PUBLISH_REJECTED = 'publish_rejected'
    MOVE_REJECTED = 'move_rejected'
    UNAUTHORIZED = 'unauthorized'
    NOT_FOUND = 'not_found'
    INTERNAL = 'internal'
    CONFIGURATION_STALE = 'configuration_stale'


@attrs.frozen
class ErrorAnswer:
    """The answer to one kind of error.

    Attributes:
        status: HTTP status that an HTTP front end sends.
        outcome: Outcome of the call.
        advice: What the caller can do, in one sentence.
    """

    status: int
    outcome: Outcome
    advice: str


ANSWERS: Mapping[ErrorKind, ErrorAnswer] = MappingProxyType(
    {
        ErrorKind.MALFORMED_REQUEST: ErrorAnswer(
            HTTPStatus.BAD_REQUEST,
            Outcome.NOT_RUN,
            'Send a well-formed HTTP/1.1 request.',
        ),
        ErrorKind.HEAD_TOO_LARGE: ErrorAnswer(
            HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            Outcome.NOT_RUN,
            'Send fewer or shorter header fields.',
        ),
        ErrorKind.BODY_TOO_LARGE: ErrorAnswer(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            Outcome.NOT_RUN,
            'Send a smaller body.',
        ),
        ErrorKind.SLOW_SENDER: ErrorAnswer(
            HTTPStatus.REQUEST_TIMEOUT,
            Outcome.NOT_RUN,
            'Send the whole request without pauses.',
        ),
        ErrorKind.UNKNOWN_CUSTOMER: ErrorAnswer(
            HTTPStatus.FORBIDDEN,
            Outcome.NOT_RUN,
            'Name a customer that has a plan.',
        ),
        ErrorKind.UNKNOWN_ROUTE: ErrorAnswer(
            HTTPStatus.NOT_FOUND,
            Outcome.NOT_RUN,
            'Use a route that the plan may use.',
        ),
        ErrorKind.KEY_MISSING: ErrorAnswer(
            HTTPStatus.BAD_REQUEST,
            Outcome.NOT_RUN,
            'Send an Idempotency-Key, a UUIDv7.',
        ),
        ErrorKind.KEY_MALFORMED: ErrorAnswer(
            HTTPStatus.BAD_REQUEST,
            Outcome.NOT_RUN,
            'Make the Idempotency-Key a UUIDv7.',
        ),
        ErrorKind.KEY_REUSED: ErrorAnswer(
            HTTPStatus.UNPROCESSABLE_ENTITY,
            Outcome.UNKNOWN,
            'Use a fresh key: this one came before with another request.',
        ),
        ErrorKind.KEY_EXPIRED: ErrorAnswer(
            HTTPStatus.GONE,
            Outcome.UNKNOWN,
            'The key is older than the key window; check by other means.',
        ),
        ErrorKind.KEY_UNOWNED: ErrorAnswer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            Outcome.UNKNOWN,
            'Send the same key again later.',
        ),
        ErrorKind.OWNER_UNREACHABLE: ErrorAnswer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            Outcome.UNKNOWN,
            'Send the same key again.',
        ),
        ErrorKind.MEMORY_FULL: ErrorAnswer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            Outcome.UNKNOWN,
            'Send the same key again later.',
        ),
        ErrorKind.MEMORY_SHORT: ErrorAnswer(
            HTTPStatus.SERVICE_UNAVAILABLE, Outcome.NOT_RUN, 'Send again later.'
        ),
        ErrorKind.DEADLINE_MALFORMED: ErrorAnswer(
            HTTPStatus.BAD_REQUEST,
            Outcome.NOT_RUN,
            'Send the timeout in whole milliseconds.',
        ),
        ErrorKind.DEADLINE_EXPIRED: ErrorAnswer(
            HTTPStatus.GATEWAY_TIMEOUT,
            Outcome.NOT_RUN,
            'Send again with more time.',
        ),
        ErrorKind.STILL_RUNNING: ErrorAnswer(
            HTTPStatus.GATEWAY_TIMEOUT,
            Outcome.UNKNOWN,
            'Send the same key again to learn its outcome.',
        ),
        ErrorKind.OUTCOME_LOST: ErrorAnswer(
            HTTPStatus.BAD_GATEWAY,
            Outcome.UNKNOWN,
            'The call may have run; its answer was lost.',
        ),
        ErrorKind.OVER_LIMIT: ErrorAnswer(
            HTTPStatus.TOO_MANY_REQUESTS,
            Outcome.NOT_RUN,
            'Send again later, or buy a larger plan.',
        ),
        ErrorKind.NO_BACKEND: ErrorAnswer(
            HTTPStatus.SERVICE_UNAVAILABLE, Outcome.NOT_RUN, 'Send again later.'
        ),
        ErrorKind.REFUSED_BY_BACKEND: ErrorAnswer(
            HTTPStatus.SERVICE_UNAVAILABLE, Outcome.NOT_RUN, 'Send again later.'
        ),
        ErrorKind.CRASHES_BACKENDS: ErrorAnswer(
            HTTPStatus.UNPROCESSABLE_ENTITY,
            Outcome.UNKNOWN,
            'Do not send this request again: it ends the servers that run it.',
        ),
        ErrorKind.NOT_CONFIGURED: ErrorAnswer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            Outcome.NOT_RUN,
            'Send again once plans are published.',
        ),
        ErrorKind.LEAVING: ErrorAnswer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            Outcome.NOT_RUN,
            'Send again under a fresh key, through another entry host.',
        ),
        ErrorKind.LOG_UNAVAILABLE: ErrorAnswer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            Outcome.UNKNOWN,
            'Ask again under the same id; repeating a request is harmless.',
        ),
        ErrorKind.PUBLISH_REJECTED: ErrorAnswer(
            HTTPStatus.CONFLICT,
            Outcome.NOT_RUN,
            'Read the current version, then publish.',
        ),
        ErrorKind.MOVE_REJECTED: ErrorAnswer(
            HTTPStatus.CONFLICT,
            Outcome.NOT_RUN,
            'Read the current moves, then ask again.',
        ),
        ErrorKind.UNAUTHORIZED: ErrorAnswer(
            HTTPStatus.UNAUTHORIZED,
            Outcome.NOT_RUN,
            'Send a valid key.',
        ),
        ErrorKind.NOT_FOUND: ErrorAnswer(
            HTTPStatus.NOT_FOUND, Outcome.NOT_RUN, 'Name something that exists.'
        ),
        ErrorKind.INTERNAL: ErrorAnswer(
            HTTPStatus.INTERNAL_SERVER_ERROR,
            Outcome.UNKNOWN,
            'Report the request and its time.',
        ),
        ErrorKind.CONFIGURATION_STALE: ErrorAnswer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            Outcome.NOT_RUN,
            'Send again later, or through another entry host.',
        ),
    }
)


class EbonystreamError(Exception):
    """An error of one of the listed kinds.

    Attributes:
        kind: Kind of the error.
        detail: What was wrong in this case; sent to the caller.
    """

    def __init__(self, kind: ErrorKind, detail: str = '') -> None:
        super().__init__(f'{kind.value}: {detail}')
        self.kind = kind
        self.detail = detail

    @property
    def answer(self) -> ErrorAnswer:
        """The entry of `ANSWERS` for this kind of error."""
        return ANSWERS[self.kind]
