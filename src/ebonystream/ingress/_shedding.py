"""The choice of the connections that give way when the budget is short."""

from collections.abc import Iterable
from functools import partial

from ebonystream._ids import Monotonic
from ebonystream.ingress._account import Account

MIN_CLOSED_BYTES = 65_536
"""Responses below this size are not worth the loss of a response."""


def choose_shed_accounts(
    accounts: Iterable[Account], *, needed_bytes: int, now: Monotonic
) -> list[Account]:
    """Choose slow accounts, the largest and slowest first.

    None is chosen if all slow accounts together hold less than is needed: they
    would give way for nothing.

    Args:
        accounts: The accounts to choose from.
        needed_bytes: Bytes to be freed.
        now: Current time on the monotonic clock, in seconds.
    """
    slow = [
        (_count_movable_bytes(account), account)
        for account in accounts
        if account.is_slow_sender(now) or account.is_slow_receiver(now)
    ]
    slow.sort(key=lambda entry: (-entry[0], _compute_rate(entry[1], now)))
    chosen: list[Account] = []
    for freed_bytes, account in slow:
        if needed_bytes <= 0:
            break
        chosen.append(account)
        needed_bytes -= freed_bytes
    return [] if needed_bytes > 0 else chosen


def choose_largest_receiver(accounts: Iterable[Account]) -> Account | None:
    """Choose the account whose client has most of a response still to take.

    Args:
        accounts: The accounts to choose from.
    """
    largest = max(accounts, key=lambda each: each.sending_bytes, default=None)
    if largest is None or largest.sending_bytes < MIN_CLOSED_BYTES:
        return None
    return largest


def choose_most_unread(accounts: Iterable[Account]) -> Account | None:
    """Choose the account that the kernel holds most unread bytes of.

    Args:
        accounts: The accounts to choose from.
    """
    most = max(accounts, key=lambda each: each.unread_bytes, default=None)
    return most if most is not None and most.unread_bytes > 0 else None


def choose_slowest(
    accounts: Iterable[Account], now: Monotonic
) -> Account | None:
    """Choose the slowest account, if any is slow.

    Args:
        accounts: The accounts to choose from.
        now: Current time on the monotonic clock, in seconds.
    """
    slow = [
        account
        for account in accounts
        if account.is_slow_sender(now) or account.is_slow_receiver(now)
    ]
    return min(slow, key=partial(_get_pace, now=now), default=None)


def _get_pace(account: Account, now: Monotonic) -> tuple[float, Monotonic]:
    """Return a key that sorts by rate, and the oldest first where equal."""
    return _compute_rate(account, now), account.reading.started_at


def _count_movable_bytes(account: Account) -> int:
    """Return the bytes that are freed at once if an account gives way."""
    return account.reading_bytes + account.sending_bytes + account.unread_bytes


def _compute_rate(account: Account, now: Monotonic) -> float:
    """Return the rate of the message that an account is judged by."""
    if account.stop_receiving is not None:
        return account.reading.compute_rate(now)
    return account.sending.compute_rate(now)
