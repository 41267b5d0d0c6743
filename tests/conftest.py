"""Make the order in which trio runs tasks reproducible in every test."""

import pytest
import trio

SCHEDULER_SEED = 0


@pytest.fixture(autouse=True)
def seed_scheduler():
    """Seed the order in which trio runs tasks that are ready at once."""
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(SCHEDULER_SEED)
