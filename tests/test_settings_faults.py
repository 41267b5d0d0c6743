"""Test that each fault in the settings is printed and that nothing starts."""

import copy
import json

import pytest
from typer.testing import CliRunner

from ebonystream.cli import _app

VALID_SETTINGS = {
    'host': {'id': 'h1', 'zone': 'a', 'address': '127.0.0.1'},
    'callers': {'address': '127.0.0.1', 'port': 8080},
    'peers': {'port': 8081, 'public_key': 'p' * 40, 'secret_key': 's' * 40},
    'admin': {'address': '127.0.0.1', 'port': 8082},
    'log': {'url': 'http://127.0.0.1:7000'},
    'host_list': {'url': 'http://127.0.0.1:7001'},
}
REMOVED = object()


def make_settings(*changes):
    settings = copy.deepcopy(VALID_SETTINGS)
    for path, value in changes:
        *sections, name = path.split('.')
        target = settings
        for section in sections:
            target = target.setdefault(section, {})
        if value is REMOVED:
            target.pop(name)
        else:
            target[name] = value
    return json.dumps(settings).encode()


@pytest.mark.parametrize('command', ['check', 'run'])
@pytest.mark.parametrize(
    ('content', 'lines'),
    [
        (
            make_settings(('callers.prot', 1)),
            ['$.callers.prot: Extra inputs are not permitted'],
        ),
        (
            make_settings(('x\ny', 1)),
            [r'$.x\ny: Extra inputs are not permitted'],
        ),
        (
            make_settings(('callers.port', '8080')),
            ['$.callers.port: Input should be a valid integer'],
        ),
        (
            make_settings(('host.address', 'localhost')),
            ['$.host.address: value is not a valid IPv4 or IPv6 address'],
        ),
        (
            make_settings(('log.url', '127.0.0.1:7000')),
            ["$.log.url: String should match pattern '^https?://[^/]+$'"],
        ),
        (
            make_settings(('callers.idle_timeout_ms', '75s')),
            ['$.callers.idle_timeout_ms: Input should be a valid integer'],
        ),
        (
            make_settings(('callers.idle_timeout_ms', 7.5)),
            ['$.callers.idle_timeout_ms: Input should be a valid integer'],
        ),
        (
            make_settings(('callers.port', 65_536), ('log.retention_ms', 1000)),
            [
                '$.callers.port: Input should be less than or equal to 65535',
                '$.log.retention_ms: Input should be greater than or equal to '
                '60000',
            ],
        ),
        (
            make_settings(('admin.address', '10.0.0.1')),
            [
                '$.admin: Value error, key is required where address is not '
                'loopback'
            ],
        ),
        (
            make_settings(('peers.heartbeat_ms', 1000)),
            [
                '$.peers: Value error, unreachable_after_ms must be at least '
                'twice heartbeat_ms'
            ],
        ),
        (
            make_settings(('log.retention_ms', 60_000)),
            [
                '$: Value error, log.retention_ms must be at least '
                'ownership.window_ms + '
            ],
        ),
        (
            make_settings(('host', REMOVED), ('peers.port', REMOVED)),
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
def test_faults_are_printed(tmp_path, monkeypatch, command, content, lines):
    path = tmp_path / 'settings.json'
    if content is not None:
        path.write_bytes(content)
    monkeypatch.setattr(_app.trio, 'run', fail_to_start)
    result = CliRunner().invoke(_app.app, [command, str(path)])
    assert result.exit_code == 2, result.exception
    assert result.stdout == ''
    printed = result.stderr.splitlines()
    expected = [line.replace('{path}', str(path)) for line in lines]
    assert len(printed) == len(expected)
    for line, start in zip(printed, expected, strict=True):
        assert line.startswith(start)


def fail_to_start(*args):
    raise RuntimeError('something was started')


def test_valid_settings(tmp_path):
    path = tmp_path / 'settings.json'
    path.write_bytes(make_settings())
    result = CliRunner().invoke(_app.app, ['check', str(path)])
    assert (result.exit_code, result.stderr) == (0, '')
