"""Decay of observations with their age, finite for any age."""

from ebonystream._ids import Seconds


def decay(amount: float, age: Seconds, *, half_life: Seconds) -> float:
    """Return what is left of an amount.

    Args:
        amount: The amount when it was observed.
        age: Time since then, in seconds; a negative one counts as none.
        half_life: Time after which half of it is left, in seconds.
    """
    return float(amount * 0.5 ** (max(0, age) / half_life))
