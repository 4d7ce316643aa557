"""What boxes and placers tell each other of cold and limited replicas; parts of their messages."""

from __future__ import annotations

from typing import NamedTuple

from msgspec import Struct


class PermitAsk(Struct, frozen=True, array_like=True):
    """A request that is to be sent to a replica that is cold or has named a limit.

    Attributes:
        number: The box's own number for it.
        request: The client's id of the request, for logs.
        service: The replica's service.
        instance: The replica's incarnation.
        returns: Whether the caller is told when to come back if there is no room.
        grant: The box's number of the grant with which a permit was taken that is too old by now;
            0 if there was none.
        cold: Whether the box takes the replica for cold.
        limit_per_s: The limit that it knows the replica to have named; None if none.
    """

    number: int
    request: str
    service: str
    instance: str
    returns: bool = False
    grant: int = 0
    cold: bool = True
    limit_per_s: float | None = None


class LimitReport(Struct, frozen=True, array_like=True):
    """What an answer told of its replica's limit.

    Attributes:
        instance: The replica's incarnation.
        per_s: Requests a second that it takes from all boxes; None if it names no limit any more.
        age_ms: How long ago the answer came that named it; of one that named none any more, how
            long ago its request was sent.
    """

    instance: str
    per_s: float | None
    age_ms: int = 0


class NamedLimit(Struct, frozen=True, array_like=True):
    """A limit that stands, as the placer of the replica's zone knows it."""

    instance: str
    per_s: float


class ReplicaObservation(Struct, frozen=True, array_like=True):
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
        limited: Whether the limit that the replica has named was looked at as well.
    """

    granted: bool
    room_in_s: float = 0.0
    back_in_s: float = 0.0
    limited: bool = False


class Permitted(Struct, frozen=True, array_like=True, tag=11):
    """The placer's answer to an ask.

    Attributes:
        counts: Whether the placer may count for its zone now.
        granted: Whether the request may be sent.
        room_in_ms: If not, when the bucket has room.
        back_in_ms: If not, when the caller should come back.
        limited: Whether the limit that the replica has named was looked at as well. A placer of an
            earlier build knows of none.
    """

    number: int
    counts: bool
    granted: bool = False
    room_in_ms: int = 0
    back_in_ms: int = 0
    limited: bool = False

    @classmethod
    def from_verdict(cls, number: int, verdict: PermitVerdict) -> Permitted:
        """Build the answer that tells a verdict."""
        return cls(
            number,
            counts=True,
            granted=verdict.granted,
            room_in_ms=round(verdict.room_in_s * 1000),
            back_in_ms=round(verdict.back_in_s * 1000),
            limited=verdict.limited,
        )

    @property
    def verdict(self) -> PermitVerdict | None:
        """What it tells; None if the placer may not count now."""
        if not self.counts:
            return None
        room_in_s, back_in_s = self.room_in_ms / 1000, self.back_in_ms / 1000
        return PermitVerdict(self.granted, room_in_s, back_in_s, self.limited)
