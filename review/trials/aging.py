"""A host runs for 56 minutes after one failed request. No case: too long.

Six bookings a minute, one after the other, at two sound upstreams. Exits with 1
where a booking ended without an answer after the first minute.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))
from standins import BROKEN, HELD, make_route, run_case

MINUTES = 56
BOOKINGS = 6
WORK_S = 0.02


async def book(world, host):
    """Book a few times; return how many ended without an answer."""
    closed = 0
    for _ in range(BOOKINGS):
        _, answer = await world.request(
            host, 'POST', '/book/1', deadline_ms=1200
        )
        closed += answer[0] == 'closed'
        await asyncio.sleep(0.05)
    return closed


async def fail_once(world, host):
    """Cut the connections of an upstream while it runs requests."""
    upstream = world.upstreams[0]
    upstream.work_s = 0.5
    running = [
        asyncio.create_task(
            world.request(host, 'POST', '/book/1', deadline_ms=1200)
        )
        for _ in range(8)
    ]
    await asyncio.sleep(0.2)
    world.record.write(f'{upstream.id}: its connections are cut')
    for writer in list(upstream.connections):
        writer.transport.abort()
    await asyncio.gather(*running)
    upstream.work_s = WORK_S


async def play(world):
    for _ in range(2):
        world.add_upstream('records', work_s=WORK_S)
    host = world.add_host()
    world.configure(7, {
        'bookings': make_route('/book/', 'records', 'non_idempotent'),
    }, ['records'])
    await world.start()
    await host.wait_ready()
    await fail_once(world, host)
    closed = 0
    for minute in range(MINUTES):
        count = await book(world, host)
        ready = await host.is_ready()
        world.record.write(
            f'minute {minute}: {count} of {BOOKINGS} ended without an answer; '
            f'ready: {ready}'
        )
        closed += count
        await asyncio.sleep(60)
    return BROKEN if closed else HELD


run_case(play, __file__, limit_s=4000)
