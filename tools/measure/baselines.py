"""Baseline policies that the product is compared with."""

from collections.abc import Callable
from random import Random

from measure.wire import Network, RecordOutcome, SubmitCall
from measure.world import SLOTS, ZONES, Arrival, Server, get_one_way_delay

ChooseServer = Callable[[Arrival], Server]
"""Chooses the server of a call."""


def make_baseline(
    choose_server: ChooseServer,
    network: Network,
    record_outcome: RecordOutcome,
    in_flight: dict[tuple[int, str], int],
) -> SubmitCall:
    """Return a policy that sends each call immediately."""

    def submit(arrival: Arrival) -> None:
        server = choose_server(arrival)
        pair = (arrival.host_number, server.id)
        in_flight[pair] = in_flight.get(pair, 0) + 1

        def on_end(is_complete: bool) -> None:
            in_flight[pair] -= 1
            record_outcome(arrival, 'ran' if is_complete else 'late')

        network.send(arrival, server, on_end)

    return submit


def make_random(servers: list[Server], random: Random) -> ChooseServer:
    """Return a random choice of server."""
    return lambda arrival: random.choice(servers)


def make_round_robin(servers: list[Server], random: Random) -> ChooseServer:
    """Return a round robin for each host, from a random start."""
    turns: dict[int, int] = {}

    def choose_server(arrival: Arrival) -> Server:
        start = random.randrange(len(servers))
        turn = turns.get(arrival.host_number, start)
        turns[arrival.host_number] = turn + 1
        return servers[turn % len(servers)]

    return choose_server


def make_two_choices(
    servers: list[Server], random: Random, in_flight: dict[tuple[int, str], int]
) -> ChooseServer:
    """Return a choice of two by the calls that the host has in flight."""

    def choose_server(arrival: Arrival) -> Server:
        sampled = random.sample(servers, 2)
        return min(
            sampled,
            key=lambda server: in_flight.get(
                (arrival.host_number, server.id), 0
            ),
        )

    return choose_server


def make_oracle(servers: list[Server], random: Random) -> ChooseServer:
    """Return a choice by the current queue and slowdown of each server."""

    def choose_server(arrival: Arrival) -> Server:
        zone = ZONES[arrival.host_number % 3]

        def get_cost(server: Server) -> tuple[float, float, float]:
            rounds_ahead = max(0, server.in_flight + 1 - SLOTS) / SLOTS
            relative_latency = (1 + rounds_ahead) * server.slowdown
            return (
                relative_latency,
                get_one_way_delay(zone, server.zone),
                random.random(),
            )

        return min(servers, key=get_cost)

    return choose_server
