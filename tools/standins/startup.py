"""Writes the settings files of a cluster and starts its processes."""

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

ENTRY_HOST_MODULE = 'ebonystream.cli'


async def start_cluster(nursery: trio.Nursery, cluster: Cluster) -> None:
    """Start every process after the processes that it depends on are ready.

    Args:
        nursery: Runs the processes; cancelling it stops them.
        cluster: The cluster to start.
    """
    directory = cluster.directory
    for program in (*_prepare_platform(cluster), *_prepare_backends(cluster)):
        await start_program(nursery, program, directory)
    async with trio.open_nursery() as starts:
        for program in _prepare_entry_hosts(cluster):
            starts.start_soon(start_program, nursery, program, directory)


def _prepare_platform(cluster: Cluster) -> Iterator[Program]:
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
        arguments=(str(cluster.host_list_port), '--hosts', str(path)),
        ports=(cluster.host_list_port,),
    )


def _list_hosts(cluster: Cluster) -> Iterator[Host]:
    for backend in cluster.backends:
        yield Host(
            name=backend.settings.name,
            role=Role.BACKEND,
            address=LOOPBACK,
            port=backend.settings.port,
            zone=backend.zone,
            service=backend.service,
            version=backend.version,
        )
    for entry_host in cluster.entry_hosts:
        yield Host(
            name=entry_host.name,
            role=Role.ENTRY,
            address=LOOPBACK,
            port=entry_host.peer_port,
            zone=entry_host.zone,
        )


def _prepare_backends(cluster: Cluster) -> Iterator[Program]:
    for zone, control_port in cluster.control_ports.items():
        servers = [
            backend.settings
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


def _prepare_entry_hosts(cluster: Cluster) -> Iterator[Program]:
    public_key, secret_key = zmq.curve_keypair()
    for entry_host in cluster.entry_hosts:
        peers = PeerSettings(
            port=entry_host.peer_port,
            public_key=public_key.decode(),
            secret_key=secret_key.decode(),
        )
        settings = _make_entry_host_settings(cluster, entry_host, peers)
        path = cluster.directory / f'{entry_host.name}.json'
        path.write_text(settings.model_dump_json())
        yield Program(
            name=entry_host.name,
            module=ENTRY_HOST_MODULE,
            arguments=('run', str(path)),
            ports=(entry_host.caller_port, entry_host.admin_port),
        )


def _make_entry_host_settings(
    cluster: Cluster,
    entry_host: EntryHost,
    peers: PeerSettings,
) -> Settings:
    address = ip_address(LOOPBACK)
    hosts_url = f'http://{LOOPBACK}:{cluster.host_list_port}'
    return Settings(
        host=HostSettings(
            id=HostId(entry_host.name),
            zone=ZoneName(entry_host.zone),
            address=address,
        ),
        callers=CallerSettings(address=address, port=entry_host.caller_port),
        peers=peers,
        admin=AdminSettings(address=address, port=entry_host.admin_port),
        log=LogSettings(url=f'http://{LOOPBACK}:{cluster.log_port}'),
        host_list=HostListSettings(url=hosts_url),
        backends=cluster.backend_settings,
    )
