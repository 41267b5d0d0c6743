"""The table of errors is whole, and refusals say what the table says."""

import msgspec
import pytest

from ebonystream.call import refuse
from ebonystream.errors import ANSWERS, EbonystreamError, ErrorKind


@pytest.mark.parametrize('kind', list(ErrorKind))
def test_each_kind_has_its_answer(kind):
    answer = refuse(EbonystreamError(kind, 'why'))
    body = msgspec.json.decode(answer.body)
    assert answer.status == ANSWERS[kind].status
    assert body['outcome'] == ANSWERS[kind].outcome.value
    assert body['error'] == kind.value
    assert body['detail'] == 'why'
