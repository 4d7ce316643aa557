"""Ownership of replicas: takes replicas over and hands them over, by rows in the table.

A replica's row names its owner, the incarnation of the owner's session and the fence. It is written
only when the owner changes, in a transaction that also checks the writer's session. A box takes a
replica over from another only if the owner's session has lapsed in the table, a direct probe of the
owner fails, and the box is the first in rendezvous order among the live boxes of the zone.
"""

from __future__ import annotations

from typing import Any, NamedTuple, Protocol

import gevent
import msgspec
from gevent.lock import RLock

from springrock.clock import monotonic
from springrock.coordination.members import Member, Members
from springrock.coordination.peers import Peers
from springrock.coordination.session import Session, key_of
from springrock.coordination.standalone import PROBE_TIMEOUT_S
from springrock.coordination.stored import stored_value
from springrock.errors import PeerUnreachable, PlatformUnavailable, TransactionConflict
from springrock.ids import rendezvous_order
from springrock.log import Condition, Log
from springrock.settings import LeaseSection, PoolSection, UpstreamSection
from springrock.wire import peer as wire
from springrock.wire.platform import ABSENT, Check, Put, Row, Transaction

REPLICA_PREFIX = "replica/"
_MAX_HAND_OVER_ROUNDS = 3


class ReplicaValue(msgspec.Struct, frozen=True, array_like=True):
    """The value of a replica's row."""

    replica: str
    owner: str
    incarnation: str
    fence: int


class Upstream(NamedTuple):
    """The settings of a replica of this zone and of its pool."""

    settings: UpstreamSection
    pool: PoolSection


class OwnershipListener(Protocol):
    """Receives the changes of this box's ownership."""

    def start_owning(self, upstream: Upstream, fence: int, *, previous: str) -> None:
        """Called when this box owns a replica; `previous` is the former owner, or empty."""

    def stop_owning(self, replica: str) -> None:
        """Called when this box no longer owns a replica."""

    def stop_granting(self, replica: str) -> None:
        """Called before a hand-over: this box must grant no more permits for the replica."""


class RowReader(Protocol):
    """Reads the table."""

    def rows(self, prefix: str) -> list[Row]:
        """Read the rows under a prefix."""


