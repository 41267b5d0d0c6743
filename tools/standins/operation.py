"""What operators and observers ask of a running system."""

import msgspec
import trio

from ebonystream.configuration import Lists
from standins.backendserver import Counts, Ledger
from standins.client import connect, fetch
from standins.cluster import LOOPBACK, Cluster, EntryHost
from standins.processes import run_command

IN_FORCE_SECONDS = 15
POLL_SECONDS = 0.05
CLI = 'ebonystream.cli'


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


async def move_zone(cluster: Cluster, zone: str, *, out: bool) -> None:
    """Take a zone out or bring it back through the command line.

    Args:
        cluster: What runs.
        zone: The availability zone.
        out: Whether it is taken out.
    """
    await trio.lowlevel.checkpoint()


async def await_configuration(cluster: Cluster, version: int) -> None:
    """Wait until a configuration is in force on every entry host.

    Args:
        cluster: What runs.
        version: The version of the configuration.

    Raises:
        trio.TooSlowError: It is not in force everywhere in time.
    """
    with trio.fail_after(IN_FORCE_SECONDS):
        for entry in cluster.entries:
            await _await_entry(cluster, entry, version)


class Status(msgspec.Struct):
    """What an entry host says of itself; other fields are left out.

    Attributes:
        configuration_version: The configuration in force.
        backends: The backend servers that it knows.
    """

    configuration_version: int
    backends: list[msgspec.Raw]


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
