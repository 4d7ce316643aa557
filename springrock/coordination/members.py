"""The view of all boxes: session rows read from the table, and the platform's lagging list."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

import gevent
import msgspec
from gevent.event import Event

from springrock.clock import monotonic
from springrock.coordination.session import SESSION_PREFIX, SessionValue
from springrock.errors import PlatformUnavailable
from springrock.log import Condition, Log
from springrock.plugins import Platform
from springrock.settings import LeaseSection
from springrock.wire.platform import Row

_SHORTEST_PAUSE_S = 0.1


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
        zone: This box's availability zone, which is read more often.
        hurry: Tells whether something is wrong in the zone, so that its rows are read fast.
        on_change: Called when a box came, went or changed.

    While all is calm a box reads little: what it needs at once, its links tell it.
    """

    def __init__(
        self,
        platform: Platform,
        lease: LeaseSection,
        *,
        zone: str,
        hurry: Callable[[], bool] = lambda: True,
        log: Log,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        self._platform = platform
        self._lease = lease
        self._zone = zone
        self._hurry = hurry
        self._outage = False
        self._began_at = monotonic()
        self._all_scanned_at = 0.0
        self._whole_wanted = True
        self._log = log
        self._on_change = on_change
        self._unread = Condition(
            log, begins="Cannot read the sessions.", ends="Read the sessions again."
        )
        self._members: dict[str, Member] = {}
        self._loop: gevent.Greenlet[..., Any] | None = None
        self._wake = Event()
        self.scanned_at = 0.0

    def start(self) -> None:
        """Begin scanning in the background."""
        self._loop = gevent.spawn(self._scan_loop)

    def stop(self) -> None:
        """Stop scanning."""
        if self._loop is not None:
            self._loop.kill()

    def scan(self) -> None:
        """Read the rows of the zone once, and those of all zones if that is due.

        Raises:
            PlatformUnavailable: If the table cannot be read.
        """
        due = self._whole_wanted or self._whole_due_in_s() <= 0.0
        prefix = SESSION_PREFIX if due else f"{SESSION_PREFIX}{self._zone}/"
        self._apply_scan(self._platform.rows(prefix), whole=due)

    def record_outage(self) -> None:
        """Note that the table did not answer this box at some call."""
        self._outage = True

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
        seen_at = self.scanned_at if member.zone == self._zone else self._all_scanned_at
        unrenewed_s = seen_at - member.first_seen
        return unrenewed_s > self._lease.lapse_after_s + self._lease.margin_s

    def _apply_scan(self, rows: list[Row], *, whole: bool) -> None:
        now = monotonic()
        before = {(member.box, member.value.incarnation) for member in self.live()}
        members = {
            incarnation: member
            for incarnation, member in self._members.items()
            if not whole and member.zone != self._zone
        }
        for row in rows:
            member = self._member_of(row, now)
            members[member.value.incarnation] = member
        self._members = members
        self.scanned_at = now
        if whole:
            self._all_scanned_at = now
            self._whole_wanted = False
        self._outage = False
        after = {(member.box, member.value.incarnation) for member in self.live()}
        if after != before:
            self._log.say("Saw other boxes.", live=sorted(box for box, _ in after))
            self._on_change()

    def _member_of(self, row: Row, now: float) -> Member:
        value = msgspec.json.decode(row.value, type=SessionValue)
        known = self._members.get(value.incarnation)
        if known is None or known.version != row.version:
            return Member(value, row.version, now)
        # Nobody lapses in an outage: the box that could not renew had the same one.
        first_seen = now if self._outage else known.first_seen
        return Member(value, row.version, first_seen)

    def _scan_loop(self) -> None:
        while True:
            try:
                self.scan()
                self._unread.end()
            except PlatformUnavailable as error:
                self._outage = True
                self._unread.begin(error=str(error))
            self._wake.wait(timeout=self.pause_s)
            self._wake.clear()

    @property
    def pause_s(self) -> float:
        """How long to wait until the next scan."""
        calm_s = min(self._lease.calm_scan_every_s, self._whole_due_in_s())
        return self._lease.scan_every_s if self._hurry() else max(_SHORTEST_PAUSE_S, calm_s)

    def _whole_due_in_s(self) -> float:
        """Return the seconds until the rows of all zones are read again.

        Soon after the start, then after ever longer: boxes that start together may each read the
        rows just before the other's is there, and if nobody links to both, nothing else tells them.
        """
        age_s = max(self._lease.scan_every_s, self._all_scanned_at - self._began_at)
        every_s = min(self._lease.all_zones_scan_every_s, age_s)
        return self._all_scanned_at + every_s - monotonic()

    def check_soon(self, *, all_zones: bool = False) -> None:
        """Scan at once, as when a link was lost or an unknown box has dialed."""
        self._whole_wanted = self._whole_wanted or all_zones
        self._wake.set()
