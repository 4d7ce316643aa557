"""The messages between a zone's placer and the boxes: CBOR arrays whose first item is the kind.

After `Hello` a box sends its full demand; each later message on the same link holds only what has
changed since the one before. Each ask and each use of an engine has a number that the box assigns.
"""

from __future__ import annotations

import zlib
from enum import IntEnum

import cbor2
import msgspec
from msgspec import Struct

from springrock.errors import PeerRejected
from springrock.forwarding.directory import HeldAdapter
from springrock.forwarding.eligibility import Bounds
from springrock.permits.messages import (
    LimitReport,
    NamedLimit,
    PermitAsk,
    Permitted,
    PermitUse,
    ReplicaObservation,
)
from springrock.placement.handover_messages import Handover
from springrock.placement.succession import Successor
from springrock.quotas.messages import Charge, Charged, Refund
from springrock.unknown_messages import check_kind, kinds_of


class Hello(Struct, frozen=True, array_like=True, tag=1):
    """The first message of a box to the placer.

    Attributes:
        incarnation: The incarnation of the placer that the box expects at the other end.
        zone: The zone whose engines the link is for.
        home_zone: The availability zone of the box.
        strength: The processor cores of the box.
        address: Where the box accepts links, if a placer may hand its role over to it.
        process: The incarnation of the box itself; other boxes name it when they link to the box.
        asks_state: Whether the box asks any box that it reaches for its known state, rather than
            linking to a placer.
        clients_address: Where the box accepts requests that other boxes pass on; empty if it does
            not.
    """

    box: str
    incarnation: str
    zone: str
    home_zone: str = ""
    strength: float = 1.0
    address: str = ""
    process: str = ""
    asks_state: bool = False
    clients_address: str = ""


class Ask(Struct, frozen=True, array_like=True):
    """A request that needs an engine with its adapter.

    Attributes:
        number: The number that the box assigned to it.
        request: The client's id of the request, for logs.
        worth: Its weight relative to other requests.
        target_left_ms: Time left until its latency target passes.
        prompt: The parts of its prompt, each an id and its tokens.
        tried: Engines that it must not be sent to while another one holds its adapter.
        failed_at: Those of `tried` that were reached and failed the request.
        regions: The regions where it may be served; None for all.
        software: The software version that began its stream; None for any.
    """

    number: int
    request: str
    model: str
    adapter: str
    worth: float
    target_left_ms: int
    prompt: list[tuple[str, int]] = []
    tried: list[str] = []
    failed_at: list[str] = []
    regions: list[str] | None = None
    software: str | None = None

    @property
    def bounds(self) -> Bounds:
        """Where the request may be served."""
        regions = None if self.regions is None else frozenset(self.regions)
        return Bounds(regions, self.software)


class Use(Struct, frozen=True, array_like=True):
    """A request that runs with an adapter at an engine."""

    number: int
    instance: str
    model: str
    adapter: str


class Started(Struct, frozen=True, array_like=True):
    """The first event of a request arrived `after_ms` after the request was sent."""

    number: int
    after_ms: int


class Outcome(IntEnum):
    """How a use of an engine ended; only outcomes that concern the engine are distinguished."""

    ENDED = 0
    """The request ran, or it was never sent."""
    LACKING = 1
    """The engine does not hold the adapter."""
    FULL = 2
    """The engine had no room for the request."""
    UNREACHABLE = 3
    FAILED = 4


class Ended(Struct, frozen=True, array_like=True):
    """An ask that was given up, or a use that ended.

    Attributes:
        backoff_ms: How long the engine asked the box to send it nothing.
    """

    number: int
    outcome: Outcome = Outcome.ENDED
    backoff_ms: int = 0


class ExpectedRetry(Struct, frozen=True, array_like=True):
    """A client that was given a time at which to retry its request for an adapter."""

    model: str
    adapter: str
    worth: float
    back_in_ms: int


class WriteFor(Struct, frozen=True, array_like=True, tag=9):
    """A placer's row that a box is to write, as the store does not answer the placer itself.

    Attributes:
        number: The number that the placer assigned to the write.
        expected: The version that the row must have, as a number within `era`.
        era: The store's era of that version; 0 if unknown.
    """

    number: int
    key: str
    value: bytes
    expected: int
    era: int = 0


class Written(Struct, frozen=True, array_like=True):
    """The result of writing a row for a placer.

    Attributes:
        number: The number of the `WriteFor`.
        answered: Whether the store answered.
        version: The number of the row's version within `era`; 0 if there is none.
        conflict: Whether the row had another version than expected.
        value: The current value of the row.
        era: The store's era; 0 if unknown.
    """

    number: int
    answered: bool = False
    version: int = 0
    conflict: bool = False
    value: bytes = b""
    era: int = 0


class CopyRequest(Struct, frozen=True, array_like=True):
    """An adapter held only far away, requested so often that a copy in this zone is worthwhile.

    Attributes:
        saves: What the copy saves within the window of the popularity counts, in hundredths of a
            load.
    """

    model: str
    adapter: str
    saves: int


