"""Operations on a running system: publish, move a zone, read run counts."""

import msgspec
import trio

from ebonystream.configuration import PlanLists
from ebonystream.move import MoveReport, ZoneDirection
from standins.backendserver import RunCounter, RunCounts
from standins.client import connect, fetch
from standins.cluster import LOOPBACK, Cluster, EntryHost
from standins.processes import LaunchFailed, run_command

CONFIGURATION_TIMEOUT_SECONDS = 15
MOVE_TIMEOUT_SECONDS = 15
POLL_INTERVAL_SECONDS = 0.05
CLI_MODULE = 'ebonystream.cli'


class NotInForce(LaunchFailed):
    """Raised when a configuration is not in force everywhere in time."""


class HostStatus(msgspec.Struct):
    """Status response of an entry host; other fields are ignored.

    Attributes:
        configuration_version: Version of the configuration in force.
        backends: The backend servers in the directory of the entry host.
    """

    configuration_version: int
    backends: list[msgspec.Raw]


async def publish(cluster: Cluster, lists: PlanLists) -> None:
    """Publish both lists through the command line, as operators do.

    Args:
        cluster: The running cluster.
        lists: The lists of customers and plans.
    """
    path = cluster.directory / 'lists.json'
    path.write_text(lists.model_dump_json())
    admin_url = cluster.entry_hosts[0].admin_url
    await run_command(CLI_MODULE, 'publish', str(path), '--admin', admin_url)


async def move_zone(
    cluster: Cluster,
    zone: str,
    direction: ZoneDirection,
) -> None:
    """Move a zone out or back and wait until the move is complete.

    Args:
        cluster: The running cluster.
        zone: The availability zone.
        direction: Whether the zone is taken out or brought back.

    Raises:
        CommandFailed: The move was refused or did not complete in time.
    """
    command = f'zone-{direction.value}'
    output = await _run_move_command(cluster, command, zone, '--json')
    report = msgspec.json.decode(output, type=MoveReport)
    timeout = ('--timeout', str(MOVE_TIMEOUT_SECONDS))
    await _run_move_command(cluster, 'watch', report.move.id, *timeout)


async def _run_move_command(cluster: Cluster, *arguments: str) -> str:
    admin_url = cluster.entry_hosts[0].admin_url
    return await run_command(
        CLI_MODULE, 'move', *arguments, '--admin', admin_url
    )


async def wait_for_configuration(cluster: Cluster, version: int) -> None:
    """Wait until a configuration is in force on every entry host.

    Each entry host must also list every backend server in its status.

    Args:
        cluster: The running cluster.
        version: The lowest configuration version to wait for.

    Raises:
        NotInForce: The configuration is not in force everywhere in time.
    """
    with trio.move_on_after(CONFIGURATION_TIMEOUT_SECONDS):
        for entry_host in cluster.entry_hosts:
            await _wait_for_entry_host(cluster, entry_host, version)
        return
    raise NotInForce(f'version {version}')


async def _wait_for_entry_host(
    cluster: Cluster,
    entry_host: EntryHost,
    version: int,
) -> None:
    while True:
        status = await _read_status(entry_host)
        complete = len(status.backends) == len(cluster.backends)
        if complete and status.configuration_version >= version:
            return
        await trio.sleep(POLL_INTERVAL_SECONDS)


async def _read_status(entry_host: EntryHost) -> HostStatus:
    client = await connect(LOOPBACK, entry_host.admin_port)
    async with client.stream:
        response = await fetch(client, 'GET', '/v1/status')
    return msgspec.json.decode(response.body, type=HostStatus)


async def read_run_counts(cluster: Cluster) -> RunCounts:
    """Return how often each idempotency key ran on all backend servers.

    Args:
        cluster: The running cluster.
    """
    total = RunCounter()
    for port in cluster.control_ports.values():
        client = await connect(LOOPBACK, port)
        async with client.stream:
            response = await fetch(client, 'GET', '/control/counts')
        counts = msgspec.json.decode(response.body, type=RunCounts)
        total.merge(counts)
    return total.report()
