"""Test the output and exit codes of the commands."""

import json

import httpx
import pytest
from typer.testing import CliRunner

from ebonystream.cli import _client, _moves
from ebonystream.cli._app import app

MOVE = {'type': 'zone', 'id': 'm', 'zone': 'a', 'direction': 'out'}
RUNNING = {
    'move': MOVE,
    'state': 'running',
    'finished_ms': None,
    'late': False,
    'reason': 'host h3, 2 calls in flight',
}
FINISHED = {**RUNNING, 'state': 'finished', 'finished_ms': 7, 'reason': 'done'}
TAKEN_BACK = {**RUNNING, 'state': 'taken_back', 'reason': 'it fails'}
VERSION_REPORT = {
    **RUNNING,
    'move': {
        'type': 'version',
        'id': 'v',
        'service': 's',
        'from_version': 'v1',
        'to_version': 'v2',
    },
    'late': True,
}
RUNNING_LINE = 'm: zone a out: running: host h3, 2 calls in flight'
HOST = {
    'host': 'h1',
    'control_next': 3,
    'zones_in_flight': {'a': 2, 'b': 1},
    'unreachable_since_ms': None,
}
REFUSED = {
    'error': 'move_rejected',
    'outcome': 'not_run',
    'detail': 'zone a is out already',
    'advice': 'Read the current moves, then ask again.',
}
UNKNOWN_OUTCOME = {**REFUSED, 'error': 'log_unavailable', 'outcome': 'unknown'}
REFUSED_LINE = (
    'move_rejected: zone a is out already. '
    'Read the current moves, then ask again.\n'
)


def run(monkeypatch, command_line, responses):
    """Run a command with fake responses, of which the last one is repeated.

    Args:
        monkeypatch: The fixture.
        command_line: The arguments of the command.
        responses: JSON bodies, raw bodies, or exceptions to raise.

    Returns:
        The result of the command, and the requests that it sent.
    """
    remaining = list(responses)
    requests = []

    def respond(method, url, **options):
        requests.append((method, url, options['json'], options['headers']))
        response = remaining.pop(0) if len(remaining) > 1 else remaining[0]
        if isinstance(response, Exception):
            raise response
        if isinstance(response, bytes):
            return httpx.Response(200, content=response)
        status = 409 if 'error' in response else 200
        return httpx.Response(status, json=response)

    clock = iter(range(1000))
    monkeypatch.setattr(_client.httpx, 'request', respond)
    monkeypatch.setattr(_moves.time, 'sleep', lambda seconds: None)
    monkeypatch.setattr(_moves.time, 'monotonic', lambda: next(clock))
    return CliRunner().invoke(app, command_line.split(' ')), requests


@pytest.mark.parametrize(
    ('command_line', 'responses', 'exit_code', 'stdout', 'stderr'),
    [
        ('move zone-out a', [RUNNING], 0, f'{RUNNING_LINE}\n', ''),
        (
            'move zone-out a --json',
            [RUNNING],
            0,
            json.dumps(RUNNING) + '\n',
            '',
        ),
        ('move zone-out a', [REFUSED], 1, '', REFUSED_LINE),
        (
            'move zone-back a --id z',
            [UNKNOWN_OUTCOME],
            4,
            '',
            'log_unavailable' + REFUSED_LINE[13:-1] + ' (--id z)\n',
        ),
        (
            'move zone-out a',
            [httpx.ConnectError('no')],
            3,
            '',
            "http://127.0.0.1:7070: ConnectError('no')\n",
        ),
        (
            'move zone-out a --id z',
            [httpx.ReadTimeout('late')],
            4,
            '',
            "http://127.0.0.1:7070: ReadTimeout('late') (--id z)\n",
        ),
        (
            'move report m',
            [httpx.ReadTimeout('late')],
            3,
            '',
            "http://127.0.0.1:7070: ReadTimeout('late')\n",
        ),
        (
            'move report m',
            [b'<html>'],
            3,
            '',
            'http://127.0.0.1:7070: status 200, no known answer\n',
        ),
        (
            'move report v',
            [VERSION_REPORT],
            0,
            'v: s v1 to v2: running, late: host h3, 2 calls in flight\n',
            '',
        ),
        (
            'move report m',
            [FINISHED],
            0,
            'm: zone a out: finished at 7: done\n',
            '',
        ),
        (
            'move list',
            [{'moves': [RUNNING]}],
            0,
            'id  move        state    late  reason\n'
            'm   zone a out  running  no    host h3, 2 calls in flight\n',
            '',
        ),
        (
            'move watch m --json',
            [RUNNING, RUNNING, httpx.ConnectError('no'), FINISHED],
            0,
            json.dumps(FINISHED) + '\n',
            f'{RUNNING_LINE}\n'
            "http://127.0.0.1:7070: ConnectError('no')\n"
            'm: zone a out: finished at 7: done\n',
        ),
        (
            'move watch m',
            [TAKEN_BACK],
            5,
            'm: zone a out: taken_back: it fails\n',
            'm: zone a out: taken_back: it fails\n',
        ),
        (
            'move watch m --timeout 3',
            [RUNNING],
            6,
            f'{RUNNING_LINE}\n',
            f'{RUNNING_LINE}\n',
        ),
        ('move watch m', [REFUSED], 1, '', REFUSED_LINE),
        (
            'move watch m',
            [httpx.ConnectError('no')],
            3,
            '',
            "http://127.0.0.1:7070: ConnectError('no')\n",
        ),
        (
            'hosts',
            [{'hosts': [HOST]}],
            0,
            'host  control_next  in_flight  unreachable_since_ms\n'
            'h1    3             3          -\n',
            '',
        ),
        ('versions --json', [{'services': []}], 0, '{"services": []}\n', ''),
        (
            'move version s v1 v2 --finish-by +soon',
            [VERSION_REPORT],
            2,
            '',
            "--finish-by +soon: could not convert string to float: '+soon'\n",
        ),
        (
            'publish /nowhere/lists.json',
            [{}],
            2,
            '',
            '/nowhere/lists.json: No such file or directory\n',
        ),
        (
            'show --admin http://:x',
            [httpx.InvalidURL('bad')],
            3,
            '',
            "http://:x: InvalidURL('bad')\n",
        ),
    ],
    ids=lambda value: value if isinstance(value, str) else '',
)
def test_command(
    monkeypatch, command_line, responses, exit_code, stdout, stderr
):
    result, _ = run(monkeypatch, command_line, responses)
    assert (result.exit_code, result.stdout, result.stderr) == (
        exit_code,
        stdout,
        stderr,
    )


def test_sent_request(monkeypatch):
    command_line = (
        'move take-back m --reason why --id t --key é --admin http://h'
    )
    _, requests = run(monkeypatch, command_line, [TAKEN_BACK])
    assert requests == [
        (
            'POST',
            'http://h/v1/moves/m/take-back',
            {'id': 't', 'reason': 'why'},
            {b'authorization': 'Bearer é'.encode()},
        )
    ]
