"""Clients for the services of the platform: the log and the host list."""

from ebonystream.logservice._hostlist import (
    HostRole,
    HostState,
    ListedHost,
    ReadHosts,
    make_read_hosts,
)
from ebonystream.logservice._log import (
    AppendRecord,
    LogPage,
    LogRecord,
    LogService,
    ReadLog,
)
from ebonystream.logservice._loghttp import make_http_log_service

__all__ = (
    'AppendRecord',
    'HostRole',
    'HostState',
    'ListedHost',
    'LogPage',
    'LogRecord',
    'LogService',
    'ReadHosts',
    'ReadLog',
    'make_read_hosts',
    'make_http_log_service',
)
