"""Deterministic token generation of the engine stand-in: the same tokens on every engine."""

from __future__ import annotations

from hashlib import blake2b

import msgspec
from gevent.event import Event

from springrock.clock import monotonic
from springrock.wire import engine as wire

_WORDS = ("bay", "coral", "dawn", "ebb", "fern", "gale", "heath", "isle", "jetty", "kelp")


class RunRecord(msgspec.Struct, frozen=True):
    """One start of a request on an engine."""

    request_id: str
    model: str
    repeatable: bool


def token_at(model: str, prompt: str, position: int) -> str:
    """Return the token that every correct engine generates at a position."""
    digest = blake2b(f"{model}\0{prompt}\0{position}".encode(), digest_size=2).digest()
    return f"{_WORDS[digest[0] % len(_WORDS)]}{digest[1]} "


def prompt_text(request: wire.EngineRequest) -> str:
    """Return the prompt, or the contents of all chat messages, one a line."""
    if request.messages is not None:
        return "\n".join(message["content"] for message in request.messages)
    return request.prompt or ""


def expected_text(model: str, prompt: str, tokens: int) -> str:
    """Return the complete answer of a correct engine."""
    return "".join(token_at(model, prompt, position) for position in range(tokens))


class Generation:
    """The run of one request on an engine."""

    def __init__(self, request: wire.EngineRequest) -> None:
        self.request = request
        self.prompt = prompt_text(request)
        self.produced = 0
        self.cancelled = False
        self.ended_at: float | None = None
        self.progress = Event()

    @property
    def finished(self) -> bool:
        """Whether all requested tokens have been generated."""
        return self.produced >= self.request.max_tokens

    def step(self) -> None:
        """Generate one token."""
        self.produced += 1
        if self.finished:
            self.ended_at = monotonic()
        self.progress.set()
