"""The interface between forwarding and the placement of adapters."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple, Protocol

from springrock.forwarding.directory import Replica
from springrock.forwarding.eligibility import ANYWHERE, Bounds
from springrock.forwarding.message import AdapterKey, PromptPart


class WaitTerms(NamedTuple):
    """The terms for how long a request may wait for an adapter.

    Attributes:
        worth: The value of the request relative to other requests.
        target_at: The time after which an answer counts as late, on the local monotonic clock.
        until: When the client gives up, on the local monotonic clock.
        retry_within_s: The longest delay after which the client retries if it is asked to; 0 if
            no retry is expected.
        run_s: Seconds that the request needs after the wait. A box that is being stopped does not
            let it wait longer than that leaves time for.
    """

    worth: float
    target_at: float
    until: float
    retry_within_s: float
    run_s: float = 0.0


class AdapterRequest(NamedTuple):
    """A request that needs a replica with its adapter.

    Attributes:
        request_id: The id that the client gave to the request.
        key: The adapter.
        terms: The terms for a wait.
        prompt: The parts of the prompt in order.
        avoid: Replicas that the request must not be sent to while another one holds the adapter.
        failed_at: The replicas of `avoid` that were reached and failed the request. It may be sent
            there again if that is better than loading the adapter elsewhere.
        bounds: The regions in which the request may be served.
    """

    request_id: str
    key: AdapterKey
    terms: WaitTerms
    prompt: tuple[PromptPart, ...] = ()
    avoid: frozenset[str] = frozenset()
    failed_at: frozenset[str] = frozenset()
    bounds: Bounds = ANYWHERE


class UseOutcome(Enum):
    """How the use of a replica ended, as far as it says something about the replica."""

    ENDED = "ended"
    """The request ran, or was not sent."""
    ADAPTER_MISSING = "lacking"
    """The replica does not hold the adapter."""
    FULL = "full"
    """The replica did not run the request because it was full."""
    UNREACHABLE = "unreachable"
    """No connection to the replica could be opened."""
    FAILED = "failed"
    """The replica was reached, but broke off, stayed silent or failed the request."""


class Use(Protocol):
    """A request's use of a replica for an adapter.

    Attributes:
        instance: The incarnation of the replica.
        number: The number that identifies the use in messages of this box to the placer.
        permit_until: Until when the request may be sent to the replica although it is cold, on the
            local monotonic clock. None without a permit of the placer.
    """

    instance: str
    number: int
    permit_until: float | None

    def record_first_event(self) -> None:
        """Record the arrival of the first event of the answer."""

    def end(self, outcome: UseOutcome, *, backoff_s: float = 0.0) -> None:
        """Record the end of the use. Repeated calls have no effect.

        Args:
            outcome: How the use ended.
            backoff_s: The back-off in seconds that the replica requested from this box.
        """


class Adapters(Protocol):
    """Finds replicas that hold an adapter, and has adapters loaded on demand."""

    def holds(self, replica: Replica, key: AdapterKey) -> bool:
        """Whether a replica holds the newest known version of an adapter."""

    def record_missing(self, instance: str, key: AdapterKey) -> None:
        """Record that a replica answered that it does not hold an adapter."""

    def newest(self, key: AdapterKey) -> int:
        """Return the newest announced version of an adapter; 0 if there is none."""

    def find(self, adapter_request: AdapterRequest) -> Use | None:
        """Request a replica from the placers and wait until one grants it.

        Returns:
            The use of the granted replica, which the caller must end; None if no placer is
            reachable.

        Raises:
            NoReplica: If the client should retry later instead.
        """

    def await_placer(self, *, until: float) -> bool:
        """Wait for a placer if none is reachable but one is expected soon.

        Args:
            until: The end of the wait, on the local monotonic clock.

        Returns:
            Whether a placer became reachable during the wait.
        """

    def use(self, instance: str, key: AdapterKey) -> Use:
        """Record the use of a replica without a grant of a placer; the caller must end the use."""
