"""Logs: JSON lines, one action for each call."""

from typing import BinaryIO

import eliot


def start_logs(destination: BinaryIO) -> None:
    """Send log lines to a file.

    Args:
        destination: Where each line is written as it arises.
    """
    eliot.to_file(destination)
