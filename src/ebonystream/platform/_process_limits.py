"""Limits of the machine of a process, in the settings file."""

from typing import Annotated

import msgspec

from ebonystream.ingress import DEFAULT_DESCRIPTORS
from ebonystream.platform._errors import FormatError

MAX_MEMORY_MB = 1_048_576
BYTES_PER_MB = 1_048_576
RESPONSE_BUFFER_SHARE = 0.1
"""Share of the memory of a process that incomplete responses may take."""

CLIENT_MEMORY_SHARE = 0.45
"""Share of the memory of a process that it may hold for its clients."""

MAX_CLIENT_MEMORY_SHARE = 0.6
"""Largest share that may be set; the process itself needs the rest."""


class ProcessLimits(msgspec.Struct):
    """Limits of the machine.

    Attributes:
        memory_mb: Memory above which the process is killed, in MB.
        max_fds: Descriptors that it may have open, those of files included.
        client_memory_mb: Memory that it may hold for its clients, in MB; None
            for a share of `memory_mb`.
    """

    memory_mb: Annotated[int, msgspec.Meta(ge=1, le=MAX_MEMORY_MB)] = 200
    max_fds: int = DEFAULT_DESCRIPTORS
    client_memory_mb: float | None = None

    def compute_response_memory(self) -> int:
        """Return the bytes that incomplete responses may take."""
        return int(self.memory_mb * BYTES_PER_MB * RESPONSE_BUFFER_SHARE)

    def compute_client_memory(self) -> int:
        """Return the bytes that may be held for clients.

        Raises:
            FormatError: The setting leaves too little for the process itself.
        """
        client_mb = self.client_memory_mb
        if client_mb is None:
            client_mb = self.memory_mb * CLIENT_MEMORY_SHARE
        if client_mb > self.memory_mb * MAX_CLIENT_MEMORY_SHARE:
            raise FormatError(
                f'client_memory_mb above {MAX_CLIENT_MEMORY_SHARE} of memory_mb'
            )
        return int(client_mb * BYTES_PER_MB)
