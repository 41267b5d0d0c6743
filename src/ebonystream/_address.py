"""Network addresses."""

import attrs


@attrs.frozen
class ServerAddress:
    """Address at which a server or a host listens.

    Attributes:
        address: IP address.
        port: TCP port.
    """

    address: str
    port: int
