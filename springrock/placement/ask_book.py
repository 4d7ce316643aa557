"""The asks of all boxes that wait at a placer, and the clients that were told to come back."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from springrock.forwarding.message import AdapterKey
from springrock.placement.messages import Ask, Promise
from springrock.placement.planner import CombinedWant

RETURN_GRACE_S = 0.4
"""How long after its time a client that was told to come back is still expected."""

_TARGET_OF_RETURN_S = 1.0
"""Within this time after its return a client's answer is taken to be due."""


class WaitingAsk(NamedTuple):
    """An ask that waits.

    Attributes:
        target_at: When its answer is late, on the local monotonic clock.
        asked_at: When the placer heard of it.
    """

    box: str
    ask: Ask
    target_at: float
    asked_at: float

    @property
    def key(self) -> AdapterKey:
        """The adapter asked for."""
        return AdapterKey(self.ask.model, self.ask.adapter)


class _Expected(NamedTuple):
    worth: float
    back_at: float


class AskBook:
    """Asks by adapter, in the order in which they came."""

    def __init__(self) -> None:
        self._by_key: dict[AdapterKey, dict[tuple[str, int], WaitingAsk]] = {}
        self._keys: dict[tuple[str, int], AdapterKey] = {}
        self._expected: dict[AdapterKey, list[_Expected]] = {}

    def add(self, box: str, ask: Ask, *, now: float) -> WaitingAsk:
        """Take an ask of a box."""
        waiting = WaitingAsk(box, ask, now + ask.target_left_ms / 1000, now)
        self._by_key.setdefault(waiting.key, {})[(box, ask.number)] = waiting
        self._keys[(box, ask.number)] = waiting.key
        return waiting

    def remove(self, box: str, number: int) -> None:
        """Drop an ask that was granted or given up; others are passed over."""
        key = self._keys.pop((box, number), None)
        if key is None:
            return
        waiting = self._by_key[key]
        del waiting[(box, number)]
        if not waiting:
            del self._by_key[key]

    def forget_box(self, box: str) -> None:
        """Drop all asks of a box."""
        for requester, number in [asked for asked in self._keys if asked[0] == box]:
            self.remove(requester, number)

    def expect(self, promise: Promise, *, now: float) -> None:
        """Note a client that was told when to come back."""
        key = AdapterKey(promise.model, promise.adapter)
        back_at = now + promise.back_in_ms / 1000
        self._expected.setdefault(key, []).append(_Expected(promise.worth, back_at))

    def of(self, key: AdapterKey) -> list[WaitingAsk]:
        """Return the asks for an adapter, those worth most first."""
        waiting = self._by_key.get(key)
        if not waiting:
            return []
        return sorted(waiting.values(), key=lambda item: (-item.ask.worth, item.asked_at))

    def boxes(self, key: AdapterKey) -> set[str]:
        """Return the boxes that wait for an adapter."""
        return {box for box, _ in self._by_key.get(key, ())}

    @property
    def keys(self) -> Iterable[AdapterKey]:
        """The adapters that somebody waits for now."""
        return self._by_key.keys()

    def keys_by_worth(self) -> list[AdapterKey]:
        """Return the adapters that somebody waits for, that of the ask worth most first."""
        if len(self._by_key) < 2:
            return list(self._by_key)

        def _first(key: AdapterKey) -> tuple[float, float]:
            return min((-item.ask.worth, item.asked_at) for item in self._by_key[key].values())

        return sorted(self._by_key, key=_first)

    @property
    def wanted(self) -> bool:
        """Whether anybody waits or is expected back."""
        return bool(self._by_key or self._expected)

    def wants(self, now: float) -> list[CombinedWant]:
        """Return what is waited for and expected, by adapter; forget who did not come back."""
        self._forget_missed(now)
        keys = self._by_key.keys() | self._expected.keys()
        return [self._want(key, now) for key in keys]

    def _want(self, key: AdapterKey, now: float) -> CombinedWant:
        waiting = list(self._by_key.get(key, {}).values())
        expected = self._expected.get(key, [])
        targets = [item.target_at for item in waiting]
        targets += [item.back_at + _TARGET_OF_RETURN_S for item in expected]
        return CombinedWant(
            key=key,
            waiting=len(waiting),
            promised=len(expected),
            worth=sum(item.ask.worth for item in waiting) + sum(item.worth for item in expected),
            since=min((item.asked_at for item in waiting), default=now),
            target_at=min(targets),
        )

    def _forget_missed(self, now: float) -> None:
        for key, expected in list(self._expected.items()):
            coming = [item for item in expected if item.back_at + RETURN_GRACE_S > now]
            if coming:
                self._expected[key] = coming
            else:
                del self._expected[key]
