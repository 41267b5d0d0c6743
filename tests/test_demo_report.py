"""Summary of the demo, resends of its load, its lists and its launcher."""

import math

import pytest
import trio

from standins.backendserver import RunCounts
from standins.demoplan import CALL_KINDS, make_lists
from standins.demoreport import (
    DemoRun,
    Phase,
    PhaseStart,
    format_report,
    summarize,
)
from standins.launch import launch
from standins.load import Call, CallRecord, Outcome, SendResult, run_load
from standins.processes import NotReady, ProcessEnded
from standins.statistic import find_percentile

RAN = SendResult(outcome=Outcome.ANSWERED, server='b')
NOT_RUN = SendResult(outcome=Outcome.NOT_RUN)
UNKNOWN = SendResult(outcome=Outcome.UNKNOWN)
CROSSED = SendResult(outcome=Outcome.ANSWERED, crossed=True)


def make_run(results, runs):
    call = Call(kind=CALL_KINDS[1], tag='t', key='k')
    record = CallRecord(call=call, started_at=2, duration_ms=3, results=results)
    return DemoRun(
        direct=[],
        routed=[record],
        phase_starts=[PhaseStart(Phase.BEFORE, 0), PhaseStart(Phase.OUT, 1)],
        run_counts=RunCounts({'k': runs} if runs else {}, int(runs > 1)),
        moved_servers=frozenset({'b'}),
    )


@pytest.mark.parametrize(
    ('results', 'runs', 'outcome', 'nonzero'),
    [
        ([RAN], 1, 'answered', {'while_out'}),
        ([RAN], 2, 'answered', {'doubled', 'while_out'}),
        ([RAN], 0, 'answered', {'lost', 'while_out'}),
        ([CROSSED], 1, 'answered', {'crossed'}),
        ([NOT_RUN], 0, 'not_run', set()),
        ([NOT_RUN], 1, 'not_run', {'false_not_run'}),
        ([UNKNOWN, NOT_RUN], 1, 'not_run', {'false_not_run'}),
        ([NOT_RUN, RAN], 1, 'answered', {'false_not_run', 'while_out'}),
        ([UNKNOWN, RAN], 1, 'answered', {'while_out'}),
        ([UNKNOWN, UNKNOWN], 1, 'unknown', set()),
    ],
)
def test_summary(results, runs, outcome, nonzero):
    run = make_run(results, runs)
    summary = summarize(run)
    counts = ('doubled', 'lost', 'false_not_run', 'crossed', 'while_out')
    assert {name for name in counts if getattr(summary, name)} == nonzero
    assert getattr(summary, outcome) == summary.sent == 1
    assert summary.passed is not (nonzero - {'while_out'} != set())
    assert format_report(run).splitlines()[-1].startswith('{"sent":1,')


@pytest.mark.parametrize(
    ('percent', 'expected'),
    [(0, 1), (50, 2), (75, 3), (99, 4), (100, 4)],
)
def test_percentile(percent, expected):
    assert find_percentile([4, 2, 1, 3], percent) == expected
    assert math.isnan(find_percentile([], percent))


@pytest.mark.parametrize(
    ('results', 'duplicate_every', 'sends', 'seconds'),
    [
        ([RAN], 0, 1, 0),
        ([NOT_RUN], 0, 1, 0),
        ([UNKNOWN], 0, 3, 0.1),
        ([UNKNOWN, RAN], 0, 2, 0.05),
        ([RAN], 1, 2, 0),
    ],
)
async def test_unknown_outcomes_are_sent_again(
    autojump_clock, results, duplicate_every, sends, seconds
):
    sent_keys = []
    stop = trio.Event()

    async def send(call):
        await trio.lowlevel.checkpoint()
        sent_keys.append(call.key)
        stop.set()
        return results[min(len(sent_keys), len(results)) - 1]

    records = await run_load(
        send,
        [CALL_KINDS[1]],
        rate=1,
        seed=1,
        stop=stop,
        duplicate_every=duplicate_every,
    )
    assert len(records) == 1
    assert sent_keys == [records[0].call.key] * sends
    assert records[0].duration_ms == pytest.approx(seconds * 1000)


def test_lists_have_a_route_for_each_kind_of_call():
    routes = {
        (route.route, route.once)
        for plan in make_lists().plans
        for route in plan.routes
    }
    assert routes == {(kind.route, kind.once) for kind in CALL_KINDS}


async def return_report():
    await trio.lowlevel.checkpoint()
    return 'report'


async def raise_two_errors():
    async with trio.open_nursery():
        raise ExceptionGroup('all', [ProcessEnded('a'), NotReady('b')])


@pytest.mark.parametrize(
    ('run', 'report', 'printed'),
    [
        (return_report, 'report', ''),
        (raise_two_errors, None, 'ProcessEnded: a\nNotReady: b\n'),
    ],
)
def test_launch(capsys, run, report, printed):
    assert launch(run) == report
    assert capsys.readouterr().err == printed
