"""A backend server runs, refuses, sheds, crashes and counts by its rules."""

import random

import msgspec
import pytest
import trio
import trio.testing

from standins.backend import ProcessSettings, make_control
from standins.backendserver import ServerSettings
from standins.client import Client, ConnectionLost, fetch
from standins.http import Connections, serve_stream

LONG_MS = 1000
COLD = {'cold': True, 'warm_after': 2}


def make_process(**built):
    server = ServerSettings(
        name='a',
        port=0,
        default_mean_ms=0,
        mean_ms={'long': LONG_MS},
        **{'connection_cost_ms': 0, **built},
    )
    return make_control(ProcessSettings(control_port=0, servers=[server]))


def open_client(nursery, handle, greet, connections):
    near, far = trio.testing.memory_stream_pair()
    nursery.start_soon(
        lambda: serve_stream(
            far,
            handle=handle,
            greet=greet,
            connections=connections,
        ),
    )
    return Client(near)


async def call(process, headers=None, body=b'', target='/x'):
    post = process.posts['a']
    async with trio.open_nursery() as nursery:
        client = open_client(
            nursery,
            post.handle,
            post.greet,
            post.connections,
        )
        try:
            return await fetch(
                client, 'POST', target, headers=headers or {}, body=body
            )
        except ConnectionLost:
            return None
        finally:
            nursery.cancel_scope.cancel()


async def order(process, method, target, body=b''):
    async with trio.open_nursery() as nursery:
        client = open_client(
            nursery,
            process.handle,
            trio.lowlevel.checkpoint,
            Connections(),
        )
        reply = await fetch(client, method, target, body=body)
        nursery.cancel_scope.cancel()
    return reply


async def begin_calls(nursery, process, number):
    for _ in range(number):
        nursery.start_soon(call, process, {'x-route': 'long'})
    await trio.testing.wait_all_tasks_blocked()


@pytest.mark.parametrize(
    ('built', 'verb', 'busy', 'headers', 'expected'),
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
async def test_answer(autojump_clock, built, verb, busy, headers, expected):
    process = make_process(**built)
    if verb is not None:
        await order(process, 'POST', f'/control/a/{verb}')
    async with trio.open_nursery() as nursery:
        await begin_calls(nursery, process, busy)
        reply = await call(process, headers)
        nursery.cancel_scope.cancel()
    if expected is None:
        assert reply is None
    else:
        shown = ('x-not-run', 'x-server-state', 'x-in-flight')
        fields = [reply.headers.get(name) for name in shown]
        assert (reply.status, *fields) == expected


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
    told = await order(process, 'PUT', '/control/a/faults', body)
    assert told.status == 204
    reply = await call(process, body=b'a bad one')
    assert (reply and reply.status) == expected


@pytest.mark.parametrize(
    ('connection_cost_ms', 'target', 'busy', 'cost_s'),
    [
        (0, '/-/health', 0, 0.006),
        (0, '/x', 0, 0),
        (1, '/x', 0, 0.001),
        (0, '/-/health', 2, 0.006),
    ],
)
async def test_time(autojump_clock, connection_cost_ms, target, busy, cost_s):
    process = make_process(connection_cost_ms=connection_cost_ms)
    draws = random.Random('1:a')
    served = [draws.expovariate(1) for _ in range(busy)]
    async with trio.open_nursery() as nursery:
        await begin_calls(nursery, process, busy)
        begun = trio.current_time()
        await call(process, target=target)
        waited = trio.current_time() - begun
        nursery.cancel_scope.cancel()
    assert waited == pytest.approx(min(served, default=0) + cost_s)


async def test_crash_turns_cold_then_warm(autojump_clock):
    process = make_process(warm_after=2)
    seen = [await call(process)]
    await order(process, 'POST', '/control/a/crash')
    assert await call(process) is None
    await trio.sleep(1)
    seen += [await call(process) for _ in range(2)]
    states = [reply.headers['x-server-state'] for reply in seen]
    assert states == ['serving', 'cold', 'serving']
    boots = [reply.headers['x-boot-id'] for reply in seen]
    assert boots == ['boot-a-1', 'boot-a-2', 'boot-a-2']


@pytest.mark.parametrize(
    ('keys', 'expected'),
    [
        (['k', 'm'], {'runs': {'k': 1, 'm': 1}, 'doubled': 0}),
        (['k', 'm', 'k', 'k'], {'runs': {'k': 3, 'm': 1}, 'doubled': 1}),
        ([''], {'runs': {}, 'doubled': 0}),
    ],
)
async def test_counts(autojump_clock, keys, expected):
    process = make_process()
    for key in keys:
        headers = {'idempotency-key': key, 'x-request-tag': f't-{key}'}
        reply = await call(process, headers)
        assert msgspec.json.decode(reply.body)['tag'] == f't-{key}'
    reply = await order(process, 'GET', '/control/counts')
    assert msgspec.json.decode(reply.body) == expected


@pytest.mark.parametrize(('busy', 'counted'), [(0, 1), (2, 0)])
async def test_closing_frees_the_slot(autojump_clock, busy, counted):
    process = make_process()
    async with trio.open_nursery() as nursery:
        await begin_calls(nursery, process, busy)
        with trio.move_on_after(0.001):
            await call(process, {'x-route': 'long', 'idempotency-key': 'k'})
        assert process.posts['a'].server.in_flight == busy
        nursery.cancel_scope.cancel()
    assert process.counts().runs.get('k', 0) == counted


@pytest.mark.parametrize(
    ('method', 'target'),
    [
        ('POST', '/control/a/explode'),
        ('POST', '/control/b/drain'),
        ('GET', '/counts'),
    ],
)
async def test_unknown_control(autojump_clock, method, target):
    reply = await order(make_process(), method, target)
    assert reply.status == 404
