"""The order in which tasks run that are ready at the same time."""

from trio._core import _run as scheduler


def seed_schedule(seed: int) -> None:
    """Make the order of tasks the same in each run with a seed.

    The library has no public way; its own tests do it like this.

    Args:
        seed: The seed.
    """
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]
    scheduler._r.seed(seed)
