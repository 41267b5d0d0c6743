"""Idempotency keys: UUIDv7, which carry a time label of their own."""

import uuid
from random import Random

import xxhash

from ebonystream._ids import EpochMs, IdempotencyKey, SliceNumber
from ebonystream.errors import EbonystreamError, ErrorKind

SLICES = 64
"""How many slices the key space has; the same on every host, for ever."""

KEY_VERSION = 7
LABEL_SHIFT = 80
VERSION_SHIFT = 76
HIGH_RANDOM_SHIFT = 64
HIGH_RANDOM_BITS = 12
VARIANT_SHIFT = 62
RFC_VARIANT = 2
LOW_RANDOM_BITS = 62


def parse_key(sent: bytes) -> IdempotencyKey:
    """Read an idempotency key and give its canonical spelling.

    Args:
        sent: What stands in the caller's header.

    Raises:
        EbonystreamError: It is no UUIDv7.
    """
    text = sent.decode('latin-1')
    try:
        parsed = uuid.UUID(text)
    except ValueError as error:
        raise EbonystreamError(ErrorKind.KEY_MALFORMED, text) from error
    if parsed.version != KEY_VERSION:
        raise EbonystreamError(ErrorKind.KEY_MALFORMED, f'{text}: not UUIDv7')
    return IdempotencyKey(str(parsed))


def read_label(key: IdempotencyKey) -> EpochMs:
    """Give the time label of a key.

    Args:
        key: A key that `parse_key` gave.
    """
    return EpochMs(uuid.UUID(key).int >> LABEL_SHIFT)


def find_slice(key: IdempotencyKey) -> SliceNumber:
    """Give the slice that a key falls into.

    Args:
        key: A key that `parse_key` gave.
    """
    return SliceNumber(xxhash.xxh3_64_intdigest(key.encode()) % SLICES)


def make_key(label: EpochMs, random: Random) -> IdempotencyKey:
    """Make a fresh key.

    Args:
        label: Its time label.
        random: Where its random bits come from.
    """
    high = random.getrandbits(HIGH_RANDOM_BITS) << HIGH_RANDOM_SHIFT
    low = random.getrandbits(LOW_RANDOM_BITS)
    fixed = (KEY_VERSION << VERSION_SHIFT) | (RFC_VARIANT << VARIANT_SHIFT)
    whole = (label << LABEL_SHIFT) | fixed | high | low
    return IdempotencyKey(str(uuid.UUID(int=whole)))
