"""Orders to move the requests of a service to another version of it."""

import attrs

from ebonystream._ids import MoveId, Seconds, ServiceName, VersionName
from ebonystream._validation import validate_duration, validate_name


@attrs.frozen(kw_only=True)
class VersionOrder:
    """Order to move the requests of a service to another version of it.

    Attributes:
        id: Unique identifier of the order; repeating an order gives a new one.
        service: Service whose requests move.
        version: Version whose backend servers receive the requests.
        within: Time limit of the move, in seconds.
    """

    id: MoveId
    service: ServiceName = attrs.field(validator=validate_name)
    version: VersionName = attrs.field(validator=validate_name)
    within: Seconds = attrs.field(validator=validate_duration)

    def has_terms_of(self, other: 'VersionOrder') -> bool:
        """Return whether two orders differ in nothing but their identifiers.

        Args:
            other: The other order.
        """
        return attrs.evolve(self, id=other.id) == other
