"""The asks for permits that this box has pending at one zone's placer."""

from __future__ import annotations

from collections.abc import Callable
from itertools import count

import msgspec
from gevent.event import AsyncResult

from springrock.clock import monotonic
from springrock.errors import SpringrockError
from springrock.permits.messages import (
    PermitAsk,
    Permitted,
    PermitUse,
    PermitVerdict,
    ReplicaObservation,
)
from springrock.permits.terms import PERMIT_LIFE_S

_ANSWER_TIMEOUT_S = 0.05
"""How long a request waits for the placer's answer: a third of a permit's lifetime. The rest is
left for connecting to the replica."""


class PermitsUnheard(SpringrockError):
    """No placer answered whether a request may be sent to a metered replica."""


class PermitBook:
    """The asks of one box at one zone's placer, and what has not been sent to it yet.

    Args:
        on_update: Called when there is something to send to the placer, with whether a request
            waits for the answer.
    """

    def __init__(self, *, on_update: Callable[[bool], None]) -> None:
        self._on_update = on_update
        self._numbers = count(1)
        self._pending: dict[int, AsyncResult[PermitVerdict | None]] = {}
        self._unsent_asks: list[PermitAsk] = []
        self._unsent_observations: list[ReplicaObservation] = []
        self._unsent_uses: list[PermitUse] = []

    def ask(self, permit_ask: PermitAsk) -> tuple[PermitVerdict, float]:
        """Ask for a permit and wait for the answer.

        The permit's lifetime is counted from before the ask, so that no delay of messages extends
        it.

        Returns:
            The verdict, and when the permit expires on the local monotonic clock.

        Raises:
            PermitsUnheard: If no answer comes. A permit that the placer may have issued is lost.
        """
        valid_until = monotonic() + PERMIT_LIFE_S
        ask = msgspec.structs.replace(permit_ask, number=next(self._numbers))
        answer = self._pending[ask.number] = AsyncResult()
        self._unsent_asks.append(ask)
        self._on_update(True)
        try:
            verdict = answer.wait(timeout=_ANSWER_TIMEOUT_S)
        finally:
            del self._pending[ask.number]
            if ask in self._unsent_asks:
                self._unsent_asks.remove(ask)
        if verdict is None:
            raise PermitsUnheard()
        return verdict, valid_until

    def record_observation(self, instance: str, *, answered: bool) -> None:
        """Queue an observation of a replica for the placer, unless the same one is queued."""
        observation = ReplicaObservation(instance, answered)
        if observation not in self._unsent_observations:
            self._unsent_observations.append(observation)
        self._on_update(False)

    def record_use(self, use: PermitUse) -> None:
        """Queue for the placer what became of a request to a brittle replica."""
        self._unsent_uses.append(use)
        self._on_update(False)

    def record_permitted(self, permitted: Permitted) -> None:
        """Pass the placer's answer on to the request that waits for it, if it still does."""
        answer = self._pending.get(permitted.number)
        if answer is not None:
            answer.set(permitted.verdict)

    def forget_placer(self) -> None:
        """End all asks without an answer, as the placer is lost; drop what was not sent."""
        self._unsent_asks.clear()
        self._unsent_observations.clear()
        self._unsent_uses.clear()
        for answer in self._pending.values():
            answer.set(None)

    def drain_updates(self) -> tuple[list[PermitAsk], list[ReplicaObservation]]:
        """Return the asks and observations to send to the placer, and clear them."""
        asks, self._unsent_asks = self._unsent_asks, []
        observations, self._unsent_observations = self._unsent_observations, []
        return asks, observations

    def drain_uses(self) -> list[PermitUse]:
        """Return what became of requests, to send to the placer, and clear it."""
        uses, self._unsent_uses = self._unsent_uses, []
        return uses
