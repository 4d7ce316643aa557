"""The configuration feed: reads the numbered changes from the table and commits new ones.

In each zone one box, the reader, polls the head row every second and notifies its peers. Every
other box also polls, less often. A box that cannot read the table fetches changes from a peer.
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
from springrock.coordination.stored import stored_value
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
_MAX_RECENT_CHANGES = 1_000
_MAX_COMMIT_ATTEMPTS = 40
_MAX_BEHIND_S = 5.0
_COMMIT_RETRY_DELAY_S = 0.05


class HeadValue(msgspec.Struct, frozen=True, array_like=True):
    """The value of the head row: the newest revision, and the newest snapshot's revision."""

    revision: int
    snapshot_revision: int


class Feed:
    """Keeps this box's catalog at the newest revision.

    Args:
        platform: The platform client.
        settings: How often to poll.
        box: The name of this box.
        zone: Its availability zone.
        members: The view of all boxes, from which the zone's reader is chosen.
        peers: The links to the other boxes.
        log: The log to write to.
        metrics: The metrics to count in.
        on_change: Called after each applied change.
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
        self._read_failure = Condition(
            log,
            begins="Cannot read the configuration.",
            ends="The configuration is readable again.",
        )
        self._lock = RLock()
        self._head_version = ABSENT
        self._head = HeadValue(0, 0)
        self._newest_known_revision = 0
        self._behind_since: float | None = None
        self._wake = Event()
        self._task: gevent.Greenlet[..., Any] | None = None
        self.recent: deque[Change] = deque(maxlen=_MAX_RECENT_CHANGES)
        self.catalog = Catalog()
        self.loaded = False
        peers.handle(wire.Head, self._on_head)
        peers.handle(wire.FetchChanges, self._on_fetch)
        peers.on_link.append(self._send_head)

    def start(self) -> None:
        """Start the background task that follows the configuration."""
        self._task = gevent.spawn(self._follow_loop)

    def stop(self) -> None:
        """Stop the background task."""
        if self._task is not None:
            self._task.kill()

    @property
    def is_current(self) -> bool:
        """Whether the catalog is recent enough to serve requests.

        False before the first load, and once a newer revision has been known for
        `_MAX_BEHIND_S` but could not be loaded.
        """
        if not self.loaded:
            return False
        if self._behind_since is None:
            return True
        return monotonic() - self._behind_since < _MAX_BEHIND_S

    def sync(self) -> None:
        """Update the catalog to the revision of the head row.

        Raises:
            PlatformUnavailable: If the platform cannot be read.
        """
        with self._lock:
            rows = self._platform.rows(HEAD_KEY)
            if rows:
                self._head_version = rows[0].version
                self._head = stored_value(rows[0].value, HeadValue)
            if self.catalog.revision < self._head.snapshot_revision:
                self._load_snapshot()
            if self.catalog.revision < self._head.revision:
                self._load_changes()
            self.loaded = True
            self._record_known(self._head.revision)

    def commit(self, build: Callable[[Catalog], Change], *, expects: dict[str, int]) -> int:
        """Commit a change, unless its command was committed before.

        Args:
            build: Builds the change from the newest catalog; its revision is set by this method.
                It may raise StatementError.
            expects: The revisions at which the operator read the entities, by key.

        Returns:
            The revision of the change, also if it was committed before.

        Raises:
            ConfigurationConflict: If a key of `expects` has changed since that revision.
            PlatformUnavailable: If the platform cannot be reached; a retry with the same
                command id is safe.
            StatementError: If other changes were committed first at every attempt.
        """
        for _ in range(_MAX_COMMIT_ATTEMPTS):
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
            gevent.sleep(_COMMIT_RETRY_DELAY_S)
        raise StatementError("too many other changes at this moment; repeat the statement")

    def find_command(self, command_id: str) -> Change | None:
        """Return the change that a command committed, if it is among the recent changes."""
        return next((item for item in self.recent if item.command_id == command_id), None)

    def last_change_of(self, key: str) -> Change | None:
        """Return the newest of the recent changes that wrote or deleted a key."""
        return next((item for item in reversed(self.recent) if key in item.keys), None)

    def _check_expectations(self, expects: dict[str, int]) -> None:
        for key, seen in expects.items():
            if self.catalog.revision_of(key) == seen:
                continue
            conflicting = self.last_change_of(key)
            text = (
                f"{conflicting.who} in revision {conflicting.revision}"
                if conflicting
                else "another operator"
            )
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
                deletes=self._obsolete_change_keys(head) if snapshot_due else [],
            )
        )
        return answer.committed

    def _obsolete_change_keys(self, head: HeadValue) -> list[str]:
        """Return the keys of the changes up to the previous snapshot, which are not read again."""
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
        self._restore_recent_changes()

    def _restore_recent_changes(self) -> None:
        """Add the changes that the snapshot includes, so that `find_command` finds retries."""
        for row in self._platform.rows(CHANGE_PREFIX):
            change = stored_value(row.value, Change)
            if change.revision <= self.catalog.revision:
                self.recent.append(change)

    def _load_changes(self) -> None:
        for row in self._change_rows():
            self._apply(stored_value(row.value, Change))

    def _change_rows(self) -> list[Row]:
        """Read the rows of newer changes, by the longest prefix that their keys share."""
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
        self._log.info(
            "Applied a change.",
            revision=change.revision,
            who=change.who,
            statement=change.statement,
        )
        self._on_change()

    def _record_known(self, revision: int) -> None:
        self._newest_known_revision = max(self._newest_known_revision, revision)
        if self.catalog.revision >= self._newest_known_revision:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = monotonic()

    # Following the head row.

    def _follow_loop(self) -> None:
        while True:
            before = self.catalog.revision
            try:
                self.sync()
                self._read_failure.end()
            except PlatformUnavailable as error:
                self._read_failure.begin(error=str(error))
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

    def _send_head(self, link: Link) -> None:
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
        """Apply changes from peers, if a newer revision is known but the table is unreadable."""
        if self._newest_known_revision <= self.catalog.revision:
            return
        for link in self._peers.links():
            try:
                question = wire.FetchChanges(0, self.catalog.revision)
                answer = link.ask(question, wire.Changes, timeout_s=1.0)
            except PeerUnreachable:
                continue
            with self._lock:
                for encoded in answer.changes:
                    self._apply(stored_value(encoded, Change))
                self._record_known(self.catalog.revision)


def _change_key(revision: int) -> str:
    return f"{CHANGE_PREFIX}{revision:012d}"
