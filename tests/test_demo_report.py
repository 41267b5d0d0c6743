"""The demo's summary finds what must never happen, and its load is steady."""

import math

import pytest
import trio

from standins.backendserver import Counts
from standins.demoplan import JOBS, make_lists
from standins.demoreport import Mark, Phase, Run, format_report, summarize
from standins.launch import launch
from standins.load import Outcome, Sample, Ticket, Verdict, run_load
from standins.processes import NotReady, ProcessEnded
from standins.statistic import find_percentile

RAN = Verdict(outcome=Outcome.ANSWERED, server='b')
NOT_RUN = Verdict(outcome=Outcome.NOT_RUN)
UNKNOWN = Verdict(outcome=Outcome.UNKNOWN)
CROSSED = Verdict(outcome=Outcome.ANSWERED, crossed=True)


def make_run(verdicts, runs):
    ticket = Ticket(job=JOBS[1], tag='t', key='k')
    sample = Sample(ticket=ticket, begun=2, took_ms=3, verdicts=verdicts)
    return Run(
        direct=[],
        routed=[sample],
        marks=[Mark(Phase.BEFORE, 0), Mark(Phase.OUT, 1)],
        counts=Counts({'k': runs} if runs else {}, int(runs > 1)),
        moved_servers=frozenset({'b'}),
    )


@pytest.mark.parametrize(
    ('verdicts', 'runs', 'outcome', 'faults'),
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
def test_summary(verdicts, runs, outcome, faults):
    run = make_run(verdicts, runs)
    summary = summarize(run)
    counted = ('doubled', 'lost', 'false_not_run', 'crossed', 'while_out')
    assert {name for name in counted if getattr(summary, name)} == faults
    assert getattr(summary, outcome) == summary.sent == 1
    assert summary.good is not (faults - {'while_out'} != set())
    assert format_report(run).splitlines()[-1].startswith('{"sent":1,')


@pytest.mark.parametrize(
    ('percent', 'expected'),
    [(0, 1), (50, 2), (75, 3), (99, 4), (100, 4)],
)
def test_percentile(percent, expected):
    assert find_percentile([4, 2, 1, 3], percent) == expected
    assert math.isnan(find_percentile([], percent))


@pytest.mark.parametrize(
    ('told', 'twice_every', 'sends', 'seconds'),
    [
        ([RAN], 0, 1, 0),
        ([NOT_RUN], 0, 1, 0),
        ([UNKNOWN], 0, 3, 0.1),
        ([UNKNOWN, RAN], 0, 2, 0.05),
        ([RAN], 1, 2, 0),
    ],
)
async def test_load(autojump_clock, told, twice_every, sends, seconds):
    sent = []
    stop = trio.Event()

    async def send(ticket):
        await trio.lowlevel.checkpoint()
        sent.append(ticket.key)
        stop.set()
        return told[min(len(sent), len(told)) - 1]

    samples = await run_load(
        send,
        [JOBS[1]],
        rate=1,
        seed=1,
        stop=stop,
        twice_every=twice_every,
    )
    assert len(samples) == 1
    assert sent == [samples[0].ticket.key] * sends
    assert samples[0].took_ms == pytest.approx(seconds * 1000)


def test_lists_name_each_job():
    routes = {
        (route.route, route.once)
        for plan in make_lists().plans
        for route in plan.routes
    }
    assert routes == {(job.route, job.once) for job in JOBS}


async def give_report():
    await trio.lowlevel.checkpoint()
    return 'report'


async def fail_twice():
    async with trio.open_nursery():
        raise ExceptionGroup('all', [ProcessEnded('a'), NotReady('b')])


@pytest.mark.parametrize(
    ('run', 'report', 'printed'),
    [
        (give_report, 'report', ''),
        (fail_twice, None, 'ProcessEnded: a\nNotReady: b\n'),
    ],
)
def test_launch(capsys, run, report, printed):
    assert launch(run) == report
    assert capsys.readouterr().err == printed
