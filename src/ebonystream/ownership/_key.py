"""Idempotency keys: UUIDs of version 7, which contain a timestamp."""

import uuid
from random import Random

import xxhash

from ebonystream._ids import EpochMs, IdempotencyKey, SliceNumber
from ebonystream.errors import EbonystreamError, ErrorKind

SLICE_COUNT = 64
"""Number of slices of the key space; must be equal on all hosts, for ever."""

KEY_VERSION = 7
TIMESTAMP_SHIFT = 80
VERSION_SHIFT = 76
HIGH_RANDOM_SHIFT = 64
HIGH_RANDOM_BITS = 12
VARIANT_SHIFT = 62
RFC_VARIANT = 2
LOW_RANDOM_BITS = 62


def parse_key(value: bytes) -> IdempotencyKey:
    """Parse an idempotency key and return its canonical form.

    Args:
        value: Value of the caller's header field.

    Raises:
        EbonystreamError: The value is not a UUID of version 7.
    """
    text = value.decode('latin-1')
    try:
        parsed = uuid.UUID(text)
    except ValueError as error:
        raise EbonystreamError(ErrorKind.KEY_MALFORMED, text) from error
    if parsed.version != KEY_VERSION:
        raise EbonystreamError(ErrorKind.KEY_MALFORMED, f'{text}: not UUIDv7')
    return IdempotencyKey(str(parsed))


def get_timestamp(key: IdempotencyKey) -> EpochMs:
    """Return the timestamp in a key.

    Args:
        key: Key in the canonical form.
    """
    return EpochMs(uuid.UUID(key).int >> TIMESTAMP_SHIFT)


def compute_slice(key: IdempotencyKey) -> SliceNumber:
    """Return the slice that a key belongs to.

    Args:
        key: Key in the canonical form.
    """
    return SliceNumber(xxhash.xxh3_64_intdigest(key.encode()) % SLICE_COUNT)


def make_key(timestamp: EpochMs, random: Random) -> IdempotencyKey:
    """Return a new key.

    Args:
        timestamp: Timestamp of the key.
        random: Random numbers for the rest of the key.
    """
    high = random.getrandbits(HIGH_RANDOM_BITS) << HIGH_RANDOM_SHIFT
    low = random.getrandbits(LOW_RANDOM_BITS)
    fixed = (KEY_VERSION << VERSION_SHIFT) | (RFC_VARIANT << VARIANT_SHIFT)
    bits = (timestamp << TIMESTAMP_SHIFT) | fixed | high | low
    return IdempotencyKey(str(uuid.UUID(int=bits)))
