"""What forwarding needs of the placement of adapters."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import Protocol

from springrock.forwarding.directory import Replica
from springrock.forwarding.message import AdapterKey


class Adapters(Protocol):
    """Tells where adapters stand, and waits for one to be brought."""

    def holds(self, replica: Replica, key: AdapterKey) -> bool:
        """Whether a replica holds the newest known version of an adapter."""

    def deny(self, instance: str, key: AdapterKey) -> None:
        """Learn from a replica itself that it does not hold an adapter."""

    def newest(self, key: AdapterKey) -> int:
        """Return the newest named version; 0 if none was named."""

    def note_hit(self, key: AdapterKey) -> None:
        """Count a request for an adapter."""

    def using(self, instance: str, key: AdapterKey) -> AbstractContextManager[None]:
        """Count a request as running with an adapter at a replica."""

    def wait_for(
        self,
        key: AdapterKey,
        *,
        there: Callable[[], bool],
        worth: float,
        target_at: float,
        until: float,
    ) -> None:
        """Wait until an adapter can be used.

        Raises:
            NoReplica: As soon as the request should come back later instead.
        """
