"""The pages agree with the code: their tables, and each example is run."""

import re
from http import HTTPStatus
from pathlib import Path
from random import Random

import msgspec
import pytest
import trio
import trio.testing
import typer
from control_records import LISTS
from test_admin_api import start

from ebonystream._timers import Timers
from ebonystream.admin._openapi import describe_api
from ebonystream.admin._operations import OPERATIONS
from ebonystream.backend import Attempt, AttemptKind, make_idempotent_run
from ebonystream.call import (
    CallKind,
    CallResponse,
    make_admit_request,
    make_handle_request,
)
from ebonystream.caller import serve_connection
from ebonystream.cli._app import app as cli
from ebonystream.cli._exit import ExitCode
from ebonystream.composition._gauges import DOCS
from ebonystream.configuration import PlanLists, make_plan_table
from ebonystream.entryhost._gauges import GAUGES
from ebonystream.entryhost._metrics import HostMetrics
from ebonystream.errors import ANSWERS, Outcome
from ebonystream.http1 import ReaderLimits
from ebonystream.ingress import ConnectionLimits, OpenConnections
from ebonystream.logservice import LogRecord
from ebonystream.observation import Metrics
from ebonystream.ownership import (
    SLICE_COUNT,
    Claim,
    KeyOwner,
    KeyTable,
    OwnershipTable,
    Span,
    make_handle_key_requests,
    make_issue_key,
    make_run_at_most_once,
    make_run_owned,
    parse_key,
)
from ebonystream.settings import Settings

ROOT = Path(__file__).parent.parent
PAGES = {path.name: path.read_text() for path in (ROOT / 'docs').glob('*.md')}
REFERENCE, OPERATIONS_PAGE = PAGES['REFERENCE.md'], PAGES['OPERATIONS.md']
NOW = 1_800_000_000_000
UNITS = {'_ms': 'ms', '_bytes': 'bytes', '_per_second': '1/s'}
LIMITS = ConnectionLimits(
    message=ReaderLimits(head_bytes=999, body_bytes=99),
    receive_timeout=1,
    idle_timeout=1,
)
BOOKING = {
    **LISTS['plans'][0]['routes'][0],
    'route': 'book',
    'method': 'POST',
    'path_prefix': '/bookings',
    'once': True,
}
ROUTES = [*LISTS['plans'][0]['routes'], BOOKING]
PLANS = make_plan_table(
    PlanLists.model_validate(
        {**LISTS, 'plans': [{**LISTS['plans'][0], 'routes': ROUTES}]}
    )
)


def list_rows(page, heading):
    """Give the cells of the table that begins with a heading."""
    table = page.partition(f'| {heading} |')[2].partition('\n\n')[0]
    lines = table.split('\n')[2:]
    return [[cell.strip() for cell in line.split(' | ')] for line in lines]


def list_settings():
    schema = Settings.model_json_schema()
    for name, section in schema['properties'].items():
        shape = section.get('$ref') or section['allOf'][0]['$ref']
        fields = schema['$defs'][shape.split('/')[-1]]['properties']
        for field, rules in fields.items():
            yield f'{name}.{field}', rules


def spell_range(rules):
    rules = rules.get('anyOf', [rules])[0]
    if rules.get('type') == 'boolean':
        return 'true or false'
    if 'enum' in rules:
        return ', '.join(f'`{one}`' for one in rules['enum'])
    if 'exclusiveMinimum' in rules:
        return f'above {rules["exclusiveMinimum"]} to {rules["maximum"]}'
    if 'minimum' in rules:
        return f'{rules["minimum"]} to {rules.get("maximum", "")}'.strip()
    if 'minLength' in rules:
        bounds = sorted({rules['minLength'], rules['maxLength']})
        return f'{" to ".join(map(str, bounds))} letters'
    return f'`{rules["pattern"]}`' if 'pattern' in rules else 'IP number'


def spell_default(rules):
    if 'default' not in rules:
        return 'required'
    default = rules['default']
    return 'none' if default is None else str(default).lower()


