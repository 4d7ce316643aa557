"""Translates the headers of requests and answers on the platform."""

from __future__ import annotations

from springrock.errors import BadRequest
from springrock.forwarding.dialect import Handling, PassedOnReply, ReplicaNotice, SendTerms
from springrock.forwarding.keys import digest_of
from springrock.forwarding.message import (
    AnswerHead,
    ClientRequest,
    Header,
    Headers,
    Knowledge,
    PromptPart,
)
from springrock.non_negative import read_non_negative
from springrock.platform import names
from springrock.platform.notices import notice_from

_BOX_HEADERS = (
    names.DEADLINE_MS,
    names.EXPECT_INSTANCE,
    names.EXPECT_VERSION,
    names.PRIORITY,
    names.HOLD,
    names.PIN_MS,
    names.KV_BACKUP,
    names.KV_FROM,
    names.KV_FETCH,
    names.PASSED_ON,
    names.PASSED_ON_HOST,
    names.CONFIGURATION,
    "content-length",
)
"""Headers to a replica that only a box may set; a client's own values are dropped."""

_PASSED_ON_HEADERS = (
    names.DEADLINE_MS,
    names.EXPECT_VERSION,
    names.PASSED_ON,
    names.PASSED_ON_HOST,
    names.CONFIGURATION,
)
"""Headers to another box that only a box may set."""

_TEAM_HEADERS = (names.API_KEY, names.TEAM)
"""Headers of a client that are dropped as well if teams are configured."""

_MAX_TOKENS = 1_000_000_000
"""Exceeds any real prompt or answer; a larger count is rejected as malformed."""

_MAX_DIGITS = 18
"""A version or a length with more digits is malformed."""

_MISDIRECTED = 421
_NOT_EXECUTED_STATUSES = frozenset({400, 408, 429, 503})

_NOT_UNDERSTOOD_STATUSES = frozenset({400, 404, 408, 413, 421, 429, 503})
"""How a box that does not know the authority of passed-on requests refuses one, or a box that
stops: nothing ran."""

_HANDLING_BY_WORD = {
    names.PASSED_ON_HANDLED: Handling.HANDLED,
    names.PASSED_ON_BEHIND: Handling.BEHIND,
}


class PlatformDialect:
    """Implements `springrock.forwarding.dialect.Dialect`."""

    deadline_header = names.DEADLINE_MS

    def read_request(
        self, *, method: str, target: str, headers: Headers, body: bytes, received_at: float
    ) -> ClientRequest:
        """Return a client's request.

        Raises:
            BadRequest: If a number or the key is malformed, or the request id is missing.
        """
        request_id = headers.get(names.REQUEST_ID)
        if not request_id:
            raise BadRequest(f"{names.REQUEST_ID} is missing")
        headers, required = _read_passed_on(headers)
        deadline_ms = headers.get(names.DEADLINE_MS)
        model, _, adapter = (headers.get(names.MODEL) or "").partition("/")
        return ClientRequest(
            request_id=request_id,
            method=method,
            target=target,
            host=headers.get("host") or "",
            headers=headers,
            body=body,
            received_at=received_at,
            deadline_s=None if deadline_ms is None else _parse_number(deadline_ms) / 1000,
            model=model,
            adapter=adapter,
            tokens=_parse_token_count(headers.get(names.TOKEN_COUNT)),
            key_digest=_key_digest(headers),
            prompt=_parse_prompt_parts(headers.get(names.PROMPT_PARTS)),
            last_event_id=headers.get(names.LAST_EVENT_ID) or "",
            resumes=headers.get(names.RESUMES) or "",
            passed_on=headers.get(names.PASSED_ON) is not None,
            required=required,
        )

    def request_headers(self, request: ClientRequest, terms: SendTerms) -> Headers:
        """Return the headers of the request to a replica."""
        kept = request.headers.end_to_end().without(_BOX_HEADERS)
        if terms.team is not None:
            kept = kept.without(_TEAM_HEADERS)
        if terms.after_event:
            kept = kept.without((names.LAST_EVENT_ID,))
        added = [
            Header(names.DEADLINE_MS, str(max(1, int(terms.left_s * 1000)))),
            Header(names.EXPECT_INSTANCE, terms.instance),
        ]
        if terms.team:
            added.append(Header(names.TEAM, terms.team))
        if terms.adapter_version:
            added.append(Header(names.EXPECT_VERSION, str(terms.adapter_version)))
        if terms.priority is not None:
            added.append(Header(names.PRIORITY, str(terms.priority)))
        if terms.after_event:
            added.append(Header(names.LAST_EVENT_ID, terms.after_event))
        if request.body or request.method not in ("GET", "HEAD"):
            added.append(Header("Content-Length", str(len(request.body))))
        return Headers((*kept, *added))

    def passed_on_headers(
        self, request: ClientRequest, *, left_s: float, required: Knowledge
    ) -> Headers:
        """Return the headers of a request that is passed on to another box."""
        kept = request.headers.end_to_end().without((*_PASSED_ON_HEADERS, "host", "content-length"))
        added = [
            Header("Host", names.PASSED_ON_AUTHORITY),
            Header(names.PASSED_ON_HOST, request.host),
            Header(names.DEADLINE_MS, str(max(1, int(left_s * 1000)))),
            Header(names.PASSED_ON, "1"),
            Header(names.CONFIGURATION, str(required.configuration)),
        ]
        if required.adapter:
            added.append(Header(names.EXPECT_VERSION, str(required.adapter)))
        if request.body or request.method not in ("GET", "HEAD"):
            added.append(Header("Content-Length", str(len(request.body))))
        return Headers((*kept, *added))

    def passed_on_reply(self, head: AnswerHead) -> PassedOnReply:
        """Return what another box's reply says about a request that was passed on to it."""
        handling = _HANDLING_BY_WORD.get(head.headers.get(names.PASSED_ON) or "")
        if handling is None:
            refused = head.status in _NOT_UNDERSTOOD_STATUSES
            handling = Handling.NOT_UNDERSTOOD if refused else Handling.UNKNOWN
        stated = head.headers.get(names.CONFIGURATION) or ""
        kept = head.headers.without((names.PASSED_ON, names.CONFIGURATION))
        return PassedOnReply(
            handling, int(stated) if _is_whole_number(stated) else 0, head._replace(headers=kept)
        )

    def reply_to_passed_on(
        self, head: AnswerHead, *, handled: bool, configuration: int
    ) -> AnswerHead:
        """Return the head of a reply to a box that passed a request on."""
        word = names.PASSED_ON_HANDLED if handled else names.PASSED_ON_BEHIND
        added = (Header(names.PASSED_ON, word), Header(names.CONFIGURATION, str(configuration)))
        kept = head.headers.without((names.PASSED_ON, names.CONFIGURATION))
        return head._replace(headers=Headers((*kept, *added)))

    def answers(self, head: AnswerHead, request_id: str) -> bool:
        """Whether an answer carries the id of a request."""
        return head.headers.get(names.REQUEST_ID) == request_id

    def is_sealed(self, head: AnswerHead) -> bool:
        """Whether an answer carries the seal that every answer of a replica has."""
        return bool(head.headers.get(names.SEAL))

    def not_run(self, head: AnswerHead) -> bool:
        """Whether an answer promises that the replica did not run the request."""
        if head.status == _MISDIRECTED:
            return True
        promised = head.headers.get(names.NOT_EXECUTED) is not None
        return promised and head.status in _NOT_EXECUTED_STATUSES

    def wrong_replica(self, head: AnswerHead) -> bool:
        """Whether another replica answered, or this one lacks what the request needs."""
        return head.status == _MISDIRECTED

    def notice(self, head: AnswerHead) -> ReplicaNotice:
        """Return what an answer says about the replica that the request was sent to."""
        return notice_from(head.status, head.headers)


