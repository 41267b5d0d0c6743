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


def assert_accurate(reports, *, tolerance=0.05, latest=LATE_S):
    windows = [window for window, *_ in reports]
    assert windows == list(range(windows[0], windows[-1] + 1))
    for window, total, true_total, lateness in reports:
        assert abs(total - true_total) <= tolerance * true_total, (
            window,
            total,
            true_total,
        )
        assert lateness <= latest, (window, lateness)


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


async def kill_holder(fleet):
    fleet.kill(fleet.get_holder())


async def kill_between_append_and_call(fleet):
    name = fleet.get_holder()
    await fleet.store.appended.wait()
    fleet.kill(name)


async def freeze_holder(fleet):
    await fleet.freeze(fleet.get_holder(), 6)


async def freeze_between_append_and_call(fleet):
    await fleet.store.appended.wait()
    await fleet.freeze(fleet.get_holder(), 8)


async def cut_from_store(fleet):
    fleet.store.cut_off = {fleet.get_holder()}
    await trio.sleep(30)
    fleet.store.cut_off = set()


async def cut_from_service(fleet):
    fleet.service.cut_off = {fleet.get_holder()}
    await trio.sleep(30)
    fleet.service.cut_off = set()


async def cut_from_peers(fleet):
    fleet.partitioned = {fleet.get_holder()}
    await trio.sleep(17)
    fleet.partitioned = set()


async def cut_in_halves(fleet):
    fleet.partitioned = set(NAMES[:3])
    await trio.sleep(17)
    fleet.partitioned = set()


async def lose_store_responses(fleet):
    fleet.store.lost_responses = 3


async def lose_service_responses(fleet):
    fleet.service.results = [CallResult.UNKNOWN] * 2


async def lose_history(fleet):
    await trio.sleep(1)
    fleet.store.records.clear()


async def restart_all(fleet):
    for name in NAMES:
        fleet.kill(name)
    await trio.sleep(1)
    for index, name in enumerate(NAMES):
        fleet.start_host(name, 'abc'[index % 3])


async def restart_all_and_lose_history(fleet):
    fleet.store.records.clear()
    await restart_all(fleet)


async def restart_one_by_one(fleet):
    for index, name in enumerate(NAMES):
        host = fleet.hosts[name]
        host.leaving.set()
        await trio.sleep(2)
        await fleet.send_last(host)
        fleet.kill(name)
        await trio.sleep(0.5)
        fleet.start_host(name, 'abc'[index % 3])
        await trio.sleep(3)


async def kill_one_then_stop_holder(fleet):
    # What the killed host had sent is known to the old holder alone.
    fleet.kill('e5')
    holder = fleet.hosts[fleet.get_holder()]
    holder.leaving.set()
    await trio.sleep(2)
    await fleet.send_last(holder)
    fleet.kill(holder.settings.name)


async def start_two_lower(fleet):
    fleet.start_host('d8', 'a')
    fleet.start_host('d9', 'b')


async def refuse_token(fleet):
    fleet.service.results = [CallResult.FENCED]


async def refuse_many(fleet):
    fleet.service.results = [CallResult.LIMITED] * 3


async def slow_service(fleet):
    fleet.service.delay = 1.9


async def service_down(fleet):
    fleet.service.cut_off = {*NAMES}
    await trio.sleep(20)
    fleet.service.cut_off = set()


@pytest.mark.parametrize(
    # Requests of a killed host since its last send are lost.
    ('fail', 'latest', 'tolerance'),
    [
        (kill_holder, 10, 0.05),
        (kill_between_append_and_call, 10, 0.05),
        (freeze_holder, 10, 0.05),
        (freeze_between_append_and_call, 10, 0.05),
        (cut_from_store, 10, 0.05),
        (cut_from_service, 10, 0.05),
        (cut_from_peers, 10, 0.2),
        (cut_in_halves, 10, 0.6),
        (lose_store_responses, 10, 0),
        (lose_service_responses, 10, 0),
        (lose_history, 10, 0),
        (restart_all, 10, 1),
        (restart_one_by_one, 10, 0),
        (kill_one_then_stop_holder, 10, 0.05),
        (start_two_lower, 10, 0),
        (refuse_token, 10, 0),
        (refuse_many, 10, 0),
        (slow_service, 10, 0),
        (service_down, 30, 0.05),
    ],
)
async def test_reports_through_failures(
    autojump_clock, fail, latest, tolerance
):
    async with run_fleet() as fleet:
        fleet.nursery.start_soon(fleet.serve, 90)
        await trio.sleep(26)
        await fail(fleet)
        await trio.sleep(89 - trio.current_time())
    check_rules(fleet)
    reports = list_reports(fleet, since=12)
    assert reports[-1][0] >= int((EPOCH_S + 70) // WINDOW_S)
    assert_accurate(reports, tolerance=tolerance, latest=latest)


async def test_all_hosts_and_the_history_are_lost(autojump_clock):
    # What was reported before is known to nobody: the windows that were due
    # until then are left out, and tokens do not go back.
    async with run_fleet() as fleet:
        fleet.nursery.start_soon(fleet.serve, 90)
        await trio.sleep(26)
        fleet.store.records.clear()
        await restart_all(fleet)
        await trio.sleep(89 - trio.current_time())
    check_rules(fleet)
    assert_accurate(list_reports(fleet, since=30), tolerance=0)


@pytest.mark.parametrize(
    'errors',
    [
        {'e3': 7.0},
        {'e1': -8.0},
        {'e1': 9.0},
        {'e1': 1800.0},
        {'e2': 1.0, 'e5': -1.5},
        {},
    ],
)
async def test_clocks_that_are_off(autojump_clock, errors):
    # Guards against counts in wrong windows: the time of day of some machines
    # is off by seconds when the host starts.
    async with run_fleet(**errors) as fleet:
        await fleet.serve(62)
    check_rules(fleet)
    assert_accurate(list_reports(fleet, since=25), tolerance=0.05)


async def test_hosts_that_start_within_a_window(autojump_clock):
    async with run_fleet() as fleet:
        fleet.nursery.start_soon(fleet.serve, 62)
        for number in range(5):
            await trio.sleep(6.3)
            fleet.start_host(f'f{number + 10}', 'abc'[number % 3])
        await trio.sleep(30)
    check_rules(fleet)
    assert_accurate(list_reports(fleet), tolerance=0)
