"""Exit codes of the command line."""

import enum


class ExitCode(enum.IntEnum):
    """What a command's exit code means."""

    DONE = 0
    """It was done."""

    REFUSED = 1
    """It was refused, and nothing changed."""

    BAD_INPUT = 2
    """A file or an argument is faulty; nothing was started."""

    UNREACHABLE = 3
    """The entry host did not answer, and nothing was asked of it."""

    UNKNOWN = 4
    """It can't be told whether it took effect; ask again with the same id."""

    TAKEN_BACK = 5
    """The move that was watched was taken back."""

    NOT_FINISHED = 6
    """The move that was watched was still open when the time was up."""
