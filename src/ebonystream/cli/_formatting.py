"""Format responses of the administration API as readable text."""

import json
from collections.abc import Sequence

from ebonystream.cli._client import Json

COLUMN_GAP = '  '
EMPTY_CELL = '-'


def format_table(rows: Sequence[Sequence[object]]) -> str:
    """Format rows as a table with aligned columns.

    Args:
        rows: The rows, beginning with the heading, all of the same length.
    """
    cells = [[_format_cell(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return '\n'.join(
        COLUMN_GAP.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    )


def format_lists(response: Json) -> str:
    """Format the lists in force."""
    return json.dumps(response, indent=2)


def format_status(response: Json) -> str:
    """Format the status of one entry host."""
    fields = [(name, response[name]) for name in response if name != 'backends']
    return '\n\n'.join((format_table(fields), format_backends(response)))


def format_hosts(response: Json) -> str:
    """Format the status of the entry hosts."""
    heading = ('host', 'control_next', 'in_flight', 'unreachable_since_ms')
    rows = [
        (
            host['host'],
            host['control_next'],
            sum(host['zones_in_flight'].values()),
            host['unreachable_since_ms'],
        )
        for host in response['hosts']
    ]
    return format_table((heading, *rows))


def format_backends(response: Json) -> str:
    """Format the status of the backend servers."""
    heading = (
        'server',
        'service',
        'version',
        'zone',
        'zone_out',
        'leaving',
        'in_flight',
    )
    rows = [
        [backend[name] for name in heading] for backend in response['backends']
    ]
    return format_table((heading, *rows))


def format_versions(response: Json) -> str:
    """Format the versions of the services."""
    heading = ('service', 'settled', 'servers', 'open_move', 'taken_back')
    rows = [
        [service[name] for name in heading] for service in response['services']
    ]
    return format_table((heading, *rows))


def format_moves(response: Json) -> str:
    """Format a table of moves."""
    heading = ('id', 'move', 'state', 'late', 'reason')
    rows = [
        (
            report['move']['id'],
            _describe_move(report['move']),
            report['state'],
            report['late'],
            report['reason'],
        )
        for report in response['moves']
    ]
    return format_table((heading, *rows))


def format_move(report: Json) -> str:
    """Format the report on one move as one line."""
    move = report['move']
    late = ', late' if report['late'] else ''
    finished_ms = report['finished_ms']
    time = '' if finished_ms is None else f' at {finished_ms}'
    state = f'{report["state"]}{time}{late}'
    return f'{move["id"]}: {_describe_move(move)}: {state}: {report["reason"]}'


def _describe_move(move: Json) -> str:
    if move['type'] == 'zone':
        return f'zone {move["zone"]} {move["direction"]}'
    versions = f'{move["from_version"]} to {move["to_version"]}'
    return f'{move["service"]} {versions}'


def _format_cell(cell: object) -> str:
    if cell is None or cell in ([], {}):
        return EMPTY_CELL
    if isinstance(cell, bool):
        return 'yes' if cell else 'no'
    if isinstance(cell, dict):
        return ' '.join(f'{name}={count}' for name, count in cell.items())
    if isinstance(cell, list):
        return ' '.join(map(str, cell))
    return str(cell)
