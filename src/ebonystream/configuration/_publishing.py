"""Publishing of the two lists: accepted means read back."""

import uuid
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import trio
from pydantic import ValidationError

from ebonystream._ids import ConfigurationVersion, Seconds, StreamName
from ebonystream.configuration._control import Control
from ebonystream.configuration._lists import Lists
from ebonystream.configuration._records import Publish
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.platform import LogService

PublishLists = Callable[
    [ConfigurationVersion, dict[str, Any]], Awaitable[ConfigurationVersion]
]
"""Publishes both lists, based on a version, and gives the new version.

Raises `EbonystreamError` of the kind `PUBLISH_REJECTED` where the lists are
faulty or another publish came first, and `LOG_UNAVAILABLE` where it can't be
told in time whether the log took them.
"""


def make_publishing(
    *,
    control: Control,
    log: LogService,
    stream: StreamName,
    patience: Seconds,
) -> PublishLists:
    """Make the function that publishes the two lists.

    Args:
        control: The state that this host folds from the control stream.
        log: The log service.
        stream: The control stream.
        patience: How long the record may take to be read back, in seconds.
    """

    async def publish(
        based_on: ConfigurationVersion, lists: dict[str, Any]
    ) -> ConfigurationVersion:
        _check(lists)
        record = Publish(
            publish_id=uuid.uuid4().hex, based_on=based_on, lists=lists
        )
        with trio.move_on_after(patience):
            await _append(log, stream, record)
            return await _read_back(control, record.publish_id)
        raise EbonystreamError(
            ErrorKind.LOG_UNAVAILABLE, 'the record was not read back in time'
        )

    return publish


def _check(lists: dict[str, Any]) -> None:
    try:
        Lists.model_validate(lists)
    except ValidationError as error:
        raise EbonystreamError(
            ErrorKind.PUBLISH_REJECTED, str(error)
        ) from error


async def _append(log: LogService, stream: StreamName, record: Publish) -> None:
    # An append whose answer was lost may have taken effect, so a failure
    # decides nothing: only reading the record back does.
    try:
        await log.append(stream, msgspec.json.encode(record))
    except EbonystreamError:
        return


async def _read_back(control: Control, publish_id: str) -> ConfigurationVersion:
    while True:
        version = control.accepted.get(publish_id)
        if version is not None:
            return version
        reason = control.rejected.get(publish_id)
        if reason is not None:
            raise EbonystreamError(ErrorKind.PUBLISH_REJECTED, reason)
        await control.watch.wait()
