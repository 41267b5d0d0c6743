"""Publishing of the two lists: accepted means read back."""

from collections.abc import Awaitable, Callable
from typing import Any

from ebonystream._ids import ConfigurationVersion, RequestId
from ebonystream.configuration._asking import Ask
from ebonystream.configuration._published import check_lists
from ebonystream.configuration._records import Publish

PublishLists = Callable[
    [RequestId, ConfigurationVersion, dict[str, Any]],
    Awaitable[ConfigurationVersion],
]
"""Publishes both lists, based on a version, and gives the new version.

Raises `EbonystreamError` of the kind `PUBLISH_REJECTED` where the lists are
faulty or another publish came first, and `LOG_UNAVAILABLE` where it can't be
told in time whether the log took them.
"""


def make_publishing(ask: Ask) -> PublishLists:
    """Make the function that publishes the two lists.

    Args:
        ask: Asks the control stream to take a record.
    """

    async def publish(
        request: RequestId,
        based_on: ConfigurationVersion,
        lists: dict[str, Any],
    ) -> ConfigurationVersion:
        check_lists(lists)
        decision = await ask(Publish(request, based_on, lists))
        return decision.version

    return publish
