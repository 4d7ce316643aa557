"""A client's request and the head of an answer, as they travel: names and values kept as sent."""

from __future__ import annotations

from collections.abc import Iterable
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
"""Headers that concern one connection only (RFC 9110, section 7.6.1)."""


class Header(NamedTuple):
    """One header field."""

    name: str
    value: str


class Headers(tuple[Header, ...]):
    """Header fields in order; looked up without regard to case."""

    @classmethod
    def from_pairs(cls, pairs: Iterable[tuple[str, str]]) -> Headers:
        """Build from names and values."""
        return cls(Header(name, value) for name, value in pairs)

    def get(self, name: str) -> str | None:
        """Return the first value of a field."""
        wanted = name.lower()
        return next((value for key, value in self if key.lower() == wanted), None)

    def without(self, names: Iterable[str]) -> Headers:
        """Return all fields but those named."""
        dropped = {name.lower() for name in names}
        return Headers(header for header in self if header.name.lower() not in dropped)

    def end_to_end(self) -> Headers:
        """Return the fields that travel on, without those of one connection."""
        named = {
            token.strip().lower()
            for name, value in self
            if name.lower() == "connection"
            for token in value.split(",")
        }
        return self.without(_CONNECTION_HEADERS | named)


class AdapterKey(NamedTuple):
    """An adapter of a base model, whatever its version."""

    model: str
    adapter: str

    def __str__(self) -> str:
        return f"{self.model}/{self.adapter}"


class PromptPart(NamedTuple):
    """One part of a prompt; requests may share all parts but the last.

    Attributes:
        part_id: The same for the same text.
        tokens: How long it is.
    """

    part_id: str
    tokens: int


class ClientRequest(Struct, frozen=True, kw_only=True):
    """One try of a client.

    Attributes:
        request_id: The try's own id.
        target: The path and the query as sent.
        received_at: On the local monotonic clock.
        deadline_s: What the client will wait, from then; None if it did not say.
        model: The base model asked for, or empty.
        adapter: The adapter asked for, or empty.
        tokens: Those of the prompt and the most of the answer together; None if it states none.
        key_digest: The digest of the client's key; None if it sent none.
        last_event_id: Where a stream is to be taken up, or empty.
        prompt: The parts of the prompt in order; empty if unknown.
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

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def adapter_key(self) -> AdapterKey | None:
        """The adapter asked for, if any."""
        return AdapterKey(self.model, self.adapter) if self.adapter else None


class AnswerHead(NamedTuple):
    """Status line and headers of an answer."""

    status: int
    reason: str
    headers: Headers

    @property
    def succeeded(self) -> bool:
        """Whether the status is a success."""
        return 200 <= self.status < 300
