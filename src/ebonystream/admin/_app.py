"""The routes of the administration API."""

import hmac
from collections.abc import Callable
from typing import Any

import attrs
from quart import Response, request
from quart_trio import QuartTrio

from ebonystream._ids import ConfigurationVersion
from ebonystream.call import Answer, refuse
from ebonystream.configuration import Control, PublishLists
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.observation import Metrics, render_metrics

Json = dict[str, Any]
"""A JSON object, as the API spells it."""

BEARER = 'Bearer '


@attrs.frozen(kw_only=True)
class AdminVerbs:
    """What the administration API can do.

    Attributes:
        control: The configuration in force.
        publish: Publishes the two lists.
        report_status: Tells how this host stands.
        metrics: What this host counts.
    """

    control: Control
    publish: PublishLists
    report_status: Callable[[], Json]
    metrics: Metrics


def make_admin_app(verbs: AdminVerbs, *, key: str | None) -> QuartTrio:
    """Make the administration API.

    Args:
        verbs: What it can do.
        key: The key that each request must carry, if any.
    """
    app = QuartTrio('ebonystream.admin')
    _require_key(app, key)
    _add_lists(app, verbs)

    @app.get('/v1/status')
    async def show_status() -> Json:
        return verbs.report_status()

    @app.get('/metrics')
    async def show_metrics() -> Response:
        text, content_type = render_metrics(verbs.metrics)
        return Response(text, content_type=content_type)

    @app.errorhandler(EbonystreamError)
    async def answer_error(error: EbonystreamError) -> Response:
        return _spell(refuse(error))

    return app


def _require_key(app: QuartTrio, key: str | None) -> None:
    @app.before_request
    async def check_key() -> None:
        sent = request.headers.get('authorization', '').removeprefix(BEARER)
        if key is not None and not hmac.compare_digest(sent, key):
            raise EbonystreamError(ErrorKind.UNAUTHORIZED)


def _add_lists(app: QuartTrio, verbs: AdminVerbs) -> None:
    @app.get('/v1/lists')
    async def show_lists() -> Json:
        control = verbs.control
        lists = control.lists
        return {
            'version': control.version,
            'lists': None if lists is None else lists.model_dump(mode='json'),
        }

    @app.post('/v1/lists')
    async def publish_lists() -> Json:
        sent = await request.get_json(force=True, silent=True)
        if not isinstance(sent, dict):
            raise EbonystreamError(
                ErrorKind.MALFORMED_REQUEST, 'the body is not a JSON object'
            )
        version = await verbs.publish(_read_version(sent), _read_lists(sent))
        return {'version': version}


def _read_version(sent: Json) -> ConfigurationVersion:
    based_on = sent.get('based_on')
    if not isinstance(based_on, int):
        raise EbonystreamError(
            ErrorKind.MALFORMED_REQUEST, 'based_on is not a whole number'
        )
    return ConfigurationVersion(based_on)


def _read_lists(sent: Json) -> Json:
    lists = sent.get('lists')
    if not isinstance(lists, dict):
        raise EbonystreamError(
            ErrorKind.MALFORMED_REQUEST, 'lists is not a JSON object'
        )
    return lists


def _spell(answer: Answer) -> Response:
    return Response(
        answer.body, status=answer.status, content_type='application/json'
    )
