"""The callers' wire format: OpenAI-style bodies, springrock's headers, JSON errors with types."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any, NamedTuple

import msgspec
from expression import Error, Ok, Result

from springrock.errors import Cause, Refusal, RunState
from springrock.strict_json import MalformedJson, decode_json

DEADLINE_HEADER = "Springrock-Deadline-Ms"
WORTH_HEADER = "Springrock-Worth"
PRIORITY_HEADER = "Springrock-Priority"
REQUEST_ID_HEADER = "Springrock-Request-Id"
REPEATABLE_HEADER = "Springrock-Repeatable"
WORKLOAD_HEADER = "Springrock-Workload"
RUN_STATE_HEADER = "Springrock-Run-State"
MODEL_HEADER = "Springrock-Model"
BOX_HEADER = "Springrock-Box"
LOAD_STALL_HEADER = "Springrock-Load-Stall-Ms"
REPLICA_HEADER = "Springrock-Replica"

DEFAULT_MAX_TOKENS = 128
MAX_TOKENS_LIMIT = 32_768
_MAX_REQUEST_ID_CHARS = 128
_MAX_WORTH = 1e6

STATUS_BY_CAUSE = {
    Cause.MALFORMED_REQUEST: 400,
    Cause.BODY_TOO_LARGE: 413,
    Cause.BAD_CREDENTIAL: 401,
    Cause.UNKNOWN_MODEL: 404,
    Cause.UNKNOWN_ADAPTER: 404,
    Cause.UNKNOWN_VERSION: 404,
    Cause.UNKNOWN_SERVICE: 404,
    Cause.UNKNOWN_WORKLOAD: 403,
    Cause.ADAPTER_NOT_ALLOWED: 403,
    Cause.RATE_LIMITED: 429,
    Cause.ALREADY_CLAIMED: 409,
    Cause.UPSTREAM_FAILED: 502,
    Cause.UPSTREAM_GARBAGE: 502,
    Cause.WRONG_ADAPTER: 502,
    Cause.INTERNAL_FAULT: 500,
}
_DEFAULT_STATUS = 503

ParseResult = Result[Any, Refusal]


class Message(msgspec.Struct, frozen=True):
    """One message of a chat."""

    role: str
    content: str


class CompletionBody(msgspec.Struct, frozen=True, kw_only=True):
    """The fields of a completion body that springrock interprets; it ignores all others."""

    model: str
    prompt: str | None = None
    messages: list[Message] | None = None
    max_tokens: int = DEFAULT_MAX_TOKENS
    stream: bool = False
    temperature: float | None = None
    seed: int | None = None


class Terms(NamedTuple):
    """The terms of a request, from its headers.

    Attributes:
        request_id: The caller's identifier, or empty.
        workload: The workload that the request belongs to.
        deadline_s: Seconds from the request's arrival within which its answer must be complete.
        worth: The value that the caller assigns to a complete answer within the deadline.
        priority: Among otherwise equal requests, a higher priority runs first.
        repeatable: Whether the request may be run more than once.
    """

    request_id: str
    workload: str
    deadline_s: float
    worth: float
    priority: int
    repeatable: bool


def make_refusal(cause: Cause, detail: str, retry_after_s: float = 0.0) -> Refusal:
    """Return a refusal of a request that was not run."""
    return Refusal(cause, detail, RunState.NOT_RUN, retry_after_s)


def parse_body(raw: bytes, *, chat: bool) -> Result[CompletionBody, Refusal]:
    """Parse the body of a completion request."""
    try:
        body = decode_json(raw, CompletionBody)
    except MalformedJson as error:
        return Error(make_refusal(Cause.MALFORMED_REQUEST, f"the body is not a request: {error}"))
    if chat and not body.messages:
        return Error(make_refusal(Cause.MALFORMED_REQUEST, "a chat completion needs messages"))
    if not chat and body.prompt is None:
        return Error(make_refusal(Cause.MALFORMED_REQUEST, "a completion needs a prompt"))
    if not 1 <= body.max_tokens <= MAX_TOKENS_LIMIT:
        detail = f"max_tokens must be 1 to {MAX_TOKENS_LIMIT}"
        return Error(make_refusal(Cause.MALFORMED_REQUEST, detail))
    return Ok(body)


def parse_terms(
    headers: Mapping[str, str],
    *,
    workload: str,
    default_deadline_s: float,
    longest_deadline_s: float,
    repeatable: bool,
) -> Result[Terms, Refusal]:
    """Parse the terms of a request.

    Args:
        headers: The request's headers; must ignore case.
        workload: The workload of the credential, or empty to use the header's.
        default_deadline_s: The deadline of a request that states none.
        longest_deadline_s: The maximum; a longer deadline is reduced to it.
        repeatable: Whether a request that does not state it is repeatable.
    """
    request_id = headers.get(REQUEST_ID_HEADER, "")
    if len(request_id) > _MAX_REQUEST_ID_CHARS or not request_id.isprintable():
        return Error(
            make_refusal(
                Cause.MALFORMED_REQUEST, f"{REQUEST_ID_HEADER} is too long or not printable"
            )
        )
    try:
        deadline_s = float(headers.get(DEADLINE_HEADER, default_deadline_s * 1000)) / 1000
        worth = float(headers.get(WORTH_HEADER, 1.0))
        priority = int(headers.get(PRIORITY_HEADER, 0))
    except ValueError as error:
        return Error(make_refusal(Cause.MALFORMED_REQUEST, f"a header is not a number: {error}"))
    if not (math.isfinite(deadline_s) and deadline_s > 0):
        return Error(make_refusal(Cause.MALFORMED_REQUEST, f"{DEADLINE_HEADER} must be over 0"))
    if not 0 < worth <= _MAX_WORTH:
        detail = f"{WORTH_HEADER} must be over 0 and at most {_MAX_WORTH:.0f}"
        return Error(make_refusal(Cause.MALFORMED_REQUEST, detail))
    if not -100 <= priority <= 100:
        return Error(
            make_refusal(Cause.MALFORMED_REQUEST, f"{PRIORITY_HEADER} must be -100 to 100")
        )
    stated = headers.get(REPEATABLE_HEADER, "yes" if repeatable else "no").lower()
    if stated not in ("yes", "no"):
        return Error(
            make_refusal(Cause.MALFORMED_REQUEST, f"{REPEATABLE_HEADER} must be yes or no")
        )
    return Ok(
        Terms(
            request_id=request_id,
            workload=workload or headers.get(WORKLOAD_HEADER, "default"),
            deadline_s=min(deadline_s, longest_deadline_s),
            worth=worth,
            priority=priority,
            repeatable=stated == "yes",
        )
    )


def status_of(refusal: Refusal) -> int:
    """Return the HTTP status of a refusal."""
    return STATUS_BY_CAUSE.get(refusal.cause, _DEFAULT_STATUS)


def error_body(refusal: Refusal, request_id: str) -> bytes:
    """Encode a refusal as the JSON body of an answer to a caller."""
    return msgspec.json.encode(
        {
            "error": {
                "type": refusal.cause,
                "message": refusal.detail,
                "run_state": refusal.run_state,
                "retry_after_s": round(refusal.retry_after_s, 3),
                "request_id": request_id,
            }
        }
    )


def error_event(refusal: Refusal, request_id: str) -> bytes:
    """Encode a refusal as the last event of a stream that ends without ``[DONE]``."""
    return b"event: error\ndata: " + error_body(refusal, request_id) + b"\n\n"


def retry_after_header(refusal: Refusal) -> str:
    """Return the value of ``Retry-After``: whole seconds, rounded up, at least 1."""
    return str(max(1, math.ceil(refusal.retry_after_s)))


def completion_answer(
    *, request_id: str, model: str, text: str, tokens: int, finish_reason: str, chat: bool
) -> bytes:
    """Encode a complete answer for a caller that did not request a stream."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return msgspec.json.encode(
        {
            "id": request_id,
            "object": "chat.completion" if chat else "text_completion",
            "model": model,
            "choices": [choice],
            "usage": {"completion_tokens": tokens},
        }
    )


def model_list(names: list[str]) -> bytes:
    """Encode the answer of ``GET /v1/models``."""
    data = [{"id": name, "object": "model", "owned_by": "springrock"} for name in names]
    return msgspec.json.encode({"object": "list", "data": data})
