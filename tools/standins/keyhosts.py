"""Entry hosts in one process that own idempotency keys, and their faults.

Each host runs the product's code for ownership, for messages between peers and
for reading the log; the network, the log and the backend server are fakes on
trio's clock.
"""

from functools import partial
from random import Random

import attrs
import trio
import xxhash

from ebonystream._ids import (
    CustomerId,
    HostId,
    IdempotencyKey,
    Incarnation,
    Monotonic,
    RouteName,
    Seconds,
    ServerId,
    ServiceName,
    SliceNumber,
    StreamName,
)
from ebonystream._timers import MS_PER_SECOND, Timers
from ebonystream.backend import INTERRUPTED, Attempt, AttemptKind
from ebonystream.call import Call, CallKind, CallResponse, RunCall
from ebonystream.configuration import make_apply_page, tail_pages
from ebonystream.errors import EbonystreamError, ErrorKind, Outcome
from ebonystream.ownership import (
    SLICE_COUNT,
    KeyOwner,
    KeyTable,
    OwnershipTable,
    maintain_claims,
    make_forward_to_owner,
    make_handle_forwarded_call,
    make_run_at_most_once,
    make_run_owned,
    release_slices,
)
from ebonystream.peer import (
    Exchange,
    ExchangeLimits,
    Handlers,
    Heartbeat,
    PendingRequests,
    SnapshotRequest,
    SnapshotResponse,
)
from standins.logclient import make_log_client
from standins.logstore import LogStore
from standins.network import Network

KEYS_STREAM = StreamName('keys')
EPOCH_S = 1_800_000_000
"""Unix time at time 0 of trio's clock, in seconds."""
CLAIM_HORIZON_MS = 30_000
RETENTION_MS = 60_000
MAX_VIEW_LAG_S = 3.0
MAX_SKEW_S = 2.0
EXCHANGE_LIMITS = ExchangeLimits(max_message_bytes=1_000_000, max_requests=1000)
KEY_TABLE_MAX_BYTES = 10_000_000


@attrs.define
class Backend:
    """A backend server that counts the runs of each key.

    Attributes:
        random: Source of the durations and outcomes of attempts.
        refused_share: Share of attempts that are refused, from 0 to 1.
        interrupted_share: Probability, from 0 to 1, that an attempt is
            interrupted; applied once before and once after the run.
        runs: Number of runs of each key.
        declared_not_run: Keys that were reported as not run to their caller.
    """

    random: Random
    refused_share: float = 0.5
    interrupted_share: float = 0.1
    runs: dict[IdempotencyKey, int] = attrs.field(factory=dict)
    declared_not_run: set[IdempotencyKey] = attrs.field(factory=set)

    async def attempt(self, call: Call) -> Attempt:
        """Run a call, refuse it, or interrupt it before or after it ran."""
        await trio.sleep(self.random.uniform(0, 0.2))
        if self.random.random() < self.refused_share:
            return Attempt(AttemptKind.REFUSED)
        if self.random.random() < self.interrupted_share:
            return INTERRUPTED
        self._run(call)
        await trio.sleep(self.random.uniform(0, 0.5))
        if self.random.random() < self.interrupted_share:
            return INTERRUPTED
        response = CallResponse(
            outcome=Outcome.RAN,
            status=200,
            headers=(),
            body=f'{call.key}'.encode(),
        )
        return Attempt(AttemptKind.ANSWERED, response)

    def _run(self, call: Call) -> None:
        assert call.key is not None
        self.runs[call.key] = self.runs.get(call.key, 0) + 1
        assert self.runs[call.key] == 1, f'{call.key} ran twice'
        assert call.key not in self.declared_not_run, (
            f'{call.key} ran after it was reported as "not run"'
        )


@attrs.define
class KeyHost:
    """One incarnation of an entry host, limited to ownership of keys.

    Attributes:
        id: Name of the host; the same for all its incarnations.
        incarnation: Id of this incarnation.
        owner: Ownership of keys on this host.
        run: Runs a call that must run at most once.
        resumed: Set unless the host is suspended.
        scope: Cancelling it stops the host.
    """

    id: HostId
    incarnation: Incarnation
    owner: KeyOwner
    run: RunCall
    resumed: trio.Event
    scope: trio.CancelScope


