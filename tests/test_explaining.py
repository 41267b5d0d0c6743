"""Explanations of requests: what they say, that it holds, and no effect."""

import copy
import json
from random import Random

import attrs
import httpx
import pytest
import trio
from platform_samples import make_known, make_request, make_route
from test_cli import run
from test_entry_host import run_deployment
from test_workspace_host import start

from ebonystream._address import ServerAddress
from ebonystream._calls import CallKind
from ebonystream._timers import Timers
from ebonystream.dispatch import (
    Attempt,
    Dispatcher,
    RetryBudget,
    RetryLimits,
    make_handle_request,
)
from ebonystream.entryhost._admission import Gate
from ebonystream.entryhost._explain_page import respond_explanation
from ebonystream.entryhost._parts import HostParts
from ebonystream.entryhost._searches import DispatchState
from ebonystream.entryhost._settings import HostLimits, HostSettings
from ebonystream.entryhost._state_copy import copy_parts, make_copied_context
from ebonystream.gossip import HostFacts, HostFactTable, RankDemandFacts
from ebonystream.http1 import Message
from ebonystream.ingress import CallerPresence
from ebonystream.orders import Orders, OrdersListing, VersionOrder
from ebonystream.placement import (
    ColdLimits,
    ColdShares,
    ProbeResult,
    make_find_server,
)
from ebonystream.request import ResponseVerdict, ServerResponse
from ebonystream.roster import HealthReport, LoadReport, Roster
from ebonystream.route import (
    RequestLimits,
    RouteConfiguration,
    ServiceSettings,
    Share,
    index_routes,
)
from ebonystream.suspects import SuspectExchange, SuspectTable
from ebonystream.workspace import (
    Credential,
    CredentialState,
    Workspace,
    compute_key_digest,
)

KEY = b'yx5x42q492cqf75rjvz4'
KAJE = Workspace(name='kaje80', rank=3, digests={compute_key_digest(KEY)})
HERE = ServerAddress('127.0.0.1', 1)
NOW = 100.0
QUERY = 'method=GET&host=shop.example&path=/racks/7&time_left_ms=1500'
URGENT = make_route(name='urgent', prefix='/urgent/', rank=0, objective=0.1)
SPLIT = (Share('records', 3), Share('spare', 1))
IDLE = HealthReport(
    healthy=True,
    server_id=None,
    cold_left=None,
    load=LoadReport(running=0, waiting=0, slots=2, pace=1),
)


def make_parts(nursery, route=None, *, zones=(), revoke=None, workspaces=()):
    """Make a host that knows i-1 and i-2, and i-3 of another service."""
    timers = Timers(epoch_offset=0)
    limits = HostLimits(
        shutdown_grace=5,
        retry_ratio=0.1,
        base_retries=40,
        retry_window=10,
        probe_rate=50,
        cold_limits=ColdLimits(overshoot=1.5, slack=5),
        response_buffer_bytes=1000,
        revoke=revoke,
    )
    events = []
    suspects = SuspectTable(timers)
    parts = HostParts(
        settings=HostSettings(
            name='own',
            zone='a',
            caller_endpoint=HERE,
            readiness_endpoint=HERE,
            peer_endpoint=HERE,
            seeds=(),
            store_endpoint=HERE,
            limits=limits,
        ),
        timers=timers,
        random=Random(1),
        log_event=lambda event, **fields: events.append((event, fields)),
        log_buffer=events,
        background=nursery,
        server_pool=None,
        facts=HostFactTable('own', 'a'),
        suspects=suspects,
        suspect_exchange=SuspectExchange(suspects, timers, Random(1)),
        incarnation='1',
        orders=Orders(),
    )
    service = ServiceSettings(
        health_path='/health', max_connections=9, cold_start=9, cold_rate=1
    )
    configuration = RouteConfiguration(
        version=4,
        routes=index_routes([route or make_route(), URGENT]),
        services={'records': service, 'spare': service},
        limits=RequestLimits(head_bytes=99, body_bytes=99, receive=1, idle=1),
        workspaces=workspaces,
    )
    order = VersionOrder(id='m', service='records', version='v2', within=10)
    listing = OrdersListing(
        end=1, configuration=configuration, zones_out=zones, moves=(order,)
    )
    parts.orders.update(listing, NOW)
    parts.roster = Roster(
        servers={
            'i-1': make_known('i-1'),
            'i-2': make_known('i-2', zone='b'),
            'i-3': make_known('i-3', service='spare'),
        }
    )
    parts.dispatch_state = DispatchState(
        retry_budget=RetryBudget(
            limits=RetryLimits(ratio=0, base_retries=40, window=10),
            count_hosts=lambda: 20,
        ),
        cold_shares=ColdShares('own'),
        hedging=None,
    )
    return parts


