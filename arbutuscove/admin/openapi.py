"""OpenAPI description of the administration API, built from its routes."""

import re
import typing

import msgspec

import arbutuscove
from arbutuscove.admin import resources
from arbutuscove.admin import routes

SCHEMA_REFERENCE = "#/components/schemas/{name}"
PARAMETER_PATTERN = re.compile(r"<(?:path:)?(\w+)>")
JSON_TYPE = "application/json"


def build_description() -> dict[str, typing.Any]:
    """Returns the OpenAPI 3.1 description of the administration API."""
    types: list[type] = [resources.Problem]
    for route in routes.ROUTES:
        types.append(route.response_type)
        if route.body is not None:
            types.append(route.body)
    schemas, components = msgspec.json.schema_components(
        types, ref_template=SCHEMA_REFERENCE
    )
    schema_by_type = dict(zip(types, schemas, strict=True))
    paths: dict[str, typing.Any] = {}
    for route in routes.ROUTES:
        path = routes.PREFIX + PARAMETER_PATTERN.sub(r"{\1}", route.path)
        operations = paths.setdefault(path, {})
        operations[route.method.lower()] = _build_operation(
            route, schema_by_type
        )
    description = {
        "openapi": "3.1.0",
        "info": {
            "title": "arbutuscove administration",
            "version": arbutuscove.__version__,
        },
        "security": [{"bearer": []}],
        "paths": paths,
        "components": {
            "schemas": components,
            "securitySchemes": {"bearer": {"type": "http", "scheme": "bearer"}},
        },
    }
    # Defaults in schemas may be tuples; the round trip makes them JSON lists.
    return dict(msgspec.json.decode(msgspec.json.encode(description)))


def _build_operation(
    route: routes.Route, schema_by_type: dict[type, typing.Any]
) -> dict[str, typing.Any]:
    parameters = [
        {
            "name": name,
            "in": "path",
            "required": True,
            "schema": {"type": "string"},
        }
        for name in PARAMETER_PATTERN.findall(route.path)
    ]
    for name, default in route.query:
        type_name = "integer" if isinstance(default, int) else "string"
        parameters.append(
            {
                "name": name,
                "in": "query",
                "required": False,
                "schema": {"type": type_name, "default": default},
            }
        )
    operation_object: dict[str, typing.Any] = {
        "summary": route.summary,
        "operationId": route.operation.__name__,
        "parameters": parameters,
        "responses": {
            "200": _build_content(
                "The result.", schema_by_type[route.response_type]
            ),
            "default": _build_content(
                "A problem.", schema_by_type[resources.Problem]
            ),
        },
    }
    if route.body is not None:
        content = {JSON_TYPE: {"schema": schema_by_type[route.body]}}
        operation_object["requestBody"] = {"required": True, "content": content}
    return operation_object


def _build_content(text: str, schema: typing.Any) -> dict[str, typing.Any]:
    return {"description": text, "content": {JSON_TYPE: {"schema": schema}}}
