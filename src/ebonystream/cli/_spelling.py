"""Answers of the administration API, spelled for people."""

import json
from collections.abc import Sequence

from ebonystream.cli._client import Json

GAP = '  '
NOTHING = '-'


def spell_table(rows: Sequence[Sequence[object]]) -> str:
    """Spell rows in aligned columns, the heading first.

    Args:
        rows: The rows, all of one length.
    """
    cells = [[_spell_cell(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return '\n'.join(
        GAP.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    )


def spell_lists(told: Json) -> str:
    """Spell the lists in force."""
    return json.dumps(told, indent=2)


def spell_status(told: Json) -> str:
    """Spell how one entry host stands."""
    own = [(name, told[name]) for name in told if name != 'backends']
    return '\n\n'.join((spell_table(own), spell_backends(told)))


def spell_hosts(told: Json) -> str:
    """Spell how the entry hosts stand."""
    heading = ('host', 'control_next', 'in_flight', 'unreachable_since_ms')
    rows = [
        (
            host['host'],
            host['control_next'],
            sum(host['zones_in_flight'].values()),
            host['unreachable_since_ms'],
        )
        for host in told['hosts']
    ]
    return spell_table((heading, *rows))


def spell_backends(told: Json) -> str:
    """Spell how the backend servers stand."""
    heading = (
        'server',
        'service',
        'version',
        'zone',
        'zone_out',
        'leaving',
        'in_flight',
    )
    rows = [[one[name] for name in heading] for one in told['backends']]
    return spell_table((heading, *rows))


def spell_versions(told: Json) -> str:
    """Spell the versions of the services."""
    heading = ('service', 'settled', 'servers', 'open_move', 'taken_back')
    rows = [[one[name] for name in heading] for one in told['services']]
    return spell_table((heading, *rows))


def spell_moves(told: Json) -> str:
    """Spell the moves, each in one row."""
    heading = ('id', 'move', 'state', 'late', 'reason')
    rows = [
        (
            report['move']['id'],
            _name_move(report['move']),
            report['state'],
            report['late'],
            report['reason'],
        )
        for report in told['moves']
    ]
    return spell_table((heading, *rows))


def spell_move(told: Json) -> str:
    """Spell the report on one move in one line."""
    move = told['move']
    late = ', late' if told['late'] else ''
    finished = told['finished_ms']
    when = '' if finished is None else f' at {finished}'
    state = f'{told["state"]}{when}{late}'
    return f'{move["id"]}: {_name_move(move)}: {state}: {told["reason"]}'


def _name_move(move: Json) -> str:
    if move['type'] == 'zone':
        return f'zone {move["zone"]} {move["direction"]}'
    versions = f'{move["from_version"]} to {move["to_version"]}'
    return f'{move["service"]} {versions}'


def _spell_cell(cell: object) -> str:
    if cell is None or cell in ([], {}):
        return NOTHING
    if isinstance(cell, bool):
        return 'yes' if cell else 'no'
    if isinstance(cell, dict):
        return ' '.join(f'{name}={count}' for name, count in cell.items())
    if isinstance(cell, list):
        return ' '.join(map(str, cell))
    return str(cell)
