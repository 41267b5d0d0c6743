"""A call that tests send where little hangs on what it says."""

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
