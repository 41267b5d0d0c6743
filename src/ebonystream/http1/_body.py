"""The body of a message while it is received."""

from io import BytesIO

import attrs


@attrs.define
class BodyBuffer:
    """The parts of a body that were received.

    Most bodies have one part, which is kept as it is. The parts of others are
    appended to one buffer, as small parts would take far more memory than their
    bytes if each were an object.

    Attributes:
        size: Size of the body so far, in bytes.
    """

    size: int = 0
    _first_part: bytes = b''
    _parts: BytesIO | None = None

    def add(self, data: bytes) -> None:
        """Append a part.

        Args:
            data: The part.
        """
        self.size += len(data)
        if self._parts is not None:
            self._parts.write(data)
        elif self._first_part:
            self._parts = BytesIO()
            self._parts.write(self._first_part)
            self._parts.write(data)
            self._first_part = b''
        else:
            self._first_part = data

    def get_content(self) -> bytes:
        """Return the body so far, without a copy of it."""
        if self._parts is None:
            return self._first_part
        return self._parts.getvalue()

    def clear(self) -> None:
        """Drop all parts."""
        self.size = 0
        self._first_part = b''
        self._parts = None
