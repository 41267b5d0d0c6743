"""Wiring of the administration API."""

from ebonystream.admin import AdminFunctions, make_admin_app, serve_admin
from ebonystream.composition._moves import (
    list_moves,
    make_submit_control_record,
    report_move,
)
from ebonystream.composition._parts import Parts
from ebonystream.composition._reports import (
    report_backends,
    report_hosts,
    report_status,
    report_versions,
    show_lists,
)
from ebonystream.configuration import make_publish_lists


async def serve_admin_api(parts: Parts) -> None:
    """Serve the administration API until the host starts to shut down."""
    settings = parts.settings.admin
    app = make_admin_app(make_admin_functions(parts), key=settings.key)
    await serve_admin(app, settings, wait_for_stop=parts.stopping.wait)


def make_admin_functions(parts: Parts) -> AdminFunctions:
    """Make the functions that the administration API calls."""
    submit_record = make_submit_control_record(parts)
    return AdminFunctions(
        publish=make_publish_lists(submit_record),
        submit=submit_record,
        show_lists=lambda: show_lists(parts),
        list_moves=lambda: list_moves(parts),
        report_move=lambda move: report_move(parts, move),
        report_status=lambda: report_status(parts),
        report_hosts=lambda: report_hosts(parts),
        report_backends=lambda: report_backends(parts),
        report_versions=lambda: report_versions(parts),
        metrics=parts.metrics,
    )
