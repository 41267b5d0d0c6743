"""What the administration API can do, whatever front end carries it."""

from collections.abc import Callable

import attrs

from ebonystream._ids import MoveId
from ebonystream.admin._answers import (
    BackendStatuses,
    HostStatuses,
    ListsInForce,
    Status,
    VersionStatuses,
)
from ebonystream.configuration import PublishLists, SubmitRecord
from ebonystream.move import MoveReport
from ebonystream.observation import Metrics


@attrs.frozen(kw_only=True)
class AdminVerbs:
    """The verbs of the administration API.

    Attributes:
        publish: Publishes the two lists.
        ask: Asks the control stream to take a record.
        show_lists: Gives the lists in force.
        list_moves: Names open moves and the latest closed ones.
        report_move: Reports on a move; raises `NOT_FOUND`.
        report_status: Tells how this host stands.
        report_hosts: Tells how all entry hosts stand.
        report_backends: Tells how backend servers stand.
        report_versions: Tells how the versions of services stand.
        metrics: What this host counts.
    """

    publish: PublishLists
    ask: SubmitRecord
    show_lists: Callable[[], ListsInForce]
    list_moves: Callable[[], tuple[MoveId, ...]]
    report_move: Callable[[MoveId], MoveReport]
    report_status: Callable[[], Status]
    report_hosts: Callable[[], HostStatuses]
    report_backends: Callable[[], BackendStatuses]
    report_versions: Callable[[], VersionStatuses]
    metrics: Metrics
