"""The engine driver interface that the owner of a replica uses."""

from __future__ import annotations

from typing import Protocol

from springrock.wire import engine as engine_wire


class OrderedEngine(Protocol):
    """Engine driver with orders, the list of loaded adapters and cancellation."""

    def order(self, order: engine_wire.Order) -> None:
        """Send an order and wait until it is carried out."""

    def loaded(self) -> engine_wire.LoadedAdapters:
        """Return the engine's list of loaded adapters."""

    def cancel(self, request_id: str) -> bool:
        """Cancel a request; return whether the engine confirmed it."""
