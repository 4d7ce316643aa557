"""The lease on a zone's placer row: which box may give orders, with which fence, and until when.

Only durations on the local monotonic clock are compared. The holder measures the lease from before
it sent the last renewal that the store confirmed. A challenger measures it from when it first saw
that renewal, plus a margin. Each holder's fence is higher than every fence that the previous lease
had reserved.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import gevent
import msgspec

from springrock.clock import monotonic
from springrock.eras import era_of, format_version, version_in
from springrock.log import Condition, Log
from springrock.placement.placer_row import (
    TABLE,
    PlacerRow,
    SoftwareReport,
    key_of,
    placer_row_from,
)
from springrock.placement.succession import RESERVED_FENCES, HandoverTarget, Successor, Tenure
from springrock.rows import (
    ABSENT_VERSION,
    HelpersSilent,
    Row,
    RowConflict,
    RowStore,
    RowStoreError,
    RowStoreUnavailable,
    RowWriter,
    WrittenInAnotherEra,
)

_MARGIN_S = 0.3
_ORDER_TIMEOUT_S = 0.65
"""Longest time that an order to an engine is in flight: the connect and response timeouts together.
Where engines do not check fences, no order may arrive after the lease has expired."""

_RELAY_PERIOD_S = 5.0
"""How long renewals are also sent through linked boxes after the store failed to answer one."""

_LONGEST_ATTEMPT_S = 1.5
"""Longest time that a renewal takes if the store does not answer: the connect and response timeouts
together. An attempt that took longer was prolonged by a pause of this process."""

_RENEWAL_TRIES = 2
"""A renewal is retried once on a version conflict: the store may have answered the previous write
with the version of a later transaction. Without the retry the lease would stay unrenewed for a
third of its duration."""

_FENCES_PER_ERA = 65_536
"""How far fences are raised for each time the store was restored from a copy: a restore may lose a
thousand leases with all the fences that each had reserved."""


class PlacerRows(Protocol):
    """The last known placer rows of all zones."""

    @property
    def era(self) -> int:
        """The era of the store that the rows were read in."""

    def current_row(self, key: str) -> Row | None:
        """Return a row; None if there is none.

        Raises:
            RowStoreUnavailable: If the rows were not read recently enough.
        """

    def record(self, row: Row) -> None:
        """Record a row that may be newer than the last one read."""


class PlacerLease:
    """Acquires, renews and releases the lease.

    Args:
        store: The store.
        zone: The availability zone whose engines are placed under the lease.
        box: The name of this box.
        address: The address at which this box accepts links as the placer.
        incarnation: The id of this process.
        lease_s: How long a lease lasts without a renewal.
        checks_fence: Whether replicas refuse orders with an older fence. If so, a holder that
            cannot reach the store may continue: a successor's first order stops it.
        rows: The last known placer rows of all zones.
        relay: Writes renewals through other boxes if the store does not answer this one; None if
            renewals cannot be relayed.
        software: Returns what renewals report of software versions.
        log: The log to write to.
    """

    def __init__(
        self,
        store: RowStore,
        *,
        zone: str,
        box: str,
        address: str,
        incarnation: str,
        lease_s: float,
        checks_fence: bool,
        rows: PlacerRows,
        log: Log,
        relay: RowWriter | None = None,
        software: Callable[[], SoftwareReport | None] = lambda: None,
    ) -> None:
        self._software = software
        self._relay = relay
        self._store_failed_at = -_RELAY_PERIOD_S
        self._relay_failed = False
        self._relayed = Condition(
            log,
            begins="Renewing the placer's lease through linked boxes.",
            ends="Renewing the placer's lease directly again.",
        )
        self._store = store
        self._rows = rows
        self._key = key_of(zone)
        self._box = box
        self._incarnation = incarnation
        self._lease_s = lease_s
        self._checks_fence = checks_fence
        self._log = log
        self._address = address
        self._held_until = 0.0
        self._unanswered_at = 0.0
        self._own: Tenure | None = None
        self._adopted_fence = 0
        self._seen_version = -1
        self._seen_at = 0.0
        self._read_version = -1
        self._read_era: int | None = None
        self._restored_at = float("-inf")

    @property
    def fence(self) -> int:
        """The fence of this box's orders; 0 if it does not hold the lease."""
        return self._own.fence if self._own is not None else 0

    @property
    def last_fence(self) -> int:
        """The highest fence reserved by this box's lease; 0 if it does not hold the lease."""
        return self._own.row.fence if self._own is not None else 0

    @property
    def may_order(self) -> bool:
        """Whether this box may give orders now."""
        if self._own is None:
            return False
        now = monotonic()
        if now < self._held_until - (0.0 if self._checks_fence else _ORDER_TIMEOUT_S):
            return True
        # Only a renewal that failed since shows an outage: this process may have been paused.
        return self._checks_fence and now - self._unanswered_at < self._lease_s / 2

    @property
    def held(self) -> bool:
        """Whether this box acquired the lease and has not found it lost; it may have expired."""
        return self._own is not None

    @property
    def confirmed(self) -> bool:
        """Whether the store has confirmed that this box holds the lease.

        A lease that was handed over is unconfirmed, and has no expiry, until the first renewal.
        """
        return self._own is not None and self._own.unconfirmed_handover is None

    @property
    def version(self) -> int:
        """The version of the row that holds this box's lease."""
        return self._own.version if self._own is not None else ABSENT_VERSION

    @property
    def left_s(self) -> float:
        """Seconds until this box's lease expires."""
        return max(0.0, self._held_until - monotonic())

    @property
    def store_is_silent(self) -> bool:
        """Whether the last renewal went unanswered within the last half of a lease."""
        renewed_at = self._held_until - self._lease_s
        silent_s = monotonic() - self._unanswered_at
        return self._unanswered_at > renewed_at and silent_s < self._lease_s / 2

    def record_heartbeat(self, version: int, left_s: float) -> None:
        """Record the remaining time of another box's lease, as stated in its heartbeat.

        The holder counts the lease from when it sent its last renewal, so that the expiry recorded
        here may be earlier than one lease after the renewal was first seen.

        Args:
            version: The version of the holder's row.
            left_s: Seconds until the lease expires, as of now.
        """
        self._seen_version = version
        self._seen_at = monotonic() + left_s - self._lease_s

    def renew(self) -> bool:
        """Renew this box's lease; return False if it is known to be lost.

        A renewal that the store does not answer returns True.
        """
        for _ in range(_RENEWAL_TRIES):
            if self._own is None:
                return False
            try:
                self._write_renewal()
            except WrittenInAnotherEra as written:
                return self._resolve_written(written.version)
            except RowStoreUnavailable as error:
                self._log_not_renewed(error)
                return True
            except RowConflict as conflict:
                if not self._resolve_conflict(conflict):
                    return False
            else:
                return True
        return True

    def record_lost(self, *, reason: str) -> None:
        """Drop the lease without writing to the store, as after an engine refused an older fence.

        Args:
            reason: The reason to log.
        """
        if self._own is not None:
            self._log.info(
                "Lost the placer's lease.", row=self._key, fence=self._own.fence, reason=reason
            )
        self._own = None
        self._held_until = 0.0

    def release(
        self, *, reason: str, successor: bool, handover_target: HandoverTarget | None = None
    ) -> Successor | None:
        """Release the lease so that another box can acquire it at once.

        Args:
            reason: The reason to log.
            successor: Whether a box of the zone itself can acquire it. Boxes of other zones then
                wait before they challenge.
            handover_target: The box that continues under the lease if the store does not answer,
                as no box can acquire the lease then.

        Returns:
            The handover to announce to the linked boxes; None if the lease was not handed over.
        """
        own = self._own
        if own is None:
            return None
        handover = self._handover(own, handover_target)
        is_silent = self.store_is_silent
        self.record_lost(reason=reason)
        if handover is None or not is_silent:
            if not self._checks_fence:
                # Orders still in flight must not arrive after a successor's orders.
                gevent.sleep(_ORDER_TIMEOUT_S)
            if self._release_row(own, successor=successor):
                return None
        if handover is not None:
            self._log.info(
                "Handed the placer's lease over.",
                row=self._key,
                to=handover.box,
                fence=handover.fence,
            )
        return handover

    def adopt(self, handover: Successor) -> bool:
        """Continue under a lease that was handed over to this box; return whether it does.

        This box may give orders only after the store has failed to answer its renewal too.
        """
        if self._own is not None or not self._checks_fence:
            return False
        if handover.fence <= self._adopted_fence:
            # A repeated announcement, received after this box has handed the lease on.
            return False
        self._adopted_fence = handover.fence
        self._own = Tenure.from_handover(handover)
        self._held_until = 0.0
        self._unanswered_at = float("-inf")
        self._log.info(
            "Continues under a lease that was handed over.", row=self._key, fence=handover.fence
        )
        return True

    def known_row(self) -> PlacerRow | None:
        """Return the last known row; None if there is none or no recent reading.

        The store's row may be newer. The conditional write of a challenge fails then.
        """
        try:
            row = self._rows.current_row(self._key)
        except RowStoreUnavailable:
            self._read_version = -1
            return None
        self._record_era(self._rows.era)
        absent = version_in(self._rows.era, ABSENT_VERSION)
        self._read_version = absent if row is None else row.version
        if row is None or row.version > self._seen_version:
            # A heartbeat may already have named a newer version than the reading.
            self._record_seen(self._read_version)
        return None if row is None else placer_row_from(row)

    def challenge(self, existing: PlacerRow | None, *, takeover_delay_s: float = 0.0) -> bool:
        """Acquire the lease if it is free or expired; return whether this box holds it now.

        Args:
            existing: The row that `known_row` has just returned.
            takeover_delay_s: How much longer the lease must have been free, so that preferred
                boxes can acquire it first.

        The write is conditional on the version that was read, not on one that a heartbeat named.
        So its fence is higher than that of the newest row.
        """
        if not self._is_free(existing, takeover_delay_s):
            return False
        fence = self._next_fence(existing)
        sent_at = monotonic()
        own = PlacerRow(
            box=self._box,
            incarnation=self._incarnation,
            address=self._address,
            fence=fence + RESERVED_FENCES,
            era=era_of(self._read_version),
        )
        try:
            version = self._write(own, expected=self._read_version, writer=self._store)
        except (RowStoreUnavailable, RowConflict) as error:
            self._log.info(
                "Could not acquire the placer's lease.",
                row=self._key,
                fence=fence,
                error=str(error),
            )
            if isinstance(error, RowConflict) and error.row is not None:
                self._rows.record(error.row)
            return False
        self._own = Tenure.from_row(own, version)
        self._held_until = sent_at + self._lease_s
        self._log.info("Acquired the placer's lease.", row=self._key, fence=fence)
        return True

    def free_in_s(self, existing: PlacerRow | None) -> float:
        """Return the seconds until the lease can be acquired if it is not renewed."""
        if existing is None or not existing.incarnation:
            return 0.0
        return max(0.0, self._seen_at + self._lease_s + _MARGIN_S - monotonic())

    def _next_fence(self, existing: PlacerRow | None) -> int:
        """Return a fence above all issued ones, including those lost by a restore of the store."""
        known, issued_in = (0, 0) if existing is None else (existing.fence, existing.era)
        eras = max(0, era_of(self._read_version) - issued_in)
        return known + 1 + eras * _FENCES_PER_ERA

    def _record_era(self, era: int) -> None:
        """Record the store's era; a higher one means that it was restored from a copy."""
        if self._read_era is not None and era > self._read_era:
            self._restored_at = monotonic()
        self._read_era = era

    def _is_free(self, existing: PlacerRow | None, takeover_delay_s: float) -> bool:
        if self._seen_version < 0 or self._read_version < 0:
            return False
        if monotonic() - self._restored_at <= self._lease_s + _MARGIN_S:
            # The restore may have removed the holder's row; the holder then writes it again.
            return False
        unchanged_s = monotonic() - self._seen_at
        expired = unchanged_s > self._lease_s + _MARGIN_S + takeover_delay_s
        if self._read_version != self._seen_version:
            # A heartbeat named a version that was not read yet, or that the row does not have.
            return expired
        if existing is None:
            return unchanged_s >= takeover_delay_s
        if not existing.incarnation:
            return not existing.successor or unchanged_s >= takeover_delay_s
        if existing.box == self._box and existing.incarnation != self._incarnation:
            # Held by an earlier process of this box, which must have ended for this one to run.
            return True
        return expired

    def _record_seen(self, version: int) -> None:
        if version != self._seen_version:
            self._seen_version = version
            self._seen_at = monotonic()

    def _resolve_conflict(self, conflict: RowConflict) -> bool:
        """Resolve a conflicting renewal; return whether this box still holds the lease.

        The conflict may come from an earlier renewal that took effect but was not answered.
        """
        own = self._own
        resolved = None if own is None else self._resolve_row(own, conflict)
        if own is None or resolved is None:
            self.record_lost(reason="another box holds it")
            return False
        self._log.info(
            "Found the lease at another version.",
            row=self._key,
            fence=resolved.fence,
            version=format_version(resolved.version),
            expected=format_version(own.version),
        )
        self._own = resolved
        return True

    def _resolve_written(self, version: int) -> bool:
        """Handle a renewal that took effect in a store restored from a copy.

        Until the lease expires, the overwritten row can only be this box's own: no other box
        acquires the lease before. Returns whether this box still holds the lease.
        """
        own = self._own
        if own is None or self._has_expired(own):
            self.record_lost(reason="the store was restored from a copy")
            return False
        self._own = own._replace(version=version)
        return True

    def _has_expired(self, own: Tenure) -> bool:
        return own.unconfirmed_handover is None and monotonic() >= self._held_until

    def _resolve_row(self, own: Tenure, conflict: RowConflict) -> Tenure | None:
        row = conflict.row
        existing = None if row is None else placer_row_from(row)
        if row is not None and existing is None:
            return None
        era = era_of(conflict.version)
        if era > era_of(own.version):
            # The store was restored from a copy whose row is older than this lease.
            if self._has_expired(own):
                return None
            absent = version_in(era, ABSENT_VERSION)
            return own.reclaimed(existing, absent if row is None else row.version)
        if row is None or existing is None:
            return None
        return own.resolved(existing, row.version)

    def _handover(self, own: Tenure, handover_target: HandoverTarget | None) -> Successor | None:
        """Return the handover to another box; None if the lease cannot be handed over."""
        may_continue = self.may_order or own.unconfirmed_handover is not None
        if handover_target is None or not self._checks_fence or not may_continue:
            return None
        handover = own.handover(handover_target)
        if handover is None:
            self._log.info(
                "Cannot hand the placer's lease over: no reserved fence is left.",
                row=self._key,
                fence=own.fence,
            )
        return handover

    def _release_row(self, own: Tenure, *, successor: bool) -> bool:
        """Write the row without a holder; return whether the store answered."""
        free = msgspec.structs.replace(
            own.row, incarnation="", renewal=own.row.renewal + 1, successor=successor
        )
        try:
            self._write(free, expected=own.version, writer=self._store)
        except RowConflict:
            return True
        except RowStoreUnavailable:
            return False
        return True

    def _write_renewal(self) -> None:
        own = self._own
        assert own is not None
        renewed = msgspec.structs.replace(own.renewal(), software=self._software())
        sent_at, version = self._send_renewal(renewed, expected=own.version)
        if self._own is not own:
            # Lost during the write, for example because an engine refused an order.
            raise RowStoreUnavailable("the lease was released while its renewal was in flight")
        self._own = Tenure.from_row(renewed, version)
        self._held_until = sent_at + self._lease_s

    def _send_renewal(self, renewed: PlacerRow, *, expected: int) -> tuple[float, int]:
        """Write a renewal directly or through linked boxes; return its send time and version.

        Both writes are sent at the same time, not one after the other. Heartbeats wait for the
        renewal, which must not take longer than the timeout after which boxes treat a placer as
        lost.
        """
        sent_at = monotonic()
        relay = self._next_relay()
        self._relay_failed = False
        if relay is not None:
            # If the linked boxes do not answer either, this box may continue only because the
            # direct write shows that the store is still unresponsive.
            direct_write = gevent.spawn(self._renew_at_store, renewed, expected)
            try:
                version = self._write(renewed, expected=expected, writer=relay)
            except RowStoreUnavailable as error:
                self._relay_failed = True
                if not isinstance(error, HelpersSilent):
                    self._record_unanswered(sent_at)
                outcome = direct_write.get()
            else:
                self._relayed.begin(row=self._key)
                return sent_at, version
        else:
            outcome = self._renew_at_store(renewed, expected)
        if isinstance(outcome, RowStoreError):
            raise outcome
        self._relayed.end(row=self._key)
        return sent_at, outcome

    def _renew_at_store(self, renewed: PlacerRow, expected: int) -> int | RowStoreError:
        """Write a renewal to the store itself; return its version, or the error."""
        sent_at = monotonic()
        try:
            return self._write(renewed, expected=expected, writer=self._store)
        except (RowConflict, WrittenInAnotherEra) as outcome:
            return outcome
        except RowStoreUnavailable as error:
            self._store_failed_at = sent_at
            self._record_unanswered(sent_at)
            return error

    def _record_unanswered(self, sent_at: float) -> None:
        """Record that the store did not answer a renewal, which is treated as an outage.

        A renewal that was in flight when the lease expired is not counted: this process may have
        been paused, while another box acquired the lease from a store that answers.
        """
        now = monotonic()
        if not sent_at < self._held_until <= now:
            self._unanswered_at = min(now, sent_at + _LONGEST_ATTEMPT_S)

    def _log_not_renewed(self, error: RowStoreUnavailable) -> None:
        self._log.info(
            "Did not renew the placer's lease.",
            row=self._key,
            fence=self.fence,
            left_ms=round(self.left_s * 1000),
            goes_on=self.may_order,
            error=str(error),
        )

    def _next_relay(self) -> RowWriter | None:
        """Return the relay if the store recently failed to answer and the last relay did not fail.

        Returns None otherwise.
        """
        store_fails = monotonic() - self._store_failed_at < _RELAY_PERIOD_S
        return None if self._relay_failed or not store_fails else self._relay

    def _write(self, value: PlacerRow, *, expected: int, writer: RowWriter) -> int:
        return writer.write(TABLE, self._key, msgspec.json.encode(value), expected=expected)