@attrs.define
class KeyHosts:
    """All entry hosts, with the services that they share.

    Attributes:
        random: Source of clock skews and view delays.
        network: Network between the hosts.
        store: The log store.
        backend: The backend server.
        nursery: Nursery in which the hosts run.
        hosts: The running hosts.
        starts: Host and start time of each incarnation, in seconds.
    """

    random: Random
    network: Network
    store: LogStore
    backend: Backend
    nursery: trio.Nursery
    hosts: dict[HostId, KeyHost] = attrs.field(factory=dict)
    starts: dict[Incarnation, tuple[HostId, float]] = attrs.field(factory=dict)
    _start_count: int = 0

    async def start(self, host: HostId) -> None:
        """Start the next incarnation of a host.

        Args:
            host: Name of the host.
        """
        self._start_count += 1
        incarnation = Incarnation(f'{host}-{self._start_count}')
        await self.nursery.start(self._run_host, host, incarnation)
        self.starts[incarnation] = (host, trio.current_time())

    def kill(self, host: HostId) -> None:
        """Stop a host abruptly.

        Args:
            host: Name of the host.
        """
        self.network.close(host)
        self.hosts.pop(host).scope.cancel()

    def suspend(self, host: HostId) -> None:
        """Suspend a host: it neither sends nor receives until it is resumed."""
        self.network.suspend(host)
        self.hosts[host].resumed = trio.Event()

    def resume(self, host: HostId) -> None:
        """Resume a host."""
        self.network.resume(host)
        self.hosts[host].resumed.set()

    async def leave(self, host: HostId) -> None:
        """Release the slices of a host."""
        await release_slices(
            owner=self.hosts[host].owner,
            log=make_log_client(
                self.store, partial(self._wait_while_suspended, host)
            ),
            stream=KEYS_STREAM,
        )

    async def _run_host(
        self,
        host: HostId,
        incarnation: Incarnation,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        async with trio.open_nursery() as host_nursery:
            self._create_host(host, incarnation, host_nursery)
            task_status.started()

    def _create_host(
        self, host: HostId, incarnation: Incarnation, host_nursery: trio.Nursery
    ) -> None:
        skew = self.random.uniform(-MAX_SKEW_S, MAX_SKEW_S)
        timers = Timers(epoch_offset=EPOCH_S + skew)
        exchange = self._open_exchange(host, incarnation)
        owner = KeyOwner(
            incarnation=incarnation,
            ownership=OwnershipTable(retention_ms=RETENTION_MS),
            key_table=KeyTable(max_bytes=KEY_TABLE_MAX_BYTES),
            dispatch=partial(self._dispatch, host),
            timers=timers,
            nursery=host_nursery,
        )
        run_owned = make_run_owned(owner)
        run = make_run_at_most_once(
            owner=owner,
            run_owned=run_owned,
            forward=make_forward_to_owner(
                send=exchange.send_request,
                find_host=self._find_host,
                timers=timers,
            ),
        )
        handlers = Handlers(
            respond_to_call=make_handle_forwarded_call(
                run_owned=run_owned, timers=timers
            ),
            respond_to_snapshot_request=_reject_fetch,
            on_heartbeat=_ignore_heartbeat,
        )
        resumed = trio.Event()
        resumed.set()
        self.hosts[host] = KeyHost(
            host, incarnation, owner, run, resumed, host_nursery.cancel_scope
        )
        self._start_tasks(host, owner, exchange, handlers)

    def _start_tasks(
        self,
        host: HostId,
        owner: KeyOwner,
        exchange: Exchange,
        handlers: Handlers,
    ) -> None:
        log = make_log_client(
            self.store, partial(self._wait_while_suspended, host)
        )
        tail = partial(
            tail_pages,
            log=log,
            stream=KEYS_STREAM,
            get_next_offset=lambda: owner.ownership.next_offset,
            apply_page=make_apply_page(owner.ownership.fold),
            max_wait=Seconds(1),
            timers=owner.timers,
        )
        claims = partial(
            maintain_claims,
            owner=owner,
            log=log,
            stream=KEYS_STREAM,
            list_slices=partial(self._list_slices, owner.incarnation),
            horizon_ms=CLAIM_HORIZON_MS,
            retention_ms=RETENTION_MS,
        )
        owner.nursery.start_soon(exchange.run, handlers)
        owner.nursery.start_soon(tail)
        owner.nursery.start_soon(claims)

    def _open_exchange(
        self, host: HostId, incarnation: Incarnation
    ) -> Exchange:
        transport = self.network.open_transport(host)
        for peer in self._list_peer_names():
            transport.connect(peer, '', 0)
        return Exchange(
            host=host,
            incarnation=incarnation,
            transport=transport,
            limits=EXCHANGE_LIMITS,
            pending_requests=PendingRequests(random=Random(incarnation)),
        )

    def _list_peer_names(self) -> list[HostId]:
        return [HostId(f'host{number}') for number in range(99)]

    def _list_slices(self, incarnation: Incarnation) -> list[SliceNumber]:
        """Return the slices of an incarnation, by a possibly outdated view."""
        view_time = trio.current_time() - self.random.uniform(0, MAX_VIEW_LAG_S)
        latest = {
            host: candidate
            for candidate, (host, started_at) in self.starts.items()
            if started_at <= view_time and self._may_own(host)
        }
        candidates = sorted({*latest.values(), incarnation})
        return [
            SliceNumber(number)
            for number in range(SLICE_COUNT)
            if _choose_owner(candidates, number) == incarnation
        ]

    def _may_own(self, host: HostId) -> bool:
        key_host = self.hosts.get(host)
        return key_host is not None and key_host.owner.released_from is None

    def _find_host(self, incarnation: Incarnation) -> HostId | None:
        host = self.starts.get(incarnation, (None, 0))[0]
        key_host = self.hosts.get(host) if host else None
        is_current = (
            key_host is not None and key_host.incarnation == incarnation
        )
        return host if is_current else None

    async def _dispatch(
        self, host: HostId, call: Call, tried_servers: set[ServerId]
    ) -> Attempt:
        tried_servers.add(ServerId(f'{len(tried_servers)}'))
        await self._wait_while_suspended(host)
        return await self.backend.attempt(call)

    async def _wait_while_suspended(self, host: HostId) -> None:
        key_host = self.hosts.get(host)
        if key_host is not None:
            await key_host.resumed.wait()


def make_booking(key: IdempotencyKey, *, timeout_s: float) -> Call:
    """Make a call that must run at most once.

    Args:
        key: Idempotency key of the call.
        timeout_s: Time until its deadline, in seconds.
    """
    return Call(
        customer=CustomerId('verein'),
        route=RouteName('book'),
        service=ServiceName('bookings'),
        kind=CallKind.AT_MOST_ONCE,
        method='POST',
        target='/bookings',
        headers=(),
        body=b'',
        deadline=Monotonic(trio.current_time() + timeout_s),
        key=key,
        grace_period=Seconds(30),
    )


def read_epoch_ms() -> int:
    """Return the time of the log and of callers, in ms since the epoch."""
    return int((EPOCH_S + trio.current_time()) * MS_PER_SECOND)


def _choose_owner(candidates: list[Incarnation], number: int) -> Incarnation:
    return max(
        candidates,
        key=lambda candidate: xxhash.xxh3_64_intdigest(
            f'{candidate}/{number}'.encode()
        ),
    )


async def _reject_fetch(
    sender: HostId, request: SnapshotRequest
) -> SnapshotResponse | None:
    raise EbonystreamError(ErrorKind.NOT_FOUND, request.stream)


def _ignore_heartbeat(heartbeat: Heartbeat) -> None:
    """Ignore heartbeats: these hosts run no membership."""
