"""What boxes and placers tell each other of quotas; parts of the messages of a placer's link."""

from __future__ import annotations

from typing import NamedTuple

from msgspec import Struct


class Verdict(NamedTuple):
    """The answer to a charge.

    Attributes:
        charged: Whether the request may run.
        back_in_s: If not, when there is likely room for it; None if there never is.
    """

    charged: bool
    back_in_s: float | None = None


class Charge(Struct, frozen=True, array_like=True):
    """A request whose cost is to be taken out of its team's part.

    Attributes:
        number: The box's own number for it.
        request: The client's id of the request, for logs.
        team: The team.
        units: The cost.
    """

    number: int
    request: str
    team: str
    units: int


class GiveBack(Struct, frozen=True, array_like=True):
    """A charge whose request did not run."""

    number: int


class Charged(Struct, frozen=True, array_like=True, tag=8):
    """The placer's answer to a charge.

    Attributes:
        counts: Whether the placer may count for its zone now.
        taken: Whether the request may run.
        back_in_ms: If not, when there is likely room for it; None if there never is.
    """

    number: int
    counts: bool
    taken: bool = False
    back_in_ms: int | None = None

    @classmethod
    def from_verdict(cls, number: int, verdict: Verdict) -> Charged:
        """Build the answer that tells a verdict."""
        back_in_ms = None if verdict.back_in_s is None else round(verdict.back_in_s * 1000)
        return cls(number, counts=True, taken=verdict.charged, back_in_ms=back_in_ms)

    @property
    def verdict(self) -> Verdict | None:
        """What it tells; None if the placer may not count now."""
        if not self.counts:
            return None
        back_in_s = None if self.back_in_ms is None else self.back_in_ms / 1000
        return Verdict(self.taken, back_in_s)
