"""Forwarded calls are validated before they run."""

import msgspec
import pytest
import trio

from ebonystream._timers import Timers
from ebonystream.call import CallResponse
from ebonystream.errors import EbonystreamError, ErrorKind, Outcome
from ebonystream.ownership import get_timestamp, make_handle_forwarded_call
from ebonystream.ownership._forwarding import decode_forwarded_response
from ebonystream.peer import ForwardedCall, ForwardedResponse

KEY = '01890a5d-ac96-774b-bcce-b302099a8057'
CALL = ForwardedCall(0, 'b1', 'c', 'r', 's', 'GET', '/', (), b'body', 9, KEY)


async def run_owned(call):
    return CallResponse(
        outcome=Outcome.RAN,
        status=200,
        headers=(),
        body=str(get_timestamp(call.key)).encode(),
    )


@pytest.mark.parametrize(
    ('key', 'body'),
    [
        (KEY, b'1688096058518'),
        (KEY.upper(), b'1688096058518'),
        ('', None),
        ('x', None),
        ('\u20ac' * 36, None),
        ('01890a5d-ac96-474b-bcce-b302099a8057', None),
    ],
)
async def test_key_of_forwarded_call(key, body):
    """A malformed key raises the error that the exchange handles.

    Any other exception would terminate the host.
    """
    handle = make_handle_forwarded_call(run_owned=run_owned, timers=Timers(0))
    request = msgspec.structs.replace(CALL, key=key)
    if body is not None:
        assert (await handle('a', request)).body == body
        return
    with pytest.raises(EbonystreamError) as caught:
        await handle('a', request)
    assert caught.value.kind is ErrorKind.KEY_MALFORMED
    await trio.lowlevel.checkpoint()


@pytest.mark.parametrize(
    ('status', 'is_valid'),
    [(200, True), (599, True), (0, False), (199, False), (600, False)],
)
def test_status_of_a_forwarded_response(status, is_valid):
    """Guards against the invalid status of an owner of an earlier version."""
    response = ForwardedResponse(0, 'ran', status, (), b'')
    if is_valid:
        assert decode_forwarded_response(response).status == status
        return
    with pytest.raises(EbonystreamError) as caught:
        decode_forwarded_response(response)
    assert caught.value.kind is ErrorKind.OUTCOME_LOST
