"""One box's view of all boxes, from the session rows in the table."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

import gevent
from gevent.event import Event

from springrock.bounded_dict import BoundedDict
from springrock.clock import monotonic
from springrock.coordination.session import SESSION_PREFIX, SessionValue
from springrock.coordination.stored import stored_value
from springrock.errors import PlatformGarbage, PlatformUnavailable
from springrock.log import Condition, Log
from springrock.plugins import Platform
from springrock.settings import LeaseSection
from springrock.wire.platform import Row

_MIN_SCAN_PAUSE_S = 0.1
_MAX_REMEMBERED_ROWS = 1_000


class Member(NamedTuple):
    """A box, as described by its session row.

    Attributes:
        value: The row's value.
        version: The row's version, for checks in transactions.
        first_seen: When this box first read this version, on the local monotonic clock.
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
        """The availability zone of the box."""
        return self.value.zone


class Members:
    """Scans the session rows and keeps the newest state of every box.

    The rows are scanned rarely while the zone has no faults, as this box receives urgent changes
    over its links.

    Args:
        platform: The platform client.
        lease: How often to scan, and when a session that is not renewed lapses.
        zone: This box's availability zone, whose rows are scanned more often.
        is_scan_urgent: Returns whether the zone has a fault, so that its rows are to be scanned
            at the short interval.
        log: The log to write to.
        on_change: Called when the set of live boxes, or an incarnation of one, has changed.
    """

    def __init__(
        self,
        platform: Platform,
        lease: LeaseSection,
        *,
        zone: str,
        is_scan_urgent: Callable[[], bool] = lambda: True,
        log: Log,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        self._platform = platform
        self._lease = lease
        self._zone = zone
        self._is_scan_urgent = is_scan_urgent
        self._outage = False
        self._created_at = monotonic()
        self._all_zones_scanned_at = 0.0
        self._full_scan_wanted = True
        self._log = log
        self._on_change = on_change
        self._read_failure = Condition(
            log, begins="Cannot read the session rows.", ends="The session rows are readable again."
        )
        self._members: dict[str, Member] = {}
        self._malformed_versions: BoundedDict[int] = BoundedDict(at_most=_MAX_REMEMBERED_ROWS)
        self._task: gevent.Greenlet[..., Any] | None = None
        self._wake = Event()
        self.scanned_at = 0.0

    def start(self) -> None:
        """Start scanning in the background."""
        self._task = gevent.spawn(self._scan_loop)

    def stop(self) -> None:
        """Stop scanning."""
        if self._task is not None:
            self._task.kill()

    def scan(self) -> None:
        """Read the rows of the zone, or of all zones if that is due.

        Raises:
            PlatformUnavailable: If the table cannot be read.
        """
        due = self._full_scan_wanted or self._full_scan_due_in_s() <= 0.0
        prefix = SESSION_PREFIX if due else f"{SESSION_PREFIX}{self._zone}/"
        self._apply_scan(self._platform.rows(prefix), all_zones=due)

    def record_outage(self) -> None:
        """Record that a call of this box to the table failed."""
        self._outage = True

    def find(self, box: str) -> Member | None:
        """Return the newest member of a live box, or None if no such box is live."""
        members = [member for member in self.live() if member.box == box]
        return max(members, key=lambda member: member.first_seen, default=None)

    def find_incarnation(self, incarnation: str) -> Member | None:
        """Return the member with this incarnation, lapsed or not, or None if there is none."""
        return self._members.get(incarnation)

    def all(self) -> list[Member]:
        """Return every box that has a row, lapsed or not, sorted by name."""
        return sorted(self._members.values(), key=lambda member: member.box)

    def live(self, zone: str | None = None) -> list[Member]:
        """Return the boxes whose sessions have not lapsed in this box's view, sorted by name.

        No session lapses in this view while the table cannot be read.
        """
        return [
            member
            for member in self.all()
            if not self.lapsed(member) and zone in (None, member.zone)
        ]

    def lapsed(self, member: Member) -> bool:
        """Whether a box that wants to take over may regard a member's session as lapsed."""
        seen_at = self.scanned_at if member.zone == self._zone else self._all_zones_scanned_at
        unrenewed_s = seen_at - member.first_seen
        return unrenewed_s > self._lease.lapse_after_s + self._lease.margin_s

    def _apply_scan(self, rows: list[Row], *, all_zones: bool) -> None:
        now = monotonic()
        before = {(member.box, member.value.incarnation) for member in self.live()}
        members = {
            incarnation: member
            for incarnation, member in self._members.items()
            if not all_zones and member.zone != self._zone
        }
        for row in rows:
            member = self._member_of(row, now)
            if member is not None:
                members[member.value.incarnation] = member
        self._members = members
        self.scanned_at = now
        if all_zones:
            self._all_zones_scanned_at = now
            self._full_scan_wanted = False
        self._outage = False
        after = {(member.box, member.value.incarnation) for member in self.live()}
        if after != before:
            self._log.info("The set of live boxes changed.", live=sorted(box for box, _ in after))
            self._on_change()

    def _member_of(self, row: Row, now: float) -> Member | None:
        """Return the member of a row; None if the row is malformed, as others may write there."""
        try:
            value = stored_value(row.value, SessionValue)
        except PlatformGarbage as error:
            if self._malformed_versions.get(row.key) != row.version:
                self._malformed_versions.record(row.key, row.version)
                self._log.info("Ignored a malformed session row.", key=row.key, error=str(error))
            return None
        known = self._members.get(value.incarnation)
        if known is None or known.version != row.version:
            return Member(value, row.version, now)
        # After an outage every session gets the full time again: the other box could not renew
        # it either.
        first_seen = now if self._outage else known.first_seen
        return Member(value, row.version, first_seen)

    def _scan_loop(self) -> None:
        while True:
            try:
                self.scan()
                self._read_failure.end()
            except PlatformUnavailable as error:
                self._outage = True
                self._read_failure.begin(error=str(error))
            self._wake.wait(timeout=self.pause_s)
            self._wake.clear()

    @property
    def pause_s(self) -> float:
        """Seconds until the next scan."""
        slow_s = min(self._lease.calm_scan_every_s, self._full_scan_due_in_s())
        return (
            self._lease.scan_every_s if self._is_scan_urgent() else max(_MIN_SCAN_PAUSE_S, slow_s)
        )

    def _full_scan_due_in_s(self) -> float:
        """Return the seconds until the rows of all zones are due to be read again.

        The interval is short after the start and grows with the age of this object, up to
        `all_zones_scan_every_s`. Two boxes that start together may each read the rows just before
        the other box writes its own. If no box has links to both, only the next scan of all zones
        shows them to each other.
        """
        age_s = max(self._lease.scan_every_s, self._all_zones_scanned_at - self._created_at)
        every_s = min(self._lease.all_zones_scan_every_s, age_s)
        return self._all_zones_scanned_at + every_s - monotonic()

    def check_soon(self, *, all_zones: bool = False) -> None:
        """Scan at once, for example after a lost link or a link from an unknown box."""
        self._full_scan_wanted = self._full_scan_wanted or all_zones
        self._wake.set()
