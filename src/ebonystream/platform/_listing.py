"""Decoding of whole topics; invalid records are reported and skipped."""

from collections.abc import Callable, Iterable

from ebonystream.orders import OrdersListing, VersionOrder
from ebonystream.platform._configuration import (
    CONFIGURATION_KEY,
    decode_configuration,
)
from ebonystream.platform._errors import FormatError
from ebonystream.platform._orders import (
    ROLLOUT_PREFIX,
    decode_version_order,
    parse_evacuated_zone,
)
from ebonystream.platform._servers import decode_server
from ebonystream.platform._store import KeyedRecord, Listing
from ebonystream.roster import ServerEntry
from ebonystream.route import RouteConfiguration

UnreadableRecordCallback = Callable[[str, str], None]
"""Called with the key of a record that can't be decoded and the reason."""


def decode_servers(
    listing: Listing, on_unreadable: UnreadableRecordCallback
) -> tuple[ServerEntry, ...]:
    """Decode the entries of all backend servers, skipping invalid ones.

    Args:
        listing: The newest records of the servers' topic.
        on_unreadable: Called for each record that can't be decoded.
    """
    entries: list[ServerEntry] = []
    for record in listing.records:
        try:
            entries.append(decode_server(record))
        except FormatError as error:
            on_unreadable(record.key, str(error))
    return tuple(entries)


def decode_orders(
    listing: Listing, on_unreadable: UnreadableRecordCallback
) -> OrdersListing:
    """Decode all orders of the operators, skipping invalid records.

    Args:
        listing: The newest records of the operators' topic.
        on_unreadable: Called for each record that can't be decoded.
    """
    zones = (parse_evacuated_zone(record) for record in listing.records)
    return OrdersListing(
        end=listing.end,
        configuration=_decode_configuration(listing.records, on_unreadable),
        zones_out=frozenset(zone for zone in zones if zone is not None),
        moves=tuple(_decode_version_orders(listing.records, on_unreadable)),
    )


def _decode_configuration(
    records: Iterable[KeyedRecord], on_unreadable: UnreadableRecordCallback
) -> RouteConfiguration | None:
    for record in records:
        if record.key != CONFIGURATION_KEY:
            continue
        try:
            return decode_configuration(record.content)
        except FormatError as error:
            on_unreadable(record.key, str(error))
    return None


def _decode_version_orders(
    records: Iterable[KeyedRecord], on_unreadable: UnreadableRecordCallback
) -> Iterable[VersionOrder]:
    for record in records:
        if not record.key.startswith(ROLLOUT_PREFIX):
            continue
        try:
            yield decode_version_order(record)
        except FormatError as error:
            on_unreadable(record.key, str(error))
