"""Answers charges to one zone's share of all quotas; runs on the zone's placer."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from springrock.clock import monotonic
from springrock.forwarding.configuration import Configuration
from springrock.log import Log
from springrock.quotas.ledger import Ledger
from springrock.quotas.messages import Charge, Charged, Refund, Verdict
from springrock.quotas.shares import QuotaTerms


class QuotaCounter:
    """Answers charges while this box certainly holds the zone's lease.

    Args:
        zone: The availability zone.
        configuration: Returns the configuration in force.
        terms: Returns the tolerances and the window of quotas.
        lease_left_s: Returns how much longer the lease is certainly valid, in seconds.
        answer: Sends an answer to one box.
        on_counted: Called for each charge with the team and whether it was accepted.
        log: The log to write to.
    """

    def __init__(
        self,
        zone: str,
        *,
        configuration: Callable[[], Configuration],
        terms: Callable[[], QuotaTerms],
        lease_left_s: Callable[[], float],
        answer: Callable[[str, Charged], None],
        on_counted: Callable[[str, bool], None],
        log: Log,
    ) -> None:
        self._zone = zone
        self._configuration = configuration
        self._terms = terms
        self._lease_left_s = lease_left_s
        self._answer = answer
        self._on_counted = on_counted
        self._log = log
        self.reset()

    def reset(self) -> None:
        """Start with empty buckets after taking the lease."""
        self._ledger = Ledger(configuration=self._configuration, terms=self._terms, now=monotonic())

    def forget_box(self, box: str) -> None:
        """Forget the charges of a box whose process has changed; they are not refunded."""
        self._ledger.forget_box(box)

    def answer(self, box: str, charges: Iterable[Charge], refunds: Iterable[Refund]) -> None:
        """Answer a box's charges, then refund those whose requests did not run."""
        now = monotonic()
        counts = self._lease_left_s() > 0
        for charge in charges:
            charged = Charged(charge.number, counts=False)
            if counts:
                verdict = self._ledger.charge(
                    box, charge.number, team=charge.team, units=charge.units, now=now
                )
                self._record(box, charge, verdict, now)
                charged = Charged.from_verdict(charge.number, verdict)
            self._answer(box, charged)
        for refund in refunds:
            self._ledger.refund(box, refund.number, now=now)

    def _record(self, box: str, charge: Charge, verdict: Verdict, now: float) -> None:
        self._on_counted(charge.team, verdict.charged)
        if verdict.charged:
            return
        self._log.info(
            "A team's share of its quota is used up.",
            request=charge.request,
            team=charge.team,
            units=charge.units,
            peer=box,
            zone=self._zone,
            back_in_ms=None
            if verdict.retry_after_s is None
            else round(verdict.retry_after_s * 1000),
            **self._ledger.state(charge.team, now),
        )
