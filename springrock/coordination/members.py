"""The view of all boxes: session rows read from the table, and the platform's lagging list."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

import gevent
import msgspec

from springrock.clock import monotonic
from springrock.coordination.session import SESSION_PREFIX, SessionValue
from springrock.errors import PlatformUnavailable
from springrock.log import Condition, Log
from springrock.plugins import Platform
from springrock.settings import LeaseSection
from springrock.wire.platform import Row


class Member(NamedTuple):
    """A box as its session row tells of it.

    Attributes:
        version: The row's version, for checks.
        first_seen: When this version was first seen here, on the local monotonic clock.
    """

    value: SessionValue
    version: int
    first_seen: float

    @property
    def box(self) -> str:
        """The name of the box."""
        return self.value.box

    @property
    def zone(self) -> str:
        """Its availability zone."""
        return self.value.zone


class Members:
    """Follows the session rows.

    Args:
        platform: The platform client.
        lease: When a session that is not renewed has lapsed.
        log: The log to write to.
        on_change: Called when a box came, went or changed.
    """

    def __init__(
        self,
        platform: Platform,
        lease: LeaseSection,
        *,
        log: Log,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        self._platform = platform
        self._lease = lease
        self._log = log
        self._on_change = on_change
        self._unread = Condition(
            log, begins="Cannot read the sessions.", ends="Read the sessions again."
        )
        self._members: dict[str, Member] = {}
        self._loop: gevent.Greenlet[..., Any] | None = None
        self.scanned_at = 0.0

    def start(self) -> None:
        """Begin scanning in the background."""
        self._loop = gevent.spawn(self._scan_forever)

    def stop(self) -> None:
        """Stop scanning."""
        if self._loop is not None:
            self._loop.kill()

    def scan(self) -> None:
        """Read the rows once.

        Raises:
            PlatformUnavailable: If the table cannot be read.
        """
        rows = self._platform.rows(SESSION_PREFIX)
        self._take(rows)

    def find(self, box: str) -> Member | None:
        """Return a live box's newest member."""
        members = [member for member in self.live() if member.box == box]
        return max(members, key=lambda member: member.first_seen, default=None)

    def holder(self, incarnation: str) -> Member | None:
        """Return the member of an incarnation, lapsed or not."""
        return self._members.get(incarnation)

    def all(self) -> list[Member]:
        """Return every box that has a row, lapsed or not, sorted by name."""
        return sorted(self._members.values(), key=lambda member: member.box)

    def live(self, zone: str | None = None) -> list[Member]:
        """Return the boxes whose session stands as far as this box can tell.

        While the table cannot be read nobody lapses in this view.
        """
        return [
            member
            for member in self.all()
            if not self.lapsed(member) and zone in (None, member.zone)
        ]

    def lapsed(self, member: Member) -> bool:
        """Whether a challenger may take a box's session for lapsed."""
        unrenewed_s = self.scanned_at - member.first_seen
        return unrenewed_s > self._lease.lapse_after_s + self._lease.margin_s

    def _take(self, rows: list[Row]) -> None:
        now = monotonic()
        unread_s = self._unread_s(now)
        before = {(member.box, member.value.incarnation) for member in self.live()}
        members: dict[str, Member] = {}
        for row in rows:
            value = msgspec.json.decode(row.value, type=SessionValue)
            known = self._members.get(value.incarnation)
            fresh = known is None or known.version != row.version
            first_seen = now if fresh or known is None else known.first_seen + unread_s
            members[value.incarnation] = Member(value, row.version, first_seen)
        self._members = members
        self.scanned_at = now
        after = {(member.box, member.value.incarnation) for member in self.live()}
        if after != before:
            self._log.say("Saw other boxes.", live=sorted(box for box, _ in after))
            self._on_change()

    def _unread_s(self, now: float) -> float:
        """Return how long the table could not be read before this scan.

        Nobody lapses in that time: the box that could not renew had the same outage.
        """
        gap_s = now - self.scanned_at if self.scanned_at else 0.0
        return gap_s if gap_s > self._lease.scan_every_s + self._lease.margin_s else 0.0

    def _scan_forever(self) -> None:
        while True:
            try:
                self.scan()
                self._unread.end()
            except PlatformUnavailable as error:
                self._unread.begin(error=str(error))
            gevent.sleep(self._lease.scan_every_s)
