"""The charges that this box asks of one zone's placer, and what of them it has not been told."""

from __future__ import annotations

from collections.abc import Callable
from itertools import count

from gevent.event import AsyncResult

from springrock.errors import SpringrockError
from springrock.quotas.messages import Charge, Charged, GiveBack, Verdict

_NO_ANSWER_S = 0.15
"""How long a request waits for the placer's word before it asks another zone; half of the shortest
time in which a plain answer is due."""


class CounterSilent(SpringrockError):
    """The placer of a zone does not tell whether a charge is taken."""


class ChargeBook:
    """The charges of one box at one zone's placer.

    Args:
        on_update: Called when the placer is to be told something; whether somebody waits for it.
    """

    def __init__(self, *, on_update: Callable[[bool], None]) -> None:
        self._on_update = on_update
        self._numbers = count(1)
        self._asked: dict[int, AsyncResult[Verdict | None]] = {}
        self._new: list[Charge] = []
        self._back: list[GiveBack] = []

    def charge(self, team: str, units: int, *, request: str) -> tuple[Verdict, int]:
        """Ask for a charge and wait for the answer; return it and the charge's number.

        Raises:
            CounterSilent: If none comes.
        """
        charge = Charge(next(self._numbers), request, team, units)
        answer = self._asked[charge.number] = AsyncResult()
        self._new.append(charge)
        self._on_update(True)
        verdict: Verdict | None = None
        try:
            verdict = answer.wait(timeout=_NO_ANSWER_S)
        finally:
            del self._asked[charge.number]
            if verdict is None:
                self._withdraw(charge)
        if verdict is None:
            raise CounterSilent()
        return verdict, charge.number

    def give_back(self, number: int) -> None:
        """Have a charge undone, as its request did not run."""
        self._back.append(GiveBack(number))
        self._on_update(False)

    def _withdraw(self, charge: Charge) -> None:
        """Take back a charge without an answer; the placer may have taken it, or do so yet."""
        if charge in self._new:
            self._new.remove(charge)
        else:
            self.give_back(charge.number)

    def record_charged(self, charged: Charged) -> None:
        """Learn the placer's answer; who has left has given the charge back."""
        answer = self._asked.get(charged.number)
        if answer is not None:
            answer.set(charged.verdict)

    def forget_placer(self) -> None:
        """Lose the placer: what was given back of its charges nobody knows any more."""
        self._back.clear()
        self._new.clear()
        for answer in self._asked.values():
            answer.set(None)

    def drain_updates(self) -> tuple[list[Charge], list[GiveBack]]:
        """Return what the placer has not been told."""
        new, self._new = self._new, []
        back, self._back = self._back, []
        return new, back
