"""Whole listings of the store's topics, in the product's types."""

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
"""Is told the key of a record that can't be read, and why."""


def decode_servers(
    listing: Listing, note: UnreadableRecordCallback
) -> tuple[ServerEntry, ...]:
    """Read the entries of all backend servers; unreadable ones are left out.

    Args:
        listing: The newest records of the servers' topic.
        note: Is told of each unreadable record.
    """
    entries: list[ServerEntry] = []
    for record in listing.records:
        try:
            entries.append(decode_server(record))
        except FormatError as error:
            note(record.key, str(error))
    return tuple(entries)


def decode_orders(
    listing: Listing, note: UnreadableRecordCallback
) -> OrdersListing:
    """Read all that operators ordered; unreadable records are left out.

    Args:
        listing: The newest records of the operators' topic.
        note: Is told of each unreadable record.
    """
    zones = (parse_evacuated_zone(record) for record in listing.records)
    return OrdersListing(
        end=listing.end,
        configuration=_find_configuration(listing.records, note),
        zones_out=frozenset(zone for zone in zones if zone is not None),
        moves=tuple(_list_moves(listing.records, note)),
    )


def _find_configuration(
    records: Iterable[KeyedRecord], note: UnreadableRecordCallback
) -> RouteConfiguration | None:
    for record in records:
        if record.key != CONFIGURATION_KEY:
            continue
        try:
            return decode_configuration(record.content)
        except FormatError as error:
            note(record.key, str(error))
    return None


def _list_moves(
    records: Iterable[KeyedRecord], note: UnreadableRecordCallback
) -> Iterable[VersionOrder]:
    for record in records:
        if not record.key.startswith(ROLLOUT_PREFIX):
            continue
        try:
            yield decode_version_order(record)
        except FormatError as error:
            note(record.key, str(error))
