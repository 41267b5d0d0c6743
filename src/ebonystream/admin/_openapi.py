"""The OpenAPI description of the administration API."""

import re
from collections import defaultdict
from collections.abc import Iterable
from typing import Any

import msgspec

from ebonystream.admin._answers import ErrorBody
from ebonystream.admin._operations import Operation
from ebonystream.errors import ANSWERS, ErrorKind

DESCRIPTION_PATH = '/v1/openapi.json'
METRICS_PATH = '/metrics'
SCHEMA_REFERENCE = '#/components/schemas/{name}'
PYDANTIC_REFERENCE = '#/components/schemas/{model}'

Json = dict[str, Any]
"""A JSON object of the description."""

_PARAMETER = re.compile('{([a-z]+)}')


def describe_api(operations: Iterable[Operation]) -> Json:
    """Make the description.

    Args:
        operations: What the API can do.
    """
    listed = tuple(operations)
    paths: dict[str, Json] = defaultdict(dict)
    for operation in listed:
        described = _describe_operation(operation)
        paths[operation.path][operation.method.value] = described
    return {
        'openapi': '3.1.0',
        'info': {'title': 'ebonystream administration', 'version': 'v1'},
        'security': [{'key': []}, {}],
        'paths': {
            **paths,
            DESCRIPTION_PATH: _describe_plain(
                'Describe the API.', 'application/json'
            ),
            METRICS_PATH: _describe_plain('Show the metrics.', 'text/plain'),
        },
        'components': {
            'securitySchemes': {'key': {'type': 'http', 'scheme': 'bearer'}},
            'schemas': _list_schemas(listed),
        },
    }


def _describe_operation(operation: Operation) -> Json:
    described: Json = {
        'summary': (operation.handle.__doc__ or '').strip(),
        'operationId': getattr(operation.handle, '__name__', operation.path),
        'parameters': [
            _describe_parameter(name)
            for name in _PARAMETER.findall(operation.path)
        ],
        'responses': _describe_responses(operation),
    }
    if operation.body is not None:
        described['requestBody'] = {
            'required': True,
            **_describe_content(operation.body.__name__),
        }
    return described


def _describe_parameter(name: str) -> Json:
    return {
        'name': name,
        'in': 'path',
        'required': True,
        'schema': {'type': 'string'},
    }


def _describe_responses(operation: Operation) -> Json:
    kinds = (*operation.errors, ErrorKind.UNAUTHORIZED)
    by_status: dict[int, list[str]] = defaultdict(list)
    for kind in kinds:
        by_status[ANSWERS[kind].status].append(kind.value)
    refused = {
        str(int(status)): {
            'description': ' or '.join(names),
            **_describe_content(ErrorBody.__name__),
        }
        for status, names in by_status.items()
    }
    done = _describe_content(operation.answer.__name__)
    return {'200': {'description': 'Done.', **done}, **refused}


def _describe_content(name: str) -> Json:
    reference = {'$ref': SCHEMA_REFERENCE.format(name=name)}
    return {'content': {'application/json': {'schema': reference}}}


def _describe_plain(summary: str, content_type: str) -> Json:
    done = {'description': 'Done.', 'content': {content_type: {}}}
    return {'get': {'summary': summary, 'responses': {'200': done}}}


def _list_schemas(operations: tuple[Operation, ...]) -> Json:
    answers = {operation.answer for operation in operations} | {ErrorBody}
    _, schemas = msgspec.json.schema_components(
        sorted(answers, key=_get_name), ref_template=SCHEMA_REFERENCE
    )
    bodies = {operation.body for operation in operations} - {None}
    for body in bodies:
        if body is not None:
            own = body.model_json_schema(ref_template=PYDANTIC_REFERENCE)
            schemas.update(own.pop('$defs', {}))
            schemas[body.__name__] = own
    return schemas


def _get_name(shape: type) -> str:
    return shape.__name__
