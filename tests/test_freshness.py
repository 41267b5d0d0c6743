"""Strict revocation at one host: on arrival, and before each send.

Guards against a key that still works after it was withdrawn, and against a
host that denies a key without knowing the newest ones.
"""

from functools import partial
from types import SimpleNamespace

import attrs
import pytest
import trio
from platform_samples import make_request, make_route
from test_dispatch import (
    FAILED,
    INTERRUPTED,
    NOT_RUN,
    SERVED,
    FixedRandom,
    make_dispatcher,
)
from test_gossip import make_listing

from ebonystream._address import ServerAddress
from ebonystream._timers import Timers
from ebonystream.dispatch import make_handle_request
from ebonystream.entryhost._admission import Gate
from ebonystream.entryhost._lease import is_fresh
from ebonystream.entryhost._metrics import HostMetrics
from ebonystream.ingress import CallerPresence
from ebonystream.link import (
    ConnectionPool,
    ExchangeFailure,
    PoolLimits,
    make_exchange,
)
from ebonystream.orders import (
    Freshness,
    Orders,
    OrdersPosition,
    compute_proof_time,
)
from ebonystream.route import index_routes
from ebonystream.workspace import (
    Credential,
    CredentialState,
    Workspace,
    compute_key_digest,
)

REVOKE_S, LEASE_S = 5.0, 4.75
DIGEST = compute_key_digest(b'yx5x42q492cq')
PRESENT = Credential(CredentialState.PRESENT, DIGEST)


class BootClock:
    """A clock that a suspension of the machine advances, other than trio's."""

    def __init__(self):
        self.suspended_s = 1000.0

    def __call__(self):
        """Return the time since the start of the machine, in seconds."""
        return trio.current_time() + self.suspended_s


def make_host(*, revoke=REVOKE_S, digests=(DIGEST,), exempt=False):
    """Make the parts of a host that admission uses, fresh at time 0."""
    timers = Timers(epoch_offset=0, boot_clock=BootClock())
    host = SimpleNamespace(
        orders=Orders(),
        settings=SimpleNamespace(limits=SimpleNamespace(revoke=revoke)),
        timers=timers,
        metrics=HostMetrics(),
        log_event=lambda event, **fields: host.logged.append(fields),
        logged=[],
    )
    apply_keys(host, digests, end=4, exempt=exempt)
    host.orders.confirm_newest(host.orders.position, timers.boot_now())
    return host


def apply_keys(host, digests, *, end, exempt=False):
    """Put a configuration with some keys into force."""
    listing = make_listing(end=end)
    configuration = attrs.evolve(
        listing.configuration,
        routes=index_routes([make_route(exempt=exempt)]),
        workspaces=(
            Workspace(name='kaje80', rank=0, digests=frozenset(digests)),
        ),
    )
    host.orders.update(attrs.evolve(listing, configuration=configuration), 0.0)


def apply_owner(host, name, *, end):
    """Put a configuration into force in which one workspace owns the key."""
    apply_keys(host, (DIGEST,), end=end)
    digests = frozenset((DIGEST,))
    host.orders.configuration = attrs.evolve(
        host.orders.configuration,
        workspaces=(Workspace(name=name, digests=digests),) if name else (),
    )


def make_handler(host, dispatcher):
    """Make a handler that admits requests as the entry host does."""
    gate = Gate(host)
    return gate.wrap(
        make_handle_request(
            attrs.evolve(dispatcher, check_send=gate.check_send),
            get_configuration=lambda: host.orders.configuration,
            random=FixedRandom(),
        )
    )


@pytest.mark.parametrize(
    ('proofs', 'age'),
    [
        ([], None),
        ([(10, 4, 4)], 2),
        ([(9, 4, 4), (10, 4, 4)], 2),
        # A proof that took long to arrive does not undo a newer one.
        ([(10, 4, 4), (9, 4, 4)], 2),
        # Other orders than those in force prove nothing about these.
        ([(9, 4, 4), (10, 5, 4)], 3),
        ([(9, 4, 4), (10, 3, 4)], 3),
        ([(13, 4, 4)], 0),
    ],
)
def test_age_of_a_proof(proofs, age):
    freshness = Freshness()
    for asked_at, *ends in proofs:
        newest, held = (OrdersPosition(end=end) for end in ends)
        freshness.confirm(asked_at, newest=newest, held=held)
    assert freshness.get_age(12) == age
    assert freshness.is_within(2, 12) is (age is not None and age <= 2)


@pytest.mark.parametrize(
    ('wait', 'responded_at', 'proven_at'),
    [
        (0, 10.0, 10),
        (0, 13.0, 10),
        (2, 12.0, 11.9),
        # The way of the response proves nothing.
        (2, 13.5, 11.9),
        # The machine was suspended meanwhile.
        (2, 99.0, 11.9),
        # The store did not wait.
        (2, 11.9, 10),
    ],
)
def test_the_wait_at_the_store_counts_as_proof(wait, responded_at, proven_at):
    assert compute_proof_time(10, responded_at, wait) == proven_at


@pytest.mark.parametrize(
    ('running_s', 'suspended_s', 'revoke', 'fresh'),
    [
        (4.7, 0, REVOKE_S, True),
        (4.8, 0, REVOKE_S, False),
        # The monotonic clock does not see a suspension of the machine.
        (0, 4.7, REVOKE_S, True),
        (0, 4.8, REVOKE_S, False),
        (2.4, 2.4, REVOKE_S, False),
        (99, 99, None, True),
    ],
)
async def test_lease(autojump_clock, running_s, suspended_s, revoke, fresh):
    host = make_host(revoke=revoke)
    await trio.sleep(running_s)
    host.timers.boot_clock.suspended_s += suspended_s
    assert is_fresh(host) is fresh


