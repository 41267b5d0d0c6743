"""Judging: each version move gets its verdict in the log."""

from collections.abc import Iterator
from random import Random

from ebonystream._ids import MoveId, Seconds
from ebonystream._timers import Timers
from ebonystream.move import EndMove, VerdictKind
from ebonystream.version._traffic import VersionTraffic

JUDGE_PERIOD = Seconds(0.5)

LONGEST_PAUSE = Seconds(0.5)
"""How long a host leaves a verdict to others, at most."""

MOVED_REASON = 'every route moved with its evidence'

Judgement = tuple[MoveId, VerdictKind, str]


async def judge_version_moves(
    *,
    traffic: VersionTraffic,
    end_move: EndMove,
    timers: Timers,
    random: Random,
) -> None:
    """Let version moves grow and ask the log for their verdicts, for ever.

    Args:
        traffic: The moves of this host.
        end_move: Asks the log for a verdict; it may fail and is asked again.
        timers: Tells the time.
        random: The seeded source of random choices.
    """
    async for _ in timers.subscribe(period=JUDGE_PERIOD):
        traffic.refresh(timers.wall_ms())
        if not any(list_judgements(traffic)):
            continue
        # Every host sees it at about the same time; mostly one of them asks.
        await timers.wait(Seconds(random.uniform(0, LONGEST_PAUSE)))
        traffic.refresh(timers.wall_ms())
        for move, verdict, reason in list(list_judgements(traffic)):
            await end_move(move, verdict, reason)


def list_judgements(traffic: VersionTraffic) -> Iterator[Judgement]:
    """Give the verdicts that this host would have now.

    Args:
        traffic: The moves of this host.
    """
    for move, progress in traffic.progress.items():
        if progress.brake is not None:
            yield move, VerdictKind.TAKEN_BACK, progress.brake
        elif progress.has_moved:
            yield move, VerdictKind.FINISHED, MOVED_REASON
