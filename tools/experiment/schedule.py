"""Controls the order of tasks that are ready to run at the same time."""

from trio._core import _run as scheduler


def seed_task_order(seed: int) -> None:
    """Make the order of tasks reproducible.

    Trio has no public interface for this; its own tests use these private
    attributes.

    Args:
        seed: Seed of the scheduler's random number generator.
    """
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]
    scheduler._r.seed(seed)