async def test_a_host_that_was_never_confirmed_is_not_fresh(autojump_clock):
    host = make_host()
    host.orders.freshness.asked_at = None
    assert not is_fresh(host)


ARRIVALS = [
    # Age of the proof, key of the request, exempt route; status, key allowed
    # to be judged.
    (0, PRESENT, False, 200),
    (4.7, PRESENT, False, 200),
    (4.8, PRESENT, False, 503),
    (4.7, Credential(CredentialState.PRESENT, b'x' * 16), False, 401),
    (4.8, Credential(CredentialState.PRESENT, b'x' * 16), False, 503),
    (4.8, Credential(CredentialState.MISSING), False, 503),
    (0, Credential(CredentialState.MISSING), False, 401),
    (0, Credential(CredentialState.MALFORMED), False, 401),
    (4.8, Credential(CredentialState.MISSING), True, 200),
]


@pytest.mark.parametrize(('age', 'key', 'exempt', 'status'), ARRIVALS)
async def test_arrival(autojump_clock, age, key, exempt, status):
    host = make_host(exempt=exempt)
    await trio.sleep(age)
    sent = []
    dispatcher = make_dispatcher([(SERVED, 0.01)], sent=sent)
    request = make_request(arrived_at=age, deadline=age + 1.5, credential=key)
    response = await make_handler(host, dispatcher)(request, CallerPresence())
    assert (response.status, len(sent)) == (status, int(status == 200))
    assert (response.retry_after is not None) is (status == 503)
    assert host.logged[-1]['when'] == 'arrival'


SENDS = [
    # Results of attempts before the change; status, number of sends.
    ([], 503, 0),
    ([NOT_RUN], 503, 1),
    # What may have run is not called "not run".
    ([INTERRUPTED], 502, 1),
    ([FAILED], 500, 1),
]


@pytest.mark.parametrize('withdrawn', [False, True])
@pytest.mark.parametrize(('ends', 'status', 'sends'), SENDS)
async def test_a_change_before_a_send(
    autojump_clock, ends, status, sends, withdrawn
):
    """The machine is suspended, or the key withdrawn, before the next send."""
    host = make_host()
    sent = []
    dispatcher = make_dispatcher(
        [(end, 0.01) for end in [*ends, SERVED]], sent=sent
    )

    async def find_server(request):
        candidate = await dispatcher.find_server(request)
        if len(sent) == len(ends):
            await trio.sleep(0.1)
            if withdrawn:
                apply_keys(host, (), end=5)
            else:
                host.timers.boot_clock.suspended_s += 60
        return candidate

    handle = make_handler(
        host, attrs.evolve(dispatcher, find_server=find_server)
    )
    response = await handle(make_request(credential=PRESENT), CallerPresence())
    expected = 401 if withdrawn and status == 503 else status
    assert (response.status, len(sent)) == (expected, sends)


SEND_CHANGES = [
    # Owner of the key on arrival and at the send, the key; status.
    ('kaje80', 'kaje80', PRESENT, 200),
    # It would run under the name of a workspace without this key.
    ('kaje80', 'vuso31', PRESENT, 503),
    # The server would receive the key, and any name that the client sent.
    (None, 'kaje80', PRESENT, 503),
    # Its route may be exempt from now on, so that 401 would be wrong.
    (None, 'kaje80', Credential(CredentialState.MISSING), 503),
]


@pytest.mark.parametrize(('before', 'after', 'key', 'status'), SEND_CHANGES)
async def test_a_key_that_changes_its_workspace_before_a_send(
    autojump_clock, before, after, key, status
):
    host = make_host()
    apply_owner(host, before, end=5)
    sent = []
    dispatcher = make_dispatcher([(SERVED, 0.01)], sent=sent)

    async def find_server(request):
        apply_owner(host, after, end=6)
        host.orders.confirm_newest(
            OrdersPosition(end=6), host.timers.boot_now()
        )
        return await dispatcher.find_server(request)

    handle = make_handler(
        host, attrs.evolve(dispatcher, find_server=find_server)
    )
    response = await handle(make_request(credential=key), CallerPresence())
    assert (response.status, len(sent)) == (status, int(status == 200))
    assert (response.retry_after is not None) is (status == 503)


async def test_nothing_is_written_once_a_send_is_not_permitted():
    # Guards against a process that is frozen while a connection is opened.
    received = []

    async def serve(stream):
        received.append(bytes(await stream.receive_some(99)))

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(
            partial(trio.serve_tcp, serve, 0, host='127.0.0.1')
        )
        at = ServerAddress('127.0.0.1', listeners[0].socket.getsockname()[1])
        pool = ConnectionPool(
            PoolLimits(max_idle=1, idle_timeout=1, connect_timeout=1),
            Timers(epoch_offset=0),
        )
        result = await make_exchange(pool=pool)(
            at, b'GET / HTTP/1.1\r\n\r\n', lambda headers: True, lambda: False
        )
        await trio.sleep(0.05)
        nursery.cancel_scope.cancel()
    assert result is ExchangeFailure.WITHHELD
    assert received == []
