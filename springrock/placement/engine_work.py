"""What the placer knows of the work at one engine: what runs, what it has yet to read, how fast."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Container, Iterable
from math import exp, log

from springrock.backoff import Backoff
from springrock.clock import monotonic
from springrock.forwarding.health import Health
from springrock.forwarding.message import AdapterKey

_CACHE_MEMORY_FRACTION = 0.6
"""Of an engine's memory; the rest is reckoned to be taken by running requests."""

_RUN_DELAY_S = 0.004
"""What one running request delays another's first event: its part of the engine's step."""

_FULL_VALID_S = 0.3
"""How long an engine that said that it is full gets nothing else if another can take it."""

_MISSING_VALID_S = 1.0
"""How long an engine's own "not here" outweighs the book, which a report may still confirm."""

_MIN_SAMPLE_TOKENS = 1000
"""A shorter prompt takes about as long to send as to read, and tells nothing of the speed."""

_SAMPLE_WEIGHT = 0.25
_INITIAL_TOKEN_S = 1 / 20_000
"""What is reckoned for reading one token until something was seen."""

_SPEED_HALF_LIFE_S = 5.0
"""Half of what was seen of an engine's own speed counts no more after this time."""

_MAX_SLOWNESS = 20.0
"""Times the usual; a first event that takes longer tells of a fault, not of the speed."""


class PrefillSpeed:
    """How long the engines of a service usually take to read one token of a prompt."""

    def __init__(self) -> None:
        self.token_s = _INITIAL_TOKEN_S

    def record(self, token_s: float) -> None:
        """Learn from one prompt."""
        self.token_s += (token_s - self.token_s) * _SAMPLE_WEIGHT / 4


class EngineWork:
    """The work at one engine.

    Args:
        usual: The speed of all engines of the service.
        memory_tokens: How many tokens the engine keeps; 0 if that is not known.

    Attributes:
        runs: How many requests run or wait there.
        unread: Tokens of prompts that were sent there and whose answers have not begun.
        health: What requests of all boxes have seen of it.
        backoff: The longest rest that it asks any box for.
    """

    def __init__(self, usual: PrefillSpeed, *, memory_tokens: int) -> None:
        self._service_speed = usual
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
        """Whether the engine said just now that it has no room."""
        return monotonic() < self._full_until

    @property
    def wait_s(self) -> float:
        """How long a request of no tokens would wait there for its first event, about."""
        return self.prefill_backlog * self.token_s + self.runs * _RUN_DELAY_S

    @property
    def token_s(self) -> float:
        """Seconds for reading one token, about; what was seen long ago counts little."""
        return self._service_speed.token_s * self._slowness_now()

    def record_full(self) -> None:
        """Learn that the engine has no room."""
        self._full_until = monotonic() + _FULL_VALID_S

    def record_missing(self, key: AdapterKey) -> None:
        """Learn from the engine itself that it does not hold an adapter."""
        self._missing_until[key] = monotonic() + _MISSING_VALID_S

    def is_missing(self, key: AdapterKey) -> bool:
        """Whether the engine said lately that it does not hold an adapter."""
        until = self._missing_until.get(key)
        if until is None:
            return False
        if monotonic() < until:
            return True
        del self._missing_until[key]
        return False

    def record_prefill(self, tokens: int, *, after_s: float) -> None:
        """Learn how long the engine took for a prompt and for those before it."""
        self.health.record_success()
        if tokens < _MIN_SAMPLE_TOKENS:
            return
        usual_s = self._service_speed.token_s
        token_s = min(after_s / tokens, usual_s * _MAX_SLOWNESS)
        slowness = self._slowness_now()
        self._slowness = slowness + (token_s / usual_s - slowness) * _SAMPLE_WEIGHT
        self._slowness_at = monotonic()
        self._service_speed.record(token_s)

    def _slowness_now(self) -> float:
        kept = exp(-log(2) * (monotonic() - self._slowness_at) / _SPEED_HALF_LIFE_S)
        return 1.0 + (self._slowness - 1.0) * kept


class PromptCache:
    """The parts of prompts that an engine has read, as far as it will still keep them.

    Args:
        tokens_at_most: How many tokens are kept; those unused longest give way.
    """

    def __init__(self, *, max_tokens: int) -> None:
        self._max_tokens = max_tokens
        self._parts: OrderedDict[tuple[AdapterKey, str], int] = OrderedDict()
        self._tokens = 0

    def cached_tokens(self, key: AdapterKey, prompt: Iterable[tuple[str, int]]) -> int:
        """Return how many tokens of a prompt need not be read: its first parts, without a gap."""
        kept = 0
        for part_id, tokens in prompt:
            if (key, part_id) not in self._parts:
                break
            kept += tokens
        return kept

    def record(self, key: AdapterKey, prompt: list[tuple[str, int]]) -> None:
        """Note that a prompt is read; its last part is the request's own and is not shared."""
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
        """Forget what was read for other adapters, as the engine does when it gives them up."""
        for part in [part for part in self._parts if part[0] not in keys]:
            self._tokens -= self._parts.pop(part)
