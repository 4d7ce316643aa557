"""A box's session: a row in the table that the box renews while it runs.

The holder of the session counts its lease from before it *sent* a renewal. A challenger, a box that
wants to take over the holder's replicas, counts from when it *first saw* the last renewal, and adds
a margin. Each uses its own monotonic clock. So the lease ends before any challenger may act, even
if messages are delayed or a process is paused.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent
import msgspec
from gevent.event import Event
from gevent.lock import RLock

from springrock.clock import monotonic
from springrock.coordination.stored import stored_value
from springrock.errors import PlatformUnavailable, TransactionConflict
from springrock.ids import new_id
from springrock.log import Condition, Log
from springrock.plugins import Platform
from springrock.settings import LeaseSection
from springrock.wire.platform import ABSENT, Check, Put, Row, Transaction

SESSION_PREFIX = "session/"


class SessionValue(msgspec.Struct, frozen=True, array_like=True):
    """The value of a session row."""

    box: str
    zone: str
    incarnation: str
    peer_address: str
    renewal: int
    stopping: bool = False


def key_of(value: SessionValue) -> str:
    """Return the key of a session's row."""
    return f"{SESSION_PREFIX}{value.zone}/{value.box}/{value.incarnation}"


class Session:
    """Holds and renews this box's session.

    Args:
        platform: The platform client.
        lease: How often to renew and when the lease lapses.
        box: The name of this box.
        zone: Its availability zone.
        log: The log to write to.
        on_lost: Called when the session row was deleted; this box owns no replica any more.
    """

    def __init__(
        self,
        platform: Platform,
        lease: LeaseSection,
        *,
        box: str,
        zone: str,
        log: Log,
        on_lost: Callable[[], None] = lambda: None,
    ) -> None:
        self._platform = platform
        self._lease = lease
        self._log = log
        self._on_lost = on_lost
        self._renewal_failure = Condition(
            log, begins="Cannot renew the session.", ends="The session is renewed again."
        )
        self._lock = RLock()
        self._version = ABSENT
        self._held_until = 0.0
        self._task: gevent.Greenlet[..., Any] | None = None
        self._stop_requested = Event()
        self.renewed_at = 0.0
        self.box = box
        self.value = SessionValue(box, zone, new_id(), "", 0)

    @property
    def key(self) -> str:
        """The key of the session's row; each incarnation has a row of its own."""
        return key_of(self.value)

    @property
    def incarnation(self) -> str:
        """The identifier of this run of the session; it changes when a lost session restarts."""
        return self.value.incarnation

    @property
    def held(self) -> bool:
        """Whether the lease is valid, so that no challenger may regard it as lapsed."""
        return monotonic() < self._held_until

    @property
    def table_answer_age_s(self) -> float:
        """Seconds since the sending of the last renewal that the table confirmed."""
        return monotonic() - self.renewed_at

    def start(self, *, peer_address: str) -> None:
        """Start renewing in the background."""
        self.value = msgspec.structs.replace(self.value, peer_address=peer_address)
        self._task = gevent.spawn(self._renew_loop)

    def stop(self) -> None:
        """Stop renewing, and delete the row if the table can be reached."""
        self._stop_requested.set()
        if self._task is not None:
            self._task.kill()
        self._held_until = 0.0
        with self._lock:
            try:
                self._platform.transact(
                    Transaction(checks=[Check(self.key, self._version)], deletes=[self.key])
                )
            except PlatformUnavailable:
                self._log.info("Could not delete the session row; the session will lapse.")

    def announce_stopping(self) -> None:
        """Mark the session row as stopping, for the other boxes to read."""
        self.value = msgspec.structs.replace(self.value, stopping=True)
        self.renew()

    def renew(self) -> bool:
        """Renew once; return whether the table confirmed the renewal."""
        with self._lock:
            try:
                self.commit(Transaction())
            except (PlatformUnavailable, TransactionConflict) as error:
                self._renewal_failure.begin(error=str(error))
                return False
            self._renewal_failure.end()
            return True

    def commit(self, transaction: Transaction) -> int:
        """Execute a transaction on the condition that this session exists, and renew with it.

        Returns:
            The version of the rows written.

        Raises:
            TransactionConflict: If a check failed, the session's own included.
            PlatformUnavailable: If the outcome is unknown.
        """
        with self._lock:
            sent_at = monotonic()
            value = msgspec.structs.replace(self.value, renewal=self.value.renewal + 1)
            own_put = Put(self.key, msgspec.json.encode(value))
            answer = self._platform.transact(
                Transaction(
                    checks=[Check(self.key, self._version), *transaction.checks],
                    puts=[own_put, *transaction.puts],
                    deletes=transaction.deletes,
                )
            )
            if not answer.committed:
                self._resolve_conflict(answer.failed)
                raise TransactionConflict(tuple(row.key for row in answer.failed))
            self._record_confirmed(value, answer.version, sent_at)
            return answer.version

    def _record_confirmed(self, value: SessionValue, version: int, sent_at: float) -> None:
        self.value = value
        self._version = version
        self._held_until = sent_at + self._lease.lapse_after_s
        self.renewed_at = sent_at

    def _resolve_conflict(self, failed: list[Row]) -> None:
        """Adopt the state of the session row after a failed check.

        An earlier renewal may have taken effect without an answer, or the row may be deleted.
        """
        for row in failed:
            if row.key != self.key:
                continue
            if row.version == ABSENT:
                self._restart()
                return
            existing = stored_value(row.value, SessionValue)
            self._version = row.version
            self.value = msgspec.structs.replace(self.value, renewal=existing.renewal)

    def _restart(self) -> None:
        self._version = ABSENT
        self._held_until = 0.0
        self.value = msgspec.structs.replace(self.value, incarnation=new_id(), renewal=0)
        self._log.info("The session row was deleted; started a new session.")
        self._on_lost()

    def _renew_loop(self) -> None:
        while not self._stop_requested.is_set():
            renewed = self.renew()
            pause_s = self._lease.renew_every_s if renewed else self._lease.renew_every_s / 3
            self._stop_requested.wait(timeout=pause_s)
