"""Claims: run a request that is not repeatable at most once, across boxes and retries.

Before a box sends such a request that has an identifier, it writes a claim row to the table.
Claims are written in batches, one transaction each. If some claims of a batch exist already, only
these fail, and the others are written in another transaction.
"""

from __future__ import annotations

from typing import Any

import gevent
import msgspec
from expression import Error, Ok, Result
from gevent.event import AsyncResult, Event

from springrock.errors import Cause, PlatformUnavailable, Refusal, RunState
from springrock.ids import new_id
from springrock.plugins import Platform
from springrock.strict_json import MalformedJson, decode_json
from springrock.wire.platform import ABSENT, Check, Put, Row, Transaction

CLAIM_PREFIX = "claim/"
_BATCH_LIMIT = 128
_BATCH_WINDOW_S = 0.002
_OUTAGE_RETRY_AFTER_S = 5.0


class ClaimValue(msgspec.Struct, frozen=True, array_like=True):
    """The value of a claim row.

    Attributes:
        nonce: Identifies the write, so that its writer recognizes it if the answer was lost.
        box: The box that claimed the request.
    """

    nonce: str
    box: str


class _PendingClaim:
    def __init__(self, key: str, box: str) -> None:
        self.key = key
        self.value = ClaimValue(new_id(), box)
        self.result: AsyncResult[Result[None, Refusal]] = AsyncResult()

    @property
    def put(self) -> Put:
        return Put(self.key, msgspec.json.encode(self.value))

    def resolve(self, rows: dict[str, Row]) -> None:
        """Set the result from the existing claim row: Ok if this claim wrote it."""
        row = rows[self.key]
        existing = _claim_in(row)
        if existing is not None and existing.nonce == self.value.nonce:
            self.result.set(Ok(None))
        else:
            self.result.set(Error(_already_claimed_refusal(existing)))


class Claims:
    """Writes the claims of one box in batches.

    Args:
        platform: The platform client.
        box: The name of this box.
    """

    def __init__(self, platform: Platform, *, box: str) -> None:
        self._platform = platform
        self._box = box
        self._pending_claims: list[_PendingClaim] = []
        self._has_pending = Event()
        self._writer: gevent.Greenlet[..., Any] | None = None
        self.transactions = 0
        self.claimed = 0

    def start(self) -> None:
        """Start the background task that writes claims."""
        self._writer = gevent.spawn(self._write_loop)

    def stop(self) -> None:
        """Stop the background task."""
        if self._writer is not None:
            self._writer.kill()

    def claim(self, request_id: str) -> Result[None, Refusal]:
        """Claim a request and wait for the outcome; Ok if it had not been claimed before."""
        pending = _PendingClaim(f"{CLAIM_PREFIX}{request_id}", self._box)
        self._pending_claims.append(pending)
        self._has_pending.set()
        result = pending.result.get()
        assert result is not None
        return result

    def release(self, request_id: str) -> None:
        """Delete this box's claim of a request that was certainly not run.

        If the platform cannot be reached, the claim row remains and a repeat of the request is
        refused as already claimed, which is safe.
        """
        key = f"{CLAIM_PREFIX}{request_id}"
        try:
            rows = {row.key: row for row in self._platform.rows(key)}
            row = rows.get(key)
            if row is None:
                return
            claim = _claim_in(row)
            if claim is None or claim.box != self._box:
                return
            self._platform.transact(Transaction(checks=[Check(key, row.version)], deletes=[key]))
        except PlatformUnavailable:
            return

    def _write_loop(self) -> None:
        while True:
            self._has_pending.wait()
            gevent.sleep(_BATCH_WINDOW_S)
            batch = self._pending_claims[:_BATCH_LIMIT]
            del self._pending_claims[:_BATCH_LIMIT]
            if not self._pending_claims:
                self._has_pending.clear()
            self._write(_refuse_duplicates(batch))

    def _write(self, batch: list[_PendingClaim]) -> None:
        while batch:
            try:
                batch = self._write_once(batch)
            except PlatformUnavailable:
                self._refuse_unconfirmed(batch)
                return

    def _write_once(self, batch: list[_PendingClaim]) -> list[_PendingClaim]:
        """Write a batch in one transaction; return the claims that must be written again."""
        self.transactions += 1
        answer = self._platform.transact(
            Transaction(
                checks=[Check(pending.key, ABSENT) for pending in batch],
                puts=[pending.put for pending in batch],
            )
        )
        if answer.committed:
            self.claimed += len(batch)
            for pending in batch:
                pending.result.set(Ok(None))
            return []
        failed = {row.key: row for row in answer.failed}
        for pending in batch:
            if pending.key in failed:
                pending.resolve(failed)
        return [pending for pending in batch if pending.key not in failed]

    def _refuse_unconfirmed(self, batch: list[_PendingClaim]) -> None:
        """Refuse the requests of a batch whose transaction got no answer.

        No request of the batch has been sent, so "not run" is correct whether or not the write
        took effect. A claim that was written after all would block a repeat of its request, so
        it is deleted in the background.
        """
        for pending in batch:
            pending.result.set(Error(_platform_unavailable_refusal()))
            gevent.spawn(self._delete_claim, pending)

    def _delete_claim(self, pending: _PendingClaim) -> None:
        """Retry until the table answers, and delete the claim row if the write took effect."""
        while True:
            gevent.sleep(1.0)
            try:
                rows = {row.key: row for row in self._platform.rows(pending.key)}
                row = rows.get(pending.key)
                if row is None:
                    return
                if _claim_in(row) != pending.value:
                    return
                check = Check(pending.key, row.version)
                self._platform.transact(Transaction(checks=[check], deletes=[pending.key]))
                return
            except PlatformUnavailable:
                continue


def _refuse_duplicates(batch: list[_PendingClaim]) -> list[_PendingClaim]:
    """Refuse all but the first claim of each request; return the claims that remain."""
    first: dict[str, _PendingClaim] = {}
    for pending in batch:
        existing = first.setdefault(pending.key, pending)
        if existing is not pending:
            pending.result.set(Error(_already_claimed_refusal(existing.value)))
    return list(first.values())


def _already_claimed_refusal(existing: ClaimValue | None) -> Refusal:
    """Return the refusal of a request whose row holds a claim, or None for a malformed one."""
    holder = "a malformed row" if existing is None else f"box {existing.box}"
    detail = f"the request was taken before, by {holder}; its outcome is not known here"
    return Refusal(Cause.ALREADY_CLAIMED, detail, RunState.UNKNOWN)


def _platform_unavailable_refusal() -> Refusal:
    detail = "a request that is not repeatable cannot be claimed while the platform is unavailable"
    return Refusal(Cause.PLATFORM_UNAVAILABLE, detail, RunState.NOT_RUN, _OUTAGE_RETRY_AFTER_S)


def _claim_in(row: Row) -> ClaimValue | None:
    """Return the claim in a row; None if it is malformed, and so none that a box has written."""
    try:
        return decode_json(row.value, ClaimValue)
    except MalformedJson:
        return None
