"""The configuration feed: follows the table's numbered changes and commits new ones.

One reader for each zone polls the head every second and tells its peers; every box also polls
slowly by itself. A box that cannot read the table takes the changes from a peer.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from typing import Any

import gevent
import msgspec
from gevent.event import Event
from gevent.lock import RLock

from springrock.clock import monotonic
from springrock.coordination.catalog import Catalog, Change
from springrock.coordination.link import Link
from springrock.coordination.members import Members
from springrock.coordination.peers import Peers
from springrock.errors import (
    ConfigurationConflict,
    PeerUnreachable,
    PlatformUnavailable,
    StatementError,
)
from springrock.ids import rendezvous_order
from springrock.log import Condition, Log
from springrock.metrics import Metrics
from springrock.plugins import Platform
from springrock.settings import ConfigurationSection
from springrock.wire import peer as wire
from springrock.wire.platform import ABSENT, Check, Put, Row, Transaction

HEAD_KEY = "configuration/head"
CHANGE_PREFIX = "configuration/change/"
SNAPSHOT_NAME = "configuration-snapshot-{revision:012d}"

_CHANGES_BETWEEN_SNAPSHOTS = 500
_REMEMBERED_CHANGES = 1_000
_COMMIT_TRIES = 40
_BEHIND_LIMIT_S = 5.0
_BACKOFF_S = 0.05


class HeadValue(msgspec.Struct, frozen=True, array_like=True):
    """The newest revision, and that of the newest snapshot."""

    revision: int
    snapshot_revision: int


class Feed:
    """Keeps this box's catalog at the newest revision.

    Args:
        platform: The platform client.
        settings: How often to poll.
        box: The name of this box.
        zone: Its availability zone.
        members: Tells who the zone's reader is.
        peers: The links to the other boxes.
        log: The log to write to.
        metrics: The metrics to count in.
        on_change: Called after a change was applied.
    """

    def __init__(
        self,
        platform: Platform,
        settings: ConfigurationSection,
        *,
        box: str,
        zone: str,
        members: Members,
        peers: Peers,
        log: Log,
        metrics: Metrics,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        self._platform = platform
        self._settings = settings
        self._box = box
        self._zone = zone
        self._members = members
        self._peers = peers
        self._log = log
        self._metrics = metrics
        self._on_change = on_change
        self._unread = Condition(
            log, begins="Cannot read the configuration.", ends="Read the configuration again."
        )
        self._lock = RLock()
        self._head_version = ABSENT
        self._head = HeadValue(0, 0)
        self._known_revision = 0
        self._behind_since: float | None = None
        self._wake = Event()
        self._loop: gevent.Greenlet[..., Any] | None = None
        self.recent: deque[Change] = deque(maxlen=_REMEMBERED_CHANGES)
        self.catalog = Catalog()
        self.loaded = False
        peers.handle(wire.Head, self._on_head)
        peers.handle(wire.FetchChanges, self._on_fetch)
        peers.on_link.append(self._greet)

    def start(self) -> None:
        """Begin following in the background."""
        self._loop = gevent.spawn(self._follow_loop)

    def stop(self) -> None:
        """Stop following."""
        if self._loop is not None:
            self._loop.kill()

    @property
    def current(self) -> bool:
        """Whether this box may serve on its catalog.

        False before the first load, and when a newer revision has been known for some seconds.
        """
        if not self.loaded:
            return False
        if self._behind_since is None:
            return True
        return monotonic() - self._behind_since < _BEHIND_LIMIT_S

    def sync(self) -> None:
        """Bring the catalog to the head.

        Raises:
            PlatformUnavailable: If the platform cannot be read.
        """
        with self._lock:
            rows = self._platform.rows(HEAD_KEY)
            if rows:
                self._head_version = rows[0].version
                self._head = msgspec.json.decode(rows[0].value, type=HeadValue)
            if self.catalog.revision < self._head.snapshot_revision:
                self._load_snapshot()
            if self.catalog.revision < self._head.revision:
                self._load_changes()
            self.loaded = True
            self._record_known(self._head.revision)

    def commit(self, build: Callable[[Catalog], Change], *, expects: dict[str, int]) -> int:
        """Commit a change, or find that it was committed before.

        Args:
            build: Makes the change from the newest catalog; its revision is set here. It may
                raise StatementError.
            expects: For keys that the operator has looked at, the revision that was seen.

        Returns:
            The revision of the change.

        Raises:
            ConfigurationConflict: If another change to the same key stands.
            PlatformUnavailable: If the platform cannot be reached; a retry with the same
                command id is safe.
        """
        for _ in range(_COMMIT_TRIES):
            with self._lock:
                self.sync()
                change = build(self.catalog)
                done = self.find_command(change.command_id)
                if done is not None:
                    return done.revision
                self._check_expectations(expects)
                revision = self.catalog.revision + 1
                change = msgspec.structs.replace(change, revision=revision, at=time.time())
                if self._try_commit(change):
                    self.sync()
                    self._peers.broadcast(wire.Head(self.catalog.revision))
                    return revision
            gevent.sleep(_BACKOFF_S)
        raise StatementError("too many other changes at this moment; repeat the statement")

    def find_command(self, command_id: str) -> Change | None:
        """Return the change that a command made, if it is among the recent ones."""
        return next((item for item in self.recent if item.command_id == command_id), None)

    def last_change_of(self, key: str) -> Change | None:
        """Return the newest remembered change of a key."""
        return next((item for item in reversed(self.recent) if key in item.keys), None)

    def _check_expectations(self, expects: dict[str, int]) -> None:
        for key, seen in expects.items():
            if self.catalog.revision_of(key) == seen:
                continue
            winner = self.last_change_of(key)
            text = f"{winner.who} in revision {winner.revision}" if winner else "another operator"
            raise ConfigurationConflict(key, text)

    def _try_commit(self, change: Change) -> bool:
        head = msgspec.structs.replace(self._head, revision=change.revision)
        snapshot_due = change.revision - head.snapshot_revision >= _CHANGES_BETWEEN_SNAPSHOTS
        if snapshot_due:
            self._store_snapshot()
            head = msgspec.structs.replace(head, snapshot_revision=self.catalog.revision)
        answer = self._platform.transact(
            Transaction(
                checks=[Check(HEAD_KEY, self._head_version)],
                puts=[
                    Put(HEAD_KEY, msgspec.json.encode(head)),
                    Put(_change_key(change.revision), msgspec.json.encode(change)),
                ],
                deletes=self._outdated(head) if snapshot_due else [],
            )
        )
        return answer.committed

    def _outdated(self, head: HeadValue) -> list[str]:
        """Return the keys of the changes before the previous snapshot, which nobody reads now."""
        last = self._head.snapshot_revision
        first = max(1, last - _CHANGES_BETWEEN_SNAPSHOTS + 1)
        return [_change_key(revision) for revision in range(first, last + 1)]

    def _store_snapshot(self) -> None:
        name = SNAPSHOT_NAME.format(revision=self.catalog.revision)
        self._platform.put_object(name, self.catalog.snapshot())

    def _load_snapshot(self) -> None:
        name = SNAPSHOT_NAME.format(revision=self._head.snapshot_revision)
        data = self._platform.get_object(name)
        if data is None:
            raise PlatformUnavailable(f"snapshot {name} is missing")
        self.catalog = Catalog.from_snapshot(data)
        self._remember_older()

    def _remember_older(self) -> None:
        """Remember the changes that the snapshot holds, so that retried commands are found."""
        for row in self._platform.rows(CHANGE_PREFIX):
            change = msgspec.json.decode(row.value, type=Change)
            if change.revision <= self.catalog.revision:
                self.recent.append(change)

    def _load_changes(self) -> None:
        for row in self._change_rows():
            self._apply(msgspec.json.decode(row.value, type=Change))

    def _change_rows(self) -> list[Row]:
        """Read the rows after this catalog's revision, by the longest prefix they share."""
        first = _change_key(self.catalog.revision + 1)
        last = _change_key(self._head.revision)
        shared = len(CHANGE_PREFIX)
        while shared < len(first) and first[shared] == last[shared]:
            shared += 1
        return [row for row in self._platform.rows(first[:shared]) if row.key >= first]

    def _apply(self, change: Change) -> None:
        if not self.catalog.apply(change):
            return
        self.recent.append(change)
        self._metrics.revision.set(change.revision)
        self._log.say(
            "Applied a change.",
            revision=change.revision,
            who=change.who,
            statement=change.statement,
        )
        self._on_change()

    def _record_known(self, revision: int) -> None:
        self._known_revision = max(self._known_revision, revision)
        if self.catalog.revision >= self._known_revision:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = monotonic()

    # Following.

    def _follow_loop(self) -> None:
        while True:
            before = self.catalog.revision
            try:
                self.sync()
                self._unread.end()
            except PlatformUnavailable as error:
                self._unread.begin(error=str(error))
                self._fetch_from_peers()
            if self.catalog.revision > before:
                self._peers.broadcast(wire.Head(self.catalog.revision))
            self._wake.clear()
            self._wake.wait(timeout=self._pause_s())

    def _pause_s(self) -> float:
        boxes = [member.box for member in self._members.live(self._zone)]
        reader = next(iter(rendezvous_order("configuration reader", boxes)), self._box)
        if reader == self._box or not self.loaded:
            return self._settings.head_poll_s
        return self._settings.slow_poll_s

    def _greet(self, link: Link) -> None:
        try:
            link.notify(wire.Head(self.catalog.revision))
        except PeerUnreachable:
            return

    def _on_head(self, _: Link, head: wire.Head) -> None:
        if head.revision > self.catalog.revision:
            self._record_known(head.revision)
            self._wake.set()

    def _on_fetch(self, _: Link, question: wire.FetchChanges) -> wire.Changes:
        newer = [change for change in self.recent if change.revision > question.after]
        return wire.Changes(question.number, [msgspec.json.encode(change) for change in newer])

    def _fetch_from_peers(self) -> None:
        """Take changes from any peer that is ahead; used while the table cannot be read."""
        if self._known_revision <= self.catalog.revision:
            return
        for link in self._peers.links():
            try:
                question = wire.FetchChanges(0, self.catalog.revision)
                answer = link.ask(question, wire.Changes, timeout_s=1.0)
            except PeerUnreachable:
                continue
            with self._lock:
                for encoded in answer.changes:
                    self._apply(msgspec.json.decode(encoded, type=Change))
                self._record_known(self.catalog.revision)


def _change_key(revision: int) -> str:
    return f"{CHANGE_PREFIX}{revision:012d}"
