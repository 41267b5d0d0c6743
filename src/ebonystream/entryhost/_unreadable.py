"""Records of the store that cannot be decoded, each logged once."""

from collections.abc import Mapping

import attrs

from ebonystream.decisionlog import EventLogger


@attrs.define
class UnreadableRecords:
    """The records of each topic that could not be decoded at its last read.

    Attributes:
        log_event: Writes a log line.
    """

    log_event: EventLogger
    _keys: dict[str, frozenset[str]] = attrs.field(factory=dict)

    def update(self, topic: str, reasons: Mapping[str, str]) -> None:
        """Replace the unreadable records of a topic, and log the new ones.

        Args:
            topic: The name of the topic.
            reasons: Why each record could not be decoded, by its key.
        """
        known = self._keys.get(topic, frozenset())
        for key, why in reasons.items():
            if key not in known:
                self.log_event(
                    'record_unreadable', topic=topic, key=key, why=why
                )
        self._keys[topic] = frozenset(reasons)

    def count(self) -> int:
        """Count the unreadable records of all topics."""
        return sum(map(len, self._keys.values()))
