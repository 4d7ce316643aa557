"""What boxes and placers tell each other of cold replicas; parts of a placer's link's messages."""

from __future__ import annotations

from typing import NamedTuple

from msgspec import Struct


class PermitAsk(Struct, frozen=True, array_like=True):
    """A request that is to be sent to a cold replica.

    Attributes:
        number: The box's own number for it.
        request: The client's id of the request, for logs.
        service: The replica's service.
        instance: The replica's incarnation.
        returns: Whether the caller is told when to come back if there is no room.
        grant: The box's number of the grant with which a permit was taken that is too old by now;
            0 if there was none.
    """

    number: int
    request: str
    service: str
    instance: str
    returns: bool = False
    grant: int = 0


class Sighting(Struct, frozen=True, array_like=True):
    """What a box has seen of a replica that may have started anew.

    Attributes:
        answered: Whether it answered, after it had refused connections.
    """

    instance: str
    answered: bool


class PermitVerdict(NamedTuple):
    """The placer's word on an ask.

    Attributes:
        granted: Whether the request may be sent.
        room_in_s: If not, when the bucket has room.
        back_in_s: If not, when the caller should come back, one after the other.
    """

    granted: bool
    room_in_s: float = 0.0
    back_in_s: float = 0.0


class Permitted(Struct, frozen=True, array_like=True, tag=11):
    """The placer's answer to an ask.

    Attributes:
        counts: Whether the placer may count for its zone now.
        granted: Whether the request may be sent.
        room_in_ms: If not, when the bucket has room.
        back_in_ms: If not, when the caller should come back.
    """

    number: int
    counts: bool
    granted: bool = False
    room_in_ms: int = 0
    back_in_ms: int = 0

    @classmethod
    def from_verdict(cls, number: int, verdict: PermitVerdict) -> Permitted:
        """Build the answer that tells a verdict."""
        return cls(
            number,
            counts=True,
            granted=verdict.granted,
            room_in_ms=round(verdict.room_in_s * 1000),
            back_in_ms=round(verdict.back_in_s * 1000),
        )

    @property
    def verdict(self) -> PermitVerdict | None:
        """What it tells; None if the placer may not count now."""
        if not self.counts:
            return None
        return PermitVerdict(self.granted, self.room_in_ms / 1000, self.back_in_ms / 1000)
