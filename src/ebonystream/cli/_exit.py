"""Exit codes of the commands."""

import enum


class ExitCode(enum.IntEnum):
    """The exit code of a command."""

    DONE = 0
    """The command succeeded."""

    REFUSED = 1
    """The request was refused; nothing changed."""

    BAD_INPUT = 2
    """A file or an argument is invalid; nothing was started."""

    UNREACHABLE = 3
    """The entry host did not respond; no change was requested."""

    UNKNOWN = 4
    """The request may have taken effect; repeat it with the same id."""

    TAKEN_BACK = 5
    """The watched move was taken back."""

    NOT_FINISHED = 6
    """The watched move was still open at the timeout."""
