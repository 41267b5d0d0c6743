"""Tables and the summary of one run of the demo."""

import enum
from collections import Counter
from collections.abc import Iterator, Sequence

import attrs
import msgspec

from standins.backendserver import Counts
from standins.load import Outcome, Sample
from standins.statistic import find_percentile, format_table

FIGURES_HEAD = ('calls', 'answered', 'not run', 'unknown', 'p50 ms', 'p99 ms')


class Phase(enum.Enum):
    """How the moved zone stands."""

    BEFORE = 'in, before the move'
    LEAVING = 'leaving'
    OUT = 'out'
    RETURNING = 'returning'
    BACK = 'in again'


@attrs.frozen
class Mark:
    """When a phase began.

    Attributes:
        phase: The phase.
        at: When it began, on trio's clock.
    """

    phase: Phase
    at: float


@attrs.frozen(kw_only=True)
class Run:
    """All that one run of the demo noted.

    Attributes:
        direct: The calls straight to the backend servers.
        routed: The calls through the entry hosts.
        marks: The phases of the zone move, in order.
        counts: How often each idempotency key ran.
        moved_servers: Names the backend servers of the moved zone.
    """

    direct: Sequence[Sample]
    routed: Sequence[Sample]
    marks: Sequence[Mark]
    counts: Counts
    moved_servers: frozenset[str]


class Summary(msgspec.Struct, kw_only=True):
    """The last line of the report; the first four are of the routed calls.

    Attributes:
        sent: Calls sent.
        answered: Calls that were answered.
        not_run: Calls refused with the word that they did not run.
        unknown: Calls whose outcome stayed unknown.
        doubled: Keys that ran more than once at the backend servers.
        lost: Calls with a key that were answered but never ran.
        false_not_run: Calls with a key that were told "not run" but ran.
        crossed: Answers that were for another request.
        sent_twice: Calls that were sent twice at once under one key.
        while_out: Answers from the moved zone's servers to calls sent while
            it was out.
        direct_sent: Calls sent straight to the backend servers.
        direct_answered: Those of them that were answered.
        direct_p50_ms: Direct calls at the median.
        direct_p99_ms: Direct calls at the 99th percentile.
        routed_p50_ms: Routed calls at the median.
        routed_p99_ms: Routed calls at the 99th percentile.
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
    def good(self) -> bool:
        """Whether nothing happened that must never happen."""
        faults = (self.doubled, self.lost, self.false_not_run, self.crossed)
        return not any(faults)


def summarize(run: Run) -> Summary:
    """Work out the summary of a run.

    Args:
        run: What was noted.
    """
    outcomes = _count_outcomes(run.routed)
    out = _pick_phase(run, Phase.OUT)
    return Summary(
        sent=len(run.routed),
        answered=outcomes[Outcome.ANSWERED],
        not_run=outcomes[Outcome.NOT_RUN],
        unknown=outcomes[Outcome.UNKNOWN],
        doubled=run.counts.doubled,
        lost=_count_lost(run),
        false_not_run=_count_false(run),
        crossed=sum(map(_count_crossed, (*run.direct, *run.routed))),
        sent_twice=sum(sample.ticket.copies > 1 for sample in run.routed),
        while_out=_count_moved(run, out),
        direct_sent=len(run.direct),
        direct_answered=_count_outcomes(run.direct)[Outcome.ANSWERED],
        direct_p50_ms=_find_latency(run.direct, 50),
        direct_p99_ms=_find_latency(run.direct, 99),
        routed_p50_ms=_find_latency(run.routed, 50),
        routed_p99_ms=_find_latency(run.routed, 99),
    )


def format_report(run: Run) -> str:
    """Lay out the tables of a run and its summary as the last line.

    Args:
        run: What was noted.
    """
    tables = (
        format_table(list(_list_paths(run))),
        format_table(list(_list_phases(run))),
        msgspec.json.encode(summarize(run)).decode(),
    )
    return '\n\n'.join(tables)


def _list_paths(run: Run) -> Iterator[Sequence[str]]:
    yield ('path and route', *FIGURES_HEAD)
    for path, samples in (('direct', run.direct), ('routed', run.routed)):
        routes = sorted({sample.ticket.job.route for sample in samples})
        for route in routes:
            picked = [one for one in samples if one.ticket.job.route == route]
            yield (f'{path} {route}', *_list_figures(picked))
        yield (f'{path} all', *_list_figures(samples))


def _list_phases(run: Run) -> Iterator[Sequence[str]]:
    yield ('routed while the zone is', *FIGURES_HEAD, 'by the zone')
    for mark in run.marks:
        picked = _pick_phase(run, mark.phase)
        moved = str(_count_moved(run, picked))
        yield (mark.phase.value, *_list_figures(picked), moved)


def _list_figures(samples: Sequence[Sample]) -> Iterator[str]:
    outcomes = _count_outcomes(samples)
    yield str(len(samples))
    for outcome in Outcome:
        yield str(outcomes[outcome])
    for percent in (50, 99):
        yield f'{_find_latency(samples, percent):.2f}'


def _pick_phase(run: Run, phase: Phase) -> list[Sample]:
    return [one for one in run.routed if _find_phase(run, one) is phase]


def _find_phase(run: Run, sample: Sample) -> Phase:
    begun = [mark.phase for mark in run.marks if mark.at <= sample.begun]
    return begun[-1] if begun else Phase.BEFORE


def _count_outcomes(samples: Sequence[Sample]) -> Counter[Outcome]:
    return Counter(sample.outcome for sample in samples)


def _find_latency(samples: Sequence[Sample], percent: float) -> float:
    answered = [one for one in samples if one.outcome is Outcome.ANSWERED]
    return find_percentile([sample.took_ms for sample in answered], percent)


def _count_lost(run: Run) -> int:
    return sum(
        sample.outcome is Outcome.ANSWERED and not _count_runs(run, sample)
        for sample in (*run.direct, *run.routed)
        if sample.ticket.key
    )


def _count_false(run: Run) -> int:
    return sum(
        _was_told_not_run(sample) and _count_runs(run, sample) > 0
        for sample in (*run.direct, *run.routed)
        if sample.ticket.key
    )


def _count_runs(run: Run, sample: Sample) -> int:
    return run.counts.runs.get(sample.ticket.key, 0)


def _was_told_not_run(sample: Sample) -> bool:
    told = {verdict.outcome for verdict in sample.verdicts}
    return Outcome.NOT_RUN in told


def _count_crossed(sample: Sample) -> int:
    return sum(verdict.crossed for verdict in sample.verdicts)


def _count_moved(run: Run, samples: Sequence[Sample]) -> int:
    return sum(
        any(one.server in run.moved_servers for one in sample.verdicts)
        for sample in samples
    )
