"""Several owners of keys in one process, and what may go wrong with them.

Each host is the product's own ownership, exchange and log tail; the network,
the log and the backend server around them are small fakes on trio's clock.
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
HORIZON_MS = 30_000
WINDOW_MS = 60_000
VIEW_LAG_S = 3.0
MAX_SKEW_S = 2.0
LIMITS = ExchangeLimits(max_message_bytes=1_000_000, max_requests=1000)
LEDGER_BYTES = 10_000_000


@attrs.define
class Backend:
    """A backend server that counts the runs of each key.

    Attributes:
        random: Decides how each attempt ends.
        refused: The share of attempts that it refuses.
        cut: The share whose answers are lost.
        runs: How often each key ran.
        declared_not_run: Keys whose callers were told that they did not run.
    """

    random: Random
    refused: float = 0.5
    cut: float = 0.1
    runs: dict[IdempotencyKey, int] = attrs.field(factory=dict)
    declared_not_run: set[IdempotencyKey] = attrs.field(factory=set)

    async def attempt(self, call: Call) -> Attempt:
        """Run a call, refuse it, or lose it before or after it ran."""
        await trio.sleep(self.random.uniform(0, 0.2))
        if self.random.random() < self.refused:
            return Attempt(AttemptKind.REFUSED)
        if self.random.random() < self.cut:
            return INTERRUPTED
        self._run(call)
        await trio.sleep(self.random.uniform(0, 0.5))
        if self.random.random() < self.cut:
            return INTERRUPTED
        answer = CallResponse(
            outcome=Outcome.RAN,
            status=200,
            headers=(),
            body=f'{call.key}'.encode(),
        )
        return Attempt(AttemptKind.ANSWERED, answer)

    def _run(self, call: Call) -> None:
        assert call.key is not None
        self.runs[call.key] = self.runs.get(call.key, 0) + 1
        assert self.runs[call.key] == 1, f'{call.key} ran twice'
        assert call.key not in self.declared_not_run, (
            f'{call.key} ran after its caller was told "not run"'
        )


@attrs.define
class KeyHost:
    """One entry host, as far as ownership of keys goes.

    Attributes:
        id: Its name, which its next incarnation takes over.
        incarnation: This run of it.
        owner: Its state of ownership.
        run: Runs a call that must run once.
        gate: Set while the host is not held.
        scope: Ends the host when it is cancelled.
    """

    id: HostId
    incarnation: Incarnation
    owner: KeyOwner
    run: RunCall
    gate: trio.Event
    scope: trio.CancelScope


@attrs.define
class KeyHosts:
    """All entry hosts, and what they share.

    Attributes:
        random: Decides everything that is left to chance.
        network: Carries messages between the hosts.
        store: The log.
        backend: The backend server.
        nursery: Where the hosts run.
        hosts: The hosts that run now.
        births: When each incarnation began to run.
    """

    random: Random
    network: Network
    store: LogStore
    backend: Backend
    nursery: trio.Nursery
    hosts: dict[HostId, KeyHost] = attrs.field(factory=dict)
    births: dict[Incarnation, tuple[HostId, float]] = attrs.field(factory=dict)
    _born: int = 0

    async def start(self, host: HostId) -> None:
        """Start a host, or its next incarnation.

        Args:
            host: Its name.
        """
        self._born += 1
        incarnation = Incarnation(f'{host}-{self._born}')
        await self.nursery.start(self._run_host, host, incarnation)
        self.births[incarnation] = (host, trio.current_time())

    def kill(self, host: HostId) -> None:
        """End a host at once.

        Args:
            host: Its name.
        """
        self.network.close(host)
        self.hosts.pop(host).scope.cancel()

    def hold(self, host: HostId) -> None:
        """Let a host neither send nor take in anything."""
        self.network.hold(host)
        self.hosts[host].gate = trio.Event()

    def resume(self, host: HostId) -> None:
        """Let a host go on."""
        self.network.resume(host)
        self.hosts[host].gate.set()

    async def leave(self, host: HostId) -> None:
        """Let a host give up its slices."""
        await release_slices(
            owner=self.hosts[host].owner,
            log=make_log_client(self.store, partial(self._pass_gate, host)),
            stream=KEYS_STREAM,
        )

    async def _run_host(
        self,
        host: HostId,
        incarnation: Incarnation,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        async with trio.open_nursery() as running:
            self._wire(host, incarnation, running)
            task_status.started()

    def _wire(
        self, host: HostId, incarnation: Incarnation, running: trio.Nursery
    ) -> None:
        skew = self.random.uniform(-MAX_SKEW_S, MAX_SKEW_S)
        timers = Timers(epoch_offset=EPOCH_S + skew)
        exchange = self._open_exchange(host, incarnation)
        owner = KeyOwner(
            incarnation=incarnation,
            ownership=OwnershipTable(retention_ms=WINDOW_MS),
            key_table=KeyTable(max_bytes=LEDGER_BYTES),
            dispatch=partial(self._dispatch, host),
            timers=timers,
            nursery=running,
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
            respond_to_snapshot_request=_answer_no_fetch,
            on_heartbeat=_ignore_heartbeat,
        )
        gate = trio.Event()
        gate.set()
        self.hosts[host] = KeyHost(
            host, incarnation, owner, run, gate, running.cancel_scope
        )
        self._start_tasks(host, owner, exchange, handlers)

    def _start_tasks(
        self,
        host: HostId,
        owner: KeyOwner,
        exchange: Exchange,
        handlers: Handlers,
    ) -> None:
        log = make_log_client(self.store, partial(self._pass_gate, host))
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
            horizon_ms=HORIZON_MS,
            retention_ms=WINDOW_MS,
        )
        owner.nursery.start_soon(exchange.run, handlers)
        owner.nursery.start_soon(tail)
        owner.nursery.start_soon(claims)

    def _open_exchange(
        self, host: HostId, incarnation: Incarnation
    ) -> Exchange:
        transport = self.network.open_transport(host)
        for peer in self._list_names():
            transport.connect(peer, '', 0)
        return Exchange(
            host=host,
            incarnation=incarnation,
            transport=transport,
            limits=LIMITS,
            pending_requests=PendingRequests(random=Random(incarnation)),
        )

    def _list_names(self) -> list[HostId]:
        return [HostId(f'host{number}') for number in range(99)]

    def _list_slices(self, incarnation: Incarnation) -> list[SliceNumber]:
        """Give the slices of an incarnation by a view that may be late."""
        seen_at = trio.current_time() - self.random.uniform(0, VIEW_LAG_S)
        newest = {
            host: name
            for name, (host, born) in self.births.items()
            if born <= seen_at and self._is_staying(host)
        }
        candidates = sorted({*newest.values(), incarnation})
        return [
            SliceNumber(number)
            for number in range(SLICE_COUNT)
            if _rank_first(candidates, number) == incarnation
        ]

    def _is_staying(self, host: HostId) -> bool:
        running = self.hosts.get(host)
        return running is not None and running.owner.released_from is None

    def _find_host(self, incarnation: Incarnation) -> HostId | None:
        host = self.births.get(incarnation, (None, 0))[0]
        running = self.hosts.get(host) if host else None
        current = running is not None and running.incarnation == incarnation
        return host if current else None

    async def _dispatch(
        self, host: HostId, call: Call, tried: set[ServerId]
    ) -> Attempt:
        tried.add(ServerId(f'{len(tried)}'))
        await self._pass_gate(host)
        return await self.backend.attempt(call)

    async def _pass_gate(self, host: HostId) -> None:
        running = self.hosts.get(host)
        if running is not None:
            await running.gate.wait()


def make_booking(key: IdempotencyKey, *, timeout_s: float) -> Call:
    """Make a call that must run once.

    Args:
        key: Its key.
        timeout_s: How long its caller waits.
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
    """Read the clock of the log and of callers."""
    return int((EPOCH_S + trio.current_time()) * MS_PER_SECOND)


def _rank_first(candidates: list[Incarnation], number: int) -> Incarnation:
    return max(
        candidates,
        key=lambda name: xxhash.xxh3_64_intdigest(f'{name}/{number}'.encode()),
    )


async def _answer_no_fetch(
    sender: HostId, request: SnapshotRequest
) -> SnapshotResponse | None:
    raise EbonystreamError(ErrorKind.NOT_FOUND, request.stream)


def _ignore_heartbeat(heartbeat: Heartbeat) -> None:
    """Learn nothing: membership is not part of these hosts."""