class BegunStreams(Struct, frozen=True, array_like=True):
    """Streams of one box that began at one software version.

    Attributes:
        requests: The ids of the requests that brought their first events.
    """

    service: str
    software: str
    requests: list[str]


class OriginQuestion(Struct, frozen=True, array_like=True):
    """A stream that a client takes up at a box that does not know which version began it.

    Attributes:
        number: The number that the box assigned to the question.
        request: The id of the request that brought its first event.
        service: The service that the stream would go on at.
    """

    number: int
    request: str
    service: str


class OriginFound(Struct, frozen=True, array_like=True, tag=13):
    """The answer to an `OriginQuestion`.

    Attributes:
        number: The number of the question.
        service: The service that began the stream.
        software: The software version that began it; None if unknown.
        told: Whether the placer served the stream or was told of it; else it concludes the version
            from the rows of replicas, which may lag.
    """

    number: int
    service: str = ""
    software: str | None = None
    told: bool = False


class Demand(Struct, frozen=True, array_like=True, tag=2):
    """Changes in the demand of a box.

    Attributes:
        asks: Requests that wait for an engine.
        uses: Requests that run at an engine without a grant of this placer.
        started: Requests whose first event arrived.
        ended: Asks that were given up and uses that ended.
        expected_retries: Clients that were given a time at which to retry.
        stopping: Whether the box is about to stop, and so acquires no lease.
        charges: Requests whose cost is to be charged to their teams.
        refunds: Charges to refund, as their requests did not run.
        written: Results of the rows that the placer asked the box to write.
        permits: Requests that need a permit for a cold or limited replica.
        observations: Observations of replicas that may have restarted.
        copies: Adapters whose copy in this zone is worthwhile.
        leaving: Replicas that said in an answer that they are leaving.
        limits: Limits that the zone's replicas named in answers to this box.
        cut_off: Whether the box reaches no replica.
        begun: Streams whose origins the placer is to keep.
        origin_questions: Streams whose origins the box asks for.
        brittle: How many requests the zone's brittle replicas may turn away in a second, as they
            named it in answers to this box.
        permit_uses: What became of requests with permits at brittle replicas.
    """

    asks: list[Ask] = []
    uses: list[Use] = []
    started: list[Started] = []
    ended: list[Ended] = []
    expected_retries: list[ExpectedRetry] = []
    stopping: bool = False
    charges: list[Charge] = []
    refunds: list[Refund] = []
    written: list[Written] = []
    permits: list[PermitAsk] = []
    observations: list[ReplicaObservation] = []
    copies: list[CopyRequest] = []
    leaving: list[str] = []
    limits: list[LimitReport] = []
    cut_off: bool = False
    begun: list[BegunStreams] = []
    origin_questions: list[OriginQuestion] = []
    brittle: list[LimitReport] = []
    permit_uses: list[PermitUse] = []


class Grant(Struct, frozen=True, array_like=True, tag=3):
    """Where a request is to be sent.

    Attributes:
        permitted: Whether the request holds a permit, and so may be sent to a cold or limited
            engine within the permit's life.
        saves: What a copy of its adapter near the asking box would save, in hundredths of a load;
            0 if a copy is not worthwhile.
    """

    number: int
    instance: str
    permitted: bool = False
    saves: int = 0


class Forecast(Struct, frozen=True, array_like=True, tag=4):
    """When a wanted adapter is expected to be ready.

    Attributes:
        elsewhere: Whether waiting requests should ask another zone: the adapter is loaded in this
            zone, but only on engines at their limit, and no other engine of the zone can load it.
    """

    model: str
    adapter: str
    ready_in_ms: int
    elsewhere: bool = False


class Heartbeat(Struct, frozen=True, array_like=True, tag=5):
    """The periodic message of a placer to its boxes.

    Attributes:
        row_version: The number of the version of the lease's row.
        lease_left_ms: Time left of the lease when the message was sent.
        room: How many more adapters the zone's engines could load now.
        boxes: How many boxes are linked to the placer, its own included.
        spread: Adapters, as MODEL/NAME, that several engines of the zone hold because of high
            demand: each zone should serve them itself.
        leaving: All replicas that are leaving, for boxes that cannot read them from the store.
        suspected: Replicas that may have restarted cold.
        pressure: How often the adapter that would be evicted next is requested, in hundredths.
        wait_ms: Typical wait for a first event at an engine of the zone.
        limits: The current limits that replicas of the zone have named.
        home_boxes: How many of the linked boxes are in the zone; 0 if not sent.
        successor: The box that takes the role over if the placer stops while the store does not
            answer.
        row_era: The store's era of `row_version`; 0 if unknown.
        reaching: Addresses of some boxes that reach replicas and accept requests of others.
        keeps_origins: Whether the placer keeps the origins of streams and answers questions.
        brittle: How many requests the brittle replicas of the zone may turn away in a second.
    """

    row_version: int
    lease_left_ms: int
    room: int
    boxes: int = 1
    spread: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()
    suspected: tuple[str, ...] = ()
    pressure: int = 0
    wait_ms: int = 0
    limits: tuple[NamedLimit, ...] = ()
    home_boxes: int = 0
    successor: Successor | None = None
    row_era: int = 0
    reaching: tuple[str, ...] = ()
    keeps_origins: bool = False
    brittle: tuple[NamedLimit, ...] = ()


