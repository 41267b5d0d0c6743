"""Format an explanation of a request as readable text."""

from collections.abc import Iterator

from ebonystream.cli._client import Json
from ebonystream.cli._formatting import format_table

PERCENT = 100
FIGURES = (
    'server',
    'zone',
    'version',
    'exclusion',
    'excluded_for',
    'slots',
    'in_flight',
    'cold_for',
    'failures',
    'unreliable',
    'listed_age',
    'request_age',
    'silent_for',
)
PROBES_NOTE = (
    'The server is selected among the candidates (no exclusion) by probes '
    'directly before the send.'
)


def format_explanation(response: Json) -> str:
    """Format an explanation; durations are in seconds."""
    return '\n'.join(_list_lines(response))


def _list_lines(response: Json) -> Iterator[str]:
    yield f'host {response["host"]} in zone {response["zone"]}'
    yield f'configuration: {response["configuration"]}'
    yield f'admission: {_format_fields(response["admission"])}'
    yield f'route: {_format_fields(response["route"])}'
    for service in response['services']:
        yield from _list_service_lines(service)
    error = response['error']
    if error is not None:
        yield f'result: the caller gets {error}, and nothing is sent'
    elif response['depends_on_probes']:
        yield f'result: sent. {PROBES_NOTE}'


def _list_service_lines(service: Json) -> Iterator[str]:
    yield f'\nservice {service["service"]}: {_format_odds(service)}'
    for version in service['versions']:
        odds, reserve = _format_odds(version), version['reserve']
        yield f'draw of the version: {odds}; {_format_reserve(reserve)}'
        rows = [
            [figures[name] for name in FIGURES]
            for figures in version['servers']
        ]
        yield format_table((FIGURES, *rows))
    yield f'second attempt: {_format_fields(service["second_attempt"])}'


def _format_reserve(reserve: Json) -> str:
    return f'reserve: {_format_fields(reserve)}'


def _format_odds(choice: Json) -> str:
    return f'{choice["odds"] * PERCENT:.1f} %'


def _format_fields(fields: Json | None) -> str:
    if fields is None:
        return 'none'
    return ', '.join(
        f'{name} {_format_field(field)}' for name, field in fields.items()
    )


def _format_field(field: object) -> str:
    if isinstance(field, list):
        return ' '.join(map(str, field)) or 'none'
    return 'none' if field is None else str(field)
