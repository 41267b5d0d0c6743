"""Hedged requests of a real entry host, with its servers on loopback."""

import os
import subprocess
import sys

import pytest
import trio
from test_entry_host import PROGRAM, configure_and_wait, run_deployment

WARM_UP_REQUESTS = 25


@pytest.mark.parametrize(
    ('ratio', 'hedged'),
    [('1', True), ('0', False)],
)
async def test_a_late_request_is_answered_by_another_server(
    tmp_path, monkeypatch, ratio, hedged
):
    monkeypatch.setenv('EBONYSTREAM_HEDGE_RATIO', ratio)
    async with run_deployment(tmp_path) as deployment:
        await configure_and_wait(deployment)
        for number in range(WARM_UP_REQUESTS):
            await deployment.call(f'w{number}')
        # The server does not report that it is slow.
        deployment.servers['i-1'].work_s = 0.9
        for number in range(8):
            status, _ = await deployment.call(f's{number}')
            assert status == 200
        # Log lines are written by a task of their own.
        await trio.sleep(0.3)
        lines = deployment.read_log()
    won = {
        line['id']
        for line in lines
        if line['message_type'] == 'hedge_ended' and line['ended'] == 'won'
    }
    abandoned = {
        line['id']
        for line in lines
        if line['message_type'] == 'attempt' and line['ended'] == 'abandoned'
    }
    assert bool(won) is hedged
    assert abandoned == won


def test_an_invalid_setting_ends_the_start(tmp_path):
    """Guards against a host that starts without what operators asked for."""
    result = subprocess.run(
        [sys.executable, str(PROGRAM)],
        env={
            **os.environ,
            'EBONYSTREAM_SETTINGS': str(tmp_path / 'none.json'),
            'EBONYSTREAM_HEDGE_RATIO': '5%',
        },
        capture_output=True,
        timeout=30,
        check=False,
    )
    assert result.returncode
    assert b'EBONYSTREAM_HEDGE_RATIO is not from 0 to 1' in result.stderr
