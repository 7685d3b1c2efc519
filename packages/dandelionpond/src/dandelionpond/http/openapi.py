"""Describe the operators' API by the OpenAPI standard, version 3.1."""

from dandelionpond import __version__

_ERROR = {"$ref": "#/components/schemas/Error"}


def _operation(summary: str, media: str, status: str = "200") -> dict[str, object]:
    return {
        "summary": summary,
        "responses": {
            status: {"description": "Answer", "content": {media: {}}},
            "401": {
                "description": "The operators' key is missing or wrong",
                "content": {"application/json": {"schema": _ERROR}},
            },
        },
        "security": [{"operatorKey": []}],
    }


def _health(summary: str) -> dict[str, object]:
    answers = {"200": {"description": "Yes"}, "503": {"description": "No"}}
    return {"summary": summary, "responses": answers, "security": []}


def _parameter(name: str, where: str, schema: dict[str, object]) -> dict[str, object]:
    return {"name": name, "in": where, "schema": schema, "required": where == "path"}


def operators_description() -> dict[str, object]:
    """Return the OpenAPI description as a JSON object."""
    json = "application/json"
    ndjson = "application/x-ndjson"
    decisions = _operation("Stream decision records as JSON lines", ndjson)
    decisions["parameters"] = [_parameter("follow", "query", {"type": "boolean"})]
    explain = _operation("Return the decision records of one request", json)
    explain["parameters"] = [_parameter("request_id", "path", {"type": "string"})]
    error = {
        "type": "object",
        "required": ["error"],
        "properties": {
            "error": {
                "type": "object",
                "required": ["message", "type", "code", "execution", "request_id"],
                "properties": {
                    "message": {"type": "string"},
                    "type": {"type": "string"},
                    "code": {"type": "string"},
                    "param": {"type": ["string", "null"]},
                    "execution": {"enum": ["not_run", "may_have_run", "ran"]},
                    "request_id": {"type": "string"},
                },
            }
        },
    }
    return {
        "openapi": "3.1.0",
        "info": {"title": "dandelionpond operators' API", "version": __version__},
        "paths": {
            "/livez": {"get": _health("Say whether the process makes progress")},
            "/readyz": {"get": _health("Say whether to send requests to this node")},
            "/metrics": {"get": _operation("Return metrics", "text/plain")},
            "/v1/status": {"get": _operation("Return a summary of the node", json)},
            "/v1/dump": {"get": _operation("Return the state of every slice", json)},
            "/v1/usage": {"get": _operation("Return use by client account", json)},
            "/v1/decisions": {"get": decisions},
            "/v1/requests/{request_id}": {"get": explain},
            "/v1/drain": {"post": _operation("Start a planned stop", json, "202")},
            "/v1/openapi.json": {"get": _operation("Return this description", json)},
        },
        "components": {
            "schemas": {"Error": error},
            "securitySchemes": {"operatorKey": {"type": "http", "scheme": "bearer"}},
        },
    }
