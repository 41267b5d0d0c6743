"""The tables of a measurement, in Markdown."""

from typing import Any

from measure.run import HEDGED, POLICIES, PRODUCTS

Run = dict[str, Any]


def make_tables(runs: list[Run]) -> str:
    """Make the tables of all runs."""
    parts = [
        _make_latencies(runs, hosts, faults)
        for hosts in (13, 17)
        for faults in (False, True)
    ]
    return '\n'.join(
        (*parts, _make_classes(runs), _make_zones(runs), _make_hedges(runs))
    )


def _make_latencies(runs: list[Run], hosts: int, faults: bool) -> str:
    name = 'slow servers and a noisy neighbour' if faults else 'no faults'
    lines = [
        f'p99 of all calls in ms, {hosts} entry hosts, {name}',
        '',
        f'| site | load | {" | ".join(POLICIES)} | refused |',
        f'| --- | --- | {"--- | " * len(POLICIES)}--- |',
    ]
    rows: dict[tuple[str, float], dict[str, Run]] = {}
    for run in runs:
        if (run['hosts'], run['faults'], run['zone_out']) == (
            hosts,
            faults,
            False,
        ):
            row = rows.setdefault((run['site'], run['load']), {})
            row[run['policy']] = run
    for (site, load), row in rows.items():
        times = [str(row[one]['classes']['all']['p99']) for one in POLICIES]
        refused = row['product']['classes']['all'].get('over_limit', 0)
        lines.append(
            f'| {site} | {load:.0%} | {" | ".join(times)} | {refused} |'
        )
    return '\n'.join((*lines, ''))


def _make_classes(runs: list[Run]) -> str:
    lines = [
        'The product by class, 17 entry hosts: p50 / p99 / p99.9 in ms, and '
        'refused + late of all',
        '',
        '| site | load | faults | promised | standard | spare |',
        '| --- | --- | --- | --- | --- | --- |',
    ]
    for run in runs:
        mine = run['policy'] == 'product' and not run['zone_out']
        if mine and run['hosts'] == 17:
            lines.append(
                f'| {run["site"]} | {run["load"]:.0%} | {run["faults"]} | '
                f'{_show_classes(run)} |'
            )
    return '\n'.join((*lines, ''))


def _make_zones(runs: list[Run]) -> str:
    lines = [
        'A zone out and back at 70 %',
        '',
        '| site | hosts | promised | standard | spare | last new call, s |',
        '| --- | --- | --- | --- | --- | --- |',
    ]
    lines += [
        f'| {run["site"]} | {run["hosts"]} | {_show_classes(run)} | '
        f'{run["last_new_call_s"]} |'
        for run in runs
        if run['zone_out']
    ]
    return '\n'.join((*lines, ''))


def _make_hedges(runs: list[Run]) -> str:
    lines = [
        'Hedges bought by no plan and by all: p50 / p99 / p99.9 in ms, and '
        'refused + late of all',
        '',
        '| site | hosts | load | faults | p99 of the oracle | no hedges | '
        'hedges | share hedged | back-end ms a call, without and with |',
        f'|{" --- |" * 9}',
    ]
    rows: dict[tuple[str, int, float, bool], dict[str, Run]] = {}
    for run in runs:
        if not run['zone_out']:
            key = (run['site'], run['hosts'], run['load'], run['faults'])
            rows.setdefault(key, {})[run['policy']] = run
    for key, row in rows.items():
        if HEDGED in row:
            lines.append(_show_hedges(key, row))
    return '\n'.join((*lines, ''))


def _show_hedges(key: tuple[str, int, float, bool], row: dict[str, Run]) -> str:
    site, hosts, load, faults = key
    ends = [_show_class(row[one]['classes']['all']) for one in PRODUCTS]
    costs = [str(row[one]['busy_ms_per_call']) for one in PRODUCTS]
    oracle = row['oracle']['classes']['all']['p99']
    return (
        f'| {site} | {hosts} | {load:.0%} | {faults} | {oracle} | '
        f'{" | ".join(ends)} | {row[HEDGED]["hedge_share"]:.2%} | '
        f'{" / ".join(costs)} |'
    )


def _show_classes(run: Run) -> str:
    return ' | '.join(
        _show_class(run['classes'][name])
        for name in ('promised', 'standard', 'spare')
    )


def _show_class(ends: dict[str, float]) -> str:
    times = ' / '.join(str(ends[name]) for name in ('p50', 'p99', 'p999'))
    refused = ends.get('over_limit', 0)
    late = ends.get('late', 0) + ends.get('deadline_expired', 0)
    every = refused + late + ends.get('ran', 0)
    return f'{times}; {refused} + {late} of {every}'
