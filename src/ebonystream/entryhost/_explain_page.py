"""Response to a request for an explanation on the metrics listener."""

import msgspec

from ebonystream.entryhost._explaining import explain_request
from ebonystream.entryhost._parts import HostParts
from ebonystream.errors import ANSWERS, ErrorKind
from ebonystream.explanation import encode_explanation, parse_query
from ebonystream.http1 import Message, encode_response
from ebonystream.ingress import EncodedResponse

EXPLAIN_PATH = b'/explain'
OK = 200
BAD_REQUEST = 400


def is_explain_request(message: Message) -> bool:
    """Return whether a request asks for an explanation.

    Args:
        message: The request.
    """
    return message.target.partition(b'?')[0] == EXPLAIN_PATH


def respond_explanation(parts: HostParts, message: Message) -> EncodedResponse:
    """Explain a request; the response is JSON, and the state stays as it is.

    Args:
        parts: The state of the host.
        message: The request for an explanation.
    """
    text = message.target.partition(b'?')[2].decode('latin-1')
    try:
        body = encode_explanation(explain_request(parts, parse_query(text)))
    except ValueError as error:
        return _encode(BAD_REQUEST, _encode_bad_query(error), message)
    return _encode(OK, body, message)


def _encode_bad_query(error: ValueError) -> bytes:
    kind = ErrorKind.MALFORMED_REQUEST
    answer = ANSWERS[kind]
    fields = {
        'error': kind.value,
        'outcome': answer.outcome.value,
        'detail': str(error),
        'advice': answer.advice,
    }
    return msgspec.json.encode(fields)


def _encode(status: int, body: bytes, message: Message) -> EncodedResponse:
    close = not message.keep_alive
    headers = [(b'content-type', b'application/json')]
    if close:
        headers.append((b'connection', b'close'))
    return EncodedResponse(encode_response(status, headers, body), close)
