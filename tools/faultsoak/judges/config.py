"""CONFIG: whether an acknowledged configuration is in force in time."""

from collections.abc import Iterable

import attrs

from ebonystream._ids import HostId

NOT_FOUND = 404


@attrs.frozen(kw_only=True)
class RouteAnswer:
    """Answer to a request for a route that a configuration adds.

    Attributes:
        host: The host that was asked.
        sent_at: When the request was sent, by the clock of the event loop.
        status: Status of the answer; None if there was none.
    """

    host: HostId
    sent_at: float
    status: int | None


def find_outdated_answers(
    answers: Iterable[RouteAnswer], *, acknowledged_at: float, bound_s: float
) -> list[RouteAnswer]:
    """Find answers by an older configuration after the bound.

    Args:
        answers: The answers of hosts in touch.
        acknowledged_at: When the store acknowledged the configuration.
        bound_s: Time after which it is in force, in seconds.
    """
    in_force_at = acknowledged_at + bound_s
    return [
        answer
        for answer in answers
        if answer.status == NOT_FOUND and answer.sent_at > in_force_at
    ]
