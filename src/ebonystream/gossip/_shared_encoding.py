"""Encoding of shared state: large parts are compressed, and encoded once.

All hosts of a zone fetch a change from one host at about the same time, over
its one connection to the network.
"""

import zlib
from collections.abc import Hashable
from typing import TypeVar

import attrs
import msgspec

from ebonystream._ids import Incarnation, Offset, StoreEra
from ebonystream._validation import UNDECODABLE
from ebonystream.gossip._shared_state import (
    Age,
    SharedEntries,
    SharedOrders,
    SharedResponse,
)
from ebonystream.orders import OrdersListing
from ebonystream.roster import ServerEntry

MAX_LISTING_BYTES = 33_554_432
"""Maximum size of an uncompressed listing; more is not read."""

ORDERS_ENCODING = 1
"""Version of the encoding of orders. Hosts without one leave out workspaces,
so that their orders would let in requests without a key."""

MALFORMED = (*UNDECODABLE, zlib.error)
"""Errors of a response that can't be decoded."""

Decoded = TypeVar('Decoded')


class _EncodedOrders(msgspec.Struct, frozen=True, array_like=True):
    age: Age
    listing: bytes | None
    encoding: int = 0
    end: Offset | None = None
    asked_age: Age | None = None
    era: StoreEra = StoreEra(0)


class _EncodedEntries(msgspec.Struct, frozen=True, array_like=True):
    age: Age
    revision: int
    entries: bytes | None


class _EncodedResponse(msgspec.Struct, frozen=True, array_like=True):
    source: Incarnation
    orders: _EncodedOrders | None
    entries: _EncodedEntries | None


@attrs.define
class EncodedListing:
    """The latest listing that was encoded.

    Attributes:
        version: Version of that listing.
        content: The listing, encoded and compressed.
    """

    version: Hashable = None
    content: bytes = b''

    def encode(self, version: Hashable, listing: object) -> bytes:
        """Encode a listing, unless its version is the latest one.

        Args:
            version: Version of the listing.
            listing: The listing.
        """
        if not self.content or version != self.version:
            self.version = version
            self.content = zlib.compress(msgspec.msgpack.encode(listing))
        return self.content


@attrs.define
class SharedEncoder:
    """Encodes shared state for other hosts.

    Attributes:
        orders: The latest orders that were encoded.
        entries: The latest server entries that were encoded.
    """

    orders: EncodedListing = attrs.field(factory=EncodedListing)
    entries: EncodedListing = attrs.field(factory=EncodedListing)

    def encode(self, shared: SharedResponse) -> bytes:
        """Encode shared state.

        Args:
            shared: The state for one host.
        """
        return msgspec.msgpack.encode(
            _EncodedResponse(
                source=shared.source,
                orders=self._encode_orders(shared.orders),
                entries=self._encode_entries(shared.entries),
            )
        )

    def _encode_orders(
        self, shared: SharedOrders | None
    ) -> _EncodedOrders | None:
        if shared is None:
            return None
        listing = shared.listing
        content: bytes | None = None
        if listing is not None:
            content = self.orders.encode(listing.position, listing)
        return _EncodedOrders(
            age=shared.age,
            listing=content,
            encoding=ORDERS_ENCODING,
            end=shared.end,
            asked_age=shared.asked_age,
            era=shared.era,
        )

    def _encode_entries(
        self, shared: SharedEntries | None
    ) -> _EncodedEntries | None:
        if shared is None:
            return None
        entries: bytes | None = None
        if shared.entries is not None:
            entries = self.entries.encode(shared.revision, shared.entries)
        return _EncodedEntries(shared.age, shared.revision, entries)


def decode_shared(body: bytes) -> SharedResponse:
    """Decode shared state; raises one of `MALFORMED` if it is malformed.

    Args:
        body: The encoded state.
    """
    encoded = msgspec.msgpack.decode(body, type=_EncodedResponse)
    return SharedResponse(
        source=encoded.source,
        orders=_decode_orders(encoded.orders),
        entries=_decode_entries(encoded.entries),
    )


def _decode_orders(encoded: _EncodedOrders | None) -> SharedOrders | None:
    """Decode orders; those of another encoding count as none.

    The entries beside them are still used, and the host reads the orders from
    the store once no other host provides them. A malformed listing of an
    earlier encoding makes the response malformed, as in the present one.
    """
    if encoded is None or encoded.encoding > ORDERS_ENCODING:
        return None
    listing = _decode_listing(encoded.listing, OrdersListing)
    if encoded.encoding < ORDERS_ENCODING:
        return None
    return SharedOrders(
        age=encoded.age,
        listing=listing,
        end=encoded.end,
        asked_age=encoded.asked_age,
        era=encoded.era,
    )


def _decode_entries(encoded: _EncodedEntries | None) -> SharedEntries | None:
    if encoded is None:
        return None
    return SharedEntries(
        encoded.age,
        encoded.revision,
        _decode_listing(encoded.entries, tuple[ServerEntry, ...]),
    )


def _decode_listing(
    content: bytes | None, listing_type: type[Decoded]
) -> Decoded | None:
    if content is None:
        return None
    decompressed = zlib.decompressobj().decompress(content, MAX_LISTING_BYTES)
    return msgspec.msgpack.decode(decompressed, type=listing_type)
