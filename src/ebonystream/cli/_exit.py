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
    """The entry host did not answer."""

    UNKNOWN = 4
    """It can't be told whether it took effect; read before you repeat."""
