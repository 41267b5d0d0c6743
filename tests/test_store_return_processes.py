"""Real entry hosts while their store returns from an older copy."""

import itertools
import signal
from contextlib import asynccontextmanager

import attrs
import pytest
import trio
from test_entry_host import ROUTE, SERVICE, make_configuration

from faultsoak.deployment import Deployment, run_deployment
from faultsoak.judges.config import RouteAnswer, find_outdated_answers
from standins.pacedserver import PacedServer
from standins.platformstore import StoreMode

ZONES = {'a': 3, 'b': 2, 'c': 2}
OPERATORS = 'keyed.op'
PAUSE_S, SETTLED_S = 0.05, 3.5
CONFIG_APPLY_S, RETURN_EXCUSE_S = 2.0, 3.0
AWAY_S, LOST = 0.5, 5
CHANGE_S = 0.7
CHANGES = 5
"""Changes after a return, one each `CHANGE_S`: the last ones are made after
the time that a return excuses."""

pytestmark = pytest.mark.processes


@attrs.define
class Change:
    """A configuration that adds a route, and what hosts answered for it.

    Attributes:
        name: Name of the route.
        acknowledged_at: When the store acknowledged it.
        due_at: When it is to be in force on all hosts.
        answers: Answers to requests for the route.
    """

    name: str
    acknowledged_at: float
    due_at: float
    answers: list = attrs.field(factory=list)


@attrs.define
class Operator:
    """Writes configurations, and asks the hosts for the newest route."""

    deployment: Deployment
    version: int = 0
    routes: dict = attrs.field(factory=lambda: {'racks': ROUTE})
    changes: list = attrs.field(factory=list)
    returned_at: float = float('-inf')

    def write(self):
        """Write the newest configuration, again if it was written before."""
        self.deployment.store.put(
            OPERATORS, 'config', make_configuration(self.version, self.routes)
        )

    def change(self):
        """Write a configuration with one more route."""
        self.version += 1
        name = f'added-{self.version}'
        self.routes[name] = {**ROUTE, 'path_prefix': f'/{name}/'}
        self.write()
        now = trio.current_time()
        due_at = max(now + CONFIG_APPLY_S, self.returned_at + RETURN_EXCUSE_S)
        self.changes.append(Change(name, now, due_at))

    async def return_store(self):
        """Let the store return without its last records."""
        store = self.deployment.store
        store.mode = StoreMode.UNAVAILABLE
        await trio.sleep(AWAY_S)
        store.restore_without(OPERATORS, LOST)
        store.mode = StoreMode.AVAILABLE
        self.returned_at = trio.current_time()
        self.write()

    async def make_changes(self):
        """Make some changes, each in a while."""
        for _ in range(CHANGES):
            await trio.sleep(CHANGE_S)
            self.change()
        await trio.sleep(CONFIG_APPLY_S + 0.5)

    async def ask(self, host):
        """Ask a host for each route that it has not served yet."""
        for number in itertools.count():
            for change in list(self.changes):
                if not self.has_served(host, change):
                    await self.ask_for(host, change, number)
            await trio.sleep(PAUSE_S)

    async def ask_for(self, host, change, number):
        """Ask a host for one route."""
        sent_at = trio.current_time()
        status = await self.deployment.request(
            host,
            f'{host.name}-{change.name}-{number}',
            f'/{change.name}/1',
            900,
        )
        answer = RouteAnswer(host=host.name, sent_at=sent_at, status=status)
        change.answers.append(answer)

    def has_served(self, host, change):
        """Return whether a host has served a route."""
        return any(
            answer.status == 200 and answer.host == host.name
            for answer in change.answers
        )

    def list_late(self):
        """List the changes that hosts did not have in force in time."""
        return [
            (change.name, host.name, self.measure(host, change))
            for change in self.changes
            for host in self.deployment.hosts
            if not self.has_served(host, change)
            or find_outdated_answers(
                [each for each in change.answers if each.host == host.name],
                acknowledged_at=change.due_at,
                bound_s=0,
            )
        ]

    def measure(self, host, change):
        """Return when a host first served a route, in seconds."""
        served = [
            answer.sent_at - change.acknowledged_at
            for answer in change.answers
            if answer.status == 200 and answer.host == host.name
        ]
        return round(min(served, default=float('inf')), 2)


@asynccontextmanager
async def run_operator(tmp_path):
    """Run hosts, and an operator who has written a few configurations."""
    deployment = Deployment(folder=tmp_path)
    for zone, count in ZONES.items():
        for _ in range(count):
            deployment.add_host(zone)
    deployment.add_server(PacedServer(name='i-1'))
    deployment.register(SERVICE, 'a')
    operator = Operator(deployment)
    for _ in range(LOST + 1):
        operator.version += 1
        operator.write()
    async with run_deployment(deployment), trio.open_nursery() as nursery:
        await deployment.wait_ready()
        await trio.sleep(SETTLED_S)
        for host in deployment.hosts:
            nursery.start_soon(operator.ask, host)
        yield operator
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize('returns', [1, 2])
async def test_changes_after_a_return(tmp_path, returns):
    async with run_operator(tmp_path) as operator:
        for _ in range(returns):
            await operator.return_store()
            await operator.make_changes()
    assert operator.list_late() == []


async def test_only_one_host_had_read_what_was_lost(tmp_path):
    async with run_operator(tmp_path) as operator:
        _, *others = operator.deployment.hosts
        for host in others:
            host.process.send_signal(signal.SIGSTOP)
        for _ in range(LOST):
            operator.version += 1
            operator.write()
        await trio.sleep(1)
        operator.deployment.store.mode = StoreMode.UNAVAILABLE
        for host in others:
            host.process.send_signal(signal.SIGCONT)
        await operator.return_store()
        await operator.make_changes()
    assert operator.list_late() == []
