"""What operators and observers ask of a running system."""

import msgspec
import trio

from ebonystream.configuration import PlanLists
from ebonystream.move import MoveReport, ZoneDirection
from standins.backendserver import Counts, Ledger
from standins.client import connect, fetch
from standins.cluster import LOOPBACK, Cluster, EntryHost
from standins.processes import LaunchFailed, run_command

IN_FORCE_SECONDS = 15
MOVE_SECONDS = 15
POLL_SECONDS = 0.05
CLI = 'ebonystream.cli'


class NotInForce(LaunchFailed):
    """Raised when a configuration takes too long to be in force."""


class Status(msgspec.Struct):
    """What an entry host says of itself; other fields are left out.

    Attributes:
        configuration_version: The configuration in force.
        backends: The backend servers that it knows.
    """

    configuration_version: int
    backends: list[msgspec.Raw]


async def publish(cluster: Cluster, lists: PlanLists) -> None:
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
    """Take a zone out or bring it back, and watch until that is finished.

    Args:
        cluster: What runs.
        zone: The availability zone.
        direction: Which way it moves.

    Raises:
        CommandFailed: The move was refused or is not finished in time.
    """
    command = f'zone-{direction.value}'
    told = await _run_move(cluster, command, zone, '--json')
    report = msgspec.json.decode(told, type=MoveReport)
    patience = ('--timeout', str(MOVE_SECONDS))
    await _run_move(cluster, 'watch', report.move.id, *patience)


async def _run_move(cluster: Cluster, *arguments: str) -> str:
    admin = cluster.entries[0].admin
    return await run_command(CLI, 'move', *arguments, '--admin', admin)


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
        status = await _read_status(entry)
        complete = len(status.backends) == len(cluster.backends)
        if complete and status.configuration_version >= version:
            return
        await trio.sleep(POLL_SECONDS)


async def _read_status(entry: EntryHost) -> Status:
    client = await connect(LOOPBACK, entry.admin_port)
    async with client.stream:
        reply = await fetch(client, 'GET', '/v1/status')
    return msgspec.json.decode(reply.body, type=Status)


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
