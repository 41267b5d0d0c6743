"""The stand-in backend server runs, refuses, crashes and counts calls."""

import random

import msgspec
import pytest
import trio
import trio.testing

from standins.backend import ProcessSettings, make_control_handler
from standins.backendserver import ServerSettings
from standins.client import Client, ConnectionLost, fetch
from standins.http import Connections, serve_stream

LONG_MS = 1000
COLD = {'cold': True, 'warm_after': 2}


def make_process(**settings):
    server = ServerSettings(
        name='a',
        port=0,
        default_mean_ms=0,
        mean_ms={'long': LONG_MS},
        **{'connection_cost_ms': 0, **settings},
    )
    return make_control_handler(
        ProcessSettings(control_port=0, servers=[server])
    )


def open_client(nursery, handle, on_connect, connections):
    near, far = trio.testing.memory_stream_pair()
    nursery.start_soon(
        lambda: serve_stream(
            far,
            handle=handle,
            on_connect=on_connect,
            connections=connections,
        ),
    )
    return Client(near)


async def call(process, headers=None, body=b'', target='/x'):
    endpoint = process.endpoints['a']
    async with trio.open_nursery() as nursery:
        client = open_client(
            nursery,
            endpoint.handle,
            endpoint.accept,
            endpoint.connections,
        )
        try:
            return await fetch(
                client, 'POST', target, headers=headers or {}, body=body
            )
        except ConnectionLost:
            return None
        finally:
            nursery.cancel_scope.cancel()


async def send_control(process, method, target, body=b''):
    async with trio.open_nursery() as nursery:
        client = open_client(
            nursery,
            process.handle,
            trio.lowlevel.checkpoint,
            Connections(),
        )
        response = await fetch(client, method, target, body=body)
        nursery.cancel_scope.cancel()
    return response


async def start_calls(nursery, process, count):
    for _ in range(count):
        nursery.start_soon(call, process, {'x-route': 'long'})
    await trio.testing.wait_all_tasks_blocked()


@pytest.mark.parametrize(
    ('settings', 'verb', 'in_flight', 'headers', 'expected'),
    [
        ({}, None, 0, {}, (200, None, 'serving', '0')),
        ({}, None, 1, {}, (200, None, 'serving', '1')),
        ({}, 'drain', 0, {}, (503, 'true', 'draining', '0')),
        ({}, None, 0, {'x-deadline-ms': '0'}, (503, 'true', 'serving', '0')),
        ({}, None, 0, {'x-deadline-ms': '9'}, (200, None, 'serving', '0')),
        ({'queue_limit': 1}, None, 3, {}, (503, 'true', 'serving', '3')),
        (COLD, None, 0, {}, (200, None, 'cold', '0')),
        (COLD, None, 1, {}, (503, 'true', 'cold', '1')),
        ({}, 'restart', 0, {}, (200, None, 'cold', '0')),
        ({**COLD, 'cold_crashes': True}, None, 1, {}, None),
        ({}, 'crash', 0, {}, None),
    ],
)
async def test_response(
    autojump_clock, settings, verb, in_flight, headers, expected
):
    process = make_process(**settings)
    if verb is not None:
        await send_control(process, 'POST', f'/control/a/{verb}')
    async with trio.open_nursery() as nursery:
        await start_calls(nursery, process, in_flight)
        response = await call(process, headers)
        nursery.cancel_scope.cancel()
    if expected is None:
        assert response is None
    else:
        names = ('x-not-run', 'x-server-state', 'x-in-flight')
        fields = [response.headers.get(name) for name in names]
        assert (response.status, *fields) == expected


@pytest.mark.parametrize(
    ('faults', 'expected'),
    [
        ({}, 200),
        ({'error_rate': 1}, 500),
        ({'error_rate': 1, 'route': 'other'}, 200),
        ({'error_rate': 1, 'above_in_flight': 1}, 200),
        ({'crash_body': 'bad'}, None),
        ({'crash_body': 'worse'}, 200),
    ],
)
async def test_faults(autojump_clock, faults, expected):
    process = make_process()
    body = msgspec.json.encode(faults)
    accepted = await send_control(process, 'PUT', '/control/a/faults', body)
    assert accepted.status == 204
    response = await call(process, body=b'a bad one')
    assert (response and response.status) == expected


@pytest.mark.parametrize(
    ('connection_cost_ms', 'target', 'in_flight', 'cost_s'),
    [
        (0, '/-/health', 0, 0.006),
        (0, '/x', 0, 0),
        (1, '/x', 0, 0.001),
        (0, '/-/health', 2, 0.006),
    ],
)
async def test_connections_and_probes_cost_slot_time(
    autojump_clock, connection_cost_ms, target, in_flight, cost_s
):
    process = make_process(connection_cost_ms=connection_cost_ms)
    random_source = random.Random('1:a')
    service_times_s = [random_source.expovariate(1) for _ in range(in_flight)]
    async with trio.open_nursery() as nursery:
        await start_calls(nursery, process, in_flight)
        started_at = trio.current_time()
        await call(process, target=target)
        waited_s = trio.current_time() - started_at
        nursery.cancel_scope.cancel()
    assert waited_s == pytest.approx(min(service_times_s, default=0) + cost_s)


async def test_server_is_cold_after_a_crash_until_warm(autojump_clock):
    process = make_process(warm_after=2)
    responses = [await call(process)]
    await send_control(process, 'POST', '/control/a/crash')
    assert await call(process) is None
    await trio.sleep(1)
    responses += [await call(process) for _ in range(2)]
    states = [response.headers['x-server-state'] for response in responses]
    assert states == ['serving', 'cold', 'serving']
    boot_ids = [response.headers['x-boot-id'] for response in responses]
    assert boot_ids == ['boot-a-1', 'boot-a-2', 'boot-a-2']


@pytest.mark.parametrize(
    ('keys', 'expected'),
    [
        (['k', 'm'], {'runs': {'k': 1, 'm': 1}, 'doubled': 0}),
        (['k', 'm', 'k', 'k'], {'runs': {'k': 3, 'm': 1}, 'doubled': 1}),
        ([''], {'runs': {}, 'doubled': 0}),
    ],
)
async def test_run_counts(autojump_clock, keys, expected):
    process = make_process()
    for key in keys:
        headers = {'idempotency-key': key, 'x-request-tag': f't-{key}'}
        response = await call(process, headers)
        assert msgspec.json.decode(response.body)['tag'] == f't-{key}'
    response = await send_control(process, 'GET', '/control/counts')
    assert msgspec.json.decode(response.body) == expected


@pytest.mark.parametrize(('in_flight', 'runs'), [(0, 1), (2, 0)])
async def test_closing_the_connection_frees_the_slot(
    autojump_clock, in_flight, runs
):
    process = make_process()
    async with trio.open_nursery() as nursery:
        await start_calls(nursery, process, in_flight)
        with trio.move_on_after(0.001):
            await call(process, {'x-route': 'long', 'idempotency-key': 'k'})
        assert process.endpoints['a'].server.in_flight == in_flight
        nursery.cancel_scope.cancel()
    assert process.count_runs().runs.get('k', 0) == runs


@pytest.mark.parametrize(
    ('method', 'target'),
    [
        ('POST', '/control/a/explode'),
        ('POST', '/control/b/drain'),
        ('GET', '/counts'),
    ],
)
async def test_unknown_control_request(autojump_clock, method, target):
    response = await send_control(make_process(), method, target)
    assert response.status == 404
