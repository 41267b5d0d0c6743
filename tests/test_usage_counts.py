"""Counts of requests: once each, in the right window, and merged once."""

from types import SimpleNamespace

import msgspec
import pytest
import trio
from platform_samples import make_probe_result, make_request, make_route
from test_gossip import make_facts

from ebonystream._address import ServerAddress
from ebonystream._timers import Timers
from ebonystream.dispatch import Attempt
from ebonystream.duty import (
    Candidate,
    DutyHolder,
    Lease,
    LeaseTimes,
    elect_holder,
)
from ebonystream.entryhost._internal_handlers import INTERNAL_LIMITS
from ebonystream.entryhost._usage import UsageReporting
from ebonystream.entryhost._usage_counts import count_attempt_usage
from ebonystream.entryhost._usage_election import is_cut_off
from ebonystream.gossip import HostFactTable, encode_counts
from ebonystream.link import ExchangeFailure
from ebonystream.request import ResponseVerdict
from ebonystream.usage import (
    CollectedCounts,
    CountedRequests,
    CountsMessage,
    HostCounts,
    UsageSchedule,
    WindowClock,
    WindowCounts,
    compute_clock_error,
)

UNREACHABLE, INTERRUPTED = (
    ExchangeFailure.UNREACHABLE,
    ExchangeFailure.INTERRUPTED,
)
NOT_RUN, SERVED = ResponseVerdict.NOT_RUN, ResponseVerdict.SERVED
EPOCH_S = 1_000_000.0


def make_attempt(end, duration):
    response = None
    if isinstance(end, ResponseVerdict):
        response = SimpleNamespace(verdict=end)
    failure = end if isinstance(end, ExchangeFailure) else None
    candidate = SimpleNamespace(probe_result=make_probe_result('i-1', None))
    return Attempt(
        candidate=candidate,
        response=response,
        failure=failure,
        duration=duration,
    )


@pytest.mark.parametrize(
    ('attempts', 'workspace', 'counted'),
    [
        # Each attempt is (end, duration, ended at); windows are of 5 s.
        ([(SERVED, 0.2, 1)], 'w', {200_000: 1}),
        ([(SERVED, 0.2, 1)], None, {}),
        ([(SERVED, 3, 6)], 'w', {200_000: 1}),
        ([(INTERRUPTED, 3, 6)], 'w', {200_000: 1}),
        # Abandoned, as its caller has left or its time is over.
        ([(None, 0.1, 6)], 'w', {200_001: 1}),
        ([(UNREACHABLE, 0.1, 1)], 'w', {}),
        ([(NOT_RUN, 0.1, 1)], 'w', {}),
        ([(NOT_RUN, 0.1, 1), (SERVED, 0.1, 6)], 'w', {200_001: 1}),
        ([(INTERRUPTED, 0.1, 4), (SERVED, 0.1, 6)], 'w', {200_000: 1}),
        ([(INTERRUPTED, 0.1, 4), (NOT_RUN, 0.1, 6)], 'w', {200_000: 1}),
    ],
)
async def test_a_request_is_counted_once(
    autojump_clock, attempts, workspace, counted
):
    usage = SimpleNamespace(
        schedule=UsageSchedule(WindowClock(5, EPOCH_S), 10),
        counted=HostCounts(),
        counted_requests=CountedRequests(),
    )
    parts = SimpleNamespace(
        usage=usage,
        timers=Timers(epoch_offset=0, boot_clock=trio.current_time),
    )
    request = make_request(workspace=workspace)
    for end, duration, ended_at in attempts:
        await trio.sleep(ended_at - trio.current_time())
        count_attempt_usage(
            parts, request, make_route(), make_attempt(end, duration)
        )
    totals = usage.counted.windows
    assert {window: count['w'] for window, count in totals.items()} == counted
    del request
    assert not len(usage.counted_requests)


def send(counts, holder):
    untold = counts.list_untold(holder)
    counts.mark_told(holder, untold)
    return [
        (entry.window, dict(entry.counts))
        for part in untold.parts
        for entry in part
    ]


def test_what_is_sent_again():
    counts = HostCounts()
    counts.add(1, 'a')
    counts.add(2, 'a')
    assert send(counts, 'e1') == [(1, {'a': 1}), (2, {'a': 1})]
    assert send(counts, 'e1') == []
    counts.add(1, 'b')
    assert send(counts, 'e1') == [(1, {'a': 1, 'b': 1})]
    counts.add(1, 'b')
    assert send(counts, 'e1') == [(1, {'a': 1, 'b': 2})]
    # A new holder gets everything that is not reported.
    counts.drop_reported(1)
    assert send(counts, 'e2') == [(2, {'a': 1})]
    counts.add(1, 'a')
    assert counts.dropped == 1
    assert counts.count_unreported() == 1


