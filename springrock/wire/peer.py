"""The messages between boxes: CBOR arrays over websockets, the first item the kind.

Numbers and short arrays keep frames small; the budget is 8 KB/s for control on each node.
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
        number: Matches the answer to the question on one link.
        request_id: The request, so that the owner can cancel it when its permit is over.
        adapter: ``ADAPTER@VERSION``, or empty for the base model alone.
        deadline_s: Seconds that are left until the request's deadline.
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
        start_within_s: The holder must send the request within this time, counted from before
            it asked, less the time that the owner says it waited.
        waited_s: How long the owner held the question for a load or a place.
        stall_s: The part of it in which the adapter was not loaded.
        end_within_s: The request must be over within this time of the grant.
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
    """The owner does not give a permit."""

    number: int
    refusal: Refusal


NOT_LOADED = -1
"""In place of a number of tokens: the engine said that it does not hold the adapter."""


class Return(Struct, frozen=True, array_like=True, tag=5):
    """A permit is over; never answered.

    Attributes:
        tokens: How many tokens were streamed if the answer was whole, else 0 or `NOT_LOADED`.
    """

    replica: str
    permit: int
    fence: int
    tokens: int


class Withdraw(Struct, frozen=True, array_like=True, tag=6):
    """The asker no longer wants an answer; never answered."""

    number: int


class ReplicaReport(Struct, frozen=True, array_like=True, tag=7):
    """What an owner tells of a replica: soft state for routing; never answered.

    Attributes:
        room: How many slots are free; -1 if none is and nothing may be unloaded yet.
        load_ms: The usual time of a load, the wait for its turn included.
        service_ms: The usual time that a request runs.
        ready: The adapters on which requests can begin.
        expected: The adapters that are loading or waited for.
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
    """A new owner asks which permits the peer holds below its fence."""

    number: int
    replica: str
    fence: int


class HeldPermit(Struct, frozen=True, array_like=True):
    """One permit in a holder's book."""

    fence: int
    permit: int
    adapter: str
    seconds_left: float


class HeldPermits(Struct, frozen=True, array_like=True, tag=9):
    """The permits that a box holds on a replica, under whatever fence they were granted."""

    number: int
    permits: list[HeldPermit]


class Head(Struct, frozen=True, array_like=True, tag=10):
    """The highest configuration revision that the sender runs; never answered."""

    revision: int


class Probe(Struct, frozen=True, array_like=True, tag=11):
    """Ask a peer whether it is alive, what it can reach and which fences it knows."""

    number: int
    replicas: list[str] = []


class ProbeAnswer(Struct, frozen=True, array_like=True, tag=12):
    """What a peer can reach, and the highest fence that it knows of each replica asked.

    Attributes:
        table_seen_s: Seconds since the peer last had an answer from the table, by itself or
            through others.
    """

    number: int
    table_seen_s: float
    fences: list[int]


class LoadBid(Struct, frozen=True, array_like=True, tag=13):
    """Ask the loads steward for a turn on the weight store."""

    number: int
    replica: str
    adapter: str
    value: float


class LoadTurn(Struct, frozen=True, array_like=True, tag=14):
    """A turn on the weight store, to be used within some seconds."""

    number: int
    use_within_s: float


class LoadOver(Struct, frozen=True, array_like=True, tag=15):
    """A load is over; never answered."""

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
    """Ask a peer to carry a table call that this box cannot make: a read or a transaction."""

    number: int
    prefix: str
    transaction: bytes


class RelayAnswer(Struct, frozen=True, array_like=True, tag=19):
    """The table's encoded answer; empty if the peer got none either."""

    number: int
    body: bytes


class Demand(Struct, frozen=True, array_like=True, tag=20):
    """How many requests a second of each limited workload reach the sender; never answered."""

    workloads: list[str]
    requests_per_s: list[float]


class HandOver(Struct, frozen=True, array_like=True, tag=21):
    """The sender has handed a replica to the receiver in the table; never answered."""

    replica: str


class StatusQuery(Struct, frozen=True, array_like=True, tag=22):
    """Ask a box how it is."""

    number: int


class Status(Struct, frozen=True, array_like=True, tag=23):
    """How a box is."""

    number: int
    box: str
    zone: str
    revision: int
    ready: bool
    open_requests: int
    lease_held: bool
    owned: list[str]


class StopBox(Struct, frozen=True, array_like=True, tag=24):
    """Ask a box to stop as planned; it answers before it begins."""

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
        PeerRejected: If the frame is not a message.
        UnknownKind: If a later build may have sent it; the link is sound.
    """
    if isinstance(frame, str):
        raise PeerRejected("a text frame")
    try:
        builtins: Any = cbor2.loads(frame)
        check_kind(builtins, _KINDS)
        message: PeerMessage = msgspec.convert(builtins, PeerMessage)
    except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError, RecursionError) as error:
        raise PeerRejected(f"a malformed frame: {error}") from None
    return message
