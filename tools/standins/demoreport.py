"""Tables and summary of a run of the demo."""

import enum
from collections import Counter
from collections.abc import Iterator, Sequence

import attrs
import msgspec

from standins.backendserver import RunCounts
from standins.load import CallRecord, Outcome
from standins.statistic import find_percentile, format_table

FIGURE_HEADERS = ('calls', 'answered', 'not run', 'unknown', 'p50 ms', 'p99 ms')


class Phase(enum.Enum):
    """Phase of the move of a zone."""

    BEFORE = 'in, before the move'
    LEAVING = 'leaving'
    OUT = 'out'
    RETURNING = 'returning'
    BACK = 'in again'


@attrs.frozen
class PhaseStart:
    """The start of a phase.

    Attributes:
        phase: The phase.
        started_at: When the phase started, on trio's clock.
    """

    phase: Phase
    started_at: float


@attrs.frozen(kw_only=True)
class DemoRun:
    """The results of a run of the demo.

    Attributes:
        direct: The calls sent to the backend servers.
        routed: The calls sent to the entry hosts.
        phase_starts: The phases of the zone move, in order of their start.
        run_counts: How often each idempotency key ran.
        moved_servers: Names of the backend servers of the moved zone.
    """

    direct: Sequence[CallRecord]
    routed: Sequence[CallRecord]
    phase_starts: Sequence[PhaseStart]
    run_counts: RunCounts
    moved_servers: frozenset[str]


class Summary(msgspec.Struct, kw_only=True):
    """The last line of the report.

    Attributes:
        sent: Routed calls sent.
        answered: Routed calls that were answered.
        not_run: Routed calls refused with the outcome "not run".
        unknown: Routed calls whose outcome stayed unknown.
        doubled: Keys that ran more than once on the backend servers.
        lost: Calls with a key that were answered but never ran.
        false_not_run: Calls with a key that ran although a response had the
            outcome "not run".
        crossed: Responses that belong to another request.
        sent_twice: Routed calls sent as two requests at the same time with
            the same key.
        while_out: Routed calls sent while the moved zone was out that one of
            its servers answered.
        direct_sent: Calls sent to the backend servers.
        direct_answered: Calls sent to the backend servers and answered.
        direct_p50_ms: Median latency of answered direct calls.
        direct_p99_ms: 99th percentile of that latency.
        routed_p50_ms: Median latency of answered routed calls.
        routed_p99_ms: 99th percentile of that latency.
    """

    sent: int
    answered: int
    not_run: int
    unknown: int
    doubled: int
    lost: int
    false_not_run: int
    crossed: int
    sent_twice: int
    while_out: int
    direct_sent: int
    direct_answered: int
    direct_p50_ms: float
    direct_p99_ms: float
    routed_p50_ms: float
    routed_p99_ms: float

    @property
    def passed(self) -> bool:
        """Whether no call was run twice, lost, misreported or mixed up."""
        faults = (self.doubled, self.lost, self.false_not_run, self.crossed)
        return not any(faults)


def summarize(run: DemoRun) -> Summary:
    """Return the summary of a run.

    Args:
        run: The results of the run.
    """
    outcomes = _count_outcomes(run.routed)
    while_out = _select_phase(run, Phase.OUT)
    return Summary(
        sent=len(run.routed),
        answered=outcomes[Outcome.ANSWERED],
        not_run=outcomes[Outcome.NOT_RUN],
        unknown=outcomes[Outcome.UNKNOWN],
        doubled=run.run_counts.doubled,
        lost=_count_lost(run),
        false_not_run=_count_false_not_run(run),
        crossed=sum(map(_count_crossed, (*run.direct, *run.routed))),
        sent_twice=sum(record.call.copies > 1 for record in run.routed),
        while_out=_count_served_by_moved_zone(run, while_out),
        direct_sent=len(run.direct),
        direct_answered=_count_outcomes(run.direct)[Outcome.ANSWERED],
        direct_p50_ms=_find_latency(run.direct, 50),
        direct_p99_ms=_find_latency(run.direct, 99),
        routed_p50_ms=_find_latency(run.routed, 50),
        routed_p99_ms=_find_latency(run.routed, 99),
    )


def format_report(run: DemoRun) -> str:
    """Return the tables of a run, with its summary as the last line.

    Args:
        run: The results of the run.
    """
    tables = (
        format_table(list(_list_paths(run))),
        format_table(list(_list_phases(run))),
        msgspec.json.encode(summarize(run)).decode(),
    )
    return '\n\n'.join(tables)


def _list_paths(run: DemoRun) -> Iterator[Sequence[str]]:
    yield ('path and route', *FIGURE_HEADERS)
    for path, records in (('direct', run.direct), ('routed', run.routed)):
        routes = sorted({each.call.kind.route for each in records})
        for route in routes:
            of_route = [
                record for record in records if record.call.kind.route == route
            ]
            yield (f'{path} {route}', *_list_figures(of_route))
        yield (f'{path} all', *_list_figures(records))


def _list_phases(run: DemoRun) -> Iterator[Sequence[str]]:
    yield ('routed while the zone is', *FIGURE_HEADERS, 'by the zone')
    for start in run.phase_starts:
        records = _select_phase(run, start.phase)
        served_by_zone = str(_count_served_by_moved_zone(run, records))
        yield (start.phase.value, *_list_figures(records), served_by_zone)


def _list_figures(records: Sequence[CallRecord]) -> Iterator[str]:
    outcomes = _count_outcomes(records)
    yield str(len(records))
    for outcome in Outcome:
        yield str(outcomes[outcome])
    for percent in (50, 99):
        yield f'{_find_latency(records, percent):.2f}'


def _select_phase(run: DemoRun, phase: Phase) -> list[CallRecord]:
    return [
        record for record in run.routed if _find_phase(run, record) is phase
    ]


def _find_phase(run: DemoRun, record: CallRecord) -> Phase:
    started = [
        start.phase
        for start in run.phase_starts
        if start.started_at <= record.started_at
    ]
    return started[-1] if started else Phase.BEFORE


def _count_outcomes(records: Sequence[CallRecord]) -> Counter[Outcome]:
    return Counter(record.outcome for record in records)


def _find_latency(records: Sequence[CallRecord], percent: float) -> float:
    answered = [
        record for record in records if record.outcome is Outcome.ANSWERED
    ]
    return find_percentile([call.duration_ms for call in answered], percent)


def _count_lost(run: DemoRun) -> int:
    return sum(
        record.outcome is Outcome.ANSWERED and not _count_runs(run, record)
        for record in (*run.direct, *run.routed)
        if record.call.key
    )


def _count_false_not_run(run: DemoRun) -> int:
    return sum(
        _has_not_run_result(record) and _count_runs(run, record) > 0
        for record in (*run.direct, *run.routed)
        if record.call.key
    )


def _count_runs(run: DemoRun, record: CallRecord) -> int:
    return run.run_counts.runs.get(record.call.key, 0)


def _has_not_run_result(record: CallRecord) -> bool:
    outcomes = {result.outcome for result in record.results}
    return Outcome.NOT_RUN in outcomes


def _count_crossed(record: CallRecord) -> int:
    return sum(result.crossed for result in record.results)


def _count_served_by_moved_zone(
    run: DemoRun, records: Sequence[CallRecord]
) -> int:
    return sum(
        any(result.server in run.moved_servers for result in record.results)
        for record in records
    )
