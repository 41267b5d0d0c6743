"""The real programs on the real clock, judged from outside."""

import itertools
import signal
from random import Random

import pytest
import trio
from test_entry_host import ROUTE, SERVICE, make_configuration

from faultsoak.deployment import Deployment, run_deployment
from faultsoak.judges.config import RouteAnswer, find_outdated_answers
from faultsoak.judges.failback import ColdBound, find_floods
from standins.pacedserver import Arrival, PacedServer

BOUND = ColdBound(rate=3, overshoot=1.5, slack=5)
BOUNDS = {'cold_overshoot': 1.5, 'cold_slack': 5, 'grace': '6s'}
HOSTS_OF_A_ZONE, SERVERS, CALLERS_OF_A_HOST = 4, 2, 8
PAUSE_S = 0.1
CONFIG_APPLY_S = 2.0
LEADS_S = [0, 0.3]
RUN_S, COLD_S, SETTLED_S = 4, 3, 3.5


def make_arrivals(times, cold=True):
    return [Arrival(at, cold) for at in times]


@pytest.mark.parametrize(
    ('arrivals', 'floods'),
    [
        ([], 0),
        # 9 in a second are allowed.
        (make_arrivals([0.1 * number for number in range(9)]), 0),
        (make_arrivals([0.1 * number for number in range(10)]), 1),
        (make_arrivals([0.2 * number for number in range(99)]), 0),
        (make_arrivals([7.0] * 20), 20),
        (make_arrivals([7.0] * 20, cold=False), 0),
    ],
)
def test_the_judge_of_cold_servers(arrivals, floods):
    assert len(find_floods('i-1', arrivals, BOUND)) == floods


def list_times(server):
    """List when requests arrived, relative to the end of the cold time."""
    return [
        f'{arrival.at - server.cold_until:.2f}' for arrival in server.arrivals
    ]


async def call_again_and_again(deployment, host, numbers, random):
    """Send requests to one host, each after the answer to the one before."""
    while True:
        number = next(numbers)
        await deployment.request(host, f'a{number}', f'/racks/{number}', 1500)
        await trio.sleep(random.uniform(0, 2 * PAUSE_S))


@pytest.mark.processes
@pytest.mark.parametrize('work_s', [0.015, 0.11])
async def test_cold_servers_are_not_flooded(tmp_path, work_s):
    # Guards against hosts that each send to the same cold server (FAILBACK).
    deployment = Deployment(folder=tmp_path, bounds=BOUNDS)
    for _ in range(HOSTS_OF_A_ZONE):
        deployment.add_host('a')
    for number in range(SERVERS):
        server = PacedServer(name=f'i-{number}', work_s=work_s)
        deployment.add_server(server)
    deployment.store.put(
        'keyed.op', 'config', make_configuration(1, {'racks': ROUTE})
    )
    deployment.register(SERVICE, 'a')
    numbers = itertools.count()
    async with run_deployment(deployment), trio.open_nursery() as nursery:
        await deployment.wait_ready()
        await trio.sleep(SETTLED_S)
        for server in deployment.servers.values():
            server.cold_until = trio.current_time() + COLD_S
        for host in deployment.hosts:
            for caller in range(CALLERS_OF_A_HOST):
                nursery.start_soon(
                    call_again_and_again,
                    deployment,
                    host,
                    numbers,
                    Random(caller),
                )
        await trio.sleep(RUN_S)
        nursery.cancel_scope.cancel()
    for server in deployment.servers.values():
        assert find_floods(server.name, server.arrivals, BOUND) == []
        # It gets requests while it is cold, and more when it is not.
        cold = sum(arrival.is_cold for arrival in server.arrivals)
        assert 0 < cold < len(server.arrivals) - cold, list_times(server)


def make_answers(statuses):
    """Make answers of one host, 0.5 s apart, to requests from 10 s on."""
    return [
        RouteAnswer(host='e1', sent_at=10 + 0.5 * number, status=status)
        for number, status in enumerate(statuses)
    ]


@pytest.mark.parametrize(
    ('statuses', 'outdated'),
    [
        ([], 0),
        ([404, 404, 404, 404, 404, 200, 200], 0),
        ([404, 404, 404, 404, 404, 404, 200], 1),
        ([200, 200, 200, 200, 200, 200, 404], 1),
        # These say nothing of the configuration.
        ([None, 503, 504, None, 503, 503, 503], 0),
    ],
)
def test_the_judge_of_configurations(statuses, outdated):
    found = find_outdated_answers(
        make_answers(statuses), acknowledged_at=10.0, bound_s=2.0
    )
    assert len(found) == outdated


async def ask_for_route(deployment, host, answers):
    """Ask a host for the route that is added, again and again."""
    for number in itertools.count():
        sent_at = trio.current_time()
        status = await deployment.request(
            host, f'{host.name}-{number}', '/added/1', 1000
        )
        answers.append(
            RouteAnswer(host=host.name, sent_at=sent_at, status=status)
        )
        await trio.sleep(PAUSE_S / 2)


@pytest.mark.processes
@pytest.mark.parametrize('signal_number', [signal.SIGKILL, signal.SIGSTOP])
@pytest.mark.parametrize('lead_s', LEADS_S)
async def test_a_configuration_after_the_loss_of_a_reader(
    tmp_path, signal_number, lead_s
):
    # Guards against hosts that wait for the one that read the store for them,
    # which is gone, past the bound of a configuration (CONFIG).
    deployment = Deployment(folder=tmp_path, bounds=BOUNDS)
    for zone in ('a', 'b', 'c'):
        for _ in range(HOSTS_OF_A_ZONE):
            deployment.add_host(zone)
    deployment.add_server(PacedServer(name='i-1'))
    routes = {'racks': ROUTE}
    deployment.store.put('keyed.op', 'config', make_configuration(1, routes))
    deployment.register(SERVICE, 'a')
    answers = []
    async with run_deployment(deployment), trio.open_nursery() as nursery:
        await deployment.wait_ready()
        await trio.sleep(SETTLED_S)
        reader, *others = deployment.hosts
        for host in others:
            nursery.start_soon(ask_for_route, deployment, host, answers)
        reader.process.send_signal(signal_number)
        await trio.sleep(lead_s)
        routes['added'] = {**ROUTE, 'path_prefix': '/added/'}
        deployment.store.put(
            'keyed.op', 'config', make_configuration(2, routes)
        )
        acknowledged_at = trio.current_time()
        await trio.sleep(CONFIG_APPLY_S + 1)
        nursery.cancel_scope.cancel()
    served = {answer.host for answer in answers if answer.status == 200}
    assert served == {host.name for host in others}
    assert not find_outdated_answers(
        answers, acknowledged_at=acknowledged_at, bound_s=CONFIG_APPLY_S
    )