def get_server(parts):
    return parts.roster.servers['i-1']


def forget_configuration(parts):
    parts.orders = Orders()


def cool_down(parts):
    """Let i-1 be cold, with its one request of this second used up."""
    server = get_server(parts)
    server.update_cold_until(9, NOW)
    server.record_request(NOW)
    parts.facts.update(make_facts('own'), NOW)


def fail(parts):
    get_server(parts).failures = 3
    get_server(parts).failures_updated_at = NOW


def reserve(parts):
    demand = RankDemandFacts(
        service='records', rank=0, arrived=800, started=800, work=200
    )
    parts.facts.update(make_facts('e2', rank_demands=(demand,)), NOW)


def move_version(parts):
    """Move a part of the requests to v2, which no server runs but i-2."""
    known = parts.roster.servers['i-2']
    known.entry = attrs.evolve(known.entry, version='v2')
    parts.moves.update(parts.orders.list_moves(NOW), NOW - 9)
    parts.moves.moves['m'].store_checked = True


def make_facts(host, **changes):
    return HostFacts(
        host=host,
        incarnation='1',
        sequence=1,
        zone='a',
        address='10.0.0.1',
        leaving=False,
        store_unreachable=False,
        orders_end=1,
        settled=True,
        **changes,
    )


def explain(parts, text=QUERY):
    """Return the status and the body of an explanation."""
    message = Message(
        target=f'/explain?{text}'.encode(),
        headers=(),
        body=b'',
        keep_alive=True,
        method=b'GET',
        status=0,
    )
    encoded = respond_explanation(parts, message).content
    head, _, body = encoded.partition(b'\r\n\r\n')
    return int(head.split(b' ')[1]), json.loads(body)


def list_exclusions(explanation):
    """Return why each server is excluded, by the first draw of a version."""
    return {
        server['server']: server['exclusion']
        for service in explanation['services']
        for server in service['versions'][0]['servers']
    }


BOTH = {'i-1': None, 'i-2': None}
KEYED = {'workspaces': (KAJE,)}
NAMED = f'{QUERY}&workspace=kaje80'
STATES = {
    # How the host is made and changed, the query, the error, exclusions.
    'usual': ({}, None, QUERY, None, BOTH),
    'no configuration': ({}, forget_configuration, QUERY, 'not_configured', {}),
    'unknown route': ({}, None, 'host=x&path=/', 'unknown_route', {}),
    'expired': ({}, None, QUERY.replace('1500', '0'), 'no_backend', BOTH),
    'split': (
        {'route': make_route(shares=SPLIT)},
        None,
        QUERY,
        None,
        {**BOTH, 'i-3': None},
    ),
    'evacuated zone': (
        {'zones': {'b'}},
        None,
        QUERY,
        None,
        {**BOTH, 'i-2': 'zone_evacuated'},
    ),
    'cold server': (
        {},
        cool_down,
        QUERY,
        None,
        {**BOTH, 'i-1': 'cold_share_used'},
    ),
    'failing server': ({}, fail, QUERY, None, BOTH),
    'refusing server': (
        {},
        lambda parts: setattr(get_server(parts), 'refusing_until', NOW + 2),
        QUERY,
        None,
        {**BOTH, 'i-1': 'refusing'},
    ),
    'leaving server': (
        {},
        lambda parts: setattr(get_server(parts), 'leaving', True),
        QUERY,
        None,
        {**BOTH, 'i-1': 'leaving'},
    ),
    'no server': (
        {'zones': {'a', 'b'}},
        None,
        QUERY,
        'no_backend',
        {'i-1': 'zone_evacuated', 'i-2': 'zone_evacuated'},
    ),
    'version move': (
        {},
        move_version,
        QUERY,
        None,
        {**BOTH, 'i-1': 'other_version'},
    ),
    'key': (KEYED, None, NAMED, None, BOTH),
    'no key': (KEYED, None, QUERY, 'unauthorized', {}),
    'stale lease': (
        {**KEYED, 'revoke': 5},
        None,
        NAMED,
        'configuration_stale',
        {},
    ),
    'rank reserve': ({}, reserve, QUERY, None, BOTH),
}


async def prepare(nursery, options, change):
    await trio.sleep(NOW - trio.current_time())
    parts = make_parts(nursery, **options)
    if change is not None:
        change(parts)
    return parts


@pytest.mark.parametrize(
    ('options', 'change', 'query', 'error', 'exclusions'),
    STATES.values(),
    ids=STATES,
)
async def test_states(
    autojump_clock, options, change, query, error, exclusions
):
    """Guards against a wrong result or a wrong reason."""
    async with trio.open_nursery() as nursery:
        parts = await prepare(nursery, options, change)
        status, explanation = explain(parts, query)
    assert (status, explanation['error']) == (200, error)
    assert list_exclusions(explanation) == exclusions


