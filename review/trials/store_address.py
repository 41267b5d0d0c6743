"""The settings file changes: the store has another address from now on.

Each host gets the new file, and one of them a SIGHUP. The store keeps all that
it had, and ends its old address. The operator then moves a route to another
service.
"""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))
from standins import BROKEN, HELD, TROUBLE, find_port, make_route, run_case

HOSTS = 3
OLD, NEW = 'records', 'desk'
CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0
STRETCH_MAX_S = 5.0
PERIOD_S = 0.2


async def book(world, host, ends):
    """Book until the end of the case."""
    while asyncio.get_running_loop().time() < ends:
        await world.request(host, 'POST', '/book/1', deadline_ms=2500)
        await asyncio.sleep(PERIOD_S)


async def move_store(world):
    """Serve the store at a new address alone, and tell each host."""
    old = world.store_server
    ip = f'{world.net}.2'
    port = find_port([ip])
    world.store_server = await asyncio.start_server(
        world.store.serve, ip, port, backlog=512, limit=1 << 22
    )
    world.record.write(f'platform: the store is at {ip}:{port} from now on')
    world.store_address = f'{ip}:{port}'
    for host in world.hosts:
        host.write_settings()
    world.hosts[0].process.send_signal(signal.SIGHUP)
    await asyncio.sleep(2)
    old.close()
    world.store.end_connections(but=ip)
    world.record.write('platform: the old address of the store has ended')


async def play(world):
    for service in (OLD, NEW):
        for _ in range(3):
            world.add_upstream(service, work_s=0.1)
    for _ in range(HOSTS):
        world.add_host()
    world.configure(7, {
        'bookings': make_route('/book/', OLD, 'non_idempotent'),
    }, [OLD, NEW])
    await world.start()
    for host in world.hosts:
        await host.wait_ready()
    loop = asyncio.get_running_loop()
    ends = loop.time() + 40
    clients = [
        asyncio.create_task(book(world, host, ends)) for host in world.hosts
    ]
    await asyncio.sleep(3)
    if TROUBLE:
        await move_store(world)
    # Longer than the store's outage can stretch any bound.
    await asyncio.sleep(CONTACT_S + STRETCH_MAX_S)
    world.configure(8, {
        'bookings': make_route('/book/', NEW, 'non_idempotent'),
    }, [OLD, NEW])
    await asyncio.sleep(CONFIG_APPLY_S + STRETCH_MAX_S)
    sent_before = set(world.answers) | set(world.runs)
    world.record.write('from here on version 8 must be in force')
    await asyncio.gather(*clients)
    services = {upstream.id: upstream.service for upstream in world.upstreams}
    later = [name for name in world.answers if name not in sent_before]
    stale = [
        name for name in later
        if any(services[at] == OLD for at in world.runs.get(name, ()))
    ]
    world.record.write(
        f'of {len(later)} requests sent later than the bound, '
        f'{len(stale)} were run by the old service'
    )
    return BROKEN if stale else HELD


run_case(play, __file__)
