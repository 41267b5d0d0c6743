"""Requests that end servers: refused everywhere after the second, no other."""

from random import Random
from types import SimpleNamespace

import attrs
import pytest
from platform_samples import make_request, make_route, make_sighting

from ebonystream._ids import Seconds
from ebonystream.dispatch import Attempt
from ebonystream.entryhost._crashes import (
    note_cut,
    note_silence,
    refuse_crashing,
)
from ebonystream.errors import ErrorKind
from ebonystream.link import ExchangeFailure
from ebonystream.placement import Candidate
from ebonystream.request import ResponseVerdict, ServerResponse
from ebonystream.suspects import (
    InterruptedRequest,
    InterruptedRequests,
    SuspectExchange,
    SuspectTable,
)

ROUTE = make_route()
SERVED = ServerResponse(
    verdict=ResponseVerdict.SERVED, status=200, headers=(), body=b'', load=None
)
BAD = make_request(target='/racks/bad')
IDLE = (0, 0, 2, 1)


class Clock:
    """A clock that is set by hand."""

    time = 0.0

    def now(self):
        """Give the time."""
        return self.time


def make_host(clock):
    suspects = SuspectTable(clock)
    return SimpleNamespace(
        timers=clock,
        suspects=suspects,
        crash_notes=SuspectExchange(suspects, clock, Random(1)),
        cuts=InterruptedRequests(),
        note=lambda event, **fields: None,
    )


def make_attempt(server, end):
    sighting = make_sighting(server, IDLE)
    refused = end if isinstance(end, ExchangeFailure) else None
    return Attempt(
        offer=Candidate(
            probe_result=sighting,
            expected_latency=Seconds(0.1),
            slowdown=1,
            probe_count=1,
            has_free_slot=True,
        ),
        response=None if refused else SERVED,
        failure=refused,
        duration=Seconds(0.1),
    )


def play(host, steps):
    """Play what a host sees: who, what, and how it ended."""
    for server, what, end in steps:
        host.timers.time += 0.1
        if what == 'question':
            sighting = make_sighting(server, IDLE if end else None)
            note_silence(host, attrs.evolve(sighting, sent_at=host.timers.time))
        else:
            request = make_request(target=f'/racks/{what}')
            note_cut(host, request, ROUTE, make_attempt(server, end))


ENDS_I1 = [
    ('i-1', 'bad', ExchangeFailure.INTERRUPTED),
    ('i-1', 'question', False),
]
ENDS_I2 = [
    ('i-2', 'bad', ExchangeFailure.INTERRUPTED),
    ('i-2', 'bad', ExchangeFailure.UNREACHABLE),
]


@pytest.mark.parametrize(
    ('steps', 'refused'),
    [
        ([], False),
        (ENDS_I1, False),
        ([*ENDS_I1, *ENDS_I2], True),
        # A lost answer is no crash: the server answers the next question.
        ([*ENDS_I1, ENDS_I2[0], ('i-2', 'question', True), ENDS_I2[1]], False),
        # An answer in between clears it.
        ([*ENDS_I1, ('i-3', 'bad', None), *ENDS_I2], False),
        # What ran beside it, and there alone, is no culprit.
        (
            [('i-1', 'good', ExchangeFailure.INTERRUPTED), *ENDS_I1, *ENDS_I2],
            True,
        ),
        # Who was beside it each time can't be told from it.
        (
            [
                ('i-1', 'good', ExchangeFailure.INTERRUPTED),
                *ENDS_I1,
                ('i-2', 'good', ExchangeFailure.INTERRUPTED),
                *ENDS_I2,
            ],
            False,
        ),
    ],
)
def test_who_is_refused(steps, refused):
    host = make_host(Clock())
    play(host, steps)
    response = refuse_crashing(host, BAD)
    assert (response is not None) is refused
    if response is not None:
        assert response.error is ErrorKind.CRASHES_BACKENDS
    assert refuse_crashing(host, make_request(target='/racks/good')) is None


def test_it_is_refused_at_all_hosts():
    clock = Clock()
    one, other, third = hosts = [make_host(clock) for _ in range(3)]
    play(one, ENDS_I1)
    for host in hosts:
        host.crash_notes.update_from_notes(one.crash_notes.encode_notes())
    play(other, ENDS_I2)
    assert refuse_crashing(third, BAD) is None
    third.crash_notes.update_from_notes(other.crash_notes.encode_notes())
    assert refuse_crashing(third, BAD) is not None


def test_a_run_ends_once():
    host = make_host(Clock())
    play(host, [*ENDS_I1, *ENDS_I1])
    # The same run can't end twice: one of the two was no crash.
    assert refuse_crashing(host, BAD) is None


@pytest.mark.parametrize(('later', 'kept'), [(1.0, 1), (9.0, 1), (11.0, 0)])
def test_servers_that_are_gone_are_forgotten(later, kept):
    cuts = InterruptedRequests()
    for number in range(100):
        cuts.add(f'gone-{number}', InterruptedRequest('a', 0.0))
    cuts.add('i-1', InterruptedRequest('b', later))
    assert len(cuts.pop_before('gone-7', 99.0)) == kept
    assert len(cuts.pop_before('i-1', 99.0)) == 1
