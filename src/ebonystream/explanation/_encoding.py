"""Encoding of an explanation as JSON."""

import enum
from typing import Any

import attrs
import msgspec

from ebonystream.explanation._explanation import Explanation

DIGITS = 4
"""Digits after the point of encoded figures."""


def encode_explanation(explanation: Explanation) -> bytes:
    """Encode an explanation as JSON.

    Args:
        explanation: The explanation.
    """
    fields = attrs.asdict(explanation, value_serializer=_serialize)
    return msgspec.json.encode(fields)


def _serialize(
    owner: Any, attribute: 'attrs.Attribute[Any] | None', field: Any
) -> Any:
    if isinstance(field, enum.Enum):
        return field.value
    return round(field, DIGITS) if isinstance(field, float) else field
