"""The administration API: what operators ask of an entry host, over HTTP."""

from ebonystream.admin._app import AdminVerbs, make_admin_app
from ebonystream.admin._server import serve_admin

__all__ = ('AdminVerbs', 'make_admin_app', 'serve_admin')
