"""Each fault in the settings is one line with its path; nothing starts."""

import copy
import json

import pytest
from typer.testing import CliRunner

from ebonystream.cli import _app

GOOD = {
    'host': {'id': 'h1', 'zone': 'a', 'address': '127.0.0.1'},
    'callers': {'address': '127.0.0.1', 'port': 8080},
    'peers': {'port': 8081, 'public_key': 'p' * 40, 'secret_key': 's' * 40},
    'admin': {'address': '127.0.0.1', 'port': 8082},
    'log': {'url': 'http://127.0.0.1:7000'},
    'host_list': {'url': 'http://127.0.0.1:7001'},
}
REMOVED = object()


def change(*changes):
    settings = copy.deepcopy(GOOD)
    for path, value in changes:
        *sections, name = path.split('.')
        place = settings
        for section in sections:
            place = place.setdefault(section, {})
        if value is REMOVED:
            place.pop(name)
        else:
            place[name] = value
    return json.dumps(settings).encode()


@pytest.mark.parametrize('command', ['check', 'run'])
@pytest.mark.parametrize(
    ('text', 'lines'),
    [
        (
            change(('callers.prot', 1)),
            ['$.callers.prot: Extra inputs are not permitted'],
        ),
        (change(('x\ny', 1)), [r'$.x\ny: Extra inputs are not permitted']),
        (
            change(('callers.port', '8080')),
            ['$.callers.port: Input should be a valid integer'],
        ),
        (
            change(('host.address', 'localhost')),
            ['$.host.address: value is not a valid IPv4 or IPv6 address'],
        ),
        (
            change(('log.url', '127.0.0.1:7000')),
            ["$.log.url: String should match pattern '^https?://[^/]+$'"],
        ),
        (
            change(('callers.idle_timeout_ms', '75s')),
            ['$.callers.idle_timeout_ms: Input should be a valid integer'],
        ),
        (
            change(('callers.idle_timeout_ms', 7.5)),
            ['$.callers.idle_timeout_ms: Input should be a valid integer'],
        ),
        (
            change(('callers.port', 65_536), ('log.retention_ms', 1000)),
            [
                '$.callers.port: Input should be less than or equal to 65535',
                '$.log.retention_ms: Input should be greater than or equal to '
                '60000',
            ],
        ),
        (
            change(('admin.address', '10.0.0.1')),
            [
                '$.admin: Value error, key is required where address is not '
                'loopback'
            ],
        ),
        (
            change(('peers.heartbeat_ms', 1000)),
            [
                '$.peers: Value error, unreachable_after_ms must be at least '
                'twice heartbeat_ms'
            ],
        ),
        (
            change(('log.retention_ms', 60_000)),
            [
                '$: Value error, log.retention_ms must be at least '
                'ownership.window_ms + '
            ],
        ),
        (
            change(('host', REMOVED), ('peers.port', REMOVED)),
            ['$.host: Field required', '$.peers.port: Field required'],
        ),
        (
            b'{',
            ['$: Invalid JSON: EOF while parsing an object at line 1 column 1'],
        ),
        (b'[]', ['$: Input should be an object']),
        (
            b'',
            ['$: Invalid JSON: EOF while parsing a value at line 1 column 0'],
        ),
        (None, ['$: {path}: No such file or directory']),
    ],
)
def test_fault(tmp_path, monkeypatch, command, text, lines):
    path = tmp_path / 'settings.json'
    if text is not None:
        path.write_bytes(text)
    monkeypatch.setattr(_app.trio, 'run', fail_to_start)
    ended = CliRunner().invoke(_app.app, [command, str(path)])
    assert ended.exit_code == 2, ended.exception
    assert ended.stdout == ''
    found = ended.stderr.splitlines()
    expected = [line.replace('{path}', str(path)) for line in lines]
    assert len(found) == len(expected)
    for line, start in zip(found, expected, strict=True):
        assert line.startswith(start)


def fail_to_start(*args):
    raise RuntimeError('something was started')


def test_good_settings(tmp_path):
    path = tmp_path / 'settings.json'
    path.write_bytes(change())
    ended = CliRunner().invoke(_app.app, ['check', str(path)])
    assert (ended.exit_code, ended.stderr) == (0, '')
