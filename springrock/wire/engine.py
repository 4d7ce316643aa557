"""The model engines' wire format: completions, streamed chunks, orders with fences, reports."""

from __future__ import annotations

from typing import Literal

import msgspec

from springrock.strict_json import decode_json

COMPLETIONS_PATH = "/v1/completions"
CHAT_PATH = "/v1/chat/completions"
ORDERS_PATH = "/v1/orders"
ADAPTERS_PATH = "/v1/adapters"
STATE_PATH = "/v1/state"
CANCEL_PATH = "/v1/cancel"
CACHE_EVENTS_PATH = "/v1/cache_events"
DONE = b"[DONE]"
NOT_RESUMED = -1
"""The value of `EngineRequest.resume_from` for a request that is to be run."""

OrderKind = Literal["load_adapter", "unload_adapter", "set_role"]


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """An order to an engine, which refuses a fence lower than the highest one it has seen."""

    kind: OrderKind
    fence: int
    adapter: str = ""
    role: str = ""


class OrderAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """An engine's answer to an order.

    Attributes:
        done: Whether the order was executed.
        reason: Why it was not.
        fence: The highest fence that the engine has seen.
    """

    done: bool
    reason: str = ""
    fence: int = 0


class LoadedAdapters(msgspec.Struct, frozen=True, kw_only=True):
    """The adapters that an engine holds at the time of its answer."""

    boot_id: str
    fence: int
    adapters: list[str]
    loading: list[str]


class EngineState(msgspec.Struct, frozen=True, kw_only=True):
    """An engine's report of its load, which lags behind its actual state."""

    boot_id: str
    running: int
    queued: int
    batch_fill: float
    step_ms: float
    cached_prefixes: int


class CacheEvent(msgspec.Struct, frozen=True, kw_only=True):
    """A change of an engine's prefix cache; events are published late, and some are lost.

    Attributes:
        number: Increases by one with each change; a larger step means that events were lost.
        prefix: A hash of the model and the beginning of the prompt.
    """

    number: int
    kind: Literal["stored", "removed"]
    prefix: str


class EngineRequest(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A completion as sent to an engine.

    Attributes:
        resume_from: The token position at which to resume the stream that the engine has retained
            for this request; `NOT_RESUMED` to run the request.
    """

    model: str
    request_id: str
    max_tokens: int
    prompt: str | None = None
    messages: list[dict[str, str]] | None = None
    stream: bool = True
    priority: int = 0
    resume_from: int = NOT_RESUMED
    repeatable: bool = True
    temperature: float | None = None
    seed: int | None = None


class Delta(msgspec.Struct, frozen=True):
    """The text of a chat answer in one chunk."""

    content: str = ""


class Choice(msgspec.Struct, frozen=True):
    """The only choice of a chunk."""

    text: str = ""
    delta: Delta | None = None
    finish_reason: str | None = None

    @property
    def generated_text(self) -> str:
        """The text of the chunk, in a chat or a plain completion."""
        return self.delta.content if self.delta is not None else self.text


class Chunk(msgspec.Struct, frozen=True):
    """One streamed chunk: a token at a position of the answer to one request."""

    id: str
    model: str
    position: int
    choices: list[Choice]


def decode_chunk(data: bytes) -> Chunk:
    """Decode the data of one event.

    Raises:
        MalformedJson: If it is not a chunk.
    """
    return decode_json(data, Chunk)


def encode_event(data: bytes) -> bytes:
    """Frame data as one server-sent event."""
    return b"data: " + data + b"\n\n"
