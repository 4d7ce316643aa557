"""The permits that this box asks of one zone's placer, and what it has not been told."""

from __future__ import annotations

from collections.abc import Callable
from itertools import count

import msgspec
from gevent.event import AsyncResult

from springrock.clock import monotonic
from springrock.errors import SpringrockError
from springrock.permits.messages import PermitAsk, Permitted, PermitVerdict, ReplicaObservation
from springrock.permits.terms import PERMIT_LIFE_S

_NO_ANSWER_S = 0.05
"""How long a request waits for the placer's word: a third of a permit's life, of which the rest is
for the connection to the replica."""


class PermitsUnheard(SpringrockError):
    """Nobody tells whether a request may be sent to a cold or limited replica."""


class PermitBook:
    """The asks of one box at one zone's placer.

    Args:
        on_update: Called when the placer is to be told something; whether somebody waits for it.
    """

    def __init__(self, *, on_update: Callable[[bool], None]) -> None:
        self._on_update = on_update
        self._numbers = count(1)
        self._asked: dict[int, AsyncResult[PermitVerdict | None]] = {}
        self._new: list[PermitAsk] = []
        self._seen: list[ReplicaObservation] = []

    def ask(self, permit_ask: PermitAsk) -> tuple[PermitVerdict, float]:
        """Ask for a permit; return the answer and until when it is good, on the local clock.

        It is good for its life from before the ask, so that no delay on the way lengthens it.

        Raises:
            PermitsUnheard: If no answer comes. What the placer may have taken out is lost.
        """
        good_until = monotonic() + PERMIT_LIFE_S
        ask = msgspec.structs.replace(permit_ask, number=next(self._numbers))
        answer = self._asked[ask.number] = AsyncResult()
        self._new.append(ask)
        self._on_update(True)
        try:
            verdict = answer.wait(timeout=_NO_ANSWER_S)
        finally:
            del self._asked[ask.number]
            if ask in self._new:
                self._new.remove(ask)
        if verdict is None:
            raise PermitsUnheard()
        return verdict, good_until

    def record_observation(self, instance: str, *, answered: bool) -> None:
        """Tell the placer what this box saw of a replica."""
        observation = ReplicaObservation(instance, answered)
        if observation not in self._seen:
            self._seen.append(observation)
        self._on_update(False)

    def record_permitted(self, permitted: Permitted) -> None:
        """Learn the placer's answer; who has left does without."""
        answer = self._asked.get(permitted.number)
        if answer is not None:
            answer.set(permitted.verdict)

    def forget_placer(self) -> None:
        """Lose the placer, and with it all that was asked."""
        self._new.clear()
        self._seen.clear()
        for answer in self._asked.values():
            answer.set(None)

    def drain_updates(self) -> tuple[list[PermitAsk], list[ReplicaObservation]]:
        """Return what the placer has not been told."""
        new, self._new = self._new, []
        seen, self._seen = self._seen, []
        return new, seen