def test_each_error_is_in_the_table():
    told = [
        (name, status, outcome, advice.removesuffix(' |'))
        for name, status, outcome, _, advice in (
            [row[0].removeprefix('| '), *row[1:]]
            for row in list_rows(REFERENCE, 'error')
        )
    ]
    assert told == [
        (
            f'`{kind.value}`',
            f'{answer.status:d}',
            f'`{answer.outcome.value}`',
            answer.advice,
        )
        for kind, answer in ANSWERS.items()
    ]


def test_each_setting_is_in_the_table():
    told = [
        (row[0].removeprefix('| '), *row[1:4])
        for row in list_rows(OPERATIONS_PAGE, 'setting')
    ]
    assert told == [
        (
            f'`{name}`',
            next((UNITS[end] for end in UNITS if name.endswith(end)), ''),
            spell_default(rules),
            spell_range(rules),
        )
        for name, rules in list_settings()
    ]


def list_fields(shape, prefix=''):
    """Give the fields of the two lists, by the path that leads to them."""
    schema = PlanLists.model_json_schema()
    for name, rules in shape['properties'].items():
        target = rules.get('items', rules).get('$ref', '').split('/')[-1]
        found = schema['$defs'].get(target, rules)
        if 'properties' in found:
            yield from list_fields(found, f'{prefix}{name}[].')
        else:
            yield f'{prefix}{name}', found


def test_each_field_of_the_lists_is_in_the_table():
    told = [
        (row[0].removeprefix('| '), *row[1:3])
        for row in list_rows(REFERENCE, 'field')
    ]
    assert told == [
        (f'`{name}`', spell_default(rules), spell_range(rules))
        for name, rules in list_fields(PlanLists.model_json_schema())
    ]


def list_commands(group, prefix):
    for name, command in group.commands.items():
        if hasattr(command, 'commands'):
            yield from list_commands(command, f'{prefix}{name} ')
        else:
            yield f'{prefix}{name}'


def list_named(page, heading):
    """Give what the first column of a table names."""
    cells = (row[0] for row in list_rows(page, heading))
    return {name for cell in cells for name in re.findall('`([^`]+)`', cell)}


COMMANDS = set(list_commands(typer.main.get_command(cli), ''))


def list_names(page):
    """Give the names of the metrics of a page."""
    return {metric.name for metric in page.registry.get_all()}


METRICS = list_names(Metrics().page) | set(DOCS)
HOST_METRICS = set(GAUGES) | {
    counted.name
    for counted in (
        *HostMetrics().list_counts(),
        *HostMetrics().list_latencies(),
    )
}
PATHS = {
    f'{method.upper()} {path}'
    for path, methods in describe_api(OPERATIONS)['paths'].items()
    for method in methods
}


@pytest.mark.parametrize(
    ('page', 'heading', 'names'),
    [
        (OPERATIONS_PAGE, 'metric', METRICS),
        (OPERATIONS_PAGE, 'figure', HOST_METRICS),
        (REFERENCE, 'request', PATHS),
    ],
)
def test_each_is_named(page, heading, names):
    assert list_named(page, heading) == names


def test_each_command_is_named():
    told = list_named(OPERATIONS_PAGE, 'command')
    spelled = {line.removeprefix('ebonystream ') for line in told}
    assert {re.split(' [A-Z[-]', line)[0] for line in spelled} == COMMANDS


def test_each_exit_code_is_named():
    told = [row[0] for row in list_rows(OPERATIONS_PAGE, 'code')]
    assert told == [f'| {code:d}' for code in ExitCode]


GUIDES = ('GLOSSARY', 'TUTORIAL', 'HOWTO', 'REFERENCE', 'OPERATIONS')
LINKS = [
    (page, link)
    for page in (
        ROOT / 'README.md',
        *(ROOT / 'docs' / f'{name}.md' for name in GUIDES),
    )
    for link in re.findall(r'\]\(([^)#:]+)', page.read_text())
]


@pytest.mark.parametrize(
    ('page', 'link'), LINKS, ids=[f'{page.name}: {to}' for page, to in LINKS]
)
def test_links_lead_somewhere(page, link):
    assert (page.parent / link).exists()


def list_examples(begin, end):
    """Give the requests and answers of a part of the reference."""
    part = REFERENCE.partition(begin)[2].partition(end)[0]
    blocks = re.findall('```http\n(.*?)```', part, re.DOTALL)
    return [split(block) for block in blocks]


