"""What operators send, checked whole."""

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
from ebonystream.settings import name_faults

MAX_ID = 64
MAX_NAME = 128
MAX_REASON = 1024
ID_PATTERN = '^[A-Za-z0-9._-]+$'

Id = Annotated[RequestId, Field(pattern=ID_PATTERN, max_length=MAX_ID)]
Zone = Annotated[ZoneName, Field(min_length=1, max_length=MAX_NAME)]
Service = Annotated[ServiceName, Field(min_length=1, max_length=MAX_NAME)]
Version = Annotated[VersionName, Field(min_length=1, max_length=MAX_NAME)]
Reason = Annotated[str, Field(min_length=1, max_length=MAX_REASON)]


def _make_id() -> RequestId:
    return RequestId(uuid.uuid4().hex)


class Body(BaseModel):
    """Any body: an unknown key is a fault.

    Attributes:
        id: Names the request; sending it again under its name is harmless.
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


def read_body(shape: type[Shape], sent: bytes) -> Shape:
    """Read the body of a request.

    Args:
        shape: What it has to be.
        sent: What came.

    Raises:
        EbonystreamError: It has faults; each is named with its JSON path.
    """
    try:
        return shape.model_validate_json(sent, strict=True)
    except ValidationError as error:
        faults = '; '.join(map(str, name_faults(error)))
        raise EbonystreamError(ErrorKind.MALFORMED_REQUEST, faults) from error
