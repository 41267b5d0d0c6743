"""Requests that crash servers: which are suspected, cleared and refused."""

from random import Random

import pytest
import trio
from server_fakes import TIMERS, make_attempt, make_call, make_listed_server

from ebonystream._ids import ServerId
from ebonystream.backend import INTERRUPTED, Directory, ServerPhase
from ebonystream.crash import (
    CrashRules,
    InFlightCalls,
    assert_isolation,
    check_refused,
    compute_call_fingerprint,
    make_crash_begin,
    make_crash_gate,
    make_crash_observer,
)
from ebonystream.errors import EbonystreamError
from ebonystream.suspects import (
    CRASH_RETENTION,
    MAX_CRASHES,
    MAX_SUSPECTS_PER_CRASH,
    CrashId,
    SuspectExchange,
    SuspectTable,
)

NAMES = ('s', 't', 'u')
CALLS = {name: make_call(name.encode()) for name in ('bad', 'x', 'y')}


class Host:
    """Crash rules of one host, with each step made by the test."""

    def __init__(self, sponsored=NAMES):
        self.directory = Directory()
        self.directory.replace([make_listed_server(name) for name in NAMES])
        for server in self.directory.servers.values():
            server.lifecycle.phase = ServerPhase.SERVING
            server.lifecycle.record_boot('b0', 0)
        self.suspects = SuspectTable(TIMERS)
        self.exchange = SuspectExchange(self.suspects, TIMERS, Random(1))
        self.rules = CrashRules(
            suspects=self.suspects,
            in_flight=InFlightCalls(),
            directory=self.directory,
            is_sponsor=lambda server: server in sponsored,
            timers=TIMERS,
            notify_peers=lambda: None,
        )
        self._begin = make_crash_begin(self.rules)
        self._observe = make_crash_observer(self.rules)

    def find(self, name):
        """Return a server of the directory."""
        return self.directory.servers[ServerId(name)]

    def begin(self, name, server='s'):
        """Send a call; return False if the rules do not allow it."""
        return self._begin(CALLS[name], self.find(server))

    def end(self, name, attempt, server='s'):
        """Report the end of a call to the observer."""
        self._observe(CALLS[name], self.find(server), attempt, 0.0)

    def restart(self, server='s', boot='b1'):
        """Record a new incarnation of a server."""
        self.find(server).lifecycle.record_boot(boot, TIMERS.now())

    def refuses(self, name):
        """Return whether a request is refused."""
        try:
            check_refused(self.rules, CALLS[name])
        except EbonystreamError:
            return True
        return False


OK = make_attempt()


def crash(host, *names, server='s', boot='b1'):
    for name in names:
        host.begin(name, server)
    for name in names:
        host.end(name, INTERRUPTED, server)
    host.restart(server, boot)


SCENARIOS = {
    'one crash refuses no request': ([('crash', 's', 'bad', 'x')], set()),
    'two crashes, alone both times': (
        [('crash', 's', 'bad'), ('crash', 't', 'bad')],
        {'bad'},
    ),
    'two crashes, first beside another call': (
        [('crash', 's', 'bad', 'x'), ('crash', 't', 'bad')],
        {'bad'},
    ),
    'two crashes with a response in between': (
        [('crash', 's', 'x'), ('response', 't', 'x'), ('crash', 'u', 'x')],
        set(),
    ),
    'connections to two servers fail at once': (
        [('begin', 's', 'x'), ('begin', 't', 'x')]
        + [('cut', 's', 'x'), ('cut', 't', 'x')],
        set(),
    ),
    'the same incarnation responds afterwards': (
        [('crash', 's', 'x'), ('begin', 't', 'x'), ('cut', 't', 'x')]
        + [('wait', 0.1), ('response', 't', 'y')],
        set(),
    ),
}


