"""The messages between boxes: CBOR arrays over websockets, whose first item is the kind.

Integer kinds and arrays without field names keep frames small: the budget for control messages is
8 KB/s on each node.
"""

from __future__ import annotations

from typing import Any

import cbor2
import msgspec
from msgspec import Struct

from springrock.errors import PeerRejected, Refusal
from springrock.unknown_messages import check_kind, kinds_of


class Hello(Struct, frozen=True, array_like=True, tag=1):
    """The first message of a link."""

    box: str
    zone: str
    incarnation: str
    revision: int


class Ask(Struct, frozen=True, array_like=True, tag=2):
    """Ask the owner of a replica for a permit.

    Attributes:
        number: Identifies the question on its link; the answer repeats it.
        request_id: The request, so that the owner can cancel it when its permit expires.
        adapter: ``ADAPTER@VERSION``, or empty for the base model alone.
        deadline_s: Seconds left until the request's deadline.
    """

    number: int
    request_id: str
    replica: str
    adapter: str
    workload: str
    worth: float
    priority: int
    max_tokens: int
    deadline_s: float


class Grant(Struct, frozen=True, array_like=True, tag=3):
    """Permission to run one request on a replica.

    Attributes:
        start_within_s: The holder must send the request within this time, counted from when it sent
            its question; it includes `waited_s`.
        waited_s: How long the owner delayed the answer until a load was done or a slot was free.
        stall_s: The part of `waited_s` in which the adapter was not loaded.
        end_within_s: The request must end within this time of the grant.
    """

    number: int
    permit: int
    replica: str
    adapter: str
    fence: int
    start_within_s: float
    end_within_s: float
    waited_s: float
    stall_s: float


class Deny(Struct, frozen=True, array_like=True, tag=4):
    """The owner refuses a permit."""

    number: int
    refusal: Refusal


NOT_LOADED = -1
"""Sent instead of a token count if the engine answered that it does not hold the adapter."""


class Return(Struct, frozen=True, array_like=True, tag=5):
    """The holder no longer uses a permit; never answered.

    Attributes:
        tokens: How many tokens were streamed if the answer was complete, else 0 or `NOT_LOADED`.
    """

    replica: str
    permit: int
    fence: int
    tokens: int


class Withdraw(Struct, frozen=True, array_like=True, tag=6):
    """The sender no longer needs the answer to its question; never answered."""

    number: int


class ReplicaReport(Struct, frozen=True, array_like=True, tag=7):
    """The state of a replica as its owner sees it; a hint for routing, never answered.

    Attributes:
        room: How many adapter slots are free; -1 if none is, and no adapter may be unloaded yet.
        load_ms: The usual time of an adapter load, including the wait for its turn.
        service_ms: The usual run time of a request.
        ready: The adapters for which requests can start.
        expected: The adapters that are being loaded or have requests waiting for them.
    """

    replica: str
    owner: str
    fence: int
    accepting: bool
    running: int
    waiting: int
    room: int
    load_ms: int
    service_ms: int
    ready: list[str]
    expected: list[str]


class FenceNotice(Struct, frozen=True, array_like=True, tag=8):
    """A new owner asks which permits with lower fences the peer holds."""

    number: int
    replica: str
    fence: int


class HeldPermit(Struct, frozen=True, array_like=True):
    """One permit that a box holds."""

    fence: int
    permit: int
    adapter: str
    seconds_left: float


class HeldPermits(Struct, frozen=True, array_like=True, tag=9):
    """The permits that a box holds for a replica, regardless of their fences."""

    number: int
    permits: list[HeldPermit]


class Head(Struct, frozen=True, array_like=True, tag=10):
    """The highest configuration revision that the sender has applied; never answered."""

    revision: int


class Probe(Struct, frozen=True, array_like=True, tag=11):
    """Ask a peer whether it is alive and reaches the table, and which fences it knows."""

    number: int
    replicas: list[str] = []


class ProbeAnswer(Struct, frozen=True, array_like=True, tag=12):
    """How recently a peer reached the table, and the highest fence it knows of each replica asked.

    Attributes:
        table_answer_age_s: Seconds since the peer last got an answer from the table, directly or
            through other boxes.
    """

    number: int
    table_answer_age_s: float
    fences: list[int]


class LoadBid(Struct, frozen=True, array_like=True, tag=13):
    """Ask the box that schedules adapter loads for a turn on the weight store.

    Attributes:
        value: The value of the load; the highest gets the next turn.
    """

    number: int
    replica: str
    adapter: str
    value: float


class LoadTurn(Struct, frozen=True, array_like=True, tag=14):
    """Permission to load from the weight store, to be used within `use_within_s`."""

    number: int
    use_within_s: float


class LoadOver(Struct, frozen=True, array_like=True, tag=15):
    """A load has ended; never answered."""

    replica: str


class FetchChanges(Struct, frozen=True, array_like=True, tag=16):
    """Ask a peer for the configuration changes after a revision."""

    number: int
    after: int


class Changes(Struct, frozen=True, array_like=True, tag=17):
    """Encoded configuration changes, in order."""

    number: int
    changes: list[bytes]


class RelayCall(Struct, frozen=True, array_like=True, tag=18):
    """Ask a peer to forward a table call, a read or a transaction, that this box cannot make."""

    number: int
    prefix: str
    transaction: bytes


class RelayAnswer(Struct, frozen=True, array_like=True, tag=19):
    """The table's encoded answer; empty if the peer did not get one either."""

    number: int
    body: bytes


class Demand(Struct, frozen=True, array_like=True, tag=20):
    """The rate at which requests of each rate-limited workload reach the sender; never answered."""

    workloads: list[str]
    requests_per_s: list[float]


class HandOver(Struct, frozen=True, array_like=True, tag=21):
    """The sender has transferred a replica to the receiver in the table; never answered."""

    replica: str


class StatusQuery(Struct, frozen=True, array_like=True, tag=22):
    """Ask a box for its status."""

    number: int


class Status(Struct, frozen=True, array_like=True, tag=23):
    """The status of a box."""

    number: int
    box: str
    zone: str
    revision: int
    ready: bool
    open_requests: int
    lease_held: bool
    owned: list[str]


class StopBox(Struct, frozen=True, array_like=True, tag=24):
    """Ask a box to shut down in an orderly way; it answers before it starts to."""

    number: int
    who: str


Question = Ask | FenceNotice | Probe | LoadBid | FetchChanges | RelayCall | StatusQuery | StopBox
Answer = Grant | Deny | HeldPermits | ProbeAnswer | LoadTurn | Changes | RelayAnswer | Status
Notice = Hello | Return | Withdraw | ReplicaReport | Head | LoadOver | Demand | HandOver
PeerMessage = Question | Answer | Notice


_KINDS = kinds_of(PeerMessage)


def encode(message: PeerMessage) -> bytes:
    """Encode a message as one frame."""
    return cbor2.dumps(msgspec.to_builtins(message, order="deterministic"))


def decode(frame: bytes | str) -> PeerMessage:
    """Decode one frame.

    Raises:
        PeerRejected: If the frame is malformed.
        UnknownKind: If a later build may have sent the frame; the link remains usable.
    """
    if isinstance(frame, str):
        raise PeerRejected("a text frame instead of a binary one")
    try:
        builtins: Any = cbor2.loads(frame)
        check_kind(builtins, _KINDS)
        message: PeerMessage = msgspec.convert(builtins, PeerMessage)
    except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError, RecursionError) as error:
        raise PeerRejected(f"a malformed frame: {error}") from None
    return message
