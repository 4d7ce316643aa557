"""The messages between the placer and the other boxes: CBOR arrays, the first item the kind."""

from __future__ import annotations

import cbor2
import msgspec
from msgspec import Struct

from springrock.errors import PeerRejected
from springrock.forwarding.directory import HeldAdapter


class Hello(Struct, frozen=True, array_like=True, tag=1):
    """The first message of a box to the placer.

    Attributes:
        incarnation: The placer's incarnation that the box means to speak to.
        zone: The zone whose engines are meant.
        home_zone: The zone in which the box stands.
    """

    box: str
    incarnation: str
    zone: str
    home_zone: str = ""


class Want(Struct, frozen=True, array_like=True):
    """Requests of one box that wait for an adapter, taken together.

    Attributes:
        waiting: How many wait now.
        promised: How many clients were told when to come back for it.
        worth: The sum of what they are worth.
        target_left_ms: Until the first of them is late.
    """

    model: str
    adapter: str
    waiting: int
    promised: int
    worth: float
    target_left_ms: int


class Use(Struct, frozen=True, array_like=True):
    """Requests of one box that now run with an adapter at a replica."""

    instance: str
    model: str
    adapter: str
    count: int


class Hits(Struct, frozen=True, array_like=True):
    """How often an adapter was asked for since the last message."""

    model: str
    adapter: str
    count: int


class Demand(Struct, frozen=True, array_like=True, tag=2):
    """All that one box waits for and uses now.

    Attributes:
        stopping: Whether the box is about to stop, and so takes no lease any more.
    """

    wants: list[Want]
    uses: list[Use]
    hits: list[Hits]
    stopping: bool = False


class Residents(Struct, frozen=True, array_like=True, tag=3):
    """The adapters that can be used at a replica now."""

    instance: str
    adapters: list[HeldAdapter]


class Forecast(Struct, frozen=True, array_like=True, tag=4):
    """When a wanted adapter will be there."""

    model: str
    adapter: str
    ready_in_ms: int


class Heartbeat(Struct, frozen=True, array_like=True, tag=5):
    """The placer lives.

    Attributes:
        row_version: The version of its lease's row.
        lease_left_ms: How much longer the lease stands, as of sending.
        room: How many more adapters its engines could take now.
        boxes: How many boxes are linked to the placer, its own included.
        crowded: The engines that run so much that a second copy of what is hot there is better.
        leaving: All replicas that leave, for boxes that cannot read it in the store.
    """

    row_version: int
    lease_left_ms: int
    room: int
    boxes: int = 1
    crowded: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()


Message = Hello | Demand | Residents | Forecast | Heartbeat


def encode(message: Message) -> bytes:
    """Return the frame of a message."""
    return cbor2.dumps(msgspec.to_builtins(message))


def decode(frame: str | bytes) -> Message:
    """Return the message of a frame.

    Raises:
        PeerRejected: If it is malformed.
    """
    if isinstance(frame, str):
        raise PeerRejected("a text frame")
    try:
        message: Message = msgspec.convert(cbor2.loads(frame), Message)
    except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError) as error:
        raise PeerRejected(f"a malformed frame: {error}") from None
    return message
