"""What operators and observers ask of a running system."""

from http import HTTPStatus
from typing import TypeVar

import msgspec
import trio

from ebonystream.configuration import Lists
from ebonystream.move import MoveReport, MoveState, ZoneDirection
from standins.backendserver import Counts, Ledger
from standins.client import connect, fetch
from standins.cluster import LOOPBACK, Cluster, EntryHost
from standins.processes import LaunchFailed, run_command

IN_FORCE_SECONDS = 15
MOVE_SECONDS = 15
MOVES_PATH = '/v1/moves/zones'
POLL_SECONDS = 0.05
CLI = 'ebonystream.cli'

Shape = TypeVar('Shape')


class AdminRefused(LaunchFailed):
    """Raised when an entry host refuses what operators ask."""


class NotInForce(LaunchFailed):
    """Raised when a configuration takes too long to be in force."""


class MoveUnfinished(LaunchFailed):
    """Raised when a move takes too long; says what it waits for."""


class Status(msgspec.Struct):
    """What an entry host says of itself; other fields are left out.

    Attributes:
        configuration_version: The configuration in force.
        backends: The backend servers that it knows.
    """

    configuration_version: int
    backends: list[msgspec.Raw]


async def publish(cluster: Cluster, lists: Lists) -> None:
    """Publish both lists through the command line, as operators do.

    Args:
        cluster: What runs.
        lists: The two lists.
    """
    path = cluster.directory / 'lists.json'
    path.write_text(lists.model_dump_json())
    admin = cluster.entries[0].admin
    await run_command(CLI, 'publish', str(path), '--admin', admin)


async def move_zone(
    cluster: Cluster,
    zone: str,
    direction: ZoneDirection,
) -> None:
    """Take a zone out or bring it back, and wait until that is finished.

    Args:
        cluster: What runs.
        zone: The availability zone.
        direction: Which way it moves.

    Raises:
        MoveUnfinished: The move is not finished in time.
    """
    wanted = {'zone': zone, 'direction': direction.value}
    body = msgspec.json.encode(wanted)
    entry = cluster.entries[0]
    report = await _ask(entry, 'POST', MOVES_PATH, MoveReport, body=body)
    path = f'/v1/moves/{report.move.id}'
    with trio.move_on_after(MOVE_SECONDS):
        while report.state is not MoveState.FINISHED:
            await trio.sleep(POLL_SECONDS)
            report = await _ask(entry, 'GET', path, MoveReport)
        return
    raise MoveUnfinished(f'{zone} {direction.value}: {report.reason}')


async def await_configuration(cluster: Cluster, version: int) -> None:
    """Wait until a configuration is in force on every entry host.

    Args:
        cluster: What runs.
        version: The version of the configuration.

    Raises:
        NotInForce: It is not in force everywhere in time.
    """
    with trio.move_on_after(IN_FORCE_SECONDS):
        for entry in cluster.entries:
            await _await_entry(cluster, entry, version)
        return
    raise NotInForce(f'version {version}')


async def _await_entry(
    cluster: Cluster,
    entry: EntryHost,
    version: int,
) -> None:
    while True:
        status = await _ask(entry, 'GET', '/v1/status', Status)
        complete = len(status.backends) == len(cluster.backends)
        if complete and status.configuration_version >= version:
            return
        await trio.sleep(POLL_SECONDS)


async def _ask(
    entry: EntryHost,
    method: str,
    path: str,
    shape: type[Shape],
    *,
    body: bytes = b'',
) -> Shape:
    client = await connect(LOOPBACK, entry.admin_port)
    async with client.stream:
        reply = await fetch(client, method, path, body=body)
    if reply.status != HTTPStatus.OK:
        raise AdminRefused(f'{method} {path}: {reply.body!r}')
    return msgspec.json.decode(reply.body, type=shape)


async def read_counts(cluster: Cluster) -> Counts:
    """Ask every backend server how often each idempotency key ran.

    Args:
        cluster: What runs.
    """
    ledger = Ledger()
    for port in cluster.control_ports.values():
        client = await connect(LOOPBACK, port)
        async with client.stream:
            reply = await fetch(client, 'GET', '/control/counts')
        counts = msgspec.json.decode(reply.body, type=Counts)
        ledger.add(counts)
    return ledger.report()
