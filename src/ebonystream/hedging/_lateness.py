"""How late recent responses were, relative to their expected latency."""

from collections import deque
from collections.abc import Iterable

import attrs

from ebonystream._ids import Monotonic, RouteName, Seconds, ServiceName

DEFAULT_QUANTILE = 0.95
MIN_QUANTILE = 0.8
MAX_QUANTILE = 0.98
"""Bounds on the share of the recent responses that are not late."""

MIN_SAMPLES = 20
"""Number of samples below which no request is hedged; the quantile then is the
second largest of them."""

MAX_SAMPLES = 100
"""Number of the newest samples of a route that are kept."""

MAX_SAMPLE_AGE = Seconds(120)
"""Age up to which samples count, in seconds.

A host that sees three requests a second over several routes needs half a
minute for `MIN_SAMPLES` of one route.
"""

MIN_LATENESS = 2
"""Lower bound on the lateness from which a request is hedged.

A second attempt takes as long as a usual one, and most requests that are less
late have ended by then: with 1.5, all hedges of a simulated calm load lost.
"""


@attrs.frozen
class LatenessEstimate:
    """From which multiple of its expected latency an attempt is late.

    Attributes:
        lateness: This multiple.
        samples: Number of responses that it follows from.
        age: Age of the oldest of them, in seconds.
    """

    lateness: float
    samples: int
    age: Seconds


@attrs.frozen
class _Sample:
    ratio: float
    at: Monotonic


@attrs.define
class Lateness:
    """Ratios of the measured to the expected latency, by service and route.

    The expected latency follows the load and the pace that a server reported
    just before the request was sent. In relation to it, responses of different
    routes and times can be compared, which a host with few requests needs.

    Attributes:
        quantile: Share of the recent responses that are not late.
    """

    quantile: float = DEFAULT_QUANTILE

    _samples: dict[tuple[ServiceName, RouteName], deque[_Sample]] = attrs.field(
        factory=dict
    )

    def record(
        self,
        service: ServiceName,
        route: RouteName,
        ratio: float,
        now: Monotonic,
    ) -> None:
        """Record the ratio of a latency to the expected one.

        Args:
            service: The service.
            route: The route of the request.
            ratio: The ratio; of a cancelled attempt, the ratio so far.
            now: The current time.
        """
        samples = self._samples.setdefault(
            (service, route), deque(maxlen=MAX_SAMPLES)
        )
        samples.append(_Sample(ratio, now))

    def estimate(
        self, service: ServiceName, route: RouteName, now: Monotonic
    ) -> LatenessEstimate | None:
        """Estimate from when on an attempt is late; None with few samples.

        Uses the samples of the route, or with too few of them those of all
        routes of the service.

        Args:
            service: The service.
            route: The route of the request.
            now: The current time.
        """
        self._evict(now)
        own = self._samples.get((service, route), ())
        if len(own) >= MIN_SAMPLES:
            return self._estimate(own, now)
        pooled = [
            sample
            for (other, _), samples in self._samples.items()
            if other == service
            for sample in samples
        ]
        return (
            self._estimate(pooled, now) if len(pooled) >= MIN_SAMPLES else None
        )

    def _evict(self, now: Monotonic) -> None:
        """Remove old samples, and routes without any."""
        oldest = now - MAX_SAMPLE_AGE
        for key, samples in list(self._samples.items()):
            while samples and samples[0].at < oldest:
                samples.popleft()
            if not samples:
                self._samples.pop(key)

    def _estimate(
        self, samples: Iterable[_Sample], now: Monotonic
    ) -> LatenessEstimate:
        ordered = sorted(samples, key=lambda sample: sample.ratio)
        rank = min(len(ordered) - 1, int(self.quantile * len(ordered)))
        oldest = min(sample.at for sample in ordered)
        return LatenessEstimate(
            lateness=max(MIN_LATENESS, ordered[rank].ratio),
            samples=len(ordered),
            age=Seconds(now - oldest),
        )


def choose_quantile(ratio: float) -> float:
    """Return the share of responses that are not late, for a limit on hedges.

    As many requests count as late as may be hedged, so that the limit is used
    for the latest ones.

    Args:
        ratio: Hedges allowed for each first attempt, from 0 to 1.
    """
    return min(MAX_QUANTILE, max(MIN_QUANTILE, 1 - ratio))
