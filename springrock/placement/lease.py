"""The lease on the placer's row: who may order, under which fence, and until when.

Only durations on the local monotonic clock are used. The holder counts from before it sent the
last renewal that the store confirmed; a challenger from when it first saw that renewal, plus a
margin. Each holder's fence is above all that the lease before had reserved.
"""

from __future__ import annotations

from typing import Protocol

import gevent
import msgspec

from springrock.clock import monotonic
from springrock.eras import era_of, shown, version_in
from springrock.log import Condition, Log
from springrock.placement.placer_row import TABLE, PlacerRow, key_of, placer_row_from
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
"""So long an order may be under way: the time for a connection and for an answer. Where engines do
not look at fences, none may arrive after the lease."""

_STORE_RETRY_DELAY_S = 5.0
"""So long after the store did not answer a renewal linked boxes are asked to write the next."""

_LONGEST_ATTEMPT_S = 1.5
"""So long a renewal takes where the store does not answer: the time for a connection and for an
answer. What took longer tells of a pause of this process."""

_RENEWAL_TRIES = 2
"""A second one where the store says that the row has another version than it answered before, as
it may name that of a later transaction: without it a third of the lease would pass unrenewed."""


_FENCES_OF_AN_ERA = 65_536
"""By so much are fences above those that a store which came back from a copy still knows: it may
have lost a thousand leases with all that each had reserved."""


class PlacerRows(Protocol):
    """The placers' rows as far as they are known."""

    @property
    def era(self) -> int:
        """The store's era of the rows."""

    def current_row(self, key: str) -> Row | None:
        """Return a row; None if there is none.

        Raises:
            RowStoreUnavailable: If nothing current is known.
        """

    def record(self, row: Row) -> None:
        """Learn of a row that is perhaps newer than what was read."""


