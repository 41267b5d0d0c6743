"""The two lists in force and the rules for publishing new ones."""

from typing import Any

import attrs
import msgspec
from pydantic import ValidationError

from ebonystream._ids import ConfigurationVersion
from ebonystream.configuration._lists import Lists
from ebonystream.configuration._records import Publish
from ebonystream.configuration._table import PlanTable, index_lists
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.settings import name_faults

NO_VERSION = ConfigurationVersion(0)


@attrs.define
class Published:
    """The lists in force.

    Attributes:
        version: Their version; 0 before the first publish.
        lists: The two lists.
        plans: The same, indexed for look-ups.
    """

    version: ConfigurationVersion = NO_VERSION
    lists: Lists | None = None
    plans: PlanTable | None = None

    def publish(self, publish: Publish) -> None:
        """Put new lists in force.

        Args:
            publish: What was asked.

        Raises:
            EbonystreamError: The lists are faulty, or based on another
                version than the one in force; nothing changes.
        """
        if publish.based_on != self.version:
            raise EbonystreamError(
                ErrorKind.PUBLISH_REJECTED,
                f'based on version {publish.based_on}, '
                f'but version {self.version} is in force',
            )
        lists = check_lists(publish.lists)
        self.version = ConfigurationVersion(self.version + 1)
        self.lists = lists
        self.plans = index_lists(lists)


def check_lists(lists: dict[str, Any]) -> Lists:
    """Check the spelling of both lists.

    Args:
        lists: The lists, in the spelling of the operators.

    Raises:
        EbonystreamError: They have faults; each is named with its JSON path.
    """
    try:
        return Lists.model_validate_json(
            msgspec.json.encode(lists), strict=True
        )
    except ValidationError as error:
        faults = '; '.join(map(str, name_faults(error)))
        raise EbonystreamError(ErrorKind.PUBLISH_REJECTED, faults) from error


def load_published(
    version: ConfigurationVersion, lists: dict[str, Any] | None
) -> Published:
    """Make the lists in force that a state spells.

    Raises:
        EbonystreamError: The lists have faults.
    """
    if lists is None:
        return Published(version)
    checked = check_lists(lists)
    return Published(version, checked, index_lists(checked))