@pytest.mark.parametrize(
    ('windows', 'workspaces', 'name_length'),
    [(1, 1, 1), (240, 3, 9), (1, 2000, 20), (3, 100, 255)],
)
def test_messages_are_small_enough(windows, workspaces, name_length):
    # Guards against a backlog that no host accepts (413), without end.
    counts = HostCounts()
    for window in range(windows):
        for number in range(workspaces):
            counts.add(window, f'{number}'.rjust(name_length, 'w'))
    collected = CollectedCounts()
    for part in counts.list_untold('e1').parts:
        message = CountsMessage('e' * 255, '1' * 255, 1.0, part)
        body = msgspec.msgpack.encode(message)
        assert len(body) <= INTERNAL_LIMITS.message.body_bytes
        assert encode_counts(ServerAddress('10.0.0.1', 1), message)
        decoded = msgspec.msgpack.decode(body, type=CountsMessage)
        assert collected.merge(decoded, 1.0)
    for window in range(windows):
        assert collected.sum_window(window).total() == workspaces


def test_memory_is_bounded_while_nothing_is_reported():
    counts = HostCounts()
    for window in range(1000):
        counts.add(window, 'a')
    assert len(counts.windows) == 240
    assert counts.dropped == 760


def test_an_outage_of_the_service_leaves_room_for_new_windows():
    """The holder ignored all counts after the first 300 windows."""
    usage = UsageReporting(
        duty=DutyHolder(name='e2', incarnation='1', lease=Lease(LeaseTimes(3))),
        schedule=UsageSchedule(WindowClock(5, 0.0), 10),
    )
    for window in range(400):
        counts = (WindowCounts(window, {'a': 3}),)
        usage.drop_reported(window * 5.0)
        usage.collected.merge(CountsMessage('e1', '1', 1.0, counts), 1.0)
    sums = [usage.collected.sum_window(window)['a'] for window in range(400)]
    assert sums == [0] * 279 + [3] * 121


@pytest.mark.parametrize(
    ('messages', 'total'),
    [
        # Each message is (host, incarnation, count so far).
        ([('e1', '1', 3)], 3),
        ([('e1', '1', 3), ('e1', '1', 3)], 3),
        ([('e1', '1', 5), ('e1', '1', 3)], 5),
        ([('e1', '1', 3), ('e2', '1', 4)], 7),
        ([('e1', '1', 3), ('e1', '2', 4)], 7),
    ],
)
def test_doubled_and_overtaken_messages(messages, total):
    collected = CollectedCounts()
    for host, incarnation, count in messages:
        entry = WindowCounts(7, {'a': count})
        message = CountsMessage(host, incarnation, 9.0, (entry,))
        collected.merge(message, 9.0)
    assert collected.sum_window(7) == {'a': total}
    newest = [('e1', messages[0][1])]
    assert collected.find_missing(newest, 9.0) == []
    assert collected.find_missing(newest, 9.1) == ['e1']
    collected.drop_reported(7, before=10.0)
    assert not collected.sum_window(7)


@pytest.mark.parametrize(
    ('leads', 'error'),
    [([], 0), ([5], 0), ([5, 5], 5), ([0, 5], 0), ([-5, -5, 0], -2.5)],
)
def test_whose_clock_is_believed(leads, error):
    assert compute_clock_error(leads) == error


@pytest.mark.parametrize('parts', [1, 2, 3])
def test_a_clock_is_corrected_once_for_all_parts_of_a_message(parts):
    # Later parts repeated the correction, so that the clock was wrong again.
    collected = CollectedCounts()
    for host in ('e1', 'e2', 'e3', 'e4'):
        collected.merge(CountsMessage(host, '1', 100.0), 100.0)
    lead, seen = 9.0, set()
    for part in range(1, 3 * parts + 1):
        message = CountsMessage(
            'e5', '1', 200.0 + lead, complete=part % parts == 0
        )
        collected.merge(message, 200.0)
        seen.add(lead)
        lead -= collected.compute_sender_error(message)
    assert seen == {9.0, 0.0}


def test_counts_that_were_passed_on_say_nothing_about_clocks():
    # The clocks of lost hosts counted as equal to that of the holder.
    collected = CollectedCounts()
    for number in range(4):
        collected.merge(CountsMessage(f'e{number}', '1', 90.0), 100.0)
        lost = CountsMessage(f'l{number}', '1', 90.0, complete=False)
        collected.merge(lost, 100.0)
    assert collected.compute_own_error() == 10


