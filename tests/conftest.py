"""Every test runs its tasks in the same order each time."""

import pytest
import trio

SCHEDULER_SEED = 0


@pytest.fixture(autouse=True)
def fix_schedule():
    """Seed the order in which trio runs tasks that are ready together."""
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(SCHEDULER_SEED)
