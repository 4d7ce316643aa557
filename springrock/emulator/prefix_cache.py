"""The prefix cache of the engine stand-in, and its events: late, and with gaps."""

from __future__ import annotations

from collections import OrderedDict, deque
from hashlib import blake2b

from springrock.clock import monotonic
from springrock.wire.engine import CacheEvent

_PREFIX_CHARACTERS = 64
_EVENTS_KEPT = 1_000


class PrefixCache:
    """Keeps the newest prefixes in limited memory.

    Args:
        limit: How many prefixes fit.
        lag_s: How late an event is published.
        lose_every: Every so many-th event is never published; 0 loses none.
    """

    def __init__(self, *, limit: int, lag_s: float, lose_every: int) -> None:
        self._limit = limit
        self._lag_s = lag_s
        self._lose_every = lose_every
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=_EVENTS_KEPT)
        self._number = 0

    def use(self, model: str, prompt: str) -> bool:
        """Note that a request has a prefix; return whether it was cached."""
        text = f"{model}\0{prompt[:_PREFIX_CHARACTERS]}"
        prefix = blake2b(text.encode(), digest_size=8).hexdigest()
        if prefix in self._prefixes:
            self._prefixes.move_to_end(prefix)
            return True
        self._prefixes[prefix] = None
        self._publish("stored", prefix)
        if len(self._prefixes) > self._limit:
            oldest, _ = self._prefixes.popitem(last=False)
            self._publish("removed", oldest)
        return False

    def events(self, after: int) -> list[CacheEvent]:
        """Return the published events after a number."""
        seen_at = monotonic() - self._lag_s
        return [event for at, event in self._events if at <= seen_at and event.number > after]

    def __len__(self) -> int:
        return len(self._prefixes)

    def _publish(self, kind: str, prefix: str) -> None:
        self._number += 1
        if self._lose_every and self._number % self._lose_every == 0:
            return
        event = CacheEvent(
            number=self._number, kind="stored" if kind == "stored" else "removed", prefix=prefix
        )
        self._events.append((monotonic(), event))
