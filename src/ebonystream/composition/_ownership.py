"""Wiring of at-most-once calls: ownership of keys and forwarding to owners."""

from functools import partial
from random import SystemRandom

import attrs
import trio

from ebonystream._ids import HostId, SliceNumber
from ebonystream.backend import Dispatch
from ebonystream.call import RunCall
from ebonystream.composition._parts import Parts, convert_ms
from ebonystream.configuration import make_apply_page, tail_pages
from ebonystream.membership import MemberTable, choose_host
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
    """State and functions for at-most-once calls.

    Attributes:
        owner: Ownership of keys on this host.
        run_at_most_once: Runs a call on this host or at the owner of its key.
        run_owned: Runs a call if this host owns its key.
        issue_key: Returns a new key that this host owns.
    """

    owner: KeyOwner
    run_at_most_once: RunCall
    run_owned: RunCall
    issue_key: IssueKey


def make_ownership(
    parts: Parts,
    *,
    dispatch: Dispatch,
    nursery: trio.Nursery,
) -> Ownership:
    """Make the state and functions for at-most-once calls.

    Args:
        parts: The parts of this host.
        dispatch: Makes one attempt at a backend server.
        nursery: Nursery of the calls that run; a call completes even if its
            caller disconnects.
    """
    owner = KeyOwner(
        incarnation=parts.incarnation,
        ownership=parts.ownership_table,
        key_table=parts.key_table,
        dispatch=dispatch,
        timers=parts.timers,
        nursery=nursery,
    )
    run_owned = make_run_owned(owner)
    forward = make_forward_to_owner(
        send=parts.peers.exchange.send_request,
        find_host=parts.peers.membership.table.find_host,
        timers=parts.timers,
    )
    return Ownership(
        owner=owner,
        run_at_most_once=make_run_at_most_once(
            owner=owner, run_owned=run_owned, forward=forward
        ),
        run_owned=run_owned,
        issue_key=make_issue_key(owner=owner, random=SystemRandom()),
    )


async def tail_keys(parts: Parts) -> None:
    """Fold the keys stream; runs until cancelled."""
    await tail_pages(
        log=parts.log,
        stream=parts.settings.log.keys_stream,
        get_next_offset=lambda: parts.ownership_table.next_offset,
        apply_page=make_apply_page(parts.ownership_table.fold),
        max_wait=convert_ms(parts.settings.log.poll_wait_ms),
        timers=parts.timers,
    )


async def claim_slices(parts: Parts, ownership: Ownership) -> None:
    """Claim this host's slices ahead of time; runs until cancelled."""
    await _wait_for_members(parts)
    await maintain_claims(
        owner=ownership.owner,
        log=parts.log,
        stream=parts.settings.log.keys_stream,
        list_slices=partial(list_assigned_slices, parts.peers.membership.table),
        horizon_ms=parts.settings.ownership.horizon_ms,
        retention_ms=parts.settings.ownership.window_ms,
    )


async def _wait_for_members(parts: Parts) -> None:
    """Wait until each listed peer has been confirmed, or until a timeout.

    At its start a host knows no peers. It would claim all slices for the whole
    horizon, and the other hosts would own none until the end of the horizon.
    """
    await parts.listed.wait()
    membership = parts.peers.membership
    timeout_ms = 2 * parts.settings.peers.unreachable_after_ms
    with trio.move_on_after(convert_ms(timeout_ms)):
        while not membership.table.has_confirmed_all():
            await membership.changed.wait()


def list_assigned_slices(member_table: MemberTable) -> list[SliceNumber]:
    """Return the slices that this host should own, given the members.

    Args:
        member_table: The members known to this host.
    """
    hosts = member_table.list_eligible()
    return [
        SliceNumber(number)
        for number in range(SLICE_COUNT)
        if _select_owner(hosts, number) == member_table.local.host
    ]


async def release_ownership(parts: Parts, ownership: Ownership) -> None:
    """Release this host's slices at shutdown.

    Returns once the last timestamp that this host owns is in the past.
    """
    await parts.stopping.wait()
    await release_slices(
        owner=ownership.owner,
        log=parts.log,
        stream=parts.settings.log.keys_stream,
    )
    released_from = ownership.owner.released_from
    if released_from is not None:
        await parts.timers.wait(
            convert_ms(released_from - parts.timers.wall_ms())
        )


def _select_owner(hosts: tuple[HostId, ...], number: int) -> HostId | None:
    return choose_host(hosts, f'slice/{number}')
