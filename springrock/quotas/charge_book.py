"""The charges that this box has pending at one zone's placer, and what has not been sent yet."""

from __future__ import annotations

from collections.abc import Callable
from itertools import count

from gevent.event import AsyncResult

from springrock.errors import SpringrockError
from springrock.quotas.messages import Charge, Charged, Refund, Verdict

_ANSWER_TIMEOUT_S = 0.15
"""How long a request waits for the placer's answer before it asks another zone: half of the
shortest time in which a request must be answered."""


class CounterSilent(SpringrockError):
    """The placer of a zone did not answer a charge."""


class ChargeBook:
    """The charges of one box at one zone's placer.

    Args:
        on_update: Called when there is something to send to the placer, with whether a request
            waits for the answer.
    """

    def __init__(self, *, on_update: Callable[[bool], None]) -> None:
        self._on_update = on_update
        self._numbers = count(1)
        self._pending: dict[int, AsyncResult[Verdict | None]] = {}
        self._unsent_charges: list[Charge] = []
        self._unsent_refunds: list[Refund] = []

    def charge(self, team: str, units: int, *, request: str) -> tuple[Verdict, int]:
        """Send a charge and wait for the answer; return the answer and the charge's number.

        Raises:
            CounterSilent: If no answer comes.
        """
        charge = Charge(next(self._numbers), request, team, units)
        answer = self._pending[charge.number] = AsyncResult()
        self._unsent_charges.append(charge)
        self._on_update(True)
        verdict: Verdict | None = None
        try:
            verdict = answer.wait(timeout=_ANSWER_TIMEOUT_S)
        finally:
            del self._pending[charge.number]
            if verdict is None:
                self._cancel(charge)
        if verdict is None:
            raise CounterSilent()
        return verdict, charge.number

    def refund(self, number: int) -> None:
        """Refund a charge, as its request did not run."""
        self._unsent_refunds.append(Refund(number))
        self._on_update(False)

    def _cancel(self, charge: Charge) -> None:
        """Cancel an unanswered charge, by a refund if the placer may have received it."""
        if charge in self._unsent_charges:
            self._unsent_charges.remove(charge)
        else:
            self.refund(charge.number)

    def record_charged(self, charged: Charged) -> None:
        """Pass the placer's answer on to the request that waits for it.

        A request that no longer waits has refunded the charge.
        """
        answer = self._pending.get(charged.number)
        if answer is not None:
            answer.set(charged.verdict)

    def forget_placer(self) -> None:
        """End all charges without an answer, as the placer is lost.

        Refunds are dropped: the next placer does not know the charges of this one.
        """
        self._unsent_refunds.clear()
        self._unsent_charges.clear()
        for answer in self._pending.values():
            answer.set(None)

    def drain_updates(self) -> tuple[list[Charge], list[Refund]]:
        """Return the charges and refunds to send to the placer, and clear them."""
        charges, self._unsent_charges = self._unsent_charges, []
        refunds, self._unsent_refunds = self._unsent_refunds, []
        return charges, refunds
