"""OpenAPI 3.1 description of the operators' API."""

from dandelionpond import __version__

_ERROR = {"$ref": "#/components/schemas/Error"}


def _operation(summary: str, media_type: str, status: str = "200") -> dict[str, object]:
    return {
        "summary": summary,
        "responses": {
            status: {"description": "Answer", "content": {media_type: {}}},
            "401": {
                "description": "The operators' key is missing or wrong",
                "content": {"application/json": {"schema": _ERROR}},
            },
        },
        "security": [{"operatorKey": []}],
    }


def _health_operation(summary: str) -> dict[str, object]:
    responses = {"200": {"description": "Yes"}, "503": {"description": "No"}}
    return {"summary": summary, "responses": responses, "security": []}


def _parameter(
    name: str, location: str, schema: dict[str, object]
) -> dict[str, object]:
    return {
        "name": name,
        "in": location,
        "schema": schema,
        "required": location == "path",
    }


def operators_description() -> dict[str, object]:
    """Return the OpenAPI description as a JSON object."""
    json_type = "application/json"
    ndjson_type = "application/x-ndjson"
    decisions = _operation("Stream decision records as JSON lines", ndjson_type)
    decisions["parameters"] = [_parameter("follow", "query", {"type": "boolean"})]
    explain = _operation("Return the decision records of one request", json_type)
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
            "/livez": {
                "get": _health_operation("Say whether the process makes progress")
            },
            "/readyz": {
                "get": _health_operation("Say whether to send requests to this node")
            },
            "/metrics": {"get": _operation("Return metrics", "text/plain")},
            "/v1/status": {
                "get": _operation("Return a summary of the node", json_type)
            },
            "/v1/dump": {
                "get": _operation("Return the state of every slice", json_type)
            },
            "/v1/usage": {"get": _operation("Return use by client account", json_type)},
            "/v1/decisions": {"get": decisions},
            "/v1/requests/{request_id}": {"get": explain},
            "/v1/where": {
                "post": _operation("Say where a prompt would go now", json_type)
            },
            "/v1/drain": {"post": _operation("Start a planned stop", json_type, "202")},
            "/v1/openapi.json": {
                "get": _operation("Return this description", json_type)
            },
        },
        "components": {
            "schemas": {"Error": error},
            "securitySchemes": {"operatorKey": {"type": "http", "scheme": "bearer"}},
        },
    }
