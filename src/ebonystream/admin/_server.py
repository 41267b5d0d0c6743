"""HTTP server of the administration API."""

from collections.abc import Awaitable, Callable

from hypercorn.config import Config
from hypercorn.trio import serve
from quart_trio import QuartTrio

from ebonystream.settings import AdminSettings


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
    await serve(app, config, shutdown_trigger=wait_for_stop)