def get_version(explanation):
    return explanation['services'][0]['versions'][0]


def get_second(explanation):
    second = explanation['services'][0]['second_attempt']
    return [second[name] for name in SECOND]


SECOND = ('repeatable', 'attempts_left', 'within_budget', 'hedge')
ONCE = {'route': make_route(kind=CallKind.AT_MOST_ONCE, attempts=1)}
FIGURES = {
    'split': (
        {'route': make_route(shares=SPLIT)},
        None,
        lambda found: [service['odds'] for service in found['services']],
        [0.75, 0.25],
    ),
    'failures': (
        {},
        fail,
        lambda found: get_version(found)['servers'][0]['unreliable'],
        True,
    ),
    'no reserve': (
        {},
        None,
        lambda found: get_version(found)['reserve']['share'],
        0,
    ),
    'reserve': (
        {},
        reserve,
        lambda found: get_version(found)['reserve']['urgent_work'],
        2,
    ),
    'retry': ({}, None, get_second, [True, 1, True, 'off']),
    'once': (ONCE, None, get_second, [False, 0, True, 'off']),
}


@pytest.mark.parametrize(
    ('options', 'change', 'get', 'expected'), FIGURES.values(), ids=FIGURES
)
async def test_figures(autojump_clock, options, change, get, expected):
    """Guards against figures of another state than that of the host."""
    async with trio.open_nursery() as nursery:
        parts = await prepare(nursery, options, change)
        assert get(explain(parts)[1]) == expected


async def dispatch(parts, query, probed, sent):
    """Handle the request with the parts; return the error, if any."""

    async def probe(server):
        probed.add(server.entry.id)
        await trio.sleep(0.001)
        return ProbeResult(server, IDLE, trio.current_time())

    async def send(request, candidate, deadline):
        sent.add(candidate.probe_result.server.entry.id)
        response = ServerResponse(
            verdict=ResponseVerdict.SERVED,
            status=200,
            headers=(),
            load=None,
            body=b'',
        )
        return Attempt(
            candidate=candidate, response=response, failure=None, duration=0.01
        )

    context = attrs.evolve(make_copied_context(parts), probe=probe)
    gate = Gate(parts)
    handle = make_handle_request(
        Dispatcher(
            find_server=make_find_server(context),
            send_attempt=send,
            retry_budget=parts.dispatch_state.retry_budget,
            attempt_observers=(),
            observe_no_capacity=lambda *args: None,
            observe_response=lambda *args: None,
            timers=parts.timers,
            check_send=gate.check_send,
        ),
        get_configuration=lambda: parts.orders.configuration,
        random=parts.random,
    )
    is_routed = 'racks' in query
    credential = Credential(CredentialState.PRESENT, *KAJE.digests)
    changes = {'credential': credential} if 'workspace' in query else {}
    request = make_request(
        host='shop.example' if is_routed else 'x',
        arrived_at=NOW,
        deadline=NOW + (0 if query.endswith('=0') else 1.5),
        **changes,
    )
    response = await gate.wrap(handle)(request, CallerPresence())
    return response.error.value if response.error else None


@pytest.mark.parametrize('draw', range(5))
@pytest.mark.parametrize(
    ('options', 'change', 'query', 'error', 'exclusions'),
    STATES.values(),
    ids=STATES,
)
async def test_dispatch_agrees(
    autojump_clock, options, change, query, error, exclusions, draw
):
    """Guards against an explanation that a request does not follow."""
    probed, sent = set(), set()
    async with trio.open_nursery() as nursery:
        parts = await prepare(nursery, options, change)
        explanation = explain(parts, query)[1]
        parts.random = Random(draw)
        found = await dispatch(copy_parts(parts), query, probed, sent)
    assert found == explanation['error']
    candidates = {
        server['server']
        for service in explanation['services']
        for version in service['versions']
        for server in version['servers']
        if server['exclusion'] is None
    }
    assert probed <= candidates
    assert sent <= probed
    assert bool(sent) is (error is None)


def describe(parts):
    """Describe the whole state that decisions depend on."""
    state = parts.dispatch_state
    servers = [attrs.asdict(known) for known in parts.roster.servers.values()]
    return copy.deepcopy(
        (
            servers,
            repr(parts.reservations._demands),
            parts.reservations._summed_at,
            repr(parts.reservations.counts),
            repr(parts.facts),
            repr(parts.moves),
            repr(parts.orders.freshness),
            repr(parts.metrics.list_counts()),
            repr(state.cold_shares),
            repr(state.retry_budget._windows),
            parts.random.getstate(),
            parts.log_buffer,
        )
    )


