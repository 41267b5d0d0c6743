"""Calls: requests of customers, their admission, and their responses."""

from ebonystream._calls import CallKind, Header, Headers
from ebonystream.call._admission import (
    ONCE_PATIENCE,
    Admit,
    ParseKey,
    make_admission,
)
from ebonystream.call._call import Answer, Call
from ebonystream.call._received import (
    CUSTOMER_HEADER,
    KEY_HEADER,
    TIMEOUT_HEADER,
    Received,
)
from ebonystream.call._refusal import refuse
from ebonystream.call._serving import Run, Serve, make_serving

__all__ = (
    'CUSTOMER_HEADER',
    'KEY_HEADER',
    'ONCE_PATIENCE',
    'TIMEOUT_HEADER',
    'Admit',
    'Answer',
    'Call',
    'CallKind',
    'Header',
    'Headers',
    'ParseKey',
    'Received',
    'Run',
    'Serve',
    'make_admission',
    'make_serving',
    'refuse',
)