def _read_passed_on(headers: Headers) -> tuple[Headers, Knowledge | None]:
    """Return the headers as the client sent them, and what the box that passed them on requires.

    Raises:
        BadRequest: If a version is malformed.
    """
    if headers.get("host") != names.PASSED_ON_AUTHORITY:
        return headers, None
    required = Knowledge(
        configuration=_parse_version(headers.get(names.CONFIGURATION) or "0"),
        adapter=_parse_version(headers.get(names.EXPECT_VERSION) or "0"),
    )
    host = headers.get(names.PASSED_ON_HOST) or ""
    restored = headers.without(("host", names.PASSED_ON_HOST))
    return Headers((Header("Host", host), *restored)), required


def _is_whole_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= _MAX_DIGITS


def _parse_version(text: str) -> int:
    if not _is_whole_number(text):
        raise BadRequest(f"{text[:_MAX_DIGITS]!r} is not a version")
    return int(text)


def _key_digest(headers: Headers) -> bytes | None:
    """Return the digest of the client's key; errors never contain any part of the key."""
    keys = [value for name, value in headers if name.lower() == names.API_KEY.lower()]
    if not keys:
        return None
    if len(keys) > 1:
        raise BadRequest(f"{names.API_KEY} is given more than once")
    key = keys[0].strip()
    if not key or not key.isascii() or not key.isprintable():
        raise BadRequest(f"{names.API_KEY} is empty or not printable ASCII")
    return digest_of(key)


def _parse_token_count(value: str | None) -> int | None:
    if value is None:
        return None
    prompt, _, answer = value.partition(",")
    return _parse_tokens(prompt) + _parse_tokens(answer or "0")


def _parse_tokens(value: str) -> int:
    number = _parse_number(value)
    if number > _MAX_TOKENS:
        raise BadRequest(f"{value!r} is more tokens than a request can have")
    return int(number)


def _parse_prompt_parts(value: str | None) -> tuple[PromptPart, ...]:
    """Parse ID:TOKENS pairs; a malformed header is ignored, so cached parts may go unused."""
    if not value:
        return ()
    parts = []
    for text in value.split(","):
        part_id, _, tokens = text.strip().partition(":")
        if not _is_whole_number(tokens):
            return ()
        parts.append(PromptPart(_canonical_id(part_id), int(tokens)))
    return tuple(parts)


def _canonical_id(part_id: str) -> str:
    """Return the one spelling of a part's id, a number in hex, so that none passes for another."""
    return part_id.lower().lstrip("0") or "0"


def _parse_number(value: str) -> float:
    number = read_non_negative(value)
    if number is None:
        raise BadRequest(f"{value!r} is not a number, or out of range")
    return number
