"""The registries of plug-ins, and the protocols that plug-ins implement."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from springrock.kernel import Part, Registry

if TYPE_CHECKING:
    from springrock.hosts import DoorHost
    from springrock.settings import PlatformSection, UpstreamSection
    from springrock.wire.platform import Listing, Row, Transaction, TransactionAnswer


class Platform(Protocol):
    """A client of the platform; every method may raise PlatformUnavailable."""

    def transact(self, transaction: Transaction) -> TransactionAnswer:
        """Execute a table transaction."""

    def rows(self, prefix: str) -> list[Row]:
        """Return the rows whose key has a prefix."""

    def get_object(self, name: str) -> bytes | None:
        """Return an object; None if it does not exist."""

    def put_object(self, name: str, data: bytes) -> None:
        """Store an object."""

    def listing(self) -> Listing:
        """Return the list of boxes and upstreams, which lags behind their state."""


doors: Registry[Callable[[DoorHost], Part]] = Registry("door")
drivers: Registry[Callable[[UpstreamSection], Any]] = Registry("upstream driver")
platforms: Registry[Callable[[PlatformSection], Platform]] = Registry("platform client")
