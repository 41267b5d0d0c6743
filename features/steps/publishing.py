"""Steps for operators who publish the lists of customers and plans."""

import msgspec
from behave import given, then, when

from ebonystream.configuration import ControlReplica, Publish
from ebonystream.logservice import LogRecord

LISTS = {'customers': [], 'plans': []}


def publish(context, request, based_on):
    body = msgspec.json.encode(Publish(request, based_on, LISTS))
    offset = context.control.next_offset
    context.control.fold(LogRecord(offset=offset, at_ms=1 + offset, body=body))


@given('version {version:d} of the lists is in force')
def set_version(context, version):
    context.control = ControlReplica()
    for based_on in range(version):
        publish(context, f'earlier {based_on}', based_on)


@when('{operator} publishes based on version {version:d}')
def publish_lists(context, operator, version):
    publish(context, operator, version)


@then('version {version:d} of the lists is in force')
def check_version(context, version):
    assert context.control.version == version


@then('the rejected publishes are "{operators}"')
def check_rejections(context, operators):
    check_rejected(context, operators.split())


@then('the rejected publishes are ""')
def check_no_rejections(context):
    check_rejected(context, [])


def check_rejected(context, operators):
    decisions = context.control.folded_state.decisions.by_request
    rejected = [
        operator
        for operator, decision in decisions.items()
        if not decision.accepted
    ]
    assert sorted(rejected) == operators, rejected