class Ownership:
    """Takes over and hands over the replicas of this box's zone.

    Args:
        session: This box's session.
        members: The view of all boxes.
        peers: The links to the other boxes.
        platform: Reads the table.
        upstreams: The engine replicas of this zone.
        lease: How often to compare the rows, and how long to wait before a move for balance.
        listener: Receives the changes of this box's ownership.
        log: The log to write to.
    """

    def __init__(
        self,
        session: Session,
        members: Members,
        peers: Peers,
        *,
        platform: RowReader,
        upstreams: list[Upstream],
        lease: LeaseSection,
        listener: OwnershipListener,
        log: Log,
    ) -> None:
        self._session = session
        self._members = members
        self._peers = peers
        self._platform = platform
        self._upstreams = {upstream.settings.name: upstream for upstream in upstreams}
        self._lease = lease
        self._listener = listener
        self._log = log
        self._read_failure = Condition(
            log, begins="Cannot read the replica rows.", ends="The replica rows are readable again."
        )
        self._owned: dict[str, int] = {}
        self._task: gevent.Greenlet[..., Any] | None = None
        self._reconcile_lock = RLock()
        self._stopping = False
        self._candidates_changed_at = monotonic()
        self._candidates: tuple[str, ...] = ()
        self._last_move_at = 0.0
        self.zone = session.value.zone
        peers.handle(wire.HandOver, lambda _, __: self.check_soon())

    @property
    def owned(self) -> dict[str, int]:
        """The fences of the replicas that this box owns, by replica."""
        return dict(self._owned)

    @property
    def is_stable(self) -> bool:
        """Whether boxes and owners have not changed for `settle_s` plus `lapse_after_s`."""
        unchanged_s = monotonic() - max(self._candidates_changed_at, self._last_move_at)
        return unchanged_s > self._lease.settle_s + self._lease.lapse_after_s

    def start(self) -> None:
        """Start reconciling in the background."""
        self._task = gevent.spawn(self._reconcile_loop)

    def check_soon(self) -> None:
        """Reconcile at once, for example after a hand-over to this box."""
        gevent.spawn(self._reconcile_after_refresh)

    def stop(self) -> None:
        """Stop reconciling in the background."""
        if self._task is not None:
            self._task.kill()

    def stop_owning_all(self) -> None:
        """Give up all replicas, because this box's session was deleted."""
        for replica in list(self._owned):
            self._stop_owning(replica)

    def hand_over_all(self) -> None:
        """Hand each replica to the box that is to own it once this box has stopped."""
        self._stopping = True
        self.stop()
        for _ in range(_MAX_HAND_OVER_ROUNDS):
            if not self._owned:
                return
            self._hand_over_round()

    def _hand_over_round(self) -> None:
        try:
            self._members.scan()
            rows = self._read_rows()
        except PlatformUnavailable:
            self._log.info(
                "Cannot reach the table to hand replicas over; they move when the session lapses."
            )
            return
        for replica in list(self._owned):
            handover_target = self._preferred_owner(replica)
            row = rows.get(replica)
            if row is not None:
                self._hand_over(row, handover_target)

    # Reconciling.

    def _reconcile_loop(self) -> None:
        while True:
            self._reconcile_logging_errors()
            gevent.sleep(self._lease.scan_every_s)

    def _reconcile_after_refresh(self) -> None:
        """Scan the sessions and reconcile; the former owner may have begun to stop just now."""
        try:
            self._members.scan()
        except PlatformUnavailable:
            return
        self._reconcile_logging_errors()

    def _reconcile_logging_errors(self) -> None:
        with self._reconcile_lock:
            try:
                self.reconcile()
                self._read_failure.end()
            except PlatformUnavailable as error:
                self._read_failure.begin(error=str(error))

    def reconcile(self) -> None:
        """Compare each replica's row with its preferred owner, and act on each difference.

        Raises:
            PlatformUnavailable: If the table cannot be read.
        """
        if not self._session.held or self._stopping:
            return
        rows = self._read_rows()
        self._record_candidates()
        for name, upstream in self._upstreams.items():
            self._reconcile_replica(
                upstream, rows.get(name, Row(_key(self.zone, name), ABSENT, b""))
            )
        self._delete_unused_sessions(rows)

    def _delete_unused_sessions(self, rows: dict[str, Row]) -> None:
        """Delete the zone's lapsed sessions that own no replica, if this box is chosen for it."""
        if self._preferred_owner("session sweep") != self._session.box:
            return
        owners = {stored_value(row.value, ReplicaValue).incarnation for row in rows.values()}
        for member in self._members.all():
            unused = member.value.incarnation not in owners
            if member.zone == self.zone and unused and self._members.lapsed(member):
                self._delete_session(member)

    def _delete_session(self, member: Member) -> None:
        key = key_of(member.value)
        try:
            self._session.commit(Transaction(checks=[Check(key, member.version)], deletes=[key]))
        except TransactionConflict:
            return
        self._log.info(f"Deleted the lapsed session of {member.box}.", member=member.box)

    def _read_rows(self) -> dict[str, Row]:
        rows = self._platform.rows(f"{REPLICA_PREFIX}{self.zone}/")
        return {row.key.rpartition("/")[2]: row for row in rows}

    def _record_candidates(self) -> None:
        candidates = tuple(self._candidate_boxes())
        if candidates != self._candidates:
            self._candidates = candidates
            self._candidates_changed_at = monotonic()

    def _candidate_boxes(self) -> list[str]:
        return sorted(
            {
                member.box
                for member in self._members.live(self.zone)
                if not member.value.stopping
                and not (self._stopping and member.box == self._session.box)
            }
        )

    def _preferred_owner(self, replica: str) -> str | None:
        return next(iter(rendezvous_order(replica, self._candidate_boxes())), None)

    def _reconcile_replica(self, upstream: Upstream, row: Row) -> None:
        name = upstream.settings.name
        if row.version == ABSENT:
            if self._preferred_owner(name) == self._session.box:
                self._take_over(upstream, row, None, previous="")
            return
        value = stored_value(row.value, ReplicaValue)
        if value.incarnation == self._session.incarnation:
            self._reconcile_own(upstream, row, value)
            return
        if name in self._owned:
            self._stop_owning(name)
        if self._preferred_owner(name) == self._session.box:
            self._challenge(upstream, row, value)

    def _reconcile_own(self, upstream: Upstream, row: Row, value: ReplicaValue) -> None:
        name = upstream.settings.name
        if self._owned.get(name) != value.fence:
            self._start_owning(upstream, value.fence, previous="")
            return
        handover_target = self._preferred_owner(name)
        if handover_target in (None, self._session.box):
            return
        now = monotonic()
        stable_since = max(self._candidates_changed_at, self._last_move_at)
        if now - stable_since < self._lease.settle_s:
            return
        self._last_move_at = now
        self._members.scan()
        handover_target = self._preferred_owner(name)
        if handover_target not in (None, self._session.box):
            self._hand_over(row, handover_target)

    def _challenge(self, upstream: Upstream, row: Row, value: ReplicaValue) -> None:
        """Take over a replica if its owner's session is gone, or has lapsed and a probe fails."""
        holder = self._members.find_incarnation(value.incarnation)
        if holder is not None and not self._members.lapsed(holder):
            return
        if holder is not None and self._answers_probe(holder):
            self._log.info(
                "An owner whose session has lapsed still answers.",
                replica=value.replica,
                owner=holder.box,
            )
            return
        self._take_over(upstream, row, holder, previous=value.owner)

    def _answers_probe(self, holder: Member) -> bool:
        try:
            link = self._peers.link_to_member(holder)
            link.ask(wire.Probe(0, []), wire.ProbeAnswer, timeout_s=PROBE_TIMEOUT_S)
        except PeerUnreachable:
            return False
        return True

    # Changing the owner.

    def _take_over(
        self, upstream: Upstream, row: Row, lapsed_owner: Member | None, *, previous: str
    ) -> None:
        fence = 1
        if row.version != ABSENT:
            fence = stored_value(row.value, ReplicaValue).fence + 1
        value = ReplicaValue(
            upstream.settings.name, self._session.box, self._session.incarnation, fence
        )
        checks = [Check(row.key, row.version)]
        deletes = []
        if lapsed_owner is not None:
            session_key = key_of(lapsed_owner.value)
            checks.append(Check(session_key, lapsed_owner.version))
            deletes.append(session_key)
        puts = [Put(row.key, msgspec.json.encode(value))]
        try:
            self._session.commit(Transaction(checks=checks, puts=puts, deletes=deletes))
        except TransactionConflict as conflict:
            self._log.info(
                "Could not take a replica over: its row or a session has changed.",
                replica=upstream.settings.name,
                why=str(conflict),
            )
            return
        self._start_owning(upstream, fence, previous=previous)

    def _hand_over(self, row: Row, handover_target: str | None) -> None:
        """Write the new owner to the replica's row and notify the new owner."""
        value = stored_value(row.value, ReplicaValue)
        member = self._members.find(handover_target) if handover_target else None
        if (
            handover_target is None
            or member is None
            or self._owned.get(value.replica) != value.fence
        ):
            return
        self._listener.stop_granting(value.replica)
        new_value = ReplicaValue(
            value.replica, handover_target, member.value.incarnation, value.fence + 1
        )
        checks = [Check(row.key, row.version)]
        puts = [Put(row.key, msgspec.json.encode(new_value))]
        try:
            self._session.commit(Transaction(checks=checks, puts=puts))
        except (TransactionConflict, PlatformUnavailable) as error:
            self._log.info("A hand-over failed.", replica=value.replica, error=str(error))
            return
        self._log.info(
            f"Handed {value.replica} to {handover_target}.",
            replica=value.replica,
            handover_target=handover_target,
        )
        self._stop_owning(value.replica)
        self._notify_handover_target(value.replica, handover_target)

    def _notify_handover_target(self, replica: str, handover_target: str) -> None:
        try:
            self._peers.link_to(handover_target).notify(wire.HandOver(replica))
        except PeerUnreachable:
            return

    def _start_owning(self, upstream: Upstream, fence: int, *, previous: str) -> None:
        name = upstream.settings.name
        if name in self._owned:
            self._listener.stop_owning(name)
        self._owned[name] = fence
        self._last_move_at = monotonic()
        self._log.info(f"Now owns {name} under fence {fence}.", replica=name, fence=fence)
        self._listener.start_owning(upstream, fence, previous=previous)

    def _stop_owning(self, replica: str) -> None:
        if self._owned.pop(replica, None) is not None:
            self._log.info(f"No longer owns {replica}.", replica=replica)
            self._listener.stop_owning(replica)


def _key(zone: str, replica: str) -> str:
    return f"{REPLICA_PREFIX}{zone}/{replica}"
