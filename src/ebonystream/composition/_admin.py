"""Wires the administration API."""

from ebonystream.admin import AdminVerbs, make_admin_app, serve_admin
from ebonystream.composition._parts import Parts, convert_ms
from ebonystream.configuration import make_publishing


async def serve_admin_api(parts: Parts) -> None:
    """Serve the administration API until the host stops."""
    settings = parts.settings
    verbs = AdminVerbs(
        control=parts.control,
        publish=make_publishing(
            control=parts.control,
            log=parts.log,
            stream=settings.log.control_stream,
            patience=convert_ms(2 * settings.log.timeout_ms),
        ),
        report_status=lambda: report_status(parts),
        metrics=parts.metrics,
    )
    app = make_admin_app(verbs, key=settings.admin.key)
    await serve_admin(app, settings.admin, wait_for_stop=parts.stopping.wait)


def report_status(parts: Parts) -> dict[str, object]:
    """Tell how this host and its backend servers stand."""
    return {
        'host': parts.settings.host.id,
        'zone': parts.settings.host.zone,
        'incarnation': parts.incarnation,
        'configuration_version': parts.control.version,
        'leaving': parts.stopping.is_set(),
        'backends': [
            {
                'server': server.id,
                'service': server.service,
                'version': server.version,
                'zone': server.zone,
                'leaving': server.leaving,
                'phase': server.warmth.phase.value,
                'epoch': server.warmth.epoch,
                'in_flight': server.in_flight,
            }
            for server in parts.directory.servers.values()
        ],
    }