class EngineHolds(Struct, frozen=True, array_like=True):
    """The adapters that can be used at an engine now."""

    instance: str
    adapters: list[HeldAdapter]


class Residents(Struct, frozen=True, array_like=True, tag=7):
    """The adapters of engines whose adapters have changed since the last such message."""

    engines: list[EngineHolds]


class TableRow(Struct, frozen=True, array_like=True):
    """The current state of a row of one of the store's tables; `gone` if it was removed."""

    key: str
    value: bytes
    version: int
    gone: bool = False


class TableNews(Struct, frozen=True, array_like=True, tag=6):
    """What the placer's box has read from one of the store's tables.

    Attributes:
        after: The number of the version after which the rows changed.
        version: The number of the version that the table has with these changes.
        rows: The changed rows, in order.
        is_full_table: Whether `rows` is the full table; rows that are not in it do not exist.
        as_of_ms: A time on the store's steady clock at which nothing newer had been written, from
            which a receiver computes the message's age even if it was delayed. None if unknown.
        era: The store's era of all versions; 0 if unknown.
    """

    table: str
    after: int
    version: int
    rows: list[TableRow] = []
    is_full_table: bool = False
    as_of_ms: int | None = None
    era: int = 0


class KnownTable(Struct, frozen=True, array_like=True):
    """A full table as a box knows it.

    Attributes:
        full_table: The full table.
        age_ms: Age of the table when the message was created: the time since it was last known to
            be up to date; None if that time is unknown.
    """

    full_table: TableNews
    age_ms: int | None = None


class KnownState(Struct, frozen=True, array_like=True, tag=12):
    """The state that a box knows, sent to a box that asked for it in its `Hello`.

    Attributes:
        zones: All availability zones of the deployment, sorted.
        tables: The tables of the store; empty if the box does not know all of them.
        successors: The successors of stopped placers, each with the key of the placer's row.
        leaving: Replicas that are leaving, also those whose row does not say so.
        retry_after_ms: When to ask again, if too many boxes are asking; the rest is empty then.
    """

    zones: list[str]
    tables: list[KnownTable] = []
    successors: list[tuple[str, Successor]] = []
    leaving: list[str] = []
    retry_after_ms: int = 0


_COMPRESS_FROM_BYTES = 256
"""Messages from this size on are compressed. A configuration of 1,400 routes, sent uncompressed to
39 boxes a few times a second, is estimated to fill the link of the placer's box: 105 of 596 orders
to engines went unanswered, and none with compression. `Residents` messages to all boxes twice a
second carried more bytes than the requests between regions: for eight engines compression reduces
1,604 bytes to 443."""

_LARGEST_BYTES = 16_777_216
"""Limit on a decompressed message, above any valid one; a longer one is rejected."""

_COMPRESSION_LEVEL = 1
"""The fastest zlib level; it still shrinks 1,400 routes to less than a tenth."""

FromPlacer = (
    Grant
    | Forecast
    | Heartbeat
    | Residents
    | TableNews
    | Charged
    | WriteFor
    | Handover
    | Permitted
    | OriginFound
)
Message = Hello | Demand | FromPlacer | KnownState
_KINDS = kinds_of(Message)


def encode(message: Message) -> bytes:
    """Return the frame of a message; a long message is compressed into a CBOR byte string."""
    frame: bytes = cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))
    if len(frame) < _COMPRESS_FROM_BYTES:
        return frame
    return cbor2.dumps(zlib.compress(frame, _COMPRESSION_LEVEL))


def decode(frame: str | bytes) -> Message:
    """Return the message of a frame.

    Raises:
        PeerRejected: If it is malformed.
        UnknownKind: If a later build may have sent it; the link stays usable.
    """
    if isinstance(frame, str):
        raise PeerRejected("a text frame")
    try:
        loaded = cbor2.loads(frame)
        if isinstance(loaded, bytes):
            loaded = cbor2.loads(_decompress(loaded))
        check_kind(loaded, _KINDS)
        message: Message = msgspec.convert(loaded, Message)
    except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError, zlib.error) as error:
        raise PeerRejected(f"a malformed frame: {error}") from None
    return message


def _decompress(compressed: bytes) -> bytes:
    unpacker = zlib.decompressobj()
    message = unpacker.decompress(compressed, _LARGEST_BYTES)
    if not unpacker.eof:
        raise PeerRejected(f"a truncated message, or one longer than {_LARGEST_BYTES} bytes")
    return message
