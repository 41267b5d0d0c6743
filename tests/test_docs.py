"""Compare the tables and examples of the documentation with the code."""

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
from ebonystream.composition._gauges import GAUGE_HELP_TEXTS
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
NOW_MS = 1_800_000_000_000
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
    """Return the cells of the table whose first heading is given."""
    table = page.partition(f'| {heading} |')[2].partition('\n\n')[0]
    lines = table.split('\n')[2:]
    return [[cell.strip() for cell in line.split(' | ')] for line in lines]


def list_settings():
    schema = Settings.model_json_schema()
    for name, section in schema['properties'].items():
        reference = section.get('$ref') or section['allOf'][0]['$ref']
        fields = schema['$defs'][reference.split('/')[-1]]['properties']
        for field, rules in fields.items():
            yield f'{name}.{field}', rules


def format_range(rules):
    rules = rules.get('anyOf', [rules])[0]
    if rules.get('type') == 'boolean':
        return 'true or false'
    if 'enum' in rules:
        return ', '.join(f'`{value}`' for value in rules['enum'])
    if 'exclusiveMinimum' in rules:
        return f'above {rules["exclusiveMinimum"]} to {rules["maximum"]}'
    if 'minimum' in rules:
        return f'{rules["minimum"]} to {rules.get("maximum", "")}'.strip()
    if 'minLength' in rules:
        bounds = sorted({rules['minLength'], rules['maxLength']})
        return f'{" to ".join(map(str, bounds))} letters'
    return f'`{rules["pattern"]}`' if 'pattern' in rules else 'IP number'


def format_default(rules):
    if 'default' not in rules:
        return 'required'
    default = rules['default']
    return 'none' if default is None else str(default).lower()


def test_table_lists_every_error():
    documented = [
        (name, status, outcome, advice.removesuffix(' |'))
        for name, status, outcome, _, advice in (
            [row[0].removeprefix('| '), *row[1:]]
            for row in list_rows(REFERENCE, 'error')
        )
    ]
    assert documented == [
        (
            f'`{kind.value}`',
            f'{answer.status:d}',
            f'`{answer.outcome.value}`',
            answer.advice,
        )
        for kind, answer in ANSWERS.items()
    ]


def test_table_lists_every_setting():
    documented = [
        (row[0].removeprefix('| '), *row[1:4])
        for row in list_rows(OPERATIONS_PAGE, 'setting')
    ]
    assert documented == [
        (
            f'`{name}`',
            next((UNITS[unit] for unit in UNITS if name.endswith(unit)), ''),
            format_default(rules),
            format_range(rules),
        )
        for name, rules in list_settings()
    ]


def list_fields(schema, prefix=''):
    """Yield the path and the schema of each field of the two lists."""
    definitions = PlanLists.model_json_schema()['$defs']
    for name, rules in schema['properties'].items():
        target = rules.get('items', rules).get('$ref', '').split('/')[-1]
        field = definitions.get(target, rules)
        if 'properties' in field:
            yield from list_fields(field, f'{prefix}{name}[].')
        else:
            yield f'{prefix}{name}', field


def test_table_lists_every_field_of_the_lists():
    documented = [
        (row[0].removeprefix('| '), *row[1:3])
        for row in list_rows(REFERENCE, 'field')
    ]
    assert documented == [
        (f'`{name}`', format_default(rules), format_range(rules))
        for name, rules in list_fields(PlanLists.model_json_schema())
    ]


def list_commands(group, prefix):
    for name, command in group.commands.items():
        if hasattr(command, 'commands'):
            yield from list_commands(command, f'{prefix}{name} ')
        else:
            yield f'{prefix}{name}'


def list_first_column(page, heading):
    """Return every text in backquotes in the first column of a table."""
    cells = (row[0] for row in list_rows(page, heading))
    return {name for cell in cells for name in re.findall('`([^`]+)`', cell)}


COMMANDS = set(list_commands(typer.main.get_command(cli), ''))


def list_metrics(page):
    """Return the names of the metrics of a metrics page."""
    return {metric.name for metric in page.registry.get_all()}


