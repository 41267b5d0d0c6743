"""Decoding of the settings of duties and of usage reporting."""

import msgspec

from ebonystream.entryhost import UsageSettings
from ebonystream.platform._durations import parse_duration
from ebonystream.platform._servers import parse_address

USAGE_DUTY = 'usage_reporting'


class Cloud(msgspec.Struct):
    """The service of the cloud, and the duties that the hosts perform there."""

    address: str
    duties: tuple[str, ...] = ()


class UsageBounds(msgspec.Struct):
    """Bounds on the reports and on the change of the host that sends them."""

    lease_time: str = '3s'
    report_window: str = '5s'
    usage_late: str = '10s'


def decode_usage(
    cloud: Cloud | None, bounds: UsageBounds
) -> UsageSettings | None:
    """Decode the settings of usage reporting; None if it is not asked for.

    Args:
        cloud: The service of the cloud; None if there is none.
        bounds: The bounds on the reports.

    Raises:
        ValueError: A setting is invalid.
    """
    if cloud is None or USAGE_DUTY not in cloud.duties:
        return None
    return UsageSettings(
        endpoint=parse_address(cloud.address),
        lease=parse_duration(bounds.lease_time),
        window=parse_duration(bounds.report_window),
        late=parse_duration(bounds.usage_late),
    )