@pytest.mark.parametrize(
    ('options', 'change', 'query'),
    [row[:3] for row in STATES.values()],
    ids=STATES,
)
async def test_nothing_changes(autojump_clock, options, change, query):
    """Guards against an explanation that affects later requests."""
    async with trio.open_nursery() as nursery:
        parts = await prepare(nursery, options, change)
        # Facts that are due for eviction, and absurd ones, stay unnoticed.
        parts.facts.update(make_facts('old'), NOW - 70)
        absurd = RankDemandFacts(
            service='records', rank=0, arrived=10**9, started=0, work=0
        )
        parts.facts.update(make_facts('odd', rank_demands=(absurd,)), NOW)
        before = describe(parts)
        assert explain(parts, query) == explain(parts, query)
        assert describe(parts) == before
        assert not nursery.child_tasks


@pytest.mark.parametrize(
    ('query', 'detail'),
    [
        ('path=/', 'host is missing'),
        ('host=x', 'path does not start with a slash'),
        ('host=x&path=/&key=k', 'unknown field'),
        ('host=x&host=y&path=/', 'more than once'),
        ('host=x&path=/&time_left_ms=nan', 'time_left_ms is not from 0'),
        ('host=x&path=/&time_left_ms=-1', 'time_left_ms is not from 0'),
        ('host=x&path=/&workspace=w', 'unknown workspace'),
    ],
)
async def test_bad_queries(autojump_clock, query, detail):
    """Guards against a guess where the question is not clear."""
    async with trio.open_nursery() as nursery:
        parts = await prepare(nursery, KEYED, None)
        status, body = explain(parts, query)
    assert status == 400
    assert detail in body['detail']


EXPLAIN = 'explain 10.0.0.7:1 http://shop.example'


@pytest.mark.parametrize(
    ('options', 'change', 'arguments', 'code', 'parts_of_text'),
    [
        ({}, None, '/racks/7', 0, ['records: 100.0 %', 'i-2', 'by probes']),
        (KEYED, None, '/racks/7', 1, ['the caller gets unauthorized']),
        (
            KEYED,
            None,
            '/racks/7 --workspace kaje80 --json',
            0,
            ['"verdict": "admitted"', '"rank": 3'],
        ),
        (
            {},
            None,
            '/racks/7 --time-left-ms x',
            2,
            ['--time-left-ms'],
        ),
        (KEYED, None, '/racks/7 --workspace w', 1, ["unknown workspace 'w'"]),
        ({}, None, '/else/', 1, ['the caller gets unknown_route']),
        ({}, httpx.ConnectError('no'), '/racks/7', 3, ['ConnectError']),
        ({}, b'# HELP x', '/racks/7', 3, ['no known answer']),
    ],
)
async def test_command(
    autojump_clock, monkeypatch, options, change, arguments, code, parts_of_text
):
    """Guards against a wrong exit code, and text without the decision."""
    async with trio.open_nursery() as nursery:
        parts = await prepare(nursery, options, None)
        text = QUERY.partition('&path')[0] + f'&path={arguments.split(" ")[0]}'
        if '--workspace' in arguments:
            text += f'&workspace={arguments.split(" ")[2]}'
        status, explanation = explain(parts, text)
        if status == 200:
            explanation = json.dumps(explanation).encode()
    responses = [change or explanation]
    found, _ = run(monkeypatch, EXPLAIN + arguments, responses)
    assert found.exit_code == code
    output = found.stdout + found.stderr
    assert [part for part in parts_of_text if part not in output] == []
    assert KEY.decode() not in output


@pytest.mark.processes
async def test_process(tmp_path):
    """Guards against wiring that hides the state, or the metrics page."""
    async with run_deployment(tmp_path) as deployment:
        await start(deployment, kaje80=[KEY.decode()])
        port = deployment.metrics_port
        status, body = await deployment.call(
            'm', path=f'/explain?{NAMED}', port=port
        )
        page = await deployment.call('m', path='/metrics', port=port)
        assert not any(
            server.received for server in deployment.servers.values()
        )
    explanation = json.loads(body)
    assert (status, explanation['error']) == (200, None)
    assert list_exclusions(explanation) == BOTH
    assert page[0] == 200
    assert 'ebonystream_' in page[1]
    assert KEY.decode() not in body


@pytest.mark.parametrize('url', ['/racks/7', 'http:///racks/7'])
def test_a_url_without_a_host_is_refused(monkeypatch, url):
    """Guards against an explanation of another request than the one meant."""
    found, requests = run(monkeypatch, f'explain 10.0.0.7:1 {url}', [])
    assert found.exit_code == 2
    assert 'no host name' in found.stdout + found.stderr
