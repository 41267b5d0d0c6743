"""The policies that the product's own is measured against."""

from collections.abc import Callable
from random import Random

from measure.wire import Finish, Submit, Wire
from measure.world import SLOTS, ZONES, Arrival, Server, hop

Pick = Callable[[Arrival], Server]


def make_baseline(
    pick: Pick, wire: Wire, finish: Finish, count: dict[tuple[int, str], int]
) -> Submit:
    """Make a policy that sends each call at once."""

    def submit(arrival: Arrival) -> None:
        server = pick(arrival)
        pair = (arrival.host, server.id)
        count[pair] = count.get(pair, 0) + 1

        def ended(whole: bool) -> None:
            count[pair] -= 1
            finish(arrival, 'ran' if whole else 'late')

        wire.send(arrival, server, ended)

    return submit


def make_random(servers: list[Server], random: Random) -> Pick:
    """Make random choice."""
    return lambda arrival: random.choice(servers)


def make_round_robin(servers: list[Server], random: Random) -> Pick:
    """Make round robin for each host, from a random start."""
    turns: dict[int, int] = {}

    def pick(arrival: Arrival) -> Server:
        start = random.randrange(len(servers))
        turn = turns.get(arrival.host, start)
        turns[arrival.host] = turn + 1
        return servers[turn % len(servers)]

    return pick


def make_two_choices(
    servers: list[Server], random: Random, count: dict[tuple[int, str], int]
) -> Pick:
    """Make the better of two by the host's own calls in flight."""

    def pick(arrival: Arrival) -> Server:
        drawn = random.sample(servers, 2)
        return min(drawn, key=lambda one: count.get((arrival.host, one.id), 0))

    return pick


def make_oracle(servers: list[Server], random: Random) -> Pick:
    """Make the choice that knows each queue and each speed at once."""

    def pick(arrival: Arrival) -> Server:
        zone = ZONES[arrival.host % 3]

        def weigh(server: Server) -> tuple[float, float, float]:
            turns = max(0, server.on_way + 1 - SLOTS) / SLOTS
            wait = (1 + turns) * server.slowness
            return wait, hop(zone, server.zone), random.random()

        return min(servers, key=weigh)

    return pick
