"""The product's own routing on the simulated hosts and servers."""

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
from measure.race import Race, schedule_hedge, start_attempt
from measure.wire import CloseConnection, Network, RecordOutcome
from measure.world import (
    DEADLINE_SECONDS,
    ZONES,
    Arrival,
    Server,
    get_one_way_delay,
    make_call,
    make_host_id,
)

ZONE_OUT_START = 0.3
"""When a zone is taken out of service, as a share of the run."""

ZONE_OUT_END = 0.7
"""When the zone is restored, as a share of the run."""

HEARTBEAT_SECONDS = 0.25
"""Interval between heartbeats."""


@attrs.define(eq=False)
class Product:
    """The product's routing on all entry hosts.

    Attributes:
        load: The load of the run.
        loop: The event loop.
        servers: The simulated servers.
        network: Sends calls to the servers.
        record_outcome: Records the end of a call.
        has_hedging: Whether all plans include hedges.
        hosts: The entry hosts.
        message_count: Number of messages between hosts.
        last_call_to_zone_at: When the last call was sent to the zone before
            it was restored.
    """

    load: Load
    loop: Loop
    servers: list[Server]
    network: Network
    record_outcome: RecordOutcome
    has_hedging: bool = False
    hosts: list[Host] = attrs.field(factory=list)
    message_count: int = 0
    last_call_to_zone_at: float = 0

    def start_hosts(self) -> None:
        """Create the hosts and let them create the first slots."""
        self.hosts = [
            make_host(
                number,
                self.load,
                self.loop,
                servers=self.servers,
                send=self._send_message,
            )
            for number in range(self.load.host_count)
        ]
        self._send_heartbeats()
        if self.load.has_zone_out:
            self._schedule_zone_out()

    def _schedule_zone_out(self) -> None:
        """Schedule when each host learns that a zone is out and restored."""
        random = Random(f'{self.load.seed} zone')
        for host in self.hosts:
            removed_at = ZONE_OUT_START * self.load.duration + random.uniform(
                0, HEARTBEAT_SECONDS
            )
            restored_at = ZONE_OUT_END * self.load.duration + random.uniform(
                0, HEARTBEAT_SECONDS
            )
            self.loop.call_after(
                removed_at, partial(host.zones_out.add, ZONES[0])
            )
            self.loop.call_after(
                restored_at, partial(host.zones_out.discard, ZONES[0])
            )

    def _send_heartbeats(self) -> None:
        for number, host in enumerate(self.hosts):
            host.registry.reconcile()
            host.guarantees.end_period(
                host.plans.plans, Monotonic(self.loop.now)
            )
            self._send_reports(number, host)
        if self.loop.now < self.load.duration + DEADLINE_SECONDS:
            self.loop.call_after(HEARTBEAT_SECONDS, self._send_heartbeats)

    def _send_reports(self, number: int, host: Host) -> None:
        loads = host.registry.report_slots()
        demands = host.guarantees.report()
        for peer in self.hosts:
            if peer is not host:
                peer.registry.handle_report(make_host_id(number), loads)
                peer.guarantees.record_report(make_host_id(number), demands)

    def submit(self, arrival: Arrival) -> None:
        """Submit a call to its entry host."""
        race = Race(
            arrival=arrival,
            host=self.hosts[arrival.host_number],
            call=make_call(arrival, arrival.sent_at + DEADLINE_SECONDS),
        )
        self._start_attempt(race)
        if self.has_hedging:
            schedule_hedge(race, self.loop, self._start_attempt)

    def _start_attempt(self, race: Race) -> None:
        start_attempt(
            race,
            loop=self.loop,
            send=self._send_call,
            record_outcome=self.record_outcome,
            schedule_assignment=self._schedule_assignment,
        )

    def _send_call(
        self, race: Race, server_id: ServerId, on_end: Callable[[bool], None]
    ) -> CloseConnection:
        server = next(
            candidate for candidate in self.servers if candidate.id == server_id
        )
        now = self.loop.now
        if server.zone == ZONES[0] and now < ZONE_OUT_END * self.load.duration:
            self.last_call_to_zone_at = now
        return self.network.send(race.arrival, server, on_end)

    def _schedule_assignment(self, host: Host) -> None:
        if host.is_assignment_due:
            return
        host.is_assignment_due = True

        def assign() -> None:
            host.is_assignment_due = False
            host.exchange.assign_slots(SERVICE)
            host.exchange.request_slots(SERVICE)
            if host.exchange.get_service_slots(SERVICE).queue.waiters:
                self._schedule_assignment(host)

        self.loop.call_after(host.exchange.get_request_delay(SERVICE), assign)

    def _send_message(
        self,
        sender_zone: ZoneName,
        receiver: HostId,
        message: SlotRequest | SlotGrant,
    ) -> None:
        self.message_count += 1
        number = int(receiver.removeprefix('h'))
        exchange = self.hosts[number].exchange

        def deliver() -> None:
            if isinstance(message, SlotRequest):
                exchange.handle_request(message)
            else:
                exchange.handle_grant(message)

        self.loop.call_after(
            get_one_way_delay(sender_zone, ZONES[number % 3]), deliver
        )
