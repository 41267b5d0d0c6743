"""Starts a laid out system as plain processes."""

from collections.abc import Iterator
from ipaddress import ip_address

import msgspec
import trio
import zmq

from ebonystream._ids import HostId, ZoneName
from ebonystream.settings import (
    AdminSettings,
    CallerSettings,
    HostListSettings,
    HostSettings,
    LogSettings,
    PeerSettings,
    Settings,
)
from standins.backend import ProcessSettings
from standins.cluster import LOOPBACK, Cluster, EntryHost
from standins.hostlist import Host, HostPage, Role
from standins.processes import Program, start_program

ENTRY_MODULE = 'ebonystream.cli'


async def start_cluster(nursery: trio.Nursery, cluster: Cluster) -> None:
    """Start every process, each once those that it needs are ready.

    Args:
        nursery: Holds the processes; cancelling it stops them.
        cluster: What to run.
    """
    directory = cluster.directory
    for program in (*_spell_platform(cluster), *_spell_backends(cluster)):
        await start_program(nursery, program, directory)
    async with trio.open_nursery() as starting:
        for program in _spell_entries(cluster):
            starting.start_soon(start_program, nursery, program, directory)


def _spell_platform(cluster: Cluster) -> Iterator[Program]:
    yield Program(
        name='log',
        module='standins.logservice',
        arguments=(str(cluster.log_port),),
        ports=(cluster.log_port,),
    )
    path = cluster.directory / 'hosts.json'
    path.write_bytes(msgspec.json.encode(HostPage(list(_list_hosts(cluster)))))
    yield Program(
        name='hosts',
        module='standins.hostlist',
        arguments=(str(cluster.hosts_port), '--hosts', str(path)),
        ports=(cluster.hosts_port,),
    )


def _list_hosts(cluster: Cluster) -> Iterator[Host]:
    for backend in cluster.backends:
        yield Host(
            name=backend.built.name,
            role=Role.BACKEND,
            address=LOOPBACK,
            port=backend.built.port,
            zone=backend.zone,
            service=backend.service,
            version=backend.version,
        )
    for entry in cluster.entries:
        yield Host(
            name=entry.name,
            role=Role.ENTRY,
            address=LOOPBACK,
            port=entry.peer_port,
            zone=entry.zone,
        )


def _spell_backends(cluster: Cluster) -> Iterator[Program]:
    for zone, control_port in cluster.control_ports.items():
        servers = [
            backend.built
            for backend in cluster.backends
            if backend.zone == zone
        ]
        settings = ProcessSettings(control_port=control_port, servers=servers)
        path = cluster.directory / f'backends-{zone}.json'
        path.write_bytes(msgspec.json.encode(settings))
        yield Program(
            name=f'backends-{zone}',
            module='standins.backend',
            arguments=(str(path),),
            ports=(control_port,),
        )


def _spell_entries(cluster: Cluster) -> Iterator[Program]:
    public_key, secret_key = zmq.curve_keypair()
    for entry in cluster.entries:
        peers = PeerSettings(
            port=entry.peer_port,
            public_key=public_key.decode(),
            secret_key=secret_key.decode(),
        )
        settings = _make_settings(cluster, entry, peers)
        path = cluster.directory / f'{entry.name}.json'
        path.write_text(settings.model_dump_json())
        yield Program(
            name=entry.name,
            module=ENTRY_MODULE,
            arguments=('run', str(path)),
            ports=(entry.caller_port, entry.admin_port),
        )


def _make_settings(
    cluster: Cluster,
    entry: EntryHost,
    peers: PeerSettings,
) -> Settings:
    address = ip_address(LOOPBACK)
    hosts_url = f'http://{LOOPBACK}:{cluster.hosts_port}'
    return Settings(
        host=HostSettings(
            id=HostId(entry.name),
            zone=ZoneName(entry.zone),
            address=address,
        ),
        callers=CallerSettings(address=address, port=entry.caller_port),
        peers=peers,
        admin=AdminSettings(address=address, port=entry.admin_port),
        log=LogSettings(url=f'http://{LOOPBACK}:{cluster.log_port}'),
        host_list=HostListSettings(url=hosts_url),
        backends=cluster.limits,
    )
