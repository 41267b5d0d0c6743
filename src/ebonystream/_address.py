"""Where something listens."""

import attrs


@attrs.frozen
class ServerAddress:
    """Where a backend server listens.

    Attributes:
        address: Its IP number.
        port: Its TCP port.
    """

    address: str
    port: int
