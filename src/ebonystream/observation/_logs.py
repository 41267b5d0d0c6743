"""Structured logs: JSON lines, with one eliot action for each call."""

from typing import BinaryIO

import eliot


def start_logs(destination: BinaryIO) -> None:
    """Write log lines to a binary file, each as soon as it is logged.

    Args:
        destination: The file.
    """
    eliot.to_file(destination)
