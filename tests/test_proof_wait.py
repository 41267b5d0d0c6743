"""Requests that arrive at a host which stood still.

Guards against a request that is routed by orders that were replaced while the
host stood still, as it asks for newer ones only afterwards (CONFIG).
"""

from types import SimpleNamespace

import pytest
import trio
import trio.lowlevel
from test_gossip import make_listing

from ebonystream._timers import Timers
from ebonystream.entryhost._proof_wait import ProofWait, make_proof_wait
from ebonystream.orders import Orders

APPLY_S, MAX_WAIT_S = 2.0, 0.3


@pytest.mark.parametrize(
    ('checks', 'waits'),
    [
        # Time of each check, whether the orders are proven then.
        ([(0, True), (5, True)], [False, False]),
        ([(5, False), (5.2, False), (5.31, False)], [True, True, False]),
        ([(5, False), (5.1, True)], [True, False]),
        # In an outage of the store requests wait once in a while.
        ([(5, False), (9, False), (14.9, False)], [True, False, False]),
        ([(5, False), (15, False)], [True, True]),
        ([(5, False), (6, True), (8, False)], [True, False, False]),
    ],
)
def test_time_in_which_requests_wait(checks, waits):
    wait = ProofWait()
    found = [wait.must_wait(at, is_proven=proven) for at, proven in checks]
    assert found == waits


@pytest.mark.parametrize(
    ('stood_still_s', 'proven_after_s', 'waited_s'),
    [(1.9, 9, 0), (30, 0.1, 0.1), (30, 9, MAX_WAIT_S), (30, 0, 0)],
)
async def test_requests_wait_for_a_proof(
    autojump_clock, stood_still_s, proven_after_s, waited_s
):
    limits = SimpleNamespace(revoke=None, apply_time=APPLY_S)
    host = SimpleNamespace(
        orders=Orders(),
        timers=Timers(epoch_offset=0, boot_clock=trio.current_time),
        settings=SimpleNamespace(limits=limits),
    )
    host.orders.update(make_listing(), 0.0)

    async def prove(after_s):
        await trio.sleep(after_s)
        host.orders.confirm_newest(host.orders.position, host.timers.boot_now())

    await prove(0)
    await trio.sleep(stood_still_s)
    wait_for_proof = make_proof_wait(host)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(prove, proven_after_s)
        await trio.lowlevel.checkpoint()
        await trio.testing.wait_all_tasks_blocked()
        resumed_at = trio.current_time()
        for expected_s in (waited_s, 0):
            started_at = trio.current_time()
            await wait_for_proof()
            waited = trio.current_time() - started_at
            assert waited == pytest.approx(expected_s, abs=0.015)
        assert trio.current_time() - resumed_at <= MAX_WAIT_S + 0.015
        nursery.cancel_scope.cancel()
