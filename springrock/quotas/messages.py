"""The parts of the messages between boxes and placers that concern quotas."""

from __future__ import annotations

from typing import NamedTuple

from msgspec import Struct


class Verdict(NamedTuple):
    """The decision on a charge.

    Attributes:
        charged: Whether the charge is accepted, so that the request may run.
        retry_after_s: If not, the seconds until the caller should retry; None if retrying is
            useless, as the cost exceeds what the share can ever hold.
    """

    charged: bool
    retry_after_s: float | None = None


class Charge(Struct, frozen=True, array_like=True):
    """Charges the cost of a request to its team's share in a zone.

    Attributes:
        number: The charging box's own number of the charge.
        request: The client's id of the request, for logs.
        team: The team.
        units: The cost.
    """

    number: int
    request: str
    team: str
    units: int


class Refund(Struct, frozen=True, array_like=True):
    """Refunds a charge whose request did not run."""

    number: int


class Charged(Struct, frozen=True, array_like=True, tag=8):
    """The placer's answer to a charge.

    Attributes:
        counts: Whether the placer is authorized to count for its zone now.
        taken: Whether the charge is accepted, so that the request may run.
        retry_after_ms: If not, the milliseconds until the caller should retry; None if retrying is
            useless.
    """

    number: int
    counts: bool
    taken: bool = False
    retry_after_ms: int | None = None

    @classmethod
    def from_verdict(cls, number: int, verdict: Verdict) -> Charged:
        """Build the answer for a verdict."""
        retry_after_ms = (
            None if verdict.retry_after_s is None else round(verdict.retry_after_s * 1000)
        )
        return cls(number, counts=True, taken=verdict.charged, retry_after_ms=retry_after_ms)

    @property
    def verdict(self) -> Verdict | None:
        """The verdict; None if the placer is not authorized to count now."""
        if not self.counts:
            return None
        retry_after_s = None if self.retry_after_ms is None else self.retry_after_ms / 1000
        return Verdict(self.taken, retry_after_s)
