"""Whether this box reaches the replicas of a service, from what its requests and probes see."""

from __future__ import annotations

from collections.abc import Callable

from springrock.clock import monotonic
from springrock.log import Log

_SILENCE_S = 1.0
"""If requests wait and no replica was heard for this time, replicas are probed."""


class ReplicaReach:
    """Tells a box that is cut off from most replicas of a service from one with some failed ones.

    A connection that could not be opened, or a silence while requests wait, is only a reason to
    probe several replicas. The box counts as cut off if fewer than half of these accept a
    connection, until half of them do. If none did, it is no longer cut off once any is heard.

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
        self._waiting = 0
        self._waiting_since = 0.0
        self._is_suspected = False
        self._reaches_some = False
        self.cut_off_since: float | None = None
        self.last_heard = ""

    @property
    def cut_off(self) -> bool:
        """Whether this box reaches no replica of the service, or few of them."""
        return self.cut_off_since is not None

    def begin_wait(self) -> None:
        """Record that a request is about to be sent to a replica."""
        if not self._waiting:
            self._waiting_since = monotonic()
        self._waiting += 1

    def end_wait(self) -> None:
        """Record that the exchange of a request has ended."""
        self._waiting -= 1

    def record_heard(self, instance: str = "") -> None:
        """Record that a replica sent something.

        That ends a cut from all replicas, but not one from most of them, and not the suspicion that
        others are out of reach.
        """
        self._heard_at = monotonic()
        self.last_heard = instance or self.last_heard
        if not self._reaches_some:
            self._end_cut()

    def record_probes(self, *, reached: int, probed: int) -> None:
        """Record how many of the probed replicas accepted a connection."""
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
            waiting=self._waiting,
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
        """Record that a connection to a replica could not be opened."""
        self._is_suspected = True

    @property
    def needs_probe(self) -> bool:
        """Whether replicas should be probed now."""
        if self._is_suspected or self.cut_off:
            return True
        silent_since = max(self._heard_at, self._waiting_since)
        return self._waiting > 0 and monotonic() - silent_since >= _SILENCE_S
