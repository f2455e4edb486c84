"""Reason codes of the refusals that callers receive."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reason:
    """A reason code with its meaning and advice for the caller."""

    code: str
    meaning: str
    advice: str


REASONS = (
    Reason(
        code="already_ran",
        meaning="The non-repeatable request ran; its answer is not kept.",
        advice="Do not send it again.",
    ),
    Reason(
        code="answer_incomplete",
        meaning="The answer broke off and could not be resumed.",
        advice="Resume with the resume token, or send it again.",
    ),
    Reason(
        code="answer_memory_full",
        meaning="There is no memory for the answer; the request may have run.",
        advice="Ask for a stream, or send it again if it may be repeated.",
    ),
    Reason(
        code="answer_unreadable",
        meaning="The request ran; its answer is no chat completion.",
        advice="Ask for a stream, which is passed on as it is.",
    ),
    Reason(
        code="body_timeout",
        meaning="The body did not arrive in time.",
        advice="Send the body without pauses.",
    ),
    Reason(
        code="body_too_large",
        meaning="The body is larger than permitted; it was not read whole.",
        advice="Send a smaller one.",
    ),
    Reason(
        code="caller_left",
        meaning="The caller closed its connection before the request ran.",
        advice="Send it again; only logs and metrics show this code.",
    ),
    Reason(
        code="claim_unsettled",
        meaning="The table service did not confirm the claim; nothing ran.",
        advice="Ask again under the same key to learn the outcome.",
    ),
    Reason(
        code="claims_unavailable",
        meaning="The table service is down; nothing was claimed or run.",
        advice="Come back after Retry-After.",
    ),
    Reason(
        code="config_missing",
        meaning="This daemon has no configuration yet.",
        advice="Use another entry address.",
    ),
    Reason(
        code="config_stale",
        meaning="This daemon cannot know whether its configuration is current.",
        advice="Use another entry address.",
    ),
    Reason(
        code="connection_evicted",
        meaning="The connection sent no whole request; others needed room.",
        advice="Open a new one; only logs and metrics show this code.",
    ),
    Reason(
        code="deadline",
        meaning="There is no capacity before the deadline.",
        advice="Come back after Retry-After.",
    ),
    Reason(
        code="draining",
        meaning="This daemon exits now; the request did not run.",
        advice="Use another entry address.",
    ),
    Reason(
        code="duplicate",
        meaning="A request with this id is waiting already; not run.",
        advice="Send each request under an id of its own.",
    ),
    Reason(
        code="evacuated",
        meaning="All addresses of the service are in evacuated domains.",
        advice="Come back after Retry-After.",
    ),
    Reason(
        code="headers_timeout",
        meaning="The headers did not arrive in time.",
        advice="Send the headers without pauses.",
    ),
    Reason(
        code="headers_too_large",
        meaning="The headers exceed the permitted size.",
        advice="Send fewer or shorter headers.",
    ),
    Reason(
        code="idempotency_key_reused",
        meaning="The idempotency key belongs to another request.",
        advice="Use a new key for a new request.",
    ),
    Reason(
        code="internal_error",
        meaning="The daemon failed; it may have run the request.",
        advice="Look at Arbutuscove-Run, then come back.",
    ),
    Reason(
        code="invalid_body",
        meaning="The body lacks a field or has one of the wrong type.",
        advice="Correct the request.",
    ),
    Reason(
        code="invalid_content_length",
        meaning="Content-Length is not a number.",
        advice="Correct the request.",
    ),
    Reason(
        code="invalid_deadline",
        meaning="The deadline header is not a permitted number of seconds.",
        advice="Correct the request.",
    ),
    Reason(
        code="invalid_headers",
        meaning="A header is malformed.",
        advice="Correct the request.",
    ),
    Reason(
        code="invalid_last_event_id",
        meaning="Last-Event-ID names an event of another stream.",
        advice="Send the last event identity of this stream.",
    ),
    Reason(
        code="invalid_request",
        meaning="The request is not valid HTTP/1.1.",
        advice="Correct the request.",
    ),
    Reason(
        code="invalid_resume_token",
        meaning="The resume token is forged, too old or of another request.",
        advice="Send the request without it.",
    ),
    Reason(
        code="limit_reached",
        meaning="The approved budget of this period is used up.",
        advice="Come back after Retry-After, when the next period begins.",
    ),
    Reason(
        code="limits_unavailable",
        meaning="No budget could be drawn from the table service now.",
        advice="Come back after Retry-After.",
    ),
    Reason(
        code="malformed_json",
        meaning="The body is not JSON.",
        advice="Correct the request.",
    ),
    Reason(
        code="memory_full",
        meaning="Requests and answers take all memory that they may; not run.",
        advice="Come back after Retry-After, or use another address.",
    ),
    Reason(
        code="missing_idempotency_key",
        meaning="A non-repeatable request needs an idempotency key.",
        advice="Add the header.",
    ),
    Reason(
        code="missing_key",
        meaning="There is no bearer key.",
        advice="Add the Authorization header.",
    ),
    Reason(
        code="outcome_unknown",
        meaning="The request is running, or its outcome cannot be known.",
        advice="It is never run again; find out by other means.",
    ),
    Reason(
        code="over_limit",
        meaning="The request is larger than the rank's whole budget.",
        advice="Ask for fewer tokens.",
    ),
    Reason(
        code="overloaded",
        meaning="The daemon is too busy to take more work.",
        advice="Come back after Retry-After, or use another address.",
    ),
    Reason(
        code="queue_full",
        meaning="Too many requests are waiting.",
        advice="Come back after Retry-After.",
    ),
    Reason(
        code="request_quarantined",
        meaning="Two upstreams died while they ran this request, or requests "
        "with the same message before the last one.",
        advice="Do not send it again; ask the operators.",
    ),
    Reason(
        code="request_suspected",
        meaning="An upstream died while it ran this; it must run alone.",
        advice="Come back after Retry-After.",
    ),
    Reason(
        code="too_many_connections",
        meaning="The daemon has as many connections as it permits.",
        advice="Come back after Retry-After, or use another address.",
    ),
    Reason(
        code="unknown_model",
        meaning="The key opens no such model.",
        advice="See GET /v1/models.",
    ),
    Reason(
        code="unknown_rank",
        meaning="The service has no such rank.",
        advice="Use a rank that the message lists.",
    ),
    Reason(
        code="unknown_service",
        meaning="The key opens no such plain service.",
        advice="Correct the path.",
    ),
    Reason(
        code="unsupported_transfer_encoding",
        meaning="Only chunked transfer encoding is supported.",
        advice="Correct the request.",
    ),
    Reason(
        code="upstream_failed",
        meaning="No upstream completed the request.",
        advice="Look at Arbutuscove-Run, then come back.",
    ),
    Reason(
        code="upstream_refused",
        meaning="The upstream refused the request as invalid.",
        advice="Correct the request.",
    ),
    Reason(
        code="wrong_key",
        meaning="No account has this key.",
        advice="Correct the key.",
    ),
)
