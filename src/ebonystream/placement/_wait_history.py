"""When requests last waited for each service."""

import attrs

from ebonystream._ids import Monotonic, ServiceName

NEVER = Monotonic(float('-inf'))


@attrs.define
class WaitHistory:
    """When a request last left the wait queue of each service."""

    _last_waits: dict[ServiceName, Monotonic] = attrs.field(factory=dict)

    def record(self, service: ServiceName, now: Monotonic) -> None:
        """Record that a request has stopped waiting for a service.

        Args:
            service: Name of the service.
            now: The current time.
        """
        self._last_waits[service] = now

    def has_since(self, service: ServiceName, since: Monotonic) -> bool:
        """Return whether a request has waited for a service since a time.

        Args:
            service: Name of the service.
            since: Requests that had stopped waiting by then do not count.
        """
        return self._last_waits.get(service, NEVER) > since
