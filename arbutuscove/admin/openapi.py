"""The OpenAPI description, made from the table of calls."""

import re
import typing

import msgspec

import arbutuscove
from arbutuscove.admin import resources
from arbutuscove.admin import routes

REFERENCE = "#/components/schemas/{name}"
PARAMETER_PATTERN = re.compile(r"<(?:path:)?(\w+)>")
JSON_TYPE = "application/json"


def build_description() -> dict[str, typing.Any]:
    """Returns the OpenAPI 3.1 description of the administration API."""
    kinds: list[type] = [resources.Problem]
    for route in routes.ROUTES:
        kinds.append(route.answer)
        if route.body is not None:
            kinds.append(route.body)
    schemas, components = msgspec.json.schema_components(
        kinds, ref_template=REFERENCE
    )
    by_kind = dict(zip(kinds, schemas, strict=True))
    paths: dict[str, typing.Any] = {}
    for route in routes.ROUTES:
        path = routes.PREFIX + PARAMETER_PATTERN.sub(r"{\1}", route.path)
        operations = paths.setdefault(path, {})
        operations[route.method.lower()] = _describe(route, by_kind)
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
    # Defaults in schemas may be tuples; JSON has only lists.
    return dict(msgspec.json.decode(msgspec.json.encode(description)))


def _describe(
    route: routes.Route, by_kind: dict[type, typing.Any]
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
        kind = "integer" if isinstance(default, int) else "string"
        parameters.append(
            {
                "name": name,
                "in": "query",
                "required": False,
                "schema": {"type": kind, "default": default},
            }
        )
    described: dict[str, typing.Any] = {
        "summary": route.summary,
        "operationId": route.operation.__name__,
        "parameters": parameters,
        "responses": {
            "200": _wrap("The result.", by_kind[route.answer]),
            "default": _wrap("A problem.", by_kind[resources.Problem]),
        },
    }
    if route.body is not None:
        content = {JSON_TYPE: {"schema": by_kind[route.body]}}
        described["requestBody"] = {"required": True, "content": content}
    return described


def _wrap(text: str, schema: typing.Any) -> dict[str, typing.Any]:
    return {"description": text, "content": {JSON_TYPE: {"schema": schema}}}
