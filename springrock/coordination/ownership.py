"""Who owns which replica: rows in the table, taken, handed over and given up under sessions.

A replica's row names its owner, the owner's session and the fence, and is written only on
change, in one transaction that also checks the writer's session. A takeover needs all of: the
owner's session lapsed in the table, a direct probe of the owner failed, and this box is the
first in rendezvous order among the live boxes of the zone.
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
from springrock.errors import PeerUnreachable, PlatformUnavailable, TransactionConflict
from springrock.ids import rendezvous_order
from springrock.log import Condition, Log
from springrock.settings import LeaseSection, PoolSection, UpstreamSection
from springrock.wire import peer as wire
from springrock.wire.platform import ABSENT, Check, Put, Row, Transaction

REPLICA_PREFIX = "replica/"
_HAND_OVER_ROUNDS = 3


class ReplicaValue(msgspec.Struct, frozen=True, array_like=True):
    """What a replica's row says."""

    replica: str
    owner: str
    incarnation: str
    fence: int


class Upstream(NamedTuple):
    """A replica of this zone, with its pool."""

    settings: UpstreamSection
    pool: PoolSection


class OwnershipListener(Protocol):
    """Hears of what this box gains and loses."""

    def gained(self, upstream: Upstream, fence: int, *, previous: str) -> None:
        """This box owns a replica now; `previous` names the owner before, or is empty."""

    def lost(self, replica: str) -> None:
        """This box does not own a replica any more."""

    def closed(self, replica: str) -> None:
        """This box is about to hand a replica over and must grant nothing more on it."""


class Reader(Protocol):
    """Reads the table."""

    def rows(self, prefix: str) -> list[Row]:
        """Read the rows under a prefix."""


