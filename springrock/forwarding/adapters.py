"""What forwarding needs of the placement of adapters."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple, Protocol

from springrock.forwarding.directory import Replica
from springrock.forwarding.eligibility import ANYWHERE, Bounds
from springrock.forwarding.message import AdapterKey, PromptPart


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


class AdapterRequest(NamedTuple):
    """A request that needs a replica with its adapter.

    Attributes:
        request_id: The client's id of the request.
        key: The adapter.
        terms: How long a wait is worth while.
        prompt: The parts of its prompt, in order.
        avoid: Replicas that it is not to be sent to while another holds its adapter.
        failed_at: Those of them that were reached and failed it: it may be sent there again where
            that is better than a load elsewhere.
        bounds: Where it may be served.
    """

    request_id: str
    key: AdapterKey
    terms: WaitTerms
    prompt: tuple[PromptPart, ...] = ()
    avoid: frozenset[str] = frozenset()
    failed_at: frozenset[str] = frozenset()
    bounds: Bounds = ANYWHERE


class UseOutcome(Enum):
    """How the use of a replica ended, as far as that tells something of the replica."""

    ENDED = "ended"
    """The request ran, or was never sent."""
    LACKING = "lacking"
    """The replica does not hold the adapter."""
    FULL = "full"
    UNREACHABLE = "unreachable"
    FAILED = "failed"


class Use(Protocol):
    """A request's use of a replica with an adapter.

    Attributes:
        instance: The incarnation of the replica.
        number: This box's own number of it at the placer.
        permit_until: Until when, on the local monotonic clock, the request may be sent there
            although the replica is cold; None if the placer has permitted nothing.
    """

    instance: str
    number: int
    permit_until: float | None

    def began(self) -> None:
        """Note that the first event of the answer came."""

    def end(self, outcome: UseOutcome, *, backoff_s: float = 0.0) -> None:
        """Note the end; safe to call again.

        Args:
            outcome: How it ended.
            backoff_s: For how long the replica asked this box for rest.
        """


class Adapters(Protocol):
    """Tells where adapters stand, and has them brought where they are needed."""

    def holds(self, replica: Replica, key: AdapterKey) -> bool:
        """Whether a replica holds the newest known version of an adapter."""

    def deny(self, instance: str, key: AdapterKey) -> None:
        """Learn from a replica itself that it does not hold an adapter."""

    def newest(self, key: AdapterKey) -> int:
        """Return the newest named version; 0 if none was named."""

    def find(self, adapter_request: AdapterRequest) -> Use | None:
        """Return the use of a replica that a placer grants, after a wait if need be.

        Returns:
            The use, to be ended by the caller; None if no placer is heard.

        Raises:
            NoReplica: As soon as the request should come back later instead.
        """

    def await_placer(self, *, until: float) -> bool:
        """Wait for a placer while none is heard and one is likely to be soon.

        Args:
            until: How long a wait makes sense, on the local monotonic clock.

        Returns:
            Whether one is heard now that was not before.
        """

    def use(self, instance: str, key: AdapterKey) -> Use:
        """Note the use of a replica that no placer granted; to be ended by the caller."""
