"""Error responses match the table of errors, which covers every kind."""

import msgspec
import pytest

from ebonystream.call import make_error_response
from ebonystream.errors import ANSWERS, EbonystreamError, ErrorKind


@pytest.mark.parametrize('kind', list(ErrorKind))
def test_error_response_matches_table(kind):
    response = make_error_response(EbonystreamError(kind, 'cause'))
    body = msgspec.json.decode(response.body)
    assert response.status == ANSWERS[kind].status
    assert body['outcome'] == ANSWERS[kind].outcome.value
    assert body['error'] == kind.value
    assert body['detail'] == 'cause'
