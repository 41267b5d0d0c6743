"""Steps for entry hosts that refuse a call."""

import msgspec
from behave import given, then, when

from ebonystream.call import make_error_response
from ebonystream.errors import EbonystreamError, ErrorKind


@given('the error "{kind}"')
def set_error(context, kind):
    context.error = EbonystreamError(ErrorKind(kind))


@when('a host that {owns} the key refuses the call')
def refuse_call(context, owns):
    context.response = make_error_response(
        context.error, certain=owns == 'owns'
    )


@then('the caller gets the outcome "{outcome}"')
def check_outcome(context, outcome):
    assert context.response.outcome.value == outcome
    assert msgspec.json.decode(context.response.body)['outcome'] == outcome
