"""The parts of the messages between boxes and placers that concern cold and limited replicas."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from msgspec import Struct


class PermitAsk(Struct, frozen=True, array_like=True):
    """Asks for a permit to send a request to a replica that is cold or has named a limit.

    Attributes:
        number: The asking box's own number of the ask.
        request: The client's id of the request, for logs.
        service: The replica's service.
        instance: The replica's incarnation.
        reserve_retry: Whether to reserve a retry time for the caller if no permit is available.
        grant: The box's number of the engine grant whose permit has expired; 0 if there was none.
        cold: Whether the box treats the replica as cold.
        limit_per_s: The named limit that the box knows of; None if it knows none.
        brittle_per_s: How many requests the replica may turn away in a second, as far as the box
            knows; None if it does not know the replica to be brittle.
    """

    number: int
    request: str
    service: str
    instance: str
    reserve_retry: bool = False
    grant: int = 0
    cold: bool = True
    limit_per_s: float | None = None
    brittle_per_s: float | None = None


class PermitStage(IntEnum):
    """What became of a request that was sent to a brittle replica with a permit."""

    ADMITTED = 0
    """The replica did not turn it away."""
    REFUSED = 1
    ENDED = 2
    """It does not run any more."""


class PermitUse(Struct, frozen=True, array_like=True):
    """What became of a request with a permit at a brittle replica.

    Attributes:
        instance: The replica's incarnation.
        request: The client's id of the request.
    """

    instance: str
    request: str
    stage: PermitStage


class LimitReport(Struct, frozen=True, array_like=True):
    """What an answer of a replica said about its limit.

    Attributes:
        instance: The replica's incarnation.
        per_s: Requests a second that the replica accepts from all boxes; None if it no longer names
            a limit.
        age_ms: The age of the report in milliseconds. Counted from the arrival of the answer that
            named the limit, or from the sending of the request whose answer named none.
    """

    instance: str
    per_s: float | None
    age_ms: int = 0


class NamedLimit(Struct, frozen=True, array_like=True):
    """A limit in force, as the placer of the replica's zone knows it."""

    instance: str
    per_s: float


class ReplicaObservation(Struct, frozen=True, array_like=True):
    """What a box observed of a replica that may have restarted.

    Attributes:
        answered: True if it answered after refusing connections; False if it refuses them.
    """

    instance: str
    answered: bool


class PermitVerdict(NamedTuple):
    """The placer's decision on an ask.

    Attributes:
        granted: Whether the request may be sent.
        room_in_s: If not granted, the seconds until the bucket holds a permit.
        retry_after_s: If not granted, the seconds until the caller should retry; successive callers
            get successive times.
        limited: Whether a limit that the replica named was taken into account.
        brittle: Whether it was taken into account that the replica may be brittle.
    """

    granted: bool
    room_in_s: float = 0.0
    retry_after_s: float = 0.0
    limited: bool = False
    brittle: bool = False


class Permitted(Struct, frozen=True, array_like=True, tag=11):
    """The placer's answer to an ask.

    Attributes:
        counts: Whether the placer is authorized to count for its zone now.
        granted: Whether the request may be sent.
        room_in_ms: If not granted, the milliseconds until the bucket holds a permit.
        retry_after_ms: If not granted, the milliseconds until the caller should retry.
        limited: Whether a limit that the replica named was taken into account. A placer of an
            earlier build does not send this field, as it knows no named limits.
        brittle: Whether it was taken into account that the replica may be brittle. A placer of an
            earlier build does not send this field.
    """

    number: int
    counts: bool
    granted: bool = False
    room_in_ms: int = 0
    retry_after_ms: int = 0
    limited: bool = False
    brittle: bool = False

    @classmethod
    def from_verdict(cls, number: int, verdict: PermitVerdict) -> Permitted:
        """Build the answer for a verdict."""
        return cls(
            number,
            counts=True,
            granted=verdict.granted,
            room_in_ms=round(verdict.room_in_s * 1000),
            retry_after_ms=round(verdict.retry_after_s * 1000),
            limited=verdict.limited,
            brittle=verdict.brittle,
        )

    @property
    def verdict(self) -> PermitVerdict | None:
        """The verdict; None if the placer is not authorized to count now."""
        if not self.counts:
            return None
        room_in_s, retry_after_s = self.room_in_ms / 1000, self.retry_after_ms / 1000
        return PermitVerdict(self.granted, room_in_s, retry_after_s, self.limited, self.brittle)