class Ownership:
    """Takes and hands over the replicas of this box's zone.

    Args:
        session: This box's session.
        members: The view of all boxes.
        peers: The links to the other boxes.
        platform: Reads the table.
        upstreams: The engine replicas of this zone.
        lease: How often to look.
        listener: Hears of gains and losses.
        log: The log to write to.
    """

    def __init__(
        self,
        session: Session,
        members: Members,
        peers: Peers,
        *,
        platform: Reader,
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
        self._unread = Condition(
            log, begins="Cannot look at the replicas.", ends="Look at the replicas again."
        )
        self._owned: dict[str, int] = {}
        self._task: gevent.Greenlet[..., Any] | None = None
        self._looking = RLock()
        self._stopping = False
        self._boxes_since = monotonic()
        self._boxes: tuple[str, ...] = ()
        self._moved_at = 0.0
        self.zone = session.value.zone
        peers.handle(wire.HandOver, lambda _, __: self.check_soon())

    @property
    def owned(self) -> dict[str, int]:
        """The replicas that this box owns, with their fences."""
        return dict(self._owned)

    @property
    def is_stable(self) -> bool:
        """Whether boxes and replicas have stood as they are for a while."""
        still_s = monotonic() - max(self._boxes_since, self._moved_at)
        return still_s > self._lease.settle_s + self._lease.lapse_after_s

    def start(self) -> None:
        """Begin looking in the background."""
        self._task = gevent.spawn(self._check_loop)

    def check_soon(self) -> None:
        """Look at once, as after a hand-over to this box."""
        gevent.spawn(self._reconcile_after_refresh)

    def stop(self) -> None:
        """Stop looking."""
        if self._task is not None:
            self._task.kill()

    def session_lost(self) -> None:
        """Drop everything: another box broke this box's session."""
        for replica in list(self._owned):
            self._drop(replica)

    def hand_over_all(self) -> None:
        """Hand every replica to the box that should own it without this one."""
        self._stopping = True
        self.stop()
        for _ in range(_HAND_OVER_ROUNDS):
            if not self._owned:
                return
            self._hand_over_round()

    def _hand_over_round(self) -> None:
        try:
            self._members.scan()
            rows = self._read()
        except PlatformUnavailable:
            self._log.say("The table is out; ownership is left to lapse.")
            return
        for replica in list(self._owned):
            handover_target = self._desired(replica)
            row = rows.get(replica)
            if row is not None:
                self._hand_over(row, handover_target)

    # Looking.

    def _check_loop(self) -> None:
        while True:
            self._reconcile_logging_errors()
            gevent.sleep(self._lease.scan_every_s)

    def _reconcile_after_refresh(self) -> None:
        """Look after reading the sessions again: the sender may have just begun to stop."""
        try:
            self._members.scan()
        except PlatformUnavailable:
            return
        self._reconcile_logging_errors()

    def _reconcile_logging_errors(self) -> None:
        with self._looking:
            try:
                self.reconcile()
                self._unread.end()
            except PlatformUnavailable as error:
                self._unread.begin(error=str(error))

    def reconcile(self) -> None:
        """Compare the rows with what should be, and act once on each difference.

        Raises:
            PlatformUnavailable: If the table cannot be read.
        """
        if not self._session.held or self._stopping:
            return
        rows = self._read()
        self._record_boxes()
        for name, upstream in self._upstreams.items():
            self._reconcile_replica(
                upstream, rows.get(name, Row(_key(self.zone, name), ABSENT, b""))
            )
        self._sweep(rows)

    def _sweep(self, rows: dict[str, Row]) -> None:
        """Delete the lapsed sessions of the zone that own nothing; one box does it."""
        if self._desired("session sweep") != self._session.box:
            return
        owners = {
            msgspec.json.decode(row.value, type=ReplicaValue).incarnation for row in rows.values()
        }
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
        self._log.say(f"Swept the lapsed session of {member.box}.", member=member.box)

    def _read(self) -> dict[str, Row]:
        rows = self._platform.rows(f"{REPLICA_PREFIX}{self.zone}/")
        return {row.key.rpartition("/")[2]: row for row in rows}

    def _record_boxes(self) -> None:
        boxes = tuple(self._eligible())
        if boxes != self._boxes:
            self._boxes = boxes
            self._boxes_since = monotonic()

    def _eligible(self) -> list[str]:
        return sorted(
            {
                member.box
                for member in self._members.live(self.zone)
                if not member.value.stopping
                and not (self._stopping and member.box == self._session.box)
            }
        )

    def _desired(self, replica: str) -> str | None:
        return next(iter(rendezvous_order(replica, self._eligible())), None)

    def _reconcile_replica(self, upstream: Upstream, row: Row) -> None:
        name = upstream.settings.name
        if row.version == ABSENT:
            if self._desired(name) == self._session.box:
                self._take_over(upstream, row, None, previous="")
            return
        value = msgspec.json.decode(row.value, type=ReplicaValue)
        if value.incarnation == self._session.incarnation:
            self._reconcile_own(upstream, row, value)
            return
        if name in self._owned:
            self._drop(name)
        if self._desired(name) == self._session.box:
            self._challenge(upstream, row, value)

    def _reconcile_own(self, upstream: Upstream, row: Row, value: ReplicaValue) -> None:
        name = upstream.settings.name
        if self._owned.get(name) != value.fence:
            self._gain(upstream, value.fence, previous="")
            return
        handover_target = self._desired(name)
        if handover_target in (None, self._session.box):
            return
        now = monotonic()
        stable_since = max(self._boxes_since, self._moved_at)
        if now - stable_since < self._lease.settle_s:
            return
        self._moved_at = now
        self._members.scan()
        handover_target = self._desired(name)
        if handover_target not in (None, self._session.box):
            self._hand_over(row, handover_target)

    def _challenge(self, upstream: Upstream, row: Row, value: ReplicaValue) -> None:
        """Take a replica whose owner is gone."""
        holder = self._members.holder(value.incarnation)
        if holder is not None and not self._members.lapsed(holder):
            return
        if holder is not None and self._answers(holder):
            self._log.say("A lapsed owner still answers.", replica=value.replica, owner=holder.box)
            return
        self._take_over(upstream, row, holder, previous=value.owner)

    def _answers(self, holder: Member) -> bool:
        try:
            link = self._peers.link_to_member(holder)
            link.ask(wire.Probe(0, []), wire.ProbeAnswer, timeout_s=PROBE_TIMEOUT_S)
        except PeerUnreachable:
            return False
        return True

    # Acting.

    def _take_over(
        self, upstream: Upstream, row: Row, lapsed: Member | None, *, previous: str
    ) -> None:
        fence = 1
        if row.version != ABSENT:
            fence = msgspec.json.decode(row.value, type=ReplicaValue).fence + 1
        value = ReplicaValue(
            upstream.settings.name, self._session.box, self._session.incarnation, fence
        )
        checks = [Check(row.key, row.version)]
        deletes = []
        if lapsed is not None:
            session_key = key_of(lapsed.value)
            checks.append(Check(session_key, lapsed.version))
            deletes.append(session_key)
        puts = [Put(row.key, msgspec.json.encode(value))]
        try:
            self._session.commit(Transaction(checks=checks, puts=puts, deletes=deletes))
        except TransactionConflict as conflict:
            self._log.say("Lost a race.", replica=upstream.settings.name, why=str(conflict))
            return
        self._gain(upstream, fence, previous=previous)

    def _hand_over(self, row: Row, handover_target: str | None) -> None:
        """Name the heir in the row; it finds itself there and begins."""
        value = msgspec.json.decode(row.value, type=ReplicaValue)
        member = self._members.find(handover_target) if handover_target else None
        if (
            handover_target is None
            or member is None
            or self._owned.get(value.replica) != value.fence
        ):
            return
        self._listener.closed(value.replica)
        handed = ReplicaValue(
            value.replica, handover_target, member.value.incarnation, value.fence + 1
        )
        checks = [Check(row.key, row.version)]
        puts = [Put(row.key, msgspec.json.encode(handed))]
        try:
            self._session.commit(Transaction(checks=checks, puts=puts))
        except (TransactionConflict, PlatformUnavailable) as error:
            self._log.say("A hand-over failed.", replica=value.replica, error=str(error))
            return
        self._log.say(
            f"Handed {value.replica} to {handover_target}.",
            replica=value.replica,
            heir=handover_target,
        )
        self._drop(value.replica)
        self._notify_handover_target(value.replica, handover_target)

    def _notify_handover_target(self, replica: str, handover_target: str) -> None:
        try:
            self._peers.link_to(handover_target).notify(wire.HandOver(replica))
        except PeerUnreachable:
            return

    def _gain(self, upstream: Upstream, fence: int, *, previous: str) -> None:
        name = upstream.settings.name
        if name in self._owned:
            self._listener.lost(name)
        self._owned[name] = fence
        self._moved_at = monotonic()
        self._log.say(f"Own {name} under fence {fence}.", replica=name, fence=fence)
        self._listener.gained(upstream, fence, previous=previous)

    def _drop(self, replica: str) -> None:
        if self._owned.pop(replica, None) is not None:
            self._log.say(f"Own {replica} no more.", replica=replica)
            self._listener.lost(replica)


def _key(zone: str, replica: str) -> str:
    return f"{REPLICA_PREFIX}{zone}/{replica}"
