"""Prefix cache of the engine stand-in, whose events are published late and with gaps."""

from __future__ import annotations

from collections import OrderedDict, deque
from hashlib import blake2b

from springrock.clock import monotonic
from springrock.wire.engine import CacheEvent

_PREFIX_LENGTH = 64
_MAX_EVENTS = 1_000


class PrefixCache:
    """An LRU cache of prompt prefixes that publishes an event for each change.

    Args:
        limit: Maximum number of cached prefixes.
        lag_s: Delay before an event becomes visible to readers.
        lose_every: Every event whose number is a multiple of this is lost; 0 loses none.
    """

    def __init__(self, *, limit: int, lag_s: float, lose_every: int) -> None:
        self._limit = limit
        self._lag_s = lag_s
        self._lose_every = lose_every
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=_MAX_EVENTS)
        self._last_event_number = 0

    def record_use(self, model: str, prompt: str) -> bool:
        """Record that a request used its prompt prefix; return whether it was cached."""
        text = f"{model}\0{prompt[:_PREFIX_LENGTH]}"
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
        """Return the visible events with numbers above the given one."""
        visible_until = monotonic() - self._lag_s
        return [event for at, event in self._events if at <= visible_until and event.number > after]

    def __len__(self) -> int:
        return len(self._prefixes)

    def _publish(self, kind: str, prefix: str) -> None:
        self._last_event_number += 1
        if self._lose_every and self._last_event_number % self._lose_every == 0:
            return
        event = CacheEvent(
            number=self._last_event_number,
            kind="stored" if kind == "stored" else "removed",
            prefix=prefix,
        )
        self._events.append((monotonic(), event))
