"""The families of plug-ins and the protocols that they follow."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from springrock.kernel import Part, Registry

if TYPE_CHECKING:
    from springrock.hosts import DoorHost
    from springrock.settings import PlatformSection, UpstreamSection
    from springrock.wire.platform import Listing, Row, Transaction, TransactionAnswer


class Platform(Protocol):
    """A client of the platform; every method raises PlatformUnavailable."""

    def transact(self, transaction: Transaction) -> TransactionAnswer:
        """Carry out a table transaction."""

    def rows(self, prefix: str) -> list[Row]:
        """Read the rows under a prefix."""

    def get_object(self, name: str) -> bytes | None:
        """Read an object, or None if there is none."""

    def put_object(self, name: str, data: bytes) -> None:
        """Write an object."""

    def listing(self) -> Listing:
        """Read the lagging list of boxes and upstreams."""


doors: Registry[Callable[[DoorHost], Part]] = Registry("door")
drivers: Registry[Callable[[UpstreamSection], Any]] = Registry("upstream driver")
platforms: Registry[Callable[[PlatformSection], Platform]] = Registry("platform client")
