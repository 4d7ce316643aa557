"""The asks that wait at a placer, and the clients that were asked to retry later."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from springrock.forwarding.message import AdapterKey
from springrock.placement.messages import Ask, ExpectedRetry
from springrock.placement.planner import CombinedWant

RETRY_GRACE_S = 0.4
"""How long after its announced time a client's retry is still expected."""

_RETRY_TARGET_S = 1.0
"""Latency target that is assumed for a retry, as its request is not known yet."""


class WaitingAsk(NamedTuple):
    """An ask that waits for an engine.

    Attributes:
        target_at: When its latency target passes, on the local monotonic clock.
        asked_at: When the placer received it, on the same clock.
    """

    box: str
    ask: Ask
    target_at: float
    asked_at: float

    @property
    def key(self) -> AdapterKey:
        """The adapter asked for."""
        return AdapterKey(self.ask.model, self.ask.adapter)


def _needed_software(waiting: Iterable[WaitingAsk]) -> str | None:
    """Return the version that the most valuable ask needs; None if some ask needs none.

    An engine of any version serves the asks that need none. They are granted first, so that the
    others come next.
    """
    asks = [item.ask for item in waiting]
    if not asks or any(ask.software is None for ask in asks):
        return None
    return max(asks, key=lambda ask: ask.worth).software


class _Expected(NamedTuple):
    """A client that was given a time at which to retry."""

    worth: float
    back_at: float


class AskBook:
    """Waiting asks and expected retries by adapter; asks in the order of their arrival."""

    def __init__(self) -> None:
        self._by_key: dict[AdapterKey, dict[tuple[str, int], WaitingAsk]] = {}
        self._keys: dict[tuple[str, int], AdapterKey] = {}
        self._expected_retries: dict[AdapterKey, list[_Expected]] = {}

    def add(self, box: str, ask: Ask, *, now: float) -> WaitingAsk:
        """Add an ask of a box."""
        waiting = WaitingAsk(box, ask, now + ask.target_left_ms / 1000, now)
        self._by_key.setdefault(waiting.key, {})[(box, ask.number)] = waiting
        self._keys[(box, ask.number)] = waiting.key
        return waiting

    def remove(self, box: str, number: int) -> None:
        """Remove an ask that was granted or given up; an unknown one is ignored."""
        key = self._keys.pop((box, number), None)
        if key is None:
            return
        waiting = self._by_key[key]
        del waiting[(box, number)]
        if not waiting:
            del self._by_key[key]

    def forget_box(self, box: str) -> None:
        """Remove all asks of a box."""
        for asking_box, number in [asked for asked in self._keys if asked[0] == box]:
            self.remove(asking_box, number)

    def add_retry(self, expected_retry: ExpectedRetry, *, now: float) -> None:
        """Add a client that was given a time at which to retry."""
        key = AdapterKey(expected_retry.model, expected_retry.adapter)
        back_at = now + expected_retry.back_in_ms / 1000
        self._expected_retries.setdefault(key, []).append(_Expected(expected_retry.worth, back_at))

    def asks_for(self, key: AdapterKey) -> list[WaitingAsk]:
        """Return the asks for an adapter, the highest worth first."""
        waiting = self._by_key.get(key)
        if not waiting:
            return []
        return sorted(waiting.values(), key=lambda item: (-item.ask.worth, item.asked_at))

    def boxes(self, key: AdapterKey) -> set[str]:
        """Return the boxes that wait for an adapter."""
        return {box for box, _ in self._by_key.get(key, ())}

    @property
    def keys(self) -> Iterable[AdapterKey]:
        """The adapters that at least one ask waits for."""
        return self._by_key.keys()

    def keys_by_worth(self) -> list[AdapterKey]:
        """Return the adapters that asks wait for, ordered by the highest worth of their asks."""
        if len(self._by_key) < 2:
            return list(self._by_key)

        def _most_urgent(key: AdapterKey) -> tuple[float, float]:
            return min((-item.ask.worth, item.asked_at) for item in self._by_key[key].values())

        return sorted(self._by_key, key=_most_urgent)

    @property
    def has_wants(self) -> bool:
        """Whether any ask waits or any retry is expected."""
        return bool(self._by_key or self._expected_retries)

    def combined_wants(self, now: float) -> list[CombinedWant]:
        """Return asks and expected retries combined by adapter; drop retries that did not come."""
        self._drop_missed_retries(now)
        keys = self._by_key.keys() | self._expected_retries.keys()
        return [self._want(key, now) for key in keys]

    def _want(self, key: AdapterKey, now: float) -> CombinedWant:
        waiting = list(self._by_key.get(key, {}).values())
        expected = self._expected_retries.get(key, [])
        targets = [item.target_at for item in waiting]
        targets += [item.back_at + _RETRY_TARGET_S for item in expected]
        return CombinedWant(
            key=key,
            waiting=len(waiting),
            promised=len(expected),
            worth=sum(item.ask.worth for item in waiting) + sum(item.worth for item in expected),
            since=min((item.asked_at for item in waiting), default=now),
            target_at=min(targets),
            software=_needed_software(waiting),
        )

    def _drop_missed_retries(self, now: float) -> None:
        for key, expected in list(self._expected_retries.items()):
            coming = [item for item in expected if item.back_at + RETRY_GRACE_S > now]
            if coming:
                self._expected_retries[key] = coming
            else:
                del self._expected_retries[key]