METRICS = list_metrics(Metrics().page) | set(GAUGE_HELP_TEXTS)
HOST_METRICS = set(GAUGES) | {
    metric.name
    for metric in (
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
def test_table_lists_every_name(page, heading, names):
    assert list_first_column(page, heading) == names


def test_table_lists_every_command():
    usages = list_first_column(OPERATIONS_PAGE, 'command')
    commands = {usage.removeprefix('ebonystream ') for usage in usages}
    names = {re.split(' [A-Z[-]', command)[0] for command in commands}
    assert names == COMMANDS


def test_table_lists_every_exit_code():
    documented = [row[0] for row in list_rows(OPERATIONS_PAGE, 'code')]
    assert documented == [f'| {code:d}' for code in ExitCode]


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
def test_link_targets_exist(page, link):
    assert (page.parent / link).exists()


def list_examples(begin, end):
    """Return the requests and responses in a part of the reference."""
    part = REFERENCE.partition(begin)[2].partition(end)[0]
    blocks = re.findall('```http\n(.*?)```', part, re.DOTALL)
    return [parse_message(block) for block in blocks]


def parse_message(block):
    head, _, body = block.rstrip('\n').partition('\n\n')
    first_line, *headers = head.split('\n')
    return first_line, set(map(lower_name, headers)), body


def lower_name(header):
    name, _, value = header.partition(': ')
    return f'{name.lower()}: {value}'


def assert_response(received, documented):
    """Assert that a received response agrees with the documented one.

    The first lines are equal, and so are bodies that are not JSON. Headers and
    JSON fields may be present that the documentation leaves out.
    """
    first_line, headers, body = documented
    assert received[0] == first_line
    assert headers <= received[1]
    if not body.startswith('{'):
        assert received[2] == body
        return
    fields = msgspec.json.decode(received[2])
    expected = msgspec.json.decode(body)
    assert expected == {name: fields.get(name) for name in expected}


def make_request_handler(nursery):
    """Make a request handler whose backend server counts bookings."""
    executed_calls = []

    async def dispatch(call, tried):
        executed_calls.append(call)
        bookings = [
            executed
            for executed in executed_calls
            if executed.kind is CallKind.AT_MOST_ONCE
        ]
        once = call.kind is CallKind.AT_MOST_ONCE
        body = f'booking {len(bookings)}' if once else 'a rack'
        headers = ((b'x-served-by', b's1'),)
        response = CallResponse(
            outcome=Outcome.RAN,
            status=200,
            headers=headers,
            body=body.encode(),
        )
        return Attempt(AttemptKind.ANSWERED, response)

    timers = Timers(epoch_offset=NOW_MS / 1000)
    ownership_table = OwnershipTable(retention_ms=1000)
    spans = tuple(
        Span(n, NOW_MS - 1000, NOW_MS + 9000) for n in range(SLICE_COUNT)
    )
    claim = msgspec.json.encode(Claim('me', spans))
    ownership_table.fold(LogRecord(0, NOW_MS, claim))
    owner = KeyOwner(
        incarnation='me',
        ownership=ownership_table,
        key_table=KeyTable(max_bytes=9999),
        dispatch=dispatch,
        timers=timers,
        nursery=nursery,
    )
    run_idempotent = make_idempotent_run(
        dispatch=dispatch,
        timers=timers,
        get_max_retries=lambda call: 0,
        try_acquire_retry=lambda: False,
    )

    async def run(call):
        return await run_idempotent(call, set())

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
    client_stream, server_stream = trio.testing.memory_stream_pair()
    async with trio.open_nursery() as nursery:
        handle_request = make_request_handler(nursery)

        async def serve():
            await serve_connection(
                server_stream,
                handle_request=handle_request,
                limits=LIMITS,
                timers=Timers(epoch_offset=NOW_MS / 1000),
                connections=OpenConnections(),
            )

        nursery.start_soon(serve)
        pairs = zip(examples[::2], examples[1::2], strict=True)
        for request, documented in pairs:
            lines = '\r\n'.join((request[0], *request[1], '', ''))
            await client_stream.send_all(lines.encode())
            await trio.sleep(0.1)
            response = (await client_stream.receive_some()).decode()
            received = parse_message(response.replace('\r\n', '\n'))
            assert_response(received, documented)
        await client_stream.send_eof()


async def test_examples_of_operators(autojump_clock, monkeypatch):
    monkeypatch.setattr('test_admin_api.KEY', 'sixteen-letters')
    examples = list_examples('## Administration API', '## Settings')
    assert len(examples) == 10
    app, _ = await start()
    client = app.test_client()
    for request, documented in zip(examples[::2], examples[1::2], strict=True):
        method, path, _ = request[0].split(' ')
        headers = dict(header.split(': ') for header in request[1])
        response = await client.open(
            path, method=method, data=request[2].encode(), headers=headers
        )
        status = HTTPStatus(response.status_code)
        first_line = f'HTTP/1.1 {status:d} {status.phrase}'
        body = await response.get_data(as_text=True)
        assert_response((first_line, set(), body), documented)
