"""The request that is to be explained, as asked for over HTTP."""

import math
from urllib.parse import parse_qsl

import attrs

from ebonystream._ids import Seconds, WorkspaceName
from ebonystream._timers import MS_PER_SECOND
from ebonystream._validation import quote

MAX_TIME_LEFT_MS = 86_400_000
FIELDS = frozenset(('method', 'host', 'path', 'workspace', 'time_left_ms'))


@attrs.frozen(kw_only=True)
class ExplainQuery:
    """A request that is to be explained.

    Attributes:
        method: The HTTP method.
        host: Host name that the request is addressed to, without the port.
        path: Path without the query string.
        workspace: Workspace whose key the request has; None without a key.
        time_left: Time until the caller's deadline, in seconds; None without
            one.
    """

    method: str
    host: str
    path: str
    workspace: WorkspaceName | None = None
    time_left: Seconds | None = None


def parse_query(text: str) -> ExplainQuery:
    """Parse the query string of a request for an explanation.

    Args:
        text: The query string.

    Raises:
        ValueError: A field is unknown, repeated, missing or invalid.
    """
    fields = _parse_fields(text)
    host = fields.get('host', '').partition(':')[0]
    path = fields.get('path', '').partition('?')[0]
    if not host:
        raise ValueError('host is missing')
    if not path.startswith('/'):
        raise ValueError(f'path does not start with a slash: {quote(path)}')
    workspace = fields.get('workspace')
    return ExplainQuery(
        method=fields.get('method', 'GET'),
        host=host,
        path=path,
        workspace=WorkspaceName(workspace) if workspace else None,
        time_left=_parse_time_left(fields.get('time_left_ms')),
    )


def _parse_fields(text: str) -> dict[str, str]:
    pairs = parse_qsl(text, keep_blank_values=True)
    fields = dict(pairs)
    unknown = sorted(fields.keys() - FIELDS)
    if unknown:
        raise ValueError(f'unknown field {quote(unknown[0])}')
    if len(fields) < len(pairs):
        raise ValueError('a field is given more than once')
    return fields


def _parse_time_left(text: str | None) -> Seconds | None:
    if text is None:
        return None
    try:
        time_left_ms = float(text)
    except ValueError:
        time_left_ms = math.nan
    if not 0 <= time_left_ms <= MAX_TIME_LEFT_MS:
        raise ValueError(
            f'time_left_ms is not from 0 to {MAX_TIME_LEFT_MS}: {quote(text)}'
        )
    return Seconds(time_left_ms / MS_PER_SECOND)
