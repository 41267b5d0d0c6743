"""Usage reports of a small deployment on a virtual clock, through failures."""

from contextlib import asynccontextmanager
from itertools import pairwise

import msgspec
import pytest
import trio
from usage_fleet import EPOCH_S, LATE_S, LEASE_S, WINDOW_S, Fleet

from ebonystream.duty import CallResult

NAMES = [f'e{number}' for number in range(1, 7)]


@asynccontextmanager
async def run_fleet(names=NAMES, **clock_errors):
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery)
        for index, name in enumerate(names):
            fleet.start_host(
                name,
                'abc'[index % 3],
                clock_error=clock_errors.get(name, 0.0),
            )
        yield fleet
        nursery.cancel_scope.cancel()


def check_rules(fleet):
    calls = fleet.service.calls
    tokens = [token for _, _, token, _ in calls]
    assert tokens == sorted(tokens)
    assert len({(host, token) for _, host, token, _ in calls}) == len(
        set(tokens)
    )
    for (before, first, *_), (after, second, *_) in pairwise(calls):
        assert first == second or after - before >= LEASE_S


def list_reports(fleet, *, since=0):
    """List (window, requests, true requests, lateness) from a time on."""
    reports = []
    for window, (body, at) in sorted(fleet.service.accepted.items()):
        end = (window + 1) * WINDOW_S - EPOCH_S
        if end - WINDOW_S < since:
            continue
        counts = msgspec.json.decode(body)['counts']
        total = sum(counts.values())
        reports.append((window, total, fleet.counted[window], at - end))
    return reports


def assert_accurate(reports, *, tolerance=0.05):
    windows = [window for window, *_ in reports]
    assert windows == list(range(windows[0], windows[-1] + 1))
    for window, total, true_total, lateness in reports:
        assert abs(total - true_total) <= tolerance * true_total, window
        assert lateness <= LATE_S, window


async def test_reports_without_failures(autojump_clock):
    async with run_fleet() as fleet:
        await fleet.serve(62)
    check_rules(fleet)
    reports = list_reports(fleet)
    assert len(reports) >= 10
    assert_accurate(reports, tolerance=0)
    assert all(4 <= lateness <= 6 for *_, lateness in reports[1:])
    # One append for each window, and a read by the first holder.
    assert fleet.store.calls['append'] == len(fleet.store.records)
    assert fleet.store.calls['append'] <= len(reports) + 1
    assert fleet.store.calls['read'] <= 3
