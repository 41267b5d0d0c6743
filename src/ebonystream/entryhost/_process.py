"""Preparation of the process of an entry host."""

from collections.abc import Mapping
from pathlib import Path

from ebonystream._allocator import return_large_buffers
from ebonystream.entryhost._hedging import read_hedge_ratio
from ebonystream.platform import SETTINGS_VARIABLE


def prepare_process(environment: Mapping[str, str]) -> Path:
    """Configure the allocator and check the variables of the process.

    Args:
        environment: Variables of the process.

    Returns:
        The path of the settings file.

    Raises:
        ValueError: A variable is invalid.
    """
    return_large_buffers()
    read_hedge_ratio(environment)
    return Path(environment[SETTINGS_VARIABLE])
