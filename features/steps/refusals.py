"""Steps for refusals."""

import msgspec
from behave import given, then, when

from ebonystream.call import make_error_response
from ebonystream.errors import EbonystreamError, ErrorKind


@given('the error "{kind}"')
def set_error(context, kind):
    context.error = EbonystreamError(ErrorKind(kind))


@when('a host that {owns} the key refuses the call')
def refuse_call(context, owns):
    context.answer = make_error_response(context.error, certain=owns == 'owns')


@then('the caller reads the outcome "{outcome}"')
def check_outcome(context, outcome):
    assert context.answer.outcome.value == outcome
    assert msgspec.json.decode(context.answer.body)['outcome'] == outcome
