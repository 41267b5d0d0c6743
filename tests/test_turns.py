"""Turns of workspaces in the wait queue.

Guards against a workspace whose many requests keep out those of others of the
same rank: none may be served less than a quarter as often as all (fair shares).
"""

from contextlib import ExitStack

import attrs
import pytest
import trio
from platform_samples import make_probe_result, make_route
from test_placement import make_context

from ebonystream.placement import (
    Candidate,
    PlacementRequest,
    WaitQueues,
    make_find_server,
)
from ebonystream.placement._turns import Turns, Urgency

ROUTE = make_route(rank=1)
FREED = make_probe_result('i-1', (0, 0, 2, 1))


def make_urgency(name, number, *, rank=1, is_late=False):
    return Urgency(is_late, rank, float(number), name)


def serve(waiting, count, turns=None):
    """Serve some requests; return the workspaces in the order served."""
    turns = turns or Turns()
    waiting = list(waiting)
    served = []
    for _ in range(min(count, len(waiting))):
        first = turns.sort(waiting, lambda urgency: urgency)[0]
        waiting.remove(first)
        turns.record_served(first)
        served.append(first.workspace)
    return ''.join(name or '-' for name in served)


def make_waiting(names, **changes):
    """Make a request of each name, the targets in this order."""
    return [
        make_urgency(None if name == '-' else name, number, **changes)
        for number, name in enumerate(names)
    ]


LOADS = [
    # Workspaces in the order of their targets; how they are served.
    ('', ''),
    ('a', 'a'),
    ('ab', 'ab'),
    ('aaaab', 'abaaa'),
    ('aaaabbbb', 'abababab'),
    ('aaaaaabc', 'abcaaaaa'),
    ('bbaaaaaa', 'babaaaaa'),
    # Without workspaces the order is that of the targets alone.
    ('------', '------'),
    ('a-a-', 'a-a-'),
]


@pytest.mark.parametrize(('names', 'served'), LOADS)
def test_turns(names, served):
    assert serve(make_waiting(names), len(names)) == served


@pytest.mark.parametrize(
    'shares', [(1,), (1, 1), (9, 1), (40, 2, 1), (99, 99, 1)]
)
@pytest.mark.parametrize('capacity', [0.2, 0.5, 0.9])
def test_no_workspace_starves(shares, capacity):
    """Each is served at least a quarter as often as all, over any load."""
    turns = Turns()
    waiting, served, sent = [], [], []
    total = sum(shares)
    for step in range(60):
        for name, share in zip('abc', shares, strict=False):
            waiting += [make_urgency(name, step) for _ in range(share)]
            sent += name * share
        # Requests that waited too long are rejected.
        waiting = [each for each in waiting if each.target >= step - 1]
        for _ in range(max(1, int(capacity * total))):
            if waiting:
                first = turns.sort(waiting, lambda urgency: urgency)[0]
                waiting.remove(first)
                turns.record_served(first)
                served.append(first.workspace)
    average = len(served) / len(sent)
    for name in set(sent):
        own = served.count(name) / sent.count(name)
        assert own >= average / 4, (name, own, average)


def test_an_idle_workspace_collects_no_claims():
    turns = Turns()
    assert serve(make_waiting('a' * 50), 50, turns) == 'a' * 50
    assert serve(make_waiting('aaaabbbb'), 8, turns) in {'babababa', 'abababab'}


def test_rank_goes_before_turns():
    waiting = [
        *make_waiting('aab', rank=2),
        *make_waiting('cccd', rank=0),
        *make_waiting('e', rank=0, is_late=True),
    ]
    assert serve(waiting, 8) == 'cdccabae'


def make_request(workspace, number, **changes):
    return PlacementRequest(
        route=ROUTE,
        service='records',
        first_requested_at=number,
        arrived_at=number,
        deadline=number + 9,
        version_draw=0.5,
        workspace=workspace,
        **changes,
    )


def test_a_freed_server_goes_to_the_workspace_whose_turn_it_is():
    queues = WaitQueues()
    requests = [make_request(name, n) for n, name in enumerate('aaab')]
    served = []
    with ExitStack() as stack:
        waiters = [
            stack.enter_context(queues.join(request)) for request in requests
        ]
        for _ in range(2):
            queues.offer_server(FREED)
            (offered,) = [each for each in waiters if each.freed]
            offered.freed = None
            served.append(offered.request.workspace)
            queues.record_served(offered)
            queues._sort('records')
    assert served == ['a', 'b']
    assert queues.is_empty('records')
    assert queues._turns == {}


async def test_a_search_takes_the_turn_of_its_workspace(autojump_clock):
    loads = {'i-1': (2, 2, 2, 1)}
    queues, served = WaitQueues(), []
    async with trio.open_nursery() as nursery:
        context = make_context(
            nursery, lambda now: loads, queues=queues, probed=[]
        )
        find_server = make_find_server(context)

        async def search(name, number):
            request = make_request(name, number / 1000)
            if isinstance(await find_server(request), Candidate):
                served.append(name)
                loads['i-1'] = (2, 2, 2, 1)

        for number, name in enumerate('aaab'):
            nursery.start_soon(search, name, number)
        for _ in range(2):
            await trio.sleep(0.11)
            loads['i-1'] = (0, 0, 2, 1)
    assert served[:2] == ['a', 'b']


def test_the_rank_of_the_workspace_goes_before_that_of_the_route():
    queues = WaitQueues()
    urgent = make_request('b', 9, workspace_rank=0)
    other = attrs.evolve(make_request('a', 1), route=make_route(rank=0))
    late = make_request('c', 1, workspace_rank=1)
    with ExitStack() as stack:
        for request in (late, other, urgent):
            stack.enter_context(queues.join(request))
        order = [
            waiter.request.workspace for waiter in queues._queues['records']
        ]
    assert order == ['a', 'b', 'c']
