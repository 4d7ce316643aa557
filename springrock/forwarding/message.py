"""A client's request and the head of an answer; header names and values stay as received."""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from msgspec import Struct

_CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that apply to a single connection and are not forwarded (RFC 9110, section 7.6.1)."""


class Header(NamedTuple):
    """One header field."""

    name: str
    value: str


class Headers(tuple[Header, ...]):
    """Header fields in order; lookups ignore case."""

    @classmethod
    def from_pairs(cls, pairs: Iterable[tuple[str, str]]) -> Headers:
        """Build from pairs of name and value."""
        return cls(Header(name, value) for name, value in pairs)

    def get(self, name: str) -> str | None:
        """Return the first value of a field; None if it is missing."""
        wanted = name.lower()
        return next((value for key, value in self if key.lower() == wanted), None)

    def without(self, names: Iterable[str]) -> Headers:
        """Return all fields except those named."""
        dropped = {name.lower() for name in names}
        return Headers(header for header in self if header.name.lower() not in dropped)

    def end_to_end(self) -> Headers:
        """Return the fields to be forwarded, without those of a single connection."""
        named = {
            token.strip().lower()
            for name, value in self
            if name.lower() == "connection"
            for token in value.split(",")
        }
        return self.without(_CONNECTION_HEADERS | named)


class AdapterKey(NamedTuple):
    """An adapter of a base model, regardless of its version."""

    model: str
    adapter: str

    def __str__(self) -> str:
        return f"{self.model}/{self.adapter}"


class PromptPart(NamedTuple):
    """One part of a prompt; requests may share all parts except the last.

    Attributes:
        part_id: Identifies the text of the part.
        tokens: Length of the part.
    """

    part_id: str
    tokens: int


class Knowledge(NamedTuple):
    """What a box knows of what is named in rising versions and decides how a request is handled.

    Attributes:
        configuration: The version of the configuration in force, as the operator numbers it.
        adapter: The newest version of the request's adapter; 0 if none is known.
    """

    configuration: int
    adapter: int = 0

    def covers(self, other: Knowledge) -> bool:
        """Whether nothing in this is older than in the other."""
        return self.configuration >= other.configuration and self.adapter >= other.adapter


NO_KNOWLEDGE = Knowledge(configuration=0)


class ClientRequest(Struct, frozen=True, kw_only=True):
    """A client's request; a retry by the client is another request with an id of its own.

    Attributes:
        request_id: The id of the request.
        target: The path and the query as sent.
        received_at: Time of arrival on the local monotonic clock.
        deadline_s: Seconds that the client waits from its arrival; None if not stated.
        model: The requested base model, or empty.
        adapter: The requested adapter, or empty.
        tokens: Tokens of the prompt plus the maximum for the answer; None if not stated.
        key_digest: The digest of the client's key; None if it sent none.
        last_event_id: Id of the event after which a stream is to be resumed, or empty.
        prompt: The parts of the prompt in order; empty if unknown.
        resumes: Id of the request that brought the first event of the stream that this one takes
            up, or empty.
        passed_on: Whether another box passed the request on.
        required: What a box must at least know to handle the request; None if the box that passed
            it on, or the client, does not say.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    received_at: float
    deadline_s: float | None = None
    model: str = ""
    adapter: str = ""
    tokens: int | None = None
    key_digest: bytes | None = None
    last_event_id: str = ""
    prompt: tuple[PromptPart, ...] = ()
    resumes: str = ""
    passed_on: bool = False
    required: Knowledge | None = None

    @property
    def path(self) -> str:
        """The target without the query."""
        return self.target.partition("?")[0]

    @property
    def adapter_key(self) -> AdapterKey | None:
        """The requested adapter, if any."""
        return AdapterKey(self.model, self.adapter) if self.adapter else None


class BodyEnd(StrEnum):
    """What marks the end of an answer's body (RFC 9112, section 6.3)."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"
    """The end of the connection, which an answer that broke off may have as well."""


class AnswerHead(NamedTuple):
    """The status line and headers of an answer.

    Attributes:
        body_end: What marks the end of the body.
    """

    status: int
    reason: str
    headers: Headers
    body_end: BodyEnd = BodyEnd.LENGTH

    @property
    def succeeded(self) -> bool:
        """Whether the status is a success."""
        return 200 <= self.status < 300
