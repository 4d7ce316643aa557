"""Requests and answers on the platform: headers read and written."""

from __future__ import annotations

from springrock.errors import BadRequest
from springrock.forwarding.dialect import ReplicaNotice, SendTerms
from springrock.forwarding.keys import digest_of
from springrock.forwarding.message import AnswerHead, ClientRequest, Header, Headers, PromptPart
from springrock.non_negative import read_non_negative
from springrock.platform import names
from springrock.platform.notices import notice_from

_SET_BY_THE_BOX = (
    names.DEADLINE_MS,
    names.EXPECT_INSTANCE,
    names.EXPECT_VERSION,
    names.PRIORITY,
    names.HOLD,
    names.PIN_MS,
    names.MEMORY_BACKUP,
    names.MEMORY_FROM,
    names.MEMORY_FETCH,
    "content-length",
)
"""What only the system sets at a replica; a client's own value of it is dropped."""

_OF_TEAMS = (names.API_KEY, names.TEAM)
"""What is dropped beside that where there are teams."""

_MOST_TOKENS = 1_000_000_000
"""No prompt or answer is that long; a number beyond it is taken for malformed."""

_MISDIRECTED = 421
_STATUSES_OF_NOT_EXECUTED = frozenset({400, 408, 429, 503})


class PlatformDialect:
    """Implements `springrock.forwarding.dialect.Dialect`."""

    def read_request(
        self, *, method: str, target: str, headers: Headers, body: bytes, received_at: float
    ) -> ClientRequest:
        """Return a client's request.

        Raises:
            BadRequest: If a number or the key is malformed or the id is missing.
        """
        request_id = headers.get(names.REQUEST_ID)
        if not request_id:
            raise BadRequest(f"{names.REQUEST_ID} is missing")
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
            deadline_s=None if deadline_ms is None else _number(deadline_ms) / 1000,
            model=model,
            adapter=adapter,
            tokens=_token_count(headers.get(names.TOKEN_COUNT)),
            key_digest=_key_digest(headers),
            prompt=_prompt_parts(headers.get(names.PROMPT_PARTS)),
            last_event_id=headers.get(names.LAST_EVENT_ID) or "",
        )

    def request_headers(self, request: ClientRequest, terms: SendTerms) -> Headers:
        """Return the headers of the request to a replica."""
        kept = request.headers.end_to_end().without(_SET_BY_THE_BOX)
        if terms.team is not None:
            kept = kept.without(_OF_TEAMS)
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

    def answers(self, head: AnswerHead, request_id: str) -> bool:
        """Whether an answer carries the id of a request."""
        return head.headers.get(names.REQUEST_ID) == request_id

    def not_run(self, head: AnswerHead) -> bool:
        """Whether an answer promises that the replica did not run the request."""
        if head.status == _MISDIRECTED:
            return True
        promised = head.headers.get(names.NOT_EXECUTED) is not None
        return promised and head.status in _STATUSES_OF_NOT_EXECUTED

    def wrong_replica(self, head: AnswerHead) -> bool:
        """Whether the replica is not the one meant, or lacks what was asked for."""
        return head.status == _MISDIRECTED

    def notice(self, head: AnswerHead) -> ReplicaNotice:
        """Return what an answer tells of the replica that was meant."""
        return notice_from(head.status, head.headers)


def _key_digest(headers: Headers) -> bytes | None:
    """Return the digest of the client's key; no error tells anything of the key itself."""
    keys = [value for name, value in headers if name.lower() == names.API_KEY.lower()]
    if not keys:
        return None
    if len(keys) > 1:
        raise BadRequest(f"{names.API_KEY} is given more than once")
    key = keys[0].strip()
    if not key or not key.isascii() or not key.isprintable():
        raise BadRequest(f"{names.API_KEY} is empty or no text")
    return digest_of(key)


def _token_count(value: str | None) -> int | None:
    if value is None:
        return None
    prompt, _, answer = value.partition(",")
    return _tokens(prompt) + _tokens(answer or "0")


def _tokens(value: str) -> int:
    number = _number(value)
    if number > _MOST_TOKENS:
        raise BadRequest(f"{value!r} is more than a request can hold")
    return int(number)


def _prompt_parts(value: str | None) -> tuple[PromptPart, ...]:
    """Read ID:TOKENS pairs; parts that cannot be read only cost the use of what is kept."""
    if not value:
        return ()
    parts = []
    for text in value.split(","):
        part_id, _, tokens = text.strip().partition(":")
        if not tokens.isdigit():
            return ()
        parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)


def _number(value: str) -> float:
    number = read_non_negative(value)
    if number is None:
        raise BadRequest(f"{value!r} is no number, or out of range")
    return number
