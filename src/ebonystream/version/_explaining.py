"""What a running version move waits for, in words, as this host knows it."""

from ebonystream._ids import EpochMs, RouteName
from ebonystream._timers import MS_PER_SECOND
from ebonystream.version._progress import MoveProgress, RouteProgress
from ebonystream.version._stages import GROUPS_PER_STAGE, STAGES


def explain_move(progress: MoveProgress, now_ms: EpochMs) -> str:
    """Say what a move waits for: shares, evidence and the time left.

    Args:
        progress: The move on this host.
        now_ms: The wall clock.
    """
    if progress.brake is not None:
        return f'stopped: {progress.brake}; waits for the verdict in the log'
    parts = [
        _explain_route(progress, name, now_ms)
        for name in sorted(progress.routes)
    ]
    parts.append(_explain_time(progress.finish_by_ms, now_ms))
    return '; '.join(parts)


def _explain_route(
    progress: MoveProgress, name: RouteName, now_ms: EpochMs
) -> str:
    route = progress.routes[name]
    told = f'route {name} at {route.share:.0%} of its calls'
    if route.stage.is_last:
        return told
    wait = _find_wait_ms(progress, route, now_ms)
    if route.is_held:
        return f'{told}, held by evidence against the new version'
    if wait > 0:
        return f'{told}, grows in {wait / MS_PER_SECOND:.1f} s at the earliest'
    evidence = f'{route.stage.groups} of at most {GROUPS_PER_STAGE} groups'
    return f'{told}, waits for evidence: {evidence}'


def _find_wait_ms(
    progress: MoveProgress, route: RouteProgress, now_ms: EpochMs
) -> float:
    length = progress.finish_by_ms - progress.asked_ms
    begins = STAGES[route.stage.stage + 1].begins * length
    return progress.asked_ms + begins - now_ms


def _explain_time(finish_by_ms: EpochMs, now_ms: EpochMs) -> str:
    left = (finish_by_ms - now_ms) / MS_PER_SECOND
    if left < 0:
        return f'{-left:.1f} s late'
    return f'{left:.1f} s left'
