"""Records of the control stream, as JSON."""

from typing import Any

import msgspec

from ebonystream._ids import ConfigurationVersion


class Publish(msgspec.Struct, tag='publish', frozen=True):
    """Both lists, published together.

    Attributes:
        publish_id: Names this publish, so that its sender finds it again.
        based_on: The version that the operator had read.
        lists: The lists, in the spelling of the operators.
    """

    publish_id: str
    based_on: ConfigurationVersion
    lists: dict[str, Any]


ControlRecord = Publish
