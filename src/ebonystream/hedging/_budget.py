"""Limit on hedges, as a share of the first attempts of a service."""

import attrs

from ebonystream._ids import ServiceName

MAX_TOKENS = 2
"""Hedges that a host accumulates at most, so that it sends no burst of them
after a calm time."""


@attrs.define
class HedgeBudget:
    """Limits the hedges that this host sends to each service.

    Each host earns hedges with its own first attempts and starts without any.
    The share therefore holds over all hosts without an exchange between them.

    Attributes:
        ratio: Hedges allowed for each first attempt, from 0 to 1.
    """

    ratio: float
    _tokens: dict[ServiceName, float] = attrs.field(factory=dict)

    def record_first_attempt(self, service: ServiceName) -> None:
        """Record the first attempt of a request.

        Args:
            service: Service that the request is sent to.
        """
        tokens = self._tokens.get(service, 0)
        self._tokens[service] = min(MAX_TOKENS, tokens + self.ratio)

    def has_hedge(self, service: ServiceName) -> bool:
        """Return whether a hedge is within the limit.

        Args:
            service: Service that the hedge would be sent to.
        """
        return self._tokens.get(service, 0) >= 1

    def take_hedge(self, service: ServiceName) -> None:
        """Take a hedge, after `has_hedge` has returned True.

        Args:
            service: Service that the hedge is sent to.
        """
        self._tokens[service] -= 1
