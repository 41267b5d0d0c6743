"""Which requests leave free slots to more urgent ones, by configuration."""

import attrs

from ebonystream._ids import RouteName, ServiceName
from ebonystream.orders import Orders
from ebonystream.placement import PlacementRequest
from ebonystream.route import RouteConfiguration, has_time_to_spare


@attrs.define
class PatientRoutes:
    """Routes with time to spare, remembered for the configuration in force.

    Attributes:
        orders: Orders with the configuration in force.
    """

    orders: Orders
    _configuration: RouteConfiguration | None = None
    _known: dict[tuple[RouteName, ServiceName], bool] = attrs.field(
        factory=dict
    )

    def is_patient(self, request: PlacementRequest) -> bool:
        """Return whether a request has time to spare.

        Args:
            request: The request to place.
        """
        configuration = self.orders.configuration
        if configuration is None:
            return False
        if configuration is not self._configuration:
            self._configuration = configuration
            self._known.clear()
        key = (request.route.name, request.service)
        if key not in self._known:
            self._known[key] = has_time_to_spare(
                configuration, request.route, request.service
            )
        return self._known[key]
