"""The work of one engine: its requests, prompt tokens to read, reading speed and prompt cache."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Container, Iterable
from math import exp, log

from springrock.backoff import Backoff
from springrock.clock import monotonic
from springrock.forwarding.health import Health
from springrock.forwarding.message import AdapterKey

_CACHE_MEMORY_FRACTION = 0.6
"""Fraction of an engine's memory that caches prompts; running requests occupy the rest."""

_RUN_DELAY_S = 0.004
"""Delay of a first event by each running request: its share of the engine's step."""

_FULL_VALID_S = 0.3
"""Time for which an engine that reported to be full is avoided."""

_MISSING_VALID_S = 1.0
"""Time for which an engine's answer that it lacks an adapter overrides its book.

A late report may still list the adapter.
"""

_MIN_SAMPLE_TOKENS = 1000
"""Shorter prompts are no sample of the reading speed, as sending them takes about as long."""

_SAMPLE_WEIGHT = 0.25
_INITIAL_TOKEN_S = 1 / 20_000
"""Time for reading one token that is assumed before the first sample."""

_SPEED_HALF_LIFE_S = 5.0
"""Half-life of an engine's deviation from the speed of its service."""

_MAX_SLOWNESS = 20.0
"""Highest ratio to the service's speed that a sample counts as; a slower one is due to a fault."""


class PrefillSpeed:
    """The mean time in which the engines of a service read one token of a prompt."""

    def __init__(self) -> None:
        self.token_s = _INITIAL_TOKEN_S

    def record(self, token_s: float) -> None:
        """Add the seconds per token of one prompt to the moving average."""
        self.token_s += (token_s - self.token_s) * _SAMPLE_WEIGHT / 4


class EngineWork:
    """The work of one engine.

    Args:
        service_speed: The reading speed of all engines of the service.
        memory_tokens: Number of tokens that the engine's memory holds; 0 if that is not known.

    Attributes:
        runs: Number of requests that run or wait on the engine.
        prefill_backlog: Prompt tokens of the requests that have not started to answer.
        prompt_cache: The prompt parts that the engine is assumed to have cached.
        health: Successes and failures of the requests of all boxes.
        backoff: The longest back-off that the engine asked of any box.
    """

    def __init__(self, service_speed: PrefillSpeed, *, memory_tokens: int) -> None:
        self._service_speed = service_speed
        self._slowness = 1.0
        self._slowness_at = monotonic()
        self._full_until = 0.0
        self.backoff = Backoff()
        self._missing_until: dict[AdapterKey, float] = {}
        self.prompt_cache = PromptCache(max_tokens=int(memory_tokens * _CACHE_MEMORY_FRACTION))
        self.health = Health()
        self.runs = 0
        self.prefill_backlog = 0

    @property
    def is_full(self) -> bool:
        """Whether the engine reported recently that it is full."""
        return monotonic() < self._full_until

    @property
    def wait_s(self) -> float:
        """Estimated seconds until the first event of a request with an empty prompt."""
        return self.prefill_backlog * self.token_s + self.runs * _RUN_DELAY_S

    @property
    def token_s(self) -> float:
        """Estimated seconds for reading one token; old samples count little."""
        return self._service_speed.token_s * self._slowness_now()

    def record_full(self) -> None:
        """Record that the engine reported to be full."""
        self._full_until = monotonic() + _FULL_VALID_S

    def record_missing(self, key: AdapterKey) -> None:
        """Record the engine's answer that it does not hold an adapter."""
        self._missing_until[key] = monotonic() + _MISSING_VALID_S

    def is_missing(self, key: AdapterKey) -> bool:
        """Whether the engine answered recently that it does not hold an adapter."""
        until = self._missing_until.get(key)
        if until is None:
            return False
        if monotonic() < until:
            return True
        del self._missing_until[key]
        return False

    def record_prefill(self, tokens: int, *, after_s: float) -> None:
        """Record the time in which the engine read a prompt and those queued before it."""
        self.health.record_success()
        if tokens < _MIN_SAMPLE_TOKENS:
            return
        service_token_s = self._service_speed.token_s
        token_s = min(after_s / tokens, service_token_s * _MAX_SLOWNESS)
        slowness = self._slowness_now()
        self._slowness = slowness + (token_s / service_token_s - slowness) * _SAMPLE_WEIGHT
        self._slowness_at = monotonic()
        self._service_speed.record(token_s)

    def _slowness_now(self) -> float:
        cached = exp(-log(2) * (monotonic() - self._slowness_at) / _SPEED_HALF_LIFE_S)
        return 1.0 + (self._slowness - 1.0) * cached


class PromptCache:
    """A model of the prompt parts that an engine has cached, evicted by least recent use.

    Args:
        max_tokens: Number of tokens that the cache holds.
    """

    def __init__(self, *, max_tokens: int) -> None:
        self._max_tokens = max_tokens
        self._parts: OrderedDict[tuple[AdapterKey, str], int] = OrderedDict()
        self._tokens = 0

    def cached_tokens(self, key: AdapterKey, prompt: Iterable[tuple[str, int]]) -> int:
        """Return the number of tokens in the leading parts of a prompt that are all cached."""
        cached = 0
        for part_id, tokens in prompt:
            if (key, part_id) not in self._parts:
                break
            cached += tokens
        return cached

    def record(self, key: AdapterKey, prompt: list[tuple[str, int]]) -> None:
        """Record that a prompt is read; its last part is unique to the request and is not kept."""
        for part_id, tokens in prompt[:-1]:
            part = (key, part_id)
            if part in self._parts:
                self._parts.move_to_end(part)
            else:
                self._parts[part] = tokens
                self._tokens += tokens
        while self._tokens > self._max_tokens and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens

    def retain_only(self, keys: Container[AdapterKey]) -> None:
        """Drop the parts of other adapters, as the engine does when it unloads these."""
        for part in [part for part in self._parts if part[0] not in keys]:
            self._tokens -= self._parts.pop(part)
