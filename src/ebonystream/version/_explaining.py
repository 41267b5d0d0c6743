"""Explanations for operators of what a running version move waits for."""

from ebonystream._ids import EpochMs, RouteName
from ebonystream._timers import MS_PER_SECOND
from ebonystream.version._progress import MoveProgress, RouteProgress
from ebonystream.version._stages import GROUPS_PER_STAGE, STAGES


def explain_move(progress: MoveProgress, now_ms: EpochMs) -> str:
    """Explain what a move waits for: shares, evidence and remaining time.

    Args:
        progress: The progress of the move on this host.
        now_ms: Current wall-clock time, in milliseconds.
    """
    if progress.stop_reason is not None:
        return (
            f'stopped: {progress.stop_reason}; waits for the verdict in the log'
        )
    parts = [
        _describe_route(progress, name, now_ms)
        for name in sorted(progress.routes)
    ]
    parts.append(_describe_remaining_time(progress.finish_by_ms, now_ms))
    return '; '.join(parts)


def _describe_route(
    progress: MoveProgress, name: RouteName, now_ms: EpochMs
) -> str:
    route = progress.routes[name]
    description = f'route {name} at {route.traffic_share:.0%} of its calls'
    if route.stage.is_last:
        return description
    wait_ms = _compute_wait_ms(progress, route, now_ms)
    if route.is_on_hold:
        return f'{description}, held by evidence against the new version'
    if wait_ms > 0:
        return (
            f'{description}, grows in {wait_ms / MS_PER_SECOND:.1f} s '
            'at the earliest'
        )
    evidence = f'{route.stage.groups} of at most {GROUPS_PER_STAGE} groups'
    return f'{description}, waits for evidence: {evidence}'


def _compute_wait_ms(
    progress: MoveProgress, route: RouteProgress, now_ms: EpochMs
) -> float:
    duration_ms = progress.finish_by_ms - progress.asked_ms
    delay_ms = STAGES[route.stage.index + 1].min_elapsed_share * duration_ms
    return progress.asked_ms + delay_ms - now_ms


def _describe_remaining_time(finish_by_ms: EpochMs, now_ms: EpochMs) -> str:
    remaining = (finish_by_ms - now_ms) / MS_PER_SECOND
    if remaining < 0:
        return f'{-remaining:.1f} s late'
    return f'{remaining:.1f} s left'
