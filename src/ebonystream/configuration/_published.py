"""The two lists in force, and the rules for publishing new ones."""

from typing import Any

import attrs
import msgspec
from pydantic import ValidationError

from ebonystream._ids import ConfigurationVersion
from ebonystream.configuration._lists import PlanLists
from ebonystream.configuration._records import Publish
from ebonystream.configuration._table import PlanTable, make_plan_table
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.settings import list_faults

NO_VERSION = ConfigurationVersion(0)


@attrs.define
class PublishedLists:
    """The lists in force.

    Attributes:
        version: Their version; 0 before the first publish.
        lists: The two lists.
        plan_table: The same, indexed for look-ups.
    """

    version: ConfigurationVersion = NO_VERSION
    lists: PlanLists | None = None
    plan_table: PlanTable | None = None

    def publish(self, record: Publish) -> None:
        """Replace the lists in force.

        Args:
            record: The publish.

        Raises:
            EbonystreamError: The lists are invalid, or not based on the
                version in force; nothing changes.
        """
        if record.based_on != self.version:
            raise EbonystreamError(
                ErrorKind.PUBLISH_REJECTED,
                f'based on version {record.based_on}, '
                f'but version {self.version} is in force',
            )
        lists = validate_lists(record.lists)
        self.version = ConfigurationVersion(self.version + 1)
        self.lists = lists
        self.plan_table = make_plan_table(lists)


def validate_lists(lists: dict[str, Any]) -> PlanLists:
    """Validate both lists.

    Args:
        lists: The lists as JSON values, as the operators wrote them.

    Raises:
        EbonystreamError: The lists are invalid; the message names each fault
            with its JSON path.
    """
    try:
        return PlanLists.model_validate_json(
            msgspec.json.encode(lists), strict=True
        )
    except ValidationError as error:
        faults = '; '.join(map(str, list_faults(error)))
        raise EbonystreamError(ErrorKind.PUBLISH_REJECTED, faults) from error


def load_published(
    version: ConfigurationVersion, lists: dict[str, Any] | None
) -> PublishedLists:
    """Restore the lists in force from a serialized state.

    Args:
        version: The version of the lists.
        lists: The lists as JSON values; None before the first publish.

    Raises:
        EbonystreamError: The lists are invalid.
    """
    if lists is None:
        return PublishedLists(version)
    validated = validate_lists(lists)
    return PublishedLists(version, validated, make_plan_table(validated))
