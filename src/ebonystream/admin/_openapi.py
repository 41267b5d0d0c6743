"""OpenAPI description of the administration API."""

import re
from collections import defaultdict
from collections.abc import Iterable
from typing import Any

import msgspec

from ebonystream.admin._operations import Operation
from ebonystream.admin._responses import ErrorBody
from ebonystream.errors import ANSWERS, ErrorKind

DESCRIPTION_PATH = '/v1/openapi.json'
METRICS_PATH = '/metrics'
SCHEMA_REFERENCE = '#/components/schemas/{name}'
PYDANTIC_REFERENCE = '#/components/schemas/{model}'

Json = dict[str, Any]
"""A JSON object of the API description."""

_PATH_PARAMETER = re.compile('{([a-z]+)}')


def describe_api(operations: Iterable[Operation]) -> Json:
    """Return the OpenAPI description.

    Args:
        operations: Operations of the API.
    """
    all_operations = tuple(operations)
    paths: dict[str, Json] = defaultdict(dict)
    for operation in all_operations:
        description = _describe_operation(operation)
        paths[operation.path][operation.method.value] = description
    return {
        'openapi': '3.1.0',
        'info': {'title': 'ebonystream administration', 'version': 'v1'},
        'security': [{'key': []}, {}],
        'paths': {
            **paths,
            DESCRIPTION_PATH: _describe_get(
                'Describe the API.', 'application/json'
            ),
            METRICS_PATH: _describe_get('Show the metrics.', 'text/plain'),
        },
        'components': {
            'securitySchemes': {'key': {'type': 'http', 'scheme': 'bearer'}},
            'schemas': _list_schemas(all_operations),
        },
    }


def _describe_operation(operation: Operation) -> Json:
    description: Json = {
        'summary': (operation.handle.__doc__ or '').strip(),
        'operationId': getattr(operation.handle, '__name__', operation.path),
        'parameters': [
            _describe_parameter(name)
            for name in _PATH_PARAMETER.findall(operation.path)
        ],
        'responses': _describe_responses(operation),
    }
    if operation.body is not None:
        description['requestBody'] = {
            'required': True,
            **_describe_content(operation.body.__name__),
        }
    return description


def _describe_parameter(name: str) -> Json:
    return {
        'name': name,
        'in': 'path',
        'required': True,
        'schema': {'type': 'string'},
    }


def _describe_responses(operation: Operation) -> Json:
    kinds = (*operation.errors, ErrorKind.UNAUTHORIZED)
    names_by_status: dict[int, list[str]] = defaultdict(list)
    for kind in kinds:
        names_by_status[ANSWERS[kind].status].append(kind.value)
    errors = {
        str(int(status)): {
            'description': ' or '.join(names),
            **_describe_content(ErrorBody.__name__),
        }
        for status, names in names_by_status.items()
    }
    content = _describe_content(operation.response.__name__)
    return {'200': {'description': 'Done.', **content}, **errors}


def _describe_content(name: str) -> Json:
    reference = {'$ref': SCHEMA_REFERENCE.format(name=name)}
    return {'content': {'application/json': {'schema': reference}}}


def _describe_get(summary: str, content_type: str) -> Json:
    success = {'description': 'Done.', 'content': {content_type: {}}}
    return {'get': {'summary': summary, 'responses': {'200': success}}}


def _list_schemas(operations: tuple[Operation, ...]) -> Json:
    responses = {operation.response for operation in operations} | {ErrorBody}
    _, schemas = msgspec.json.schema_components(
        sorted(responses, key=_get_name), ref_template=SCHEMA_REFERENCE
    )
    bodies = {operation.body for operation in operations} - {None}
    for body in bodies:
        if body is not None:
            schema = body.model_json_schema(ref_template=PYDANTIC_REFERENCE)
            schemas.update(schema.pop('$defs', {}))
            schemas[body.__name__] = schema
    return schemas


def _get_name(struct: type) -> str:
    return struct.__name__
