"""The placer's interface to a model engine: reports of its state, and orders with a fence."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple, Protocol

from msgspec import Struct

from springrock.errors import SpringrockError
from springrock.forwarding.directory import HeldAdapter
from springrock.forwarding.message import AdapterKey


class ControlUnanswered(SpringrockError):
    """An engine gave no usable answer. It may still carry an order out, possibly much later."""


class AnotherStart(ControlUnanswered):
    """The engine has restarted: its start time is not that of the process that was addressed.

    Args:
        born_ms: The start time that the engine reports, in Unix milliseconds; None if it reports
            none.
    """

    def __init__(self, born_ms: int | None) -> None:
        super().__init__(f"the engine has restarted; it reports the start time {born_ms} ms")


class EngineState(Struct, frozen=True, kw_only=True):
    """An engine's report of its state.

    Attributes:
        sequence: A number that changes with each order that the engine accepts.
        busy: Whether an order is being carried out.
        models: The base models that are loaded.
        adapters: The adapters that are loaded and can serve requests.
        coming: The adapters that are being loaded.
        at_hand: The adapters that are not loaded but whose weights are kept for a fast load.
        running: The number of requests in the engine's batch.
        queued: The number of requests waiting at the engine.
        born_ms: When the engine started, in Unix milliseconds; None if it does not report that.
    """

    sequence: int
    busy: bool = False
    models: frozenset[str] = frozenset()
    adapters: tuple[HeldAdapter, ...] = ()
    coming: tuple[HeldAdapter, ...] = ()
    at_hand: tuple[HeldAdapter, ...] = ()
    running: int = 0
    queued: int = 0
    born_ms: int | None = None


class OrderKind(Enum):
    """The kind of an order."""

    LOAD = "load"
    UNLOAD = "unload"


class Order(NamedTuple):
    """One order to an engine.

    Attributes:
        key: The adapter, or a base model with an empty adapter name.
        version: The version to load; 0 for the newest.
        expected_sequence: The last known sequence of the engine, which refuses the order if it has
            another one; None if the engine is to accept any.
        holder: The name of the box that gives the order.
        fence: The fence of that box's lease.
    """

    kind: OrderKind
    key: AdapterKey
    version: int
    expected_sequence: int | None
    holder: str
    fence: int


class OrderAnswer(Enum):
    """An engine's answer to an order."""

    ACCEPTED = "taken"
    """The order was accepted and is being carried out."""
    DONE = "done"
    """The engine is already in the requested state."""
    CONFLICT = "conflict"
    """Another order is being carried out, or the sequence does not match."""
    OLDER_FENCE = "older_fence"
    """The engine has seen a higher fence."""
    REFUSED = "refused"
    """The order is unknown, or the engine cannot carry it out."""
    CHANGED = "changed"
    """Another incarnation of the engine answered, or the model is not loaded."""


class EngineControl(Protocol):
    """Client of the control interface of engines."""

    def report(self, address: str, *, instance: str) -> EngineState:
        """Return an engine's state.

        Args:
            address: The engine's address.
            instance: The engine's id. A restarted engine may answer under the same id.

        Raises:
            ControlUnanswered: If no answer came.
        """

    def order(self, address: str, *, instance: str, order: Order) -> OrderAnswer:
        """Send an order to an engine and return its answer.

        Args:
            address: The engine's address.
            instance: The engine's id. A restarted engine may carry the order out under the same id.
            order: The order.

        Raises:
            ControlUnanswered: If no answer came.
        """
