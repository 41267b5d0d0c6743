"""Decoding of whole topics; invalid records are reported and skipped."""

from collections.abc import Callable, Iterable, Iterator
from typing import TypeVar

from ebonystream.gossip import RegisteredHost
from ebonystream.orders import OrdersListing
from ebonystream.platform._configuration import (
    CONFIGURATION_KEY,
    decode_configuration,
)
from ebonystream.platform._errors import FormatError
from ebonystream.platform._hosts import decode_host
from ebonystream.platform._orders import (
    ROLLOUT_PREFIX,
    decode_version_order,
    parse_evacuated_zone,
)
from ebonystream.platform._servers import decode_server
from ebonystream.platform._store_messages import KeyedRecord, Listing
from ebonystream.roster import ServerEntry
from ebonystream.route import RouteConfiguration

Decoded = TypeVar('Decoded')

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
    return tuple(_decode_each(listing.records, decode_server, on_unreadable))


def decode_hosts(
    listing: Listing, on_unreadable: UnreadableRecordCallback
) -> tuple[RegisteredHost, ...]:
    """Decode the addresses and zones of all hosts that ever registered.

    Args:
        listing: The newest record of each host.
        on_unreadable: Called for each record that can't be decoded.
    """
    return tuple(_decode_each(listing.records, decode_host, on_unreadable))


def decode_orders(
    listing: Listing, on_unreadable: UnreadableRecordCallback
) -> OrdersListing:
    """Decode all orders of the operators, skipping invalid records.

    Args:
        listing: The newest records of the operators' topic.
        on_unreadable: Called for each record that can't be decoded.
    """
    zones = (parse_evacuated_zone(record) for record in listing.records)
    configurations = (
        record for record in listing.records if record.key == CONFIGURATION_KEY
    )
    rollouts = (
        record
        for record in listing.records
        if record.key.startswith(ROLLOUT_PREFIX)
    )
    return OrdersListing(
        era=listing.era,
        end=listing.end,
        configuration=next(
            _decode_each(configurations, _decode_configuration, on_unreadable),
            None,
        ),
        zones_out=frozenset(zone for zone in zones if zone is not None),
        moves=tuple(
            _decode_each(rollouts, decode_version_order, on_unreadable)
        ),
    )


def _decode_configuration(record: KeyedRecord) -> RouteConfiguration:
    return decode_configuration(record.content)


def _decode_each(
    records: Iterable[KeyedRecord],
    decode: Callable[[KeyedRecord], Decoded],
    on_unreadable: UnreadableRecordCallback,
) -> Iterator[Decoded]:
    for record in records:
        try:
            yield decode(record)
        except FormatError as error:
            on_unreadable(record.key, str(error))
