"""The messages between a zone's placer and the boxes: CBOR arrays, the first item the kind.

A box tells only what is new since its last message on the same link; the first message after
`Hello` tells all that stands. Each use of an engine has a number that is the box's own.
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
    ReplicaObservation,
)
from springrock.placement.handover_messages import Handover
from springrock.placement.succession import Successor
from springrock.quotas.messages import Charge, Charged, GiveBack
from springrock.unknown_messages import check_kind, kinds_of


class Hello(Struct, frozen=True, array_like=True, tag=1):
    """The first message of a box to the placer.

    Attributes:
        incarnation: The placer's incarnation that the box means to speak to.
        zone: The zone whose engines are meant.
        home_zone: The zone in which the box stands.
        strength: The processor that the box has, in cores.
        address: Where the box serves links, if a placer may hand its role over to it.
        process: The incarnation of the box itself, by which others ask for its links.
        asks_state: Whether the box means no placer, but asks whoever it reaches for what is known.
    """

    box: str
    incarnation: str
    zone: str
    home_zone: str = ""
    strength: float = 1.0
    address: str = ""
    process: str = ""
    asks_state: bool = False


class Ask(Struct, frozen=True, array_like=True):
    """A request that needs an engine with its adapter.

    Attributes:
        number: The box's own number for it.
        request: The client's id of the request, for logs.
        worth: What it is worth beside others.
        target_left_ms: Until its answer is late.
        prompt: The parts of its prompt, each an id and its tokens.
        tried: Engines that it is not to be sent to while another holds its adapter.
        failed_at: Those of them that were reached and failed it.
        regions: Where it may be served; None for anywhere.
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

    @property
    def bounds(self) -> Bounds:
        """What the request allows."""
        return Bounds(None if self.regions is None else frozenset(self.regions))


class Use(Struct, frozen=True, array_like=True):
    """A request that runs with an adapter at an engine."""

    number: int
    instance: str
    model: str
    adapter: str


class Began(Struct, frozen=True, array_like=True):
    """A request's first event came, so long after it was sent."""

    number: int
    after_ms: int


class Outcome(IntEnum):
    """How a use of an engine ended, as far as that tells something of the engine."""

    ENDED = 0
    """It ran, or it was never sent."""
    LACKING = 1
    """The engine does not hold the adapter."""
    FULL = 2
    """The engine had no room for the request."""
    UNREACHABLE = 3
    FAILED = 4


class Over(Struct, frozen=True, array_like=True):
    """An ask that was given up, or a use that ended.

    Attributes:
        backoff_ms: For how long the engine asked the box for rest.
    """

    number: int
    outcome: Outcome = Outcome.ENDED
    backoff_ms: int = 0


class Promise(Struct, frozen=True, array_like=True):
    """A client that was told when to come back for an adapter."""

    model: str
    adapter: str
    worth: float
    back_in_ms: int


class WriteFor(Struct, frozen=True, array_like=True, tag=9):
    """A placer's row that it asks a box to write, as the store does not answer the placer.

    Attributes:
        number: The placer's own number for it.
        expected: The number that the row must have as its version.
        era: The store's era in which it has it; 0 if that is not known.
    """

    number: int
    key: str
    value: bytes
    expected: int
    era: int = 0


class Written(Struct, frozen=True, array_like=True):
    """What came of writing a row for a placer.

    Attributes:
        answered: Whether the store answered.
        version: The number of the row's version; 0 if there is none.
        conflict: Whether the row had another version than expected.
        value: The row as it stands.
        era: The store's era; 0 if it is not known.
    """

    number: int
    answered: bool = False
    version: int = 0
    conflict: bool = False
    value: bytes = b""
    era: int = 0


class CopyWish(Struct, frozen=True, array_like=True):
    """An adapter that stands far away and is asked for so much that a copy here pays.

    Attributes:
        saves: What a copy saves within the time that popularity remembers, in hundredths of a load.
    """

    model: str
    adapter: str
    saves: int


class Demand(Struct, frozen=True, array_like=True, tag=2):
    """What is new at a box.

    Attributes:
        stopping: Whether the box is about to stop, and so takes no lease any more.
        charges: Requests whose cost is to be charged to their teams.
        given_back: Charges whose requests did not run.
        written: What came of rows that the placer had asked to be written.
        permits: Requests that are to be sent to cold or limited replicas.
        observations: What the box saw of replicas that may have started anew.
        copies: Copies that would pay in this zone.
        leaving: Replicas that leave, as they told this box in their answers.
        limits: What answers told this box of the limits of the zone's replicas.
    """

    asks: list[Ask] = []
    uses: list[Use] = []
    began: list[Began] = []
    over: list[Over] = []
    promises: list[Promise] = []
    stopping: bool = False
    charges: list[Charge] = []
    given_back: list[GiveBack] = []
    written: list[Written] = []
    permits: list[PermitAsk] = []
    observations: list[ReplicaObservation] = []
    copies: list[CopyWish] = []
    leaving: list[str] = []
    limits: list[LimitReport] = []


class Grant(Struct, frozen=True, array_like=True, tag=3):
    """Where a request is to be sent.

    Attributes:
        permitted: Whether it may be sent even if the engine is cold or limited, within a permit's
            life.
        saves: What a copy of its adapter near the asking box would save, in hundredths of a load;
            0 if it would not pay.
    """

    number: int
    instance: str
    permitted: bool = False
    saves: int = 0


