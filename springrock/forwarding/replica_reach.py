"""Whether this box reaches the replicas of a service, from what its requests and probes see."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from springrock.clock import monotonic
from springrock.log import Log

_SILENCE_S = 1.0
"""If requests wait for a replica that was not heard for this time, it is probed."""


class _Wait(Struct):
    """The requests that wait for one replica.

    Attributes:
        count: How many requests wait.
        silent_since: When the replica was last heard, or else the first of them began to wait.
    """

    count: int
    silent_since: float


class ReplicaReach:
    """Tells a box that is cut off from most replicas of a service from one with some failed ones.

    A connection that could not be opened or brought no answer, or a silence while requests wait, is
    only a reason to probe several replicas. The box counts as cut off if fewer than half of these
    accept a connection, until half of them do. If none did, it is no longer cut off once any is
    heard.

    Args:
        log: The log to write to.
        service: The service, for log lines.
        on_change: Called when the box begins or ceases to be cut off.

    Attributes:
        last_heard: The replica that was last heard; empty for none.
    """

    def __init__(
        self, log: Log, *, service: str = "", on_change: Callable[[], None] = lambda: None
    ) -> None:
        self._log = log
        self._service = service
        self._on_change = on_change
        self._heard_at = monotonic()
        self._probed_at = 0.0
        self._waits: dict[str, _Wait] = {}
        self._is_suspected = False
        self._reaches_some = False
        self.cut_off_since: float | None = None
        self.last_heard = ""

    @property
    def cut_off(self) -> bool:
        """Whether this box reaches no replica of the service, or few of them."""
        return self.cut_off_since is not None

    def begin_wait(self, instance: str = "") -> None:
        """Record that a request is about to be sent to a replica."""
        wait = self._waits.setdefault(instance, _Wait(0, monotonic()))
        wait.count += 1

    def end_wait(self, instance: str = "") -> None:
        """Record that the exchange of a request has ended."""
        wait = self._waits.get(instance)
        if wait is None:
            return
        wait.count -= 1
        if not wait.count:
            del self._waits[instance]

    def record_heard(self, instance: str = "") -> None:
        """Record that a replica sent something.

        That ends a cut from all replicas, but not one from most of them, and not the suspicion that
        others are out of reach.
        """
        self._heard_at = monotonic()
        self.last_heard = instance or self.last_heard
        if instance in self._waits:
            self._waits[instance].silent_since = self._heard_at
        if not self._reaches_some:
            self._end_cut()

    def record_probes(self, *, reached: int, probed: int) -> None:
        """Record how many of the probed replicas accepted a connection."""
        self._probed_at = monotonic()
        if 2 * reached >= probed:
            self._heard_at = monotonic()
            self._is_suspected = False
            self._end_cut()
            return
        self._reaches_some = self._reaches_some or reached > 0
        if self.cut_off_since is None:
            self._begin_cut(reached, probed)

    def _begin_cut(self, reached: int, probed: int) -> None:
        self.cut_off_since = monotonic()
        self._is_suspected = False
        self._log.info(
            "Reaches few replicas." if reached else "Reaches no replica.",
            service=self._service,
            reached=reached,
            probed=probed,
            waiting=sum(wait.count for wait in self._waits.values()),
            heard_ms_ago=round(1000 * (self.cut_off_since - self._heard_at)),
        )
        self._on_change()

    def _end_cut(self) -> None:
        self._reaches_some = False
        if self.cut_off_since is None:
            return
        lasted_s = monotonic() - self.cut_off_since
        self.cut_off_since = None
        self._log.info(
            "Reaches replicas again.", service=self._service, cut_off_s=round(lasted_s, 2)
        )
        self._on_change()

    def clear(self) -> None:
        """Record that the service has no replicas, so that there are none to reach."""
        self._is_suspected = False
        self._reaches_some = False
        self.cut_off_since = None

    def record_unreachable(self) -> None:
        """Record that a connection to a replica could not be opened, or brought no answer."""
        self._is_suspected = True

    def record_silent_probed(self) -> None:
        """Record that the replica that is silent accepted a connection."""
        self._probed_at = monotonic()

    @property
    def needs_probe(self) -> bool:
        """Whether replicas should be probed now."""
        return self._is_suspected or self.cut_off or self.silent is not None

    @property
    def silent(self) -> str | None:
        """The replica that requests wait for in silence, if that is the only reason to probe."""
        if self._is_suspected or self.cut_off or not self._waits:
            return None
        longest = min(self._waits, key=lambda instance: self._waits[instance].silent_since)
        silent_since = max(self._waits[longest].silent_since, self._probed_at)
        return longest if monotonic() - silent_since >= _SILENCE_S else None
