"""A call with default values, for tests that do not depend on its content."""

from ebonystream.call import Call, CallKind


def make_call(customer='c', *, deadline):
    return Call(
        customer=customer,
        route='r',
        service='s',
        kind=CallKind.IDEMPOTENT,
        method='GET',
        target='/',
        headers=(),
        body=b'',
        deadline=deadline,
    )