class Forecast(Struct, frozen=True, array_like=True, tag=4):
    """When a wanted adapter will be there.

    Attributes:
        elsewhere: Whether who waits does better to ask another zone: it stands here, but only where
            limits keep more requests out, and no other engine of the zone can take it.
    """

    model: str
    adapter: str
    ready_in_ms: int
    elsewhere: bool = False


class Heartbeat(Struct, frozen=True, array_like=True, tag=5):
    """The placer lives.

    Attributes:
        row_version: The number of the version of its lease's row.
        lease_left_ms: How much longer the lease stands, as of sending.
        room: How many more adapters its engines could take now.
        boxes: How many boxes are linked to the placer, its own included.
        spread: Adapters, as MODEL/NAME, that several engines of the zone hold because they are
            asked for so much: each zone does better to serve them itself.
        leaving: All replicas that leave, for boxes that cannot read it in the store.
        suspected: Replicas that may have come back cold.
        pressure: How often what would next give up its place is asked for, in hundredths.
        wait_ms: How long a first event would wait at a usual engine.
        limits: The limits that replicas of the zone have named and that stand.
        home_boxes: How many boxes stand in the zone, as far as they are linked; 0 if not told.
        successor: Who goes on in the placer's stead, as it stops while the store is silent.
        row_era: The store's era of that version; 0 if it is not known.
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


class EngineHolds(Struct, frozen=True, array_like=True):
    """The adapters that can be used at an engine now."""

    instance: str
    adapters: list[HeldAdapter]


class Residents(Struct, frozen=True, array_like=True, tag=7):
    """What engines hold that hold something else than was told last."""

    engines: list[EngineHolds]


class TableRow(Struct, frozen=True, array_like=True):
    """A row of one of the store's tables as it stands; `gone` if it was removed."""

    key: str
    value: bytes
    version: int
    gone: bool = False


class TableNews(Struct, frozen=True, array_like=True, tag=6):
    """What the placer's box has read of one of the store's tables.

    Attributes:
        after: The number of the version after which the rows changed.
        version: The number of the version up to which the table is told.
        rows: What changed, in order.
        whole: Whether it is the whole table, and what is not in it is gone.
        as_of_ms: A moment of the store's steady clock at which nothing newer had been written; a
            message that was held up on its way so tells its own age. None if it is not known.
        era: The store's era of all versions; 0 if it is not known.
    """

    table: str
    after: int
    version: int
    rows: list[TableRow] = []
    whole: bool = False
    as_of_ms: int | None = None
    era: int = 0


class KnownTable(Struct, frozen=True, array_like=True):
    """A table as a box knows it.

    Attributes:
        updates: All of it.
        age_ms: How long ago it was surely the newest, as the message was made; None if it never
            surely was.
    """

    updates: TableNews
    age_ms: int | None = None


class KnownState(Struct, frozen=True, array_like=True, tag=12):
    """What a box knows, told to one that asked for it in its `Hello`.

    Attributes:
        zones: All availability zones of the deployment, sorted.
        tables: The tables of the store; none if the box does not know them all.
        successors: Who goes on in a placer's stead, each with the key of the placer's row.
        leaving: Replicas that leave, perhaps by another sign than their row.
        retry_after_ms: When to ask again, if too many ask now; nothing is told then.
    """

    zones: list[str]
    tables: list[KnownTable] = []
    successors: list[tuple[str, Successor]] = []
    leaving: list[str] = []
    retry_after_ms: int = 0


_LARGE_BYTES = 256
"""A longer message is compressed. A whole configuration of 1,400 routes, told to 39 boxes a few
times a second, is reckoned to fill the link of the placer's box: 105 of 596 orders to engines
went unanswered, and none once it was compressed. What engines newly hold, told to all boxes twice
a second, was more than the requests that cross regions: eight engines take 443 bytes for 1,604."""

_LARGEST_BYTES = 16_777_216
"""No message is that long; what claims to be is not unpacked."""

_FASTEST = 1
"""The level of compression: one of 1,400 routes shrinks to under a tenth even so."""

FromPlacer = (
    Grant | Forecast | Heartbeat | Residents | TableNews | Charged | WriteFor | Handover | Permitted
)
Message = Hello | Demand | FromPlacer | KnownState
_KINDS = kinds_of(Message)


def encode(message: Message) -> bytes:
    """Return the frame of a message; a long one is a byte string that holds it compressed."""
    frame: bytes = cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))
    if len(frame) < _LARGE_BYTES:
        return frame
    return cbor2.dumps(zlib.compress(frame, _FASTEST))


def decode(frame: str | bytes) -> Message:
    """Return the message of a frame.

    Raises:
        PeerRejected: If it is malformed.
        UnknownKind: If a later build may have sent it; the link is sound.
    """
    if isinstance(frame, str):
        raise PeerRejected("a text frame")
    try:
        loaded = cbor2.loads(frame)
        if isinstance(loaded, bytes):
            loaded = cbor2.loads(_unpacked(loaded))
        check_kind(loaded, _KINDS)
        message: Message = msgspec.convert(loaded, Message)
    except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError, zlib.error) as error:
        raise PeerRejected(f"a malformed frame: {error}") from None
    return message


def _unpacked(packed: bytes) -> bytes:
    unpacker = zlib.decompressobj()
    message = unpacker.decompress(packed, _LARGEST_BYTES)
    if not unpacker.eof:
        raise PeerRejected(f"a message that is cut or longer than {_LARGEST_BYTES} bytes")
    return message
