"""Calls: requests of customers, their admission, and their responses."""

from ebonystream._calls import CallKind, Header, Headers
from ebonystream.call._admission import (
    AT_MOST_ONCE_GRACE_PERIOD,
    AdmitRequest,
    ParseKey,
    make_admit_request,
)
from ebonystream.call._call import Call, CallResponse
from ebonystream.call._error_response import make_error_response
from ebonystream.call._handler import (
    HandleRequest,
    RunCall,
    make_handle_request,
)
from ebonystream.call._request import (
    CUSTOMER_HEADER,
    KEY_HEADER,
    TIMEOUT_HEADER,
    CallRequest,
)

__all__ = (
    'CUSTOMER_HEADER',
    'KEY_HEADER',
    'AT_MOST_ONCE_GRACE_PERIOD',
    'TIMEOUT_HEADER',
    'AdmitRequest',
    'CallResponse',
    'Call',
    'CallKind',
    'Header',
    'Headers',
    'ParseKey',
    'CallRequest',
    'RunCall',
    'HandleRequest',
    'make_admit_request',
    'make_handle_request',
    'make_error_response',
)
