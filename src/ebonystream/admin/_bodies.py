"""Request bodies of the administration API, and their validation.

Docstrings of the classes that derive from `Body` are served as part of the
API description.
"""

import uuid
from typing import Annotated, Any, TypeVar

from pydantic import (
    AwareDatetime,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
)

from ebonystream._ids import (
    ConfigurationVersion,
    RequestId,
    ServiceName,
    VersionName,
    ZoneName,
)
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.move import ZoneDirection
from ebonystream.settings import list_faults

MAX_ID_LENGTH = 64
MAX_NAME_LENGTH = 128
MAX_REASON_LENGTH = 1024
ID_PATTERN = '^[A-Za-z0-9._-]+$'

Id = Annotated[RequestId, Field(pattern=ID_PATTERN, max_length=MAX_ID_LENGTH)]
Zone = Annotated[ZoneName, Field(min_length=1, max_length=MAX_NAME_LENGTH)]
Service = Annotated[
    ServiceName, Field(min_length=1, max_length=MAX_NAME_LENGTH)
]
Version = Annotated[
    VersionName, Field(min_length=1, max_length=MAX_NAME_LENGTH)
]
Reason = Annotated[str, Field(min_length=1, max_length=MAX_REASON_LENGTH)]


def _make_id() -> RequestId:
    return RequestId(uuid.uuid4().hex)


class Body(BaseModel):
    """Base of all request bodies; rejects unknown keys.

    Attributes:
        id: Id of the request; a request repeated under its id is applied once.
    """

    model_config = ConfigDict(extra='forbid', frozen=True)

    id: Id = Field(default_factory=_make_id)


class PublishBody(Body):
    """Both lists, and the version that the operator had read."""

    based_on: Annotated[ConfigurationVersion, Field(ge=0)]
    lists: dict[str, Any]


class ZoneMoveBody(Body):
    """A zone, and which way it moves."""

    zone: Zone
    direction: ZoneDirection


class VersionMoveBody(Body):
    """A service, two versions, and when the move has to be finished."""

    service: Service
    from_version: Version
    to_version: Version
    finish_by: AwareDatetime


class TakeBackBody(Body):
    """Why a move is taken back."""

    reason: Reason


Shape = TypeVar('Shape', bound=Body)


def parse_body(model: type[Shape], body: bytes) -> Shape:
    """Parse and validate the body of a request.

    Args:
        model: Expected type of the body.
        body: The body as received.

    Raises:
        EbonystreamError: The body is invalid; the detail lists every fault
            with its JSON path.
    """
    try:
        return model.model_validate_json(body, strict=True)
    except ValidationError as error:
        faults = '; '.join(map(str, list_faults(error)))
        raise EbonystreamError(ErrorKind.MALFORMED_REQUEST, faults) from error
