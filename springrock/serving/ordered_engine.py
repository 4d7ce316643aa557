"""What the owner of a replica needs of an engine driver."""

from __future__ import annotations

from typing import Protocol

from springrock.wire import engine as engine_wire


class OrderedEngine(Protocol):
    """The part of an engine driver that an owner uses."""

    def order(self, order: engine_wire.Order) -> None:
        """Give an order and wait until it is carried out."""

    def loaded(self) -> engine_wire.LoadedAdapters:
        """Return the exact list of what the engine holds."""

    def cancel(self, request_id: str) -> bool:
        """Have a request cancelled."""