def test_counts_that_are_passed_on_fit_into_messages():
    # A message that was too large blocked the counts of all other lost hosts.
    collected = CollectedCounts()
    counts = {f'{number:0250}': 1 for number in range(100)}
    message = CountsMessage('e1', '1', 9.0, (WindowCounts(7, counts),))
    collected.merge(message, 9.0)
    copy = CollectedCounts()
    for orphan in collected.list_orphans(()):
        body = msgspec.msgpack.encode(orphan)
        assert len(body) <= INTERNAL_LIMITS.message.body_bytes
        copy.merge(orphan, 9.0)
    assert copy.sum_window(7) == counts


def make_candidate(host, **changes):
    fields = {
        'leads_zone': True,
        'leaving': False,
        'acting': False,
        'unfit': False,
        'token': 5,
        'has_token': False,
    }
    return Candidate(host=host, **{**fields, **changes})


@pytest.mark.parametrize(
    ('changes', 'elected'),
    [
        ({}, 'a'),
        ({'a': {'leads_zone': False}}, 'b'),
        ({'a': {'leaving': True}}, 'b'),
        ({'a': {'unfit': True}}, 'b'),
        ({name: {'unfit': True} for name in 'abc'}, 'a'),
        ({name: {'leads_zone': False} for name in 'abc'}, 'a'),
        ({name: {'leaving': True} for name in 'abc'}, 'a'),
        (
            {name: {'leaving': True, 'acting': name == 'b'} for name in 'abc'},
            'b',
        ),
        # A host that performs the duty keeps it.
        ({'c': {'acting': True}}, 'c'),
        ({'c': {'acting': True, 'leads_zone': False}}, 'c'),
        ({'c': {'acting': True, 'leaving': True}}, 'a'),
        ({'c': {'acting': True, 'unfit': True}}, 'a'),
        # Of several that would, the one with the newest token.
        ({'a': {'acting': True}, 'c': {'acting': True, 'token': 6}}, 'c'),
        ({'a': {'acting': True}, 'c': {'acting': True}}, 'a'),
        (
            {'a': {'acting': True}, 'c': {'acting': True, 'has_token': True}},
            'c',
        ),
    ],
)
def test_who_is_elected(changes, elected):
    candidates = [
        make_candidate(name, **changes.get(name, {})) for name in 'cab'
    ]
    assert elect_holder(candidates) == elected


@pytest.mark.parametrize('spread', [0.0, 0.5, 0.99])
@pytest.mark.parametrize(('length', 'late'), [(5, 10), (1, 4), (60, 10)])
def test_each_window_has_a_send_between_its_late_results_and_its_report(
    length, late, spread
):
    schedule = UsageSchedule(WindowClock(length, 0.0), late)
    now, sends = 0.0, []
    while now < 4 * length + 2 * late:
        now = schedule.get_next_send(now, spread)
        sends.append(now)
    for window in range(3):
        first = schedule.get_late_send(window)
        last = schedule.get_report(window)
        assert [at for at in sends if first <= at < last]


def test_windows_that_nobody_can_have_reported():
    schedule = UsageSchedule(WindowClock(5, 0.0), 10)
    for at in (0.0, 2.9, 3.0, 3.1, 8.0, 100.0):
        first = schedule.get_first_window_due_after(at)
        assert schedule.get_report(first) > at
        assert schedule.get_report(first - 1) <= at + 1


@pytest.mark.parametrize(
    ('name', 'alive', 'silent', 'leaving', 'cut_off'),
    [
        ('a', 'abcde', '', '', False),
        ('a', 'abc', 'de', '', False),
        ('a', 'ab', 'cde', '', True),
        ('a', 'a', 'bcde', '', True),
        ('a', 'ab', 'cd', '', False),
        ('c', 'cd', 'ab', '', True),
        # Hosts that said that they leave are not missed.
        ('a', 'ab', 'cde', 'cde', False),
        ('a', 'a', 'bc', '', False),
    ],
)
def test_who_is_cut_off(name, alive, silent, leaving, cut_off):
    table = HostFactTable(name, 'z')
    for host in alive + silent:
        facts = make_facts(host, zone='z', leaving=host in leaving)
        table.update(facts, 10.0 if host in alive else 5.0)
    parts = SimpleNamespace(
        settings=SimpleNamespace(name=name),
        timers=SimpleNamespace(now=lambda: 10.0),
        facts=table,
    )
    assert is_cut_off(parts) is cut_off
