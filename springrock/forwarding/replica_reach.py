"""Whether this box reaches any replica of a service, from what its requests and probes see."""

from __future__ import annotations

from collections.abc import Callable

from springrock.clock import monotonic
from springrock.log import Log

_SILENCE_S = 1.0
"""If requests wait and no replica was heard for this time, replicas are probed."""


class ReplicaReach:
    """Tells a box that is cut off from all replicas of a service from one with some failed ones.

    A connection that could not be opened, or a silence while requests wait, is only a reason to
    probe several replicas. The box counts as cut off if none of these accepts a connection, until
    any replica is heard again.

    Args:
        log: The log to write to.
        service: The service, for log lines.
        on_change: Called when the box begins or ceases to be cut off.
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
        self.cut_off_since: float | None = None

    @property
    def cut_off(self) -> bool:
        """Whether this box reaches no replica of the service."""
        return self.cut_off_since is not None

    def begin_wait(self) -> None:
        """Record that a request is about to be sent to a replica."""
        if not self._waiting:
            self._waiting_since = monotonic()
        self._waiting += 1

    def end_wait(self) -> None:
        """Record that the exchange of a request has ended."""
        self._waiting -= 1

    def record_heard(self) -> None:
        """Record that a replica accepted a connection or sent something."""
        self._heard_at = monotonic()
        self._is_suspected = False
        if self.cut_off_since is None:
            return
        lasted_s = self._heard_at - self.cut_off_since
        self.cut_off_since = None
        self._log.info(
            "Reaches replicas again.", service=self._service, cut_off_s=round(lasted_s, 2)
        )
        self._on_change()

    def clear(self) -> None:
        """Record that the service has no replicas, so that there are none to reach."""
        self._is_suspected = False
        self.cut_off_since = None

    def record_unreachable(self) -> None:
        """Record that a connection to a replica could not be opened."""
        self._is_suspected = True

    def record_probes_failed(self, probed: int) -> None:
        """Record that none of the probed replicas accepted a connection."""
        if self.cut_off_since is not None or not probed:
            return
        self.cut_off_since = monotonic()
        self._log.info(
            "Reaches no replica.",
            service=self._service,
            probed=probed,
            waiting=self._waiting,
            heard_ms_ago=round(1000 * (self.cut_off_since - self._heard_at)),
        )
        self._on_change()

    @property
    def needs_probe(self) -> bool:
        """Whether replicas should be probed now."""
        if self._is_suspected or self.cut_off:
            return True
        silent_since = max(self._heard_at, self._waiting_since)
        return self._waiting > 0 and monotonic() - silent_since >= _SILENCE_S
