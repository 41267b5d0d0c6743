"""The system's own answers, made from the table of errors."""

import msgspec

from ebonystream.call._call import Answer
from ebonystream.errors import EbonystreamError, Outcome

JSON_HEADERS = ((b'content-type', b'application/json'),)


class RefusalBody(msgspec.Struct):
    """The JSON body of an error answer.

    Attributes:
        error: The kind of error.
        outcome: `not_run` or `unknown`.
        detail: What was wrong in this case.
        advice: What the caller can do.
    """

    error: str
    outcome: str
    detail: str
    advice: str


def refuse(error: EbonystreamError, *, certain: bool = True) -> Answer:
    """Make the answer for an error.

    Args:
        error: The error, whose kind is looked up in the table.
        certain: False where this host does not own the call's key, so that a
            copy of the call may run elsewhere: "not run" becomes "unknown".
    """
    answer = error.answer
    outcome = answer.outcome if certain else Outcome.UNKNOWN
    body = RefusalBody(
        error=error.kind.value,
        outcome=outcome.value,
        detail=error.detail,
        advice=answer.advice,
    )
    return Answer(
        outcome=outcome,
        status=answer.status,
        headers=JSON_HEADERS,
        body=msgspec.json.encode(body),
        error=error.kind,
    )
