"""The product's own routing, on the measured world."""

from collections.abc import Callable
from functools import partial
from random import Random

import attrs

from ebonystream._ids import (
    HostId,
    Monotonic,
    ServerId,
    ZoneName,
)
from ebonystream.peer import SlotGrant, SlotRequest
from measure.hosts import SERVICE, Host, make_host
from measure.load import Load
from measure.loop import Loop
from measure.race import Race, begin_attempt, plan_hedge
from measure.wire import Finish, Stop, Wire
from measure.world import (
    DEADLINE,
    ZONES,
    Arrival,
    Server,
    hop,
    make_call,
    name_host,
)

OUT_FROM = 0.3
OUT_UNTIL = 0.7
"""When a zone is out, in parts of the run."""

BEAT = 0.25
"""Seconds between heartbeats."""


@attrs.define(eq=False)
class Product:
    """The product's routing on all entry hosts.

    Attributes:
        load: What is sent.
        loop: Runs what takes time.
        servers: The servers.
        wire: Sends calls to them.
        finish: Notes the end of a call.
        hedging: Whether all plans bought hedges.
        hosts: The entry hosts.
        messages: Messages between hosts so far.
        last_in_zone: When the last call went to the zone before its return.
    """

    load: Load
    loop: Loop
    servers: list[Server]
    wire: Wire
    finish: Finish
    hedging: bool = False
    hosts: list[Host] = attrs.field(factory=list)
    messages: int = 0
    last_in_zone: float = 0

    def build(self) -> None:
        """Make the hosts, which make the first slots."""
        self.hosts = [
            make_host(
                number,
                self.load,
                self.loop,
                servers=self.servers,
                send=self._send,
            )
            for number in range(self.load.hosts)
        ]
        self._beat()
        if self.load.zone_out:
            self._move_zone()

    def _move_zone(self) -> None:
        """Take a zone out and back; hosts hear of it one by one."""
        random = Random(f'{self.load.seed} zone')
        for host in self.hosts:
            out = OUT_FROM * self.load.length + random.uniform(0, BEAT)
            back = OUT_UNTIL * self.load.length + random.uniform(0, BEAT)
            self.loop.call_after(out, partial(host.out.add, ZONES[0]))
            self.loop.call_after(back, partial(host.out.discard, ZONES[0]))

    def _beat(self) -> None:
        for number, host in enumerate(self.hosts):
            host.registry.reconcile()
            host.guarantees.end_period(
                host.plans.plans, Monotonic(self.loop.now)
            )
            self._tell_others(number, host)
        if self.loop.now < self.load.length + DEADLINE:
            self.loop.call_after(BEAT, self._beat)

    def _tell_others(self, number: int, host: Host) -> None:
        loads = host.registry.report_slots()
        demands = host.guarantees.report()
        for peer in self.hosts:
            if peer is not host:
                peer.registry.handle_report(name_host(number), loads)
                peer.guarantees.record_report(name_host(number), demands)

    def submit(self, arrival: Arrival) -> None:
        """Bring a call to its host."""
        race = Race(
            arrival=arrival,
            host=self.hosts[arrival.host],
            call=make_call(arrival, arrival.at + DEADLINE),
        )
        self._begin(race)
        if self.hedging:
            plan_hedge(race, self.loop, self._begin)

    def _begin(self, race: Race) -> None:
        begin_attempt(
            race,
            loop=self.loop,
            send=self._send_call,
            finish=self.finish,
            tick=self._tick,
        )

    def _send_call(
        self, race: Race, at: ServerId, ended: Callable[[bool], None]
    ) -> Stop:
        server = next(one for one in self.servers if one.id == at)
        now = self.loop.now
        if server.zone == ZONES[0] and now < OUT_UNTIL * self.load.length:
            self.last_in_zone = now
        return self.wire.send(race.arrival, server, ended)

    def _tick(self, host: Host) -> None:
        if host.ticking:
            return
        host.ticking = True

        def tick() -> None:
            host.ticking = False
            host.exchange.assign_slots(SERVICE)
            host.exchange.request_slots(SERVICE)
            if host.exchange.get_service_slots(SERVICE).queue.waiters:
                self._tick(host)

        self.loop.call_after(host.exchange.get_request_delay(SERVICE), tick)

    def _send(
        self, zone: ZoneName, to: HostId, message: SlotRequest | SlotGrant
    ) -> None:
        self.messages += 1
        number = int(to.removeprefix('h'))
        exchange = self.hosts[number].exchange

        def deliver() -> None:
            if isinstance(message, SlotRequest):
                exchange.handle_request(message)
            else:
                exchange.handle_grant(message)

        self.loop.call_after(hop(zone, ZONES[number % 3]), deliver)
