"""What forwarding needs of the placement of adapters."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import NamedTuple, Protocol

from springrock.forwarding.directory import Replica
from springrock.forwarding.message import AdapterKey


class WaitTerms(NamedTuple):
    """How long a wait for an adapter is worth while.

    Attributes:
        worth: What the request is worth beside others.
        target_at: When its answer is late, on the local monotonic clock.
        until: When its client gives up.
        returns_within_s: How soon its client would come back at the latest, if told to; 0 if it
            is not expected to come back.
    """

    worth: float
    target_at: float
    until: float
    returns_within_s: float


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

    def wait_for(self, key: AdapterKey, terms: WaitTerms, *, there: Callable[[], bool]) -> None:
        """Wait until an adapter can be used.

        Args:
            key: The adapter.
            terms: How long that is worth while.
            there: Whether it can be used now.

        Raises:
            NoReplica: As soon as the request should come back later instead.
        """
