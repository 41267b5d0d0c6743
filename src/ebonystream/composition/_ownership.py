"""Wires calls that must run once: ownership of keys, and the way to owners."""

from functools import partial
from random import SystemRandom

import attrs
import trio

from ebonystream._ids import HostId, SliceNumber
from ebonystream.backend import Dispatch
from ebonystream.call import RunCall
from ebonystream.composition._parts import Parts, convert_ms
from ebonystream.configuration import make_apply_page, tail_pages
from ebonystream.membership import MemberTable, choose_first
from ebonystream.ownership import (
    SLICE_COUNT,
    IssueKey,
    KeyOwner,
    maintain_claims,
    make_forward_to_owner,
    make_issue_key,
    make_run_at_most_once,
    make_run_owned,
    release_slices,
)


@attrs.frozen(kw_only=True)
class Ownership:
    """What this host needs for calls that must run once.

    Attributes:
        owner: The state of ownership.
        run: Runs such a call, here or at its owner.
        run_owned: Runs such a call if this host owns its key.
        issue: Gives fresh keys that this host owns.
    """

    owner: KeyOwner
    run: RunCall
    run_owned: RunCall
    issue: IssueKey


def make_ownership(
    parts: Parts,
    *,
    dispatch: Dispatch,
    running: trio.Nursery,
) -> Ownership:
    """Make what this host needs for calls that must run once.

    Args:
        parts: What the tasks of this host share.
        dispatch: Makes one attempt at a backend server.
        running: Where calls run to their end.
    """
    owner = KeyOwner(
        incarnation=parts.incarnation,
        ownership=parts.grants,
        key_table=parts.ledger,
        dispatch=dispatch,
        timers=parts.timers,
        nursery=running,
    )
    run_owned = make_run_owned(owner)
    forward = make_forward_to_owner(
        send=parts.peers.exchange.ask,
        find_host=parts.peers.membership.table.find_host,
        timers=parts.timers,
    )
    return Ownership(
        owner=owner,
        run=make_run_at_most_once(
            owner=owner, run_owned=run_owned, forward=forward
        ),
        run_owned=run_owned,
        issue=make_issue_key(owner=owner, random=SystemRandom()),
    )


async def tail_keys(parts: Parts) -> None:
    """Fold the keys stream for ever."""
    await tail_pages(
        log=parts.log,
        stream=parts.settings.log.keys_stream,
        get_next_offset=lambda: parts.grants.next_offset,
        apply_page=make_apply_page(parts.grants.fold),
        max_wait=convert_ms(parts.settings.log.poll_wait_ms),
        timers=parts.timers,
    )


async def claim_slices(parts: Parts, ownership: Ownership) -> None:
    """Keep this host's slices claimed ahead of time, for ever."""
    await _meet_members(parts)
    await maintain_claims(
        owner=ownership.owner,
        log=parts.log,
        stream=parts.settings.log.keys_stream,
        list_slices=partial(list_slices, parts.peers.membership.table),
        horizon_ms=parts.settings.ownership.horizon_ms,
        retention_ms=parts.settings.ownership.window_ms,
    )


async def _meet_members(parts: Parts) -> None:
    """Wait until each listed peer was heard, or was silent for long enough.

    A host that starts sees itself alone at first. It would claim every slice
    for the whole horizon, and the others would have none until that ends.
    """
    await parts.listed.wait()
    membership = parts.peers.membership
    patience_ms = 2 * parts.settings.peers.unreachable_after_ms
    with trio.move_on_after(convert_ms(patience_ms)):
        while not membership.table.is_met():
            await membership.watch.wait()


def list_slices(members: MemberTable) -> list[SliceNumber]:
    """Give the slices that fall to this host, as it sees the members.

    Args:
        members: The entry hosts.
    """
    fit = members.list_fit()
    return [
        SliceNumber(number)
        for number in range(SLICE_COUNT)
        if _choose_owner(fit, number) == members.own.host
    ]


async def leave_ownership(parts: Parts, ownership: Ownership) -> None:
    """Once a stop is asked for, give up this host's slices.

    Returns when the last label that this host serves is past.
    """
    await parts.stopping.wait()
    await release_slices(
        owner=ownership.owner,
        log=parts.log,
        stream=parts.settings.log.keys_stream,
    )
    since = ownership.owner.released_from
    if since is not None:
        await parts.timers.wait(convert_ms(since - parts.timers.wall_ms()))


def _choose_owner(fit: tuple[HostId, ...], number: int) -> HostId | None:
    return choose_first(fit, f'slice/{number}')
