"""The decision whether a request may be forwarded."""

import enum

import attrs

from ebonystream._ids import WorkspaceName
from ebonystream.workspace._credential import Access, Credential
from ebonystream.workspace._index import WorkspaceIndex
from ebonystream.workspace._workspace import Workspace


class Verdict(enum.Enum):
    """Whether a request may be forwarded, or why not."""

    ADMITTED = 'admitted'
    """Its key belongs to a workspace."""

    EXEMPT = 'exempt'
    """Its route needs no key."""

    REFUSED = 'refused'
    """It has no key of any workspace."""

    STALE = 'stale'
    """The configuration is too old to judge the key."""

    CHANGED = 'changed'
    """It was admitted by an earlier configuration on other grounds."""


@attrs.frozen
class Admission:
    """The decision about one request.

    Attributes:
        verdict: Whether it may be forwarded.
        workspace: Workspace of its key; None unless it is admitted.
    """

    verdict: Verdict
    workspace: Workspace | None = None


def decide_admission(
    index: WorkspaceIndex,
    credential: Credential,
    *,
    is_exempt: bool,
    is_fresh: bool,
) -> Admission:
    """Decide whether a request may be forwarded.

    The load that this addresses is that of clients whose keys are withdrawn
    while hosts are cut off from the store: a host that cannot prove how fresh
    its configuration is judges no key, neither a known nor an unknown one.

    Args:
        index: Workspaces of the configuration in force.
        credential: The key of the request.
        is_exempt: Whether the route of the request needs no key.
        is_fresh: Whether the configuration is fresh enough to judge a key.
    """
    if is_exempt:
        return Admission(Verdict.EXEMPT)
    if not is_fresh:
        return Admission(Verdict.STALE)
    workspace: Workspace | None = None
    if credential.digest is not None:
        workspace = index.find(credential.digest)
    if workspace is None:
        return Admission(Verdict.REFUSED)
    return Admission(Verdict.ADMITTED, workspace)


def review_admission(
    admission: Admission, access: Access, workspace: WorkspaceName | None
) -> Admission:
    """Review an admission that was decided again directly before a send.

    The load that this addresses is that of requests which wait while a key
    moves to another workspace, or while the first workspaces come into force.
    They would run under the name of a workspace that no longer has their key,
    or with the key and the name that the client sent.

    Args:
        admission: The decision by the configuration in force.
        access: On what grounds the request was admitted on arrival.
        workspace: Workspace that its key belonged to; None without one.
    """
    owner = admission.workspace
    if access is Access.OPEN:
        return Admission(Verdict.CHANGED, owner)
    if owner is None or owner.name == workspace:
        return admission
    return Admission(Verdict.CHANGED, owner)
