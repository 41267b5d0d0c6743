"""Two upstreams crash at once while each runs the same harmless request.

The request is a tap at a gate: all gates send the same method, path and body.
It has crashed nothing; other requests run on before and after.
"""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))
from standins import BROKEN, HELD, TROUBLE, make_route, run_case

HOSTS = 2
UPSTREAMS = 20
MOST_CRASHED = 3
"""Upstreams that crash at most: 0.15 of the service's."""
DOWN_S = 4.5
GATES = 2
LOOKUPS = 24
BEFORE_S = 4
AFTER_S = 30
ALLOWED = 5
SHARE_ALLOWED = 1 / 500


async def tap(world, host, stop, sent, tap_ids):
    """Tap again and again, each time as a request of its own."""
    while not stop.is_set():
        name = world.next_id()
        tap_ids.add(name)
        _, answer = await world.request(
            host, 'POST', '/tap/gate', deadline_ms=2500, body=b'tap',
            name=name,
        )
        sent.append((name, answer[0]))
        await asyncio.sleep(random.uniform(0.4, 1.2))


async def look_up(world, host, stop, sent):
    """Other requests, each with a path of its own."""
    while not stop.is_set():
        path = f'/rack/{random.randrange(1 << 30)}'
        name, answer = await world.request(
            host, 'GET', path, deadline_ms=2000
        )
        sent.append((name, answer[0]))
        await asyncio.sleep(random.uniform(0.05, 0.3))


async def crash_those_that_tap(world, taps):
    """Crash three upstreams that run the taps now, for their time down."""
    while True:
        at = {
            upstream.id: upstream for upstream in world.upstreams
            if any(name in taps for name in upstream.now_running)
        }
        if len(at) == GATES:
            break
        await asyncio.sleep(0.002)
    for upstream in at.values():
        world.record.write(f'{upstream.id} crashes')
        await upstream.crash()
    await asyncio.sleep(DOWN_S)
    for upstream in at.values():
        await upstream.start_again()
        world.record.write(f'{upstream.id} is back')


async def play(world):
    for _ in range(UPSTREAMS):
        world.add_upstream('records', work_s=0.21)
    for _ in range(HOSTS):
        world.add_host()
    world.configure(7, {
        'taps': make_route('/tap/', 'records', 'non_idempotent'),
        'racks': make_route('/rack/', 'records'),
    }, ['records'])
    await world.start()
    for host in world.hosts:
        await host.wait_ready()
    stop = asyncio.Event()
    taps, others, tap_ids = [], [], set()
    clients = []
    for number in range(GATES):
        host = world.hosts[0]
        clients.append(asyncio.create_task(
            tap(world, host, stop, taps, tap_ids)
        ))
    for number in range(LOOKUPS):
        host = world.hosts[number % HOSTS]
        clients.append(asyncio.create_task(look_up(world, host, stop, others)))
    await asyncio.sleep(BEFORE_S)
    if TROUBLE:
        await crash_those_that_tap(world, tap_ids)
    await asyncio.sleep(AFTER_S)
    stop.set()
    await asyncio.gather(*clients)
    sent = taps + others
    denied = [
        name for name, status in sent
        if isinstance(status, int) and 300 <= status < 500
        and status not in (408, 421, 429)
        and 'Ebonystream-Response-Seal'.lower()
        not in world.answers[name][1]
    ]
    served = sum(status == 200 for _, status in taps)
    world.record.write(
        f'{len(taps)} taps, {served} served; {len(others)} other requests, '
        f'{sum(status == 200 for _, status in others)} served'
    )
    allowed = ALLOWED + SHARE_ALLOWED * len(sent)
    world.record.write(
        f'proper requests ended with a 4xx of the host: {len(denied)}; '
        f'allowed: {allowed:.1f}'
    )
    return BROKEN if len(denied) > allowed else HELD


run_case(play, __file__)
