"""The administration API of an entry host, over HTTP."""

from ebonystream.admin._app import make_admin_app
from ebonystream.admin._functions import AdminFunctions
from ebonystream.admin._responses import (
    BackendStatus,
    BackendStatuses,
    HostStatus,
    HostStatuses,
    ListsInForce,
    ServiceVersions,
    Status,
    VersionStatuses,
)
from ebonystream.admin._server import serve_admin

__all__ = (
    'AdminFunctions',
    'BackendStatus',
    'BackendStatuses',
    'HostStatus',
    'HostStatuses',
    'ListsInForce',
    'ServiceVersions',
    'Status',
    'VersionStatuses',
    'make_admin_app',
    'serve_admin',
)
