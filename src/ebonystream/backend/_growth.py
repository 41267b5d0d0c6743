"""How many calls at a time a starting backend server bears."""

import attrs

from ebonystream._ids import Monotonic, Seconds

COLD_LIMIT = 1
"""Calls that a cold server is sent at the same time, over all entry hosts."""

FIRST_ANSWERS = 24
"""Answers in a row after which a cold server is sent more than the limit."""

ANSWERS_PER_STEP = 8
"""Answers in a row for each further call at a time."""

FIRST_PAUSE = Seconds(0.1)
"""How long a starting server is left alone after its first failure."""

LONGEST_PAUSE = Seconds(2)
"""How long it is left alone at most after failures in a row."""


@attrs.define
class Growth:
    """What a starting server bears; it grows with answers, not with time.

    Attributes:
        limit: Calls that it bears at the same time.
        answers: Answers in a row since the limit grew.
        failures: Failures in a row since the last answer.
        resting_until: When the next call may be tried after a failure.
        since: When the growth began.
        answered_at: When the newest answer came.
    """

    limit: int = COLD_LIMIT
    answers: int = 0
    failures: int = 0
    resting_until: Monotonic = Monotonic(0)
    since: Monotonic = Monotonic(0)
    answered_at: Monotonic = Monotonic(0)

    def restart(self, now: Monotonic) -> None:
        """Begin again from the cold limit."""
        self.limit = COLD_LIMIT
        self.answers = 0
        self.since = now

    def add_failure(self, now: Monotonic) -> None:
        """Begin again, after a pause that doubles with each failure in a row.

        Args:
            now: The present time.
        """
        self.restart(now)
        pause = min(LONGEST_PAUSE, FIRST_PAUSE * 2**self.failures)
        self.failures += 1
        self.resting_until = Monotonic(now + pause)

    def add_answer(self, slots: int, now: Monotonic) -> bool:
        """Take an answer in; True where the server bears all its slots.

        Args:
            slots: Calls that the server works on at the same time.
            now: The present time.
        """
        self.failures = 0
        self.answers += 1
        self.answered_at = now
        is_first = self.limit == COLD_LIMIT
        needed = FIRST_ANSWERS if is_first else ANSWERS_PER_STEP
        if self.answers < needed:
            return False
        if self.limit >= slots:
            return True
        self.answers = 0
        self.limit += 1
        return False
