"""Descriptions of error kinds, HTTP routes and exit codes for the reference page."""

ERROR_KINDS = {
    "invalid_json": "the body is not JSON",
    "invalid_request": "a field is missing or has a wrong value",
    "invalid_header": "the request is not valid HTTP or a header has a bad character",
    "invalid_timeout": "`X-Request-Timeout-Ms` is not a positive number",
    "head_too_large": "the header fields or the trailers are too large",
    "target_too_long": "the path and query are too long",
    "body_too_large": "the body is over `requests.max_body_bytes` or 0.2 of the memory",
    "body_timeout": "the body did not arrive within `requests.body_timeout_s`",
    "prompt_too_long": "the prompt is over the model's `max_prompt_tokens`",
    "unknown_model": "the model does not exist or is not permitted",
    "unknown_service": "the service does not exist or is not permitted",
    "unknown_path": "the path or method is not served",
    "missing_key": "there is no bearer key",
    "invalid_key": "the bearer key is not known",
    "not_permitted": "the client account may not do this",
    "ticket_required": "a call that must run at most once came without a key",
    "key_not_ticket": "the key of such a call is not a ticket",
    "ticket_expired": "the ticket's time is over",
    "ticket_mismatch": "the ticket is of another account or service, or is forged",
    "issuer_unreachable": "the node that issued the ticket cannot be asked",
    "call_in_progress": "the first try with this ticket is still running",
    "key_unresolved": "the call was refused before its key was looked up, and an "
    "earlier try with the same key may have run",
    "rate_limited": "the client account is over its tokens per second",
    "concurrency_limited": "the client account has too many requests in flight",
    "overloaded": "a bound of the node is reached",
    "deadline_unreachable": "the estimated wait is longer than the deadline",
    "deadline_before_send": "the deadline passed before anything was sent",
    "deadline_after_send": "the deadline passed after a byte may have been sent",
    "no_upstream": "no upstream for the model or service is usable",
    "insufficient_memory": "the engines have no memory for the prompt",
    "prompt_quarantined": "a part of the prompt crashed engines; retry after its trial",
    "upstream_refused": "the upstream refused and did not run the request",
    "upstream_unreachable": "no connection to an upstream came about",
    "upstream_failed": "the upstream failed after a byte may have been sent",
    "upstream_invalid": "the upstream's answer is not valid",
    "answer_incomplete": "the answer broke off and could not be resumed",
    "answer_too_large": "the service's answer is over `requests.max_answer_bytes`, or "
    "a node has no memory for the answer of a forwarded call",
    "caller_gone": "the caller closed the connection",
    "draining": "the node is in a planned stop",
    "settings_unavailable": "the node has no settings yet",
    "internal": "a fault of the node",
}

HTTP_ROUTES = {
    "POST /v1/completions": "answer a prompt; with `stream` as server-sent events that "
    "end with `[DONE]`",
    "POST /v1/chat/completions": "answer a conversation in the same way",
    "GET /v1/models": "list the models that the client account may use",
    "POST /v1/services/{service}/tickets": "issue a ticket for one call that must run "
    "at most once; status 201",
    "POST /v1/services/{service}/calls": "pass a call to a plain service; the header "
    "`Idempotency-Key` takes the ticket",
    "GET /livez": "200 if the process makes progress; needs no key",
    "GET /readyz": "200 if the load balancer should send requests, else 503; needs no "
    "key",
    "GET /metrics": "metrics in the Prometheus text format",
    "GET /v1/status": "a short summary of the node",
    "GET /v1/dump": "the state of every slice, without keys and prompt text",
    "POST /v1/where": "where the prompt of a body would go now and why, without "
    "sending it",
    "GET /v1/usage": "what each client account used since the node's start",
    "GET /v1/decisions": "decision records as JSON lines; `?follow=true` waits for "
    "more",
    "GET /v1/requests/{request_id}": "the decision records that name a request",
    "POST /v1/drain": "start a planned stop; status 202",
    "GET /v1/openapi.json": "the OpenAPI description of this API",
}

NODE_EXIT_CODES = {
    0: "success; after `run`, a planned stop that interrupted no request",
    1: "the settings are invalid, an address cannot be bound, or no key was read",
    2: "wrong usage",
    3: "a planned stop that interrupted requests",
}
