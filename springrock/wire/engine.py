"""The model engines' wire format: completions, streamed chunks, fenced orders, reports."""

from __future__ import annotations

from typing import Literal

import msgspec

COMPLETIONS_PATH = "/v1/completions"
CHAT_PATH = "/v1/chat/completions"
ORDERS_PATH = "/v1/orders"
ADAPTERS_PATH = "/v1/adapters"
STATE_PATH = "/v1/state"
CANCEL_PATH = "/v1/cancel"
CACHE_EVENTS_PATH = "/v1/cache_events"
DONE = b"[DONE]"
NEW = -1

OrderKind = Literal["load_adapter", "unload_adapter", "set_role"]


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """An order to an engine; a fence lower than the highest seen is refused."""

    kind: OrderKind
    fence: int
    adapter: str = ""
    role: str = ""


class OrderAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """What an engine says of an order."""

    done: bool
    reason: str = ""
    fence: int = 0


class LoadedAdapters(msgspec.Struct, frozen=True, kw_only=True):
    """The exact list of what an engine holds now."""

    boot_id: str
    fence: int
    adapters: list[str]
    loading: list[str]


class EngineState(msgspec.Struct, frozen=True, kw_only=True):
    """An engine's report of its load; it lags."""

    boot_id: str
    running: int
    queued: int
    batch_fill: float
    step_ms: float
    cached_prefixes: int


class CacheEvent(msgspec.Struct, frozen=True, kw_only=True):
    """A change of an engine's prefix cache; published late, and some never.

    Attributes:
        number: Rises by one with each change; a jump is a gap.
        prefix: A hash of the model and the prompt's beginning.
    """

    number: int
    kind: Literal["stored", "removed"]
    prefix: str


class EngineRequest(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A completion as sent to an engine.

    Attributes:
        resume_from: The position to go on from in the retained stream of this request;
            ``NEW`` runs the request.
    """

    model: str
    request_id: str
    max_tokens: int
    prompt: str | None = None
    messages: list[dict[str, str]] | None = None
    stream: bool = True
    priority: int = 0
    resume_from: int = NEW
    repeatable: bool = True
    temperature: float | None = None
    seed: int | None = None


class Delta(msgspec.Struct, frozen=True):
    """The piece of a chat answer in one chunk."""

    content: str = ""


class Choice(msgspec.Struct, frozen=True):
    """The one choice of a chunk."""

    text: str = ""
    delta: Delta | None = None
    finish_reason: str | None = None

    @property
    def piece(self) -> str:
        """The text of the chunk, whatever its kind."""
        return self.delta.content if self.delta is not None else self.text


class Chunk(msgspec.Struct, frozen=True):
    """One streamed chunk: a token at a position of the answer to one request."""

    id: str
    model: str
    position: int
    choices: list[Choice]


_chunk_decoder = msgspec.json.Decoder(Chunk)


def decode_chunk(data: bytes) -> Chunk:
    """Decode the data of one event.

    Raises:
        msgspec.MsgspecError: If it is not a chunk.
    """
    return _chunk_decoder.decode(data)


def encode_event(data: bytes) -> bytes:
    """Frame data as one server-sent event."""
    return b"data: " + data + b"\n\n"
