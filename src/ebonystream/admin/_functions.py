"""Functions behind the administration API, independent of HTTP."""

from collections.abc import Callable

import attrs

from ebonystream._ids import MoveId
from ebonystream.admin._responses import (
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
class AdminFunctions:
    """Functions that the handlers of the administration API call.

    Attributes:
        publish: Publishes the two lists.
        submit: Submits a record to the control stream.
        show_lists: Returns the lists in force.
        list_moves: Returns the ids of open moves and the latest closed ones.
        report_move: Returns a report on a move. Raises `EbonystreamError` of
            the kind `NOT_FOUND` for an unknown id.
        report_status: Returns the status of this host.
        report_hosts: Returns the status of all entry hosts.
        report_backends: Returns the status of all backend servers.
        report_versions: Returns the status of the versions of all services.
        metrics: Metrics of this host.
    """

    publish: PublishLists
    submit: SubmitRecord
    show_lists: Callable[[], ListsInForce]
    list_moves: Callable[[], tuple[MoveId, ...]]
    report_move: Callable[[MoveId], MoveReport]
    report_status: Callable[[], Status]
    report_hosts: Callable[[], HostStatuses]
    report_backends: Callable[[], BackendStatuses]
    report_versions: Callable[[], VersionStatuses]
    metrics: Metrics