@pytest.mark.parametrize('scenario', SCENARIOS)
async def test_refused_requests(autojump_clock, scenario):
    steps, refused = SCENARIOS[scenario]
    host = Host()
    for step in steps:
        match step:
            case ('crash', server, *names):
                crash(host, *names, server=server, boot=f'b{server}')
            case ('begin', server, name):
                assert host.begin(name, server)
            case ('cut', server, name):
                host.end(name, INTERRUPTED, server)
            case ('response', server, name):
                assert host.begin(name, server)
                host.end(name, OK, server)
            case ('wait', length):
                await trio.sleep(length)
    assert {name for name in CALLS if host.refuses(name)} == refused


async def test_crash_in_a_mass_failure_is_no_proof(autojump_clock):
    host = Host()
    crash(host, 'x', server='s')
    for number in range(3):
        other = host.suspects.get_or_add(CrashId(ServerId('v'), f'{number}'), 0)
        host.suspects.record_suspicion(
            other, compute_call_fingerprint(CALLS['y'])
        )
    crash(host, 'x', server='t')
    assert not host.refuses('x')


async def test_suspects_of_the_same_crashes_are_distinguished(autojump_clock):
    host, peer = Host(), Host()
    for suspecting, name in ((host, 'bad'), (peer, 'x')):
        crash(suspecting, name, server='s')
    exchange(host, peer)
    for suspecting, name in ((host, 'bad'), (peer, 'x')):
        crash(suspecting, name, server='t')
    exchange(host, peer)
    assert not host.refuses('bad')
    assert not host.refuses('x')
    peer.begin('x', 'u')
    peer.end('x', OK, 'u')
    exchange(host, peer)
    for either in (host, peer):
        assert either.refuses('bad')
        assert not either.refuses('x')


def exchange(host, peer):
    notes = (host.exchange.encode_notes(), peer.exchange.encode_notes())
    peer.exchange.update_from_notes(notes[0])
    host.exchange.update_from_notes(notes[1])


async def test_suspect_runs_alone(autojump_clock):
    host = Host()
    gate = make_crash_gate(host.rules)
    crash(host, 'bad')
    server = host.find('t')
    assert gate(CALLS['bad'], server)
    assert host.begin('bad', 't')
    assert not gate(CALLS['x'], server)
    assert not host.begin('x', 't')
    host.end('bad', OK, 't')
    assert gate(CALLS['x'], server)


async def test_suspect_needs_an_idle_server(autojump_clock):
    host = Host(sponsored=('t',))
    gate = make_crash_gate(host.rules)
    crash(host, 'bad')
    assert not gate(CALLS['bad'], host.find('u'))
    host.begin('x', 't')
    host.find('t').in_flight = 1
    assert not gate(CALLS['bad'], host.find('t'))
    assert not host.begin('bad', 't')


async def test_breach_of_isolation_is_asserted(autojump_clock):
    host = Host()
    crash(host, 'bad')
    host.begin('bad', 't')
    host.rules.in_flight.by_server['t'] *= 2
    with pytest.raises(AssertionError, match='runs a suspect beside'):
        assert_isolation(host.rules, ServerId('t'))


@pytest.mark.parametrize(
    'note',
    ['', '{}', '["s","b",-1,"f","first"]', '["s","b",9e9]', '["s","b",1,"f",3]']
    + ['["s","b",4000,"f","first"]', '["s","b",1,"f","worst"]'],
)
async def test_malformed_notes_are_dropped(autojump_clock, note):
    host = Host()
    host.exchange.update_from_notes([note])
    assert (host.exchange.dropped, host.suspects.crashes) == (1, {})


async def test_number_of_crashes_and_suspects_is_bounded(autojump_clock):
    host, peer = Host(), Host()
    for number in range(MAX_CRASHES + 9):
        crash_id = CrashId(ServerId('s'), str(number))
        last = host.suspects.get_or_add(crash_id, TIMERS.now())
    for number in range(MAX_SUSPECTS_PER_CRASH + 9):
        host.suspects.record_suspicion(last, str(number))
    assert len(host.suspects.crashes) == MAX_CRASHES
    assert len(last.suspicions) == MAX_SUSPECTS_PER_CRASH
    for _ in range(3):
        await trio.sleep(CRASH_RETENTION / 2)
        exchange(host, peer)
    assert not host.suspects.crashes
    assert not peer.suspects.crashes
