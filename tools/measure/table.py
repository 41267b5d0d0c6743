"""Formats the results of a measurement as Markdown tables."""

from typing import Any

from measure.run import HEDGED, POLICIES, PRODUCTS

Run = dict[str, Any]


def make_tables(runs: list[Run]) -> str:
    """Return the tables of all runs."""
    parts = [
        _make_latency_table(runs, hosts, faults)
        for hosts in (13, 17)
        for faults in (False, True)
    ]
    return '\n'.join(
        (
            *parts,
            _make_class_table(runs),
            _make_zone_table(runs),
            _make_hedge_table(runs),
        )
    )


def _make_latency_table(runs: list[Run], hosts: int, faults: bool) -> str:
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
        p99_cells = [
            str(row[policy]['classes']['all']['p99']) for policy in POLICIES
        ]
        refused = row['product']['classes']['all'].get('over_limit', 0)
        lines.append(
            f'| {site} | {load:.0%} | {" | ".join(p99_cells)} | {refused} |'
        )
    return '\n'.join((*lines, ''))


def _make_class_table(runs: list[Run]) -> str:
    lines = [
        'The product by class, 17 entry hosts: p50 / p99 / p99.9 in ms, and '
        'refused + late of all',
        '',
        '| site | load | faults | promised | standard | spare |',
        '| --- | --- | --- | --- | --- | --- |',
    ]
    for run in runs:
        is_product_run = run['policy'] == 'product' and not run['zone_out']
        if is_product_run and run['hosts'] == 17:
            lines.append(
                f'| {run["site"]} | {run["load"]:.0%} | {run["faults"]} | '
                f'{_format_classes(run)} |'
            )
    return '\n'.join((*lines, ''))


def _make_zone_table(runs: list[Run]) -> str:
    lines = [
        'A zone out and back at 70 %',
        '',
        '| site | hosts | promised | standard | spare | last new call, s |',
        '| --- | --- | --- | --- | --- | --- |',
    ]
    lines += [
        f'| {run["site"]} | {run["hosts"]} | {_format_classes(run)} | '
        f'{run["last_new_call_s"]} |'
        for run in runs
        if run['zone_out']
    ]
    return '\n'.join((*lines, ''))


def _make_hedge_table(runs: list[Run]) -> str:
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
            lines.append(_format_hedge_row(key, row))
    return '\n'.join((*lines, ''))


def _format_hedge_row(
    key: tuple[str, int, float, bool], row: dict[str, Run]
) -> str:
    site, hosts, load, faults = key
    class_cells = [
        _format_class(row[policy]['classes']['all']) for policy in PRODUCTS
    ]
    busy_times = [str(row[policy]['busy_ms_per_call']) for policy in PRODUCTS]
    oracle = row['oracle']['classes']['all']['p99']
    return (
        f'| {site} | {hosts} | {load:.0%} | {faults} | {oracle} | '
        f'{" | ".join(class_cells)} | {row[HEDGED]["hedge_share"]:.2%} | '
        f'{" / ".join(busy_times)} |'
    )


def _format_classes(run: Run) -> str:
    return ' | '.join(
        _format_class(run['classes'][name])
        for name in ('promised', 'standard', 'spare')
    )


def _format_class(statistics: dict[str, float]) -> str:
    percentiles = ' / '.join(
        str(statistics[name]) for name in ('p50', 'p99', 'p999')
    )
    refused = statistics.get('over_limit', 0)
    late = statistics.get('late', 0) + statistics.get('deadline_expired', 0)
    total = refused + late + statistics.get('ran', 0)
    return f'{percentiles}; {refused} + {late} of {total}'
