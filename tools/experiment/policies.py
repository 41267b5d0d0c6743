"""The policies that are compared: how a host finds a server for a request."""

from collections.abc import Callable, Mapping
from types import MappingProxyType

import attrs
import trio

from ebonystream._ids import Monotonic, Seconds
from ebonystream.dispatch import Patience
from ebonystream.placement import (
    Finder,
    FindRoom,
    NoRoom,
    Offer,
    Setting,
    Sighting,
    Wanted,
    choose_offer,
    make_find_room,
)
from ebonystream.request import Request
from ebonystream.route import Route

RETRY = Seconds(0.1)
TWO = 2
TICK = Seconds(0.002)
"""How often a request that waits at the oracle looks."""


@attrs.frozen
class Policy:
    """One policy.

    Attributes:
        make_find_room: Makes the placing of one host.
        knows_returns: Whether callers that came back are known as such.
        sees_all: Whether a host sees every server at once and for nothing.
    """

    make_find_room: Callable[[Finder], FindRoom]
    knows_returns: bool = True
    sees_all: bool = False

    def make_patience(self) -> Patience:
        """Make what tells when a caller asked first."""
        return Patience() if self.knows_returns else _Forgetful()


@attrs.define
class _Forgetful(Patience):
    """Takes each request for a new one."""

    def find_first(self, request: Request, route: Route) -> Monotonic:
        """Give when the request came."""
        return request.arrived


def _make_blind(finder: Finder) -> FindRoom:
    """Send to any server, without asking it."""

    async def find_room(wanted: Wanted) -> Offer | NoRoom:
        await trio.lowlevel.checkpoint()
        servers = finder.list_servers(wanted.service, wanted.draw)
        left = [one for one in servers if one.entry.id not in wanted.without]
        if not left:
            return NoRoom(after=RETRY, asked=0, why='none_willing')
        server = finder.random.choice(left)
        now = finder.timers.now()
        return Offer(
            sighting=Sighting(server, None, now),
            expected=wanted.route.objective,
            slowdown=1,
            asked=0,
            free=True,
        )

    return find_room


def _make_two_choices(finder: Finder) -> FindRoom:
    """Ask two servers, and take the better one; nobody waits."""

    async def find_room(wanted: Wanted) -> Offer | NoRoom:
        servers = finder.list_servers(wanted.service, wanted.draw)
        left = [one for one in servers if one.entry.id not in wanted.without]
        asked = finder.random.sample(left, min(TWO, len(left)))
        seen = [await finder.ask(one) for one in asked]
        setting = Setting(
            work=finder.work_times.get(wanted.route),
            zone=finder.zone,
            now=finder.timers.now(),
            late=True,
        )
        return choose_offer(wanted, seen, setting)

    return find_room


def _make_oracle(finder: Finder) -> FindRoom:
    """Know every server at once; one line for all hosts, nobody is late."""

    async def find_room(wanted: Wanted) -> Offer | NoRoom:
        found: Offer | NoRoom = NoRoom(after=RETRY, asked=0, why='full')
        with finder.lines.join(wanted) as place:
            while isinstance(found, NoRoom) and _may_hope(finder, wanted):
                now = finder.timers.now()
                if finder.lines.take_turn(place, now, period=Seconds(0)):
                    found = await _look_everywhere(finder, wanted)
                if isinstance(found, NoRoom):
                    await trio.sleep(TICK)
        return found

    return find_room


def _may_hope(finder: Finder, wanted: Wanted) -> bool:
    work = finder.work_times.get(wanted.route)
    return not wanted.is_late_by(finder.timers.now(), work)


async def _look_everywhere(finder: Finder, wanted: Wanted) -> Offer | NoRoom:
    servers = finder.list_servers(wanted.service, wanted.draw)
    setting = Setting(
        work=finder.work_times.get(wanted.route),
        zone=finder.zone,
        now=finder.timers.now(),
    )
    seen = [await finder.ask(server) for server in servers]
    return choose_offer(wanted, seen, setting)


POLICIES: Mapping[str, Policy] = MappingProxyType(
    {
        'product': Policy(make_find_room),
        'returns unknown': Policy(make_find_room, knows_returns=False),
        'two choices': Policy(_make_two_choices),
        'blind': Policy(_make_blind),
        'oracle': Policy(_make_oracle, sees_all=True),
    }
)