class PlacerLease:
    """Takes, renews and gives up the lease.

    Args:
        store: The store.
        zone: The availability zone whose engines are placed.
        box: The name of this box.
        address: Where it serves the placer's links.
        incarnation: This process.
        lease_s: How long a lease lasts without a renewal.
        checks_fence: Whether replicas refuse orders with an older fence, so that a holder that
            cannot reach the store may go on: a successor's first order stops it.
        rows: The rows of all zones' placers, as far as they are known.
        relay: Writes renewals where the store does not answer this box; None if nobody can.
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
    ) -> None:
        self._relay = relay
        self._store_failed_at = -_STORE_RETRY_DELAY_S
        self._relay_failed = False
        self._relayed = Condition(
            log,
            begins="Has its lease renewed by linked boxes.",
            ends="Renews its lease itself again.",
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
        self._looked_version = -1
        self._looked_era: int | None = None
        self._returned_at = float("-inf")

    @property
    def fence(self) -> int:
        """The fence under which this box orders; 0 if it does not hold the lease."""
        return self._own.fence if self._own is not None else 0

    @property
    def last_fence(self) -> int:
        """The highest fence that the own lease has reserved; 0 if this box does not hold it."""
        return self._own.row.fence if self._own is not None else 0

    @property
    def holds(self) -> bool:
        """Whether this box may give orders now."""
        if self._own is None:
            return False
        now = monotonic()
        if now < self._held_until - (0.0 if self._checks_fence else _ORDER_TIMEOUT_S):
            return True
        # A pause of this process is no outage: an attempt must have failed since.
        return self._checks_fence and now - self._unanswered_at < self._lease_s / 2

    @property
    def held(self) -> bool:
        """Whether this box took the lease and does not know it lost."""
        return self._own is not None

    @property
    def confirmed(self) -> bool:
        """Whether the store has confirmed that this box holds the lease.

        If not, it was handed over, and its time counts for nothing yet.
        """
        return self._own is not None and self._own.handed is None

    @property
    def version(self) -> int:
        """The version of the row with the own lease."""
        return self._own.version if self._own is not None else ABSENT_VERSION

    @property
    def left_s(self) -> float:
        """Seconds that the own lease stands yet."""
        return max(0.0, self._held_until - monotonic())

    @property
    def store_is_silent(self) -> bool:
        """Whether the store did not answer the last renewal, a short time ago."""
        renewed_at = self._held_until - self._lease_s
        silent_s = monotonic() - self._unanswered_at
        return self._unanswered_at > renewed_at and silent_s < self._lease_s / 2

    def record_heartbeat(self, version: int, left_s: float) -> None:
        """Learn from the holder how long its lease stands; what was sent earlier lapses earlier."""
        self._seen_version = version
        self._seen_at = monotonic() + left_s - self._lease_s

    def renew(self) -> bool:
        """Renew the own lease; return whether it still stands as far as is known."""
        for _ in range(_RENEWAL_TRIES):
            if self._own is None:
                return False
            try:
                self._write_renewal()
            except WrittenInAnotherEra as written:
                return self._resolve_written(written.version)
            except RowStoreUnavailable as error:
                self._say_not_renewed(error)
                return True
            except RowConflict as conflict:
                if not self._resolve_conflict(conflict):
                    return False
            else:
                return True
        return True

    def lose(self, *, reason: str) -> None:
        """Stop holding, as after a refusal of an older fence."""
        if self._own is not None:
            self._log.say(
                "Lost the placer's lease.", row=self._key, fence=self._own.fence, reason=reason
            )
        self._own = None
        self._held_until = 0.0

    def give_up(
        self, *, reason: str, successor: bool, handover_target: HandoverTarget | None = None
    ) -> Successor | None:
        """Let another box take the lease at once.

        Args:
            reason: Why, for the log.
            successor: Whether a box of the zone itself can take it, so that others leave it to it.
            handover_target: Who is to go on if the store does not answer, as nobody can take it
                then.

        Returns:
            The handover, which the linked boxes are to be told; None if there is none.
        """
        own = self._own
        if own is None:
            return None
        handover = self._handover(own, handover_target)
        is_silent = self.store_is_silent
        self.lose(reason=reason)
        if handover is None or not is_silent:
            if not self._checks_fence:
                # What was ordered just before must not arrive after a successor's orders.
                gevent.sleep(_ORDER_TIMEOUT_S)
            if self._free_row(own, successor=successor):
                return None
        if handover is not None:
            self._log.say(
                "Handed the placer's lease over.",
                row=self._key,
                to=handover.box,
                fence=handover.fence,
            )
        return handover

    def adopt(self, handover: Successor) -> bool:
        """Go on under a lease that was handed over to this box; return whether it does.

        It may order only once the store has not answered it either.
        """
        if self._own is not None or not self._checks_fence:
            return False
        if handover.fence <= self._adopted_fence:
            # Heard of once more, after this box has handed it on.
            return False
        self._adopted_fence = handover.fence
        self._own = Tenure.from_handover(handover)
        self._held_until = 0.0
        self._unanswered_at = float("-inf")
        self._log.say(
            "Goes on under a lease that was handed over.", row=self._key, fence=handover.fence
        )
        return True

    def known_row(self) -> PlacerRow | None:
        """Return the row as far as it is known; None if there is none or nothing is known.

        What is known may be older than the row; a challenge then fails by its condition.
        """
        try:
            row = self._rows.current_row(self._key)
        except RowStoreUnavailable:
            self._looked_version = -1
            return None
        self._record_era(self._rows.era)
        absent = version_in(self._rows.era, ABSENT_VERSION)
        self._looked_version = absent if row is None else row.version
        if row is None or row.version > self._seen_version:
            # A heartbeat may have told of a newer one.
            self._record_seen(self._looked_version)
        return None if row is None else placer_row_from(row)

    def challenge(self, existing: PlacerRow | None, *, takeover_delay_s: float = 0.0) -> bool:
        """Take the lease if it is free or lapsed; return whether this box has it now.

        Args:
            existing: The row as `known_row` has just read it.
            takeover_delay_s: How much longer it must have been free, so that others come first.

        The write's condition is the row as it was read, so that its fence is above that of the
        newest row even where a heartbeat told of a version that was never read.
        """
        if not self._free(existing, takeover_delay_s):
            return False
        fence = self._next_fence(existing)
        sent_at = monotonic()
        own = PlacerRow(
            box=self._box,
            incarnation=self._incarnation,
            address=self._address,
            fence=fence + RESERVED_FENCES,
            era=era_of(self._looked_version),
        )
        try:
            version = self._write(own, expected=self._looked_version, writer=self._store)
        except (RowStoreUnavailable, RowConflict) as error:
            self._log.say(
                "Did not get the placer's lease.", row=self._key, fence=fence, error=str(error)
            )
            if isinstance(error, RowConflict) and error.row is not None:
                self._rows.record(error.row)
            return False
        self._own = Tenure.from_row(own, version)
        self._held_until = sent_at + self._lease_s
        self._log.say("Took the placer's lease.", row=self._key, fence=fence)
        return True

    def free_in_s(self, existing: PlacerRow | None) -> float:
        """Return the seconds until a lease that is not renewed may be taken, at the earliest."""
        if existing is None or not existing.incarnation:
            return 0.0
        return max(0.0, self._seen_at + self._lease_s + _MARGIN_S - monotonic())

    def _next_fence(self, existing: PlacerRow | None) -> int:
        """Return a fence above all that were ever given, those of rows that were lost too."""
        known, given_in = (0, 0) if existing is None else (existing.fence, existing.era)
        eras = max(0, era_of(self._looked_version) - given_in)
        return known + 1 + eras * _FENCES_OF_AN_ERA

    def _record_era(self, era: int) -> None:
        """Learn when the store came back from a copy."""
        if self._looked_era is not None and era > self._looked_era:
            self._returned_at = monotonic()
        self._looked_era = era

    def _free(self, existing: PlacerRow | None, takeover_delay_s: float) -> bool:
        if self._seen_version < 0 or self._looked_version < 0:
            return False
        if monotonic() - self._returned_at <= self._lease_s + _MARGIN_S:
            # Whoever held it may have been lost with the row, and writes it again.
            return False
        unchanged_s = monotonic() - self._seen_at
        lapsed = unchanged_s > self._lease_s + _MARGIN_S + takeover_delay_s
        if self._looked_version != self._seen_version:
            # Heard of from its holder, not read yet, or a version that the row does not have.
            return lapsed
        if existing is None:
            return unchanged_s >= takeover_delay_s
        if not existing.incarnation:
            return not existing.successor or unchanged_s >= takeover_delay_s
        if existing.box == self._box and existing.incarnation != self._incarnation:
            # An earlier process of this box: it is gone, or this one could not run.
            return True
        return lapsed

    def _record_seen(self, version: int) -> None:
        if version != self._seen_version:
            self._seen_version = version
            self._seen_at = monotonic()

    def _resolve_conflict(self, conflict: RowConflict) -> bool:
        """Learn from a failed renewal whether an earlier one took effect unanswered."""
        own = self._own
        resolved = None if own is None else self._resolved(own, conflict)
        if own is None or resolved is None:
            self.lose(reason="another box holds it")
            return False
        self._log.say(
            "Found the lease at another version.",
            row=self._key,
            fence=resolved.fence,
            version=shown(resolved.version),
            expected=shown(own.version),
        )
        self._own = resolved
        return True

    def _resolve_written(self, version: int) -> bool:
        """Learn that a renewal met a row of a store that came back from a copy.

        While the lease stands that can only be its own row, as nobody takes it before it lapses.
        """
        own = self._own
        if own is None or self._has_lapsed(own):
            self.lose(reason="the store came back from a copy")
            return False
        self._own = own._replace(version=version)
        return True

    def _has_lapsed(self, own: Tenure) -> bool:
        return own.handed is None and monotonic() >= self._held_until

    def _resolved(self, own: Tenure, conflict: RowConflict) -> Tenure | None:
        row = conflict.row
        existing = None if row is None else placer_row_from(row)
        if row is not None and existing is None:
            return None
        era = era_of(conflict.version)
        if era > era_of(own.version):
            # The store came back from a copy, whose row is older than this lease.
            if self._has_lapsed(own):
                return None
            absent = version_in(era, ABSENT_VERSION)
            return own.reclaimed(existing, absent if row is None else row.version)
        if row is None or existing is None:
            return None
        return own.resolved(existing, row.version)

    def _handover(self, own: Tenure, handover_target: HandoverTarget | None) -> Successor | None:
        """Return the handover to another box; None if none may go on."""
        stands = self.holds or own.handed is not None
        if handover_target is None or not self._checks_fence or not stands:
            return None
        handover = own.handover(handover_target)
        if handover is None:
            self._log.say("Cannot hand over, as no fence is left.", row=self._key, fence=own.fence)
        return handover

    def _free_row(self, own: Tenure, *, successor: bool) -> bool:
        """Write that nobody holds the lease; return whether the store answered."""
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
        renewed = own.renewal()
        sent_at, version = self._renewed(renewed, expected=own.version)
        if self._own is not own:
            # Lost meanwhile, as by a refused order.
            raise RowStoreUnavailable("the lease was given up meanwhile")
        self._own = Tenure.from_row(renewed, version)
        self._held_until = sent_at + self._lease_s

    def _renewed(self, renewed: PlacerRow, *, expected: int) -> tuple[float, int]:
        """Write a renewal by the store or by linked boxes; return when it was sent, and as what.

        Both are asked at the same time, not in turn: heartbeats wait for it, and that must not
        take longer than the silence after which boxes take a placer for lost.
        """
        sent_at = monotonic()
        relay = self._next_relay()
        self._relay_failed = False
        if relay is not None:
            # That the store is silent yet is what lets this box go on if linked boxes say nothing.
            beside = gevent.spawn(self._asked_store, renewed, expected)
            try:
                version = self._write(renewed, expected=expected, writer=relay)
            except RowStoreUnavailable as error:
                self._relay_failed = True
                if not isinstance(error, HelpersSilent):
                    self._record_unanswered(sent_at)
                outcome = beside.get()
            else:
                self._relayed.begin(row=self._key)
                return sent_at, version
        else:
            outcome = self._asked_store(renewed, expected)
        if isinstance(outcome, RowStoreError):
            raise outcome
        self._relayed.end(row=self._key)
        return sent_at, outcome

    def _asked_store(self, renewed: PlacerRow, expected: int) -> int | RowStoreError:
        """Write a renewal; return its version, or what came instead."""
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
        """Learn that the store did not answer a renewal, and so that it is out.

        One that was under way while the lease lapsed tells nothing: this process may have stood
        still, and another box have taken the lease from a store that answers.
        """
        now = monotonic()
        if not sent_at < self._held_until <= now:
            self._unanswered_at = min(now, sent_at + _LONGEST_ATTEMPT_S)

    def _say_not_renewed(self, error: RowStoreUnavailable) -> None:
        self._log.say(
            "Did not renew the placer's lease.",
            row=self._key,
            fence=self.fence,
            left_ms=round(self.left_s * 1000),
            goes_on=self.holds,
            error=str(error),
        )

    def _next_relay(self) -> RowWriter | None:
        """Return the linked boxes if the store did not answer lately and they did; else None."""
        store_fails = monotonic() - self._store_failed_at < _STORE_RETRY_DELAY_S
        return None if self._relay_failed or not store_fails else self._relay

    def _write(self, value: PlacerRow, *, expected: int, writer: RowWriter) -> int:
        return writer.write(TABLE, self._key, msgspec.json.encode(value), expected=expected)