def split(block):
    head, _, body = block.rstrip('\n').partition('\n\n')
    first, *fields = head.split('\n')
    return first, set(map(lower_name, fields)), body


def lower_name(field):
    name, _, value = field.partition(': ')
    return f'{name.lower()}: {value}'


def check(told, found):
    """Compare an example's answer with the one that came."""
    assert told[0] == found[0]
    assert told[1] <= found[1]
    if not told[2].startswith('{'):
        assert told[2] == found[2]
        return
    body = msgspec.json.decode(found[2])
    expected = msgspec.json.decode(told[2])
    assert expected == {name: body.get(name) for name in expected}


def make_serve(nursery):
    """Make what answers callers, on a backend server that counts."""
    ran = []

    async def dispatch(call, tried):
        ran.append(call)
        bookings = [one for one in ran if one.kind is CallKind.AT_MOST_ONCE]
        once = call.kind is CallKind.AT_MOST_ONCE
        body = f'booking {len(bookings)}' if once else 'a rack'
        served = ((b'x-served-by', b's1'),)
        answer = CallResponse(
            outcome=Outcome.RAN, status=200, headers=served, body=body.encode()
        )
        return Attempt(AttemptKind.ANSWERED, answer)

    timers = Timers(epoch_offset=NOW / 1000)
    grants = OwnershipTable(retention_ms=1000)
    spans = tuple(Span(n, NOW - 1000, NOW + 9000) for n in range(SLICE_COUNT))
    claim = msgspec.json.encode(Claim('me', spans))
    grants.fold(LogRecord(0, NOW, claim))
    owner = KeyOwner(
        incarnation='me',
        ownership=grants,
        key_table=KeyTable(max_bytes=9999),
        dispatch=dispatch,
        timers=timers,
        nursery=nursery,
    )
    run_apart = make_idempotent_run(
        dispatch=dispatch,
        timers=timers,
        get_max_retries=lambda call: 0,
        try_acquire_retry=lambda: False,
    )

    async def run(call):
        return await run_apart(call, set())

    runs = {
        CallKind.IDEMPOTENT: run,
        CallKind.AT_MOST_ONCE: make_run_at_most_once(
            owner=owner, run_owned=make_run_owned(owner), forward=None
        ),
    }
    admit = make_admit_request(get_plans=lambda: PLANS, parse_key=parse_key)
    return make_handle_key_requests(
        handle_request=make_handle_request(admit=admit, runs=runs),
        issue_key=make_issue_key(owner=owner, random=Random(0)),
        owner=owner,
    )


async def test_examples_of_callers(autojump_clock):
    examples = list_examples('## Calls', '## Errors')
    assert len(examples) == 12
    ours, theirs = trio.testing.memory_stream_pair()
    async with trio.open_nursery() as nursery:
        serve = make_serve(nursery)

        async def answer():
            await serve_connection(
                theirs,
                handle_request=serve,
                limits=LIMITS,
                timers=Timers(epoch_offset=NOW / 1000),
                connections=OpenConnections(),
            )

        nursery.start_soon(answer)
        for sent, told in zip(examples[::2], examples[1::2], strict=True):
            lines = '\r\n'.join((sent[0], *sent[1], '', ''))
            await ours.send_all(lines.encode())
            await trio.sleep(0.1)
            came = (await ours.receive_some()).decode()
            check(told, split(came.replace('\r\n', '\n')))
        await ours.send_eof()


async def test_examples_of_operators(autojump_clock, monkeypatch):
    monkeypatch.setattr('test_admin_api.KEY', 'sixteen-letters')
    examples = list_examples('## Administration API', '## Settings')
    assert len(examples) == 10
    app, _ = await start()
    client = app.test_client()
    for sent, told in zip(examples[::2], examples[1::2], strict=True):
        method, path, _ = sent[0].split(' ')
        headers = dict(field.split(': ') for field in sent[1])
        answer = await client.open(
            path, method=method, data=sent[2].encode(), headers=headers
        )
        status = HTTPStatus(answer.status_code)
        line = f'HTTP/1.1 {status:d} {status.phrase}'
        check(told, (line, set(), await answer.get_data(as_text=True)))
