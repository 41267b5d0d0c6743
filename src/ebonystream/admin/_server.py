"""HTTP server of the administration API."""

from collections.abc import Awaitable, Callable
from typing import cast

from hypercorn.config import Config
from hypercorn.trio import serve
from hypercorn.typing import ASGIFramework
from quart_trio import QuartTrio

from ebonystream.admin._bounds import make_bounded_app
from ebonystream.settings import AdminSettings

READ_TIMEOUT_S = 30
"""How long a connection may send nothing, in seconds."""

BODY_TIMEOUT_S = 10
"""How long a body may take, in seconds."""


async def serve_admin(
    app: QuartTrio,
    settings: AdminSettings,
    *,
    wait_for_stop: Callable[[], Awaitable[None]],
) -> None:
    """Serve the administration API until shutdown.

    Args:
        app: The web application.
        settings: Address to listen on.
        wait_for_stop: Returns at the start of shutdown.
    """
    config = Config()
    config.bind = [f'{settings.address}:{settings.port}']
    config.accesslog = None
    config.errorlog = None
    config.read_timeout = READ_TIMEOUT_S
    app.config['MAX_CONTENT_LENGTH'] = settings.max_body_bytes
    app.config['BODY_TIMEOUT'] = BODY_TIMEOUT_S
    bounded = make_bounded_app(
        cast(ASGIFramework, app), max_bodies=settings.max_bodies
    )
    await serve(bounded, config, shutdown_trigger=wait_for_stop)
