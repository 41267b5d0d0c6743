"""Publishing of the two lists through the control stream."""

from collections.abc import Awaitable, Callable
from typing import Any

from ebonystream._ids import ConfigurationVersion, RequestId
from ebonystream.configuration._published import validate_lists
from ebonystream.configuration._records import Publish
from ebonystream.configuration._submission import SubmitRecord

PublishLists = Callable[
    [RequestId, ConfigurationVersion, dict[str, Any]],
    Awaitable[ConfigurationVersion],
]
"""Publishes both lists, based on a version, and returns the new version.

Returns once the record has been read back and accepted. Raises
`EbonystreamError` of the kind `PUBLISH_REJECTED` if the lists are invalid or
another publish came first, and `LOG_UNAVAILABLE` if it is not known in time
whether the publish took effect.
"""


def make_publish_lists(submit: SubmitRecord) -> PublishLists:
    """Return the function that publishes the two lists.

    Args:
        submit: Submits a record to the control stream.
    """

    async def publish(
        request: RequestId,
        based_on: ConfigurationVersion,
        lists: dict[str, Any],
    ) -> ConfigurationVersion:
        validate_lists(lists)
        decision = await submit(Publish(request, based_on, lists))
        return decision.version

    return publish
