"""Claims: at most one run of a request that is not repeatable, across boxes and retries.

Before such a request with an identifier is sent, its claim is written through the table. Many
claims go in one transaction; one that stands already fails alone and the rest are tried again.
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
from springrock.wire.platform import ABSENT, Check, Put, Row, Transaction

CLAIM_PREFIX = "claim/"
_BATCH_LIMIT = 128
_GATHER_S = 0.002
_OUTAGE_RETRY_AFTER_S = 5.0


class ClaimValue(msgspec.Struct, frozen=True, array_like=True):
    """What a claim row says.

    Attributes:
        nonce: Tells the writer of a write whose answer was lost.
        box: The box that sent, or sends, the request.
    """

    nonce: str
    box: str


class _Wanted:
    def __init__(self, key: str, box: str) -> None:
        self.key = key
        self.value = ClaimValue(new_id(), box)
        self.result: AsyncResult[Result[None, Refusal]] = AsyncResult()

    @property
    def put(self) -> Put:
        return Put(self.key, msgspec.json.encode(self.value))

    def decide(self, rows: dict[str, Row]) -> None:
        """Settle by what stands in the table."""
        row = rows[self.key]
        existing = msgspec.json.decode(row.value, type=ClaimValue)
        if existing.nonce == self.value.nonce:
            self.result.set(Ok(None))
        else:
            self.result.set(Error(_already_claimed(existing)))


class Claims:
    """Writes the claims of one box, many in one transaction.

    Args:
        platform: The platform client.
        box: The name of this box.
    """

    def __init__(self, platform: Platform, *, box: str) -> None:
        self._platform = platform
        self._box = box
        self._queue: list[_Wanted] = []
        self._work = Event()
        self._loop: gevent.Greenlet[..., Any] | None = None
        self.transactions = 0
        self.claimed = 0

    def start(self) -> None:
        """Begin writing in the background."""
        self._loop = gevent.spawn(self._write_loop)

    def stop(self) -> None:
        """Stop writing."""
        if self._loop is not None:
            self._loop.kill()

    def claim(self, request_id: str) -> Result[None, Refusal]:
        """Claim a request; Ok only if nobody claimed it before."""
        wanted = _Wanted(f"{CLAIM_PREFIX}{request_id}", self._box)
        self._queue.append(wanted)
        self._work.set()
        result = wanted.result.get()
        assert result is not None
        return result

    def release(self, request_id: str) -> None:
        """Take back a claim of this box whose request was certainly not run.

        If the platform cannot be reached the claim stays: a repeat is then refused as already
        claimed, which is safe.
        """
        key = f"{CLAIM_PREFIX}{request_id}"
        try:
            rows = {row.key: row for row in self._platform.rows(key)}
            row = rows.get(key)
            if row is None:
                return
            if msgspec.json.decode(row.value, type=ClaimValue).box != self._box:
                return
            self._platform.transact(Transaction(checks=[Check(key, row.version)], deletes=[key]))
        except PlatformUnavailable:
            return

    def _write_loop(self) -> None:
        while True:
            self._work.wait()
            gevent.sleep(_GATHER_S)
            batch = self._queue[:_BATCH_LIMIT]
            del self._queue[:_BATCH_LIMIT]
            if not self._queue:
                self._work.clear()
            self._write(_without_doubles(batch))

    def _write(self, batch: list[_Wanted]) -> None:
        while batch:
            try:
                batch = self._write_once(batch)
            except PlatformUnavailable:
                self._resolve_by_reading(batch)
                return

    def _write_once(self, batch: list[_Wanted]) -> list[_Wanted]:
        """Try one transaction; return what is left to try again."""
        self.transactions += 1
        answer = self._platform.transact(
            Transaction(
                checks=[Check(wanted.key, ABSENT) for wanted in batch],
                puts=[wanted.put for wanted in batch],
            )
        )
        if answer.committed:
            self.claimed += len(batch)
            for wanted in batch:
                wanted.result.set(Ok(None))
            return []
        failed = {row.key: row for row in answer.failed}
        for wanted in batch:
            if wanted.key in failed:
                wanted.decide(failed)
        return [wanted for wanted in batch if wanted.key not in failed]

    def _resolve_by_reading(self, batch: list[_Wanted]) -> None:
        """After a lost answer: refuse. A claim that stands after all blocks only its repeat.

        The request has not been sent, so "not run" is true either way; the claim is taken back
        in the background so that a repeat can go through.
        """
        for wanted in batch:
            wanted.result.set(Error(_platform_out()))
            gevent.spawn(self._delete_claim, wanted)

    def _delete_claim(self, wanted: _Wanted) -> None:
        """Delete our claim once the table answers again, if the lost write took effect."""
        while True:
            gevent.sleep(1.0)
            try:
                rows = {row.key: row for row in self._platform.rows(wanted.key)}
                row = rows.get(wanted.key)
                if row is None:
                    return
                if msgspec.json.decode(row.value, type=ClaimValue) != wanted.value:
                    return
                check = Check(wanted.key, row.version)
                self._platform.transact(Transaction(checks=[check], deletes=[wanted.key]))
                return
            except PlatformUnavailable:
                continue


def _without_doubles(batch: list[_Wanted]) -> list[_Wanted]:
    """Refuse all but the first of several claims to the same request."""
    first: dict[str, _Wanted] = {}
    for wanted in batch:
        existing = first.setdefault(wanted.key, wanted)
        if existing is not wanted:
            wanted.result.set(Error(_already_claimed(existing.value)))
    return list(first.values())


def _already_claimed(existing: ClaimValue) -> Refusal:
    detail = f"the request was taken before, by box {existing.box}; its outcome is not known here"
    return Refusal(Cause.ALREADY_CLAIMED, detail, RunState.UNKNOWN)


def _platform_out() -> Refusal:
    detail = "a request that is not repeatable cannot be claimed while the platform is out"
    return Refusal(Cause.PLATFORM_UNAVAILABLE, detail, RunState.NOT_RUN, _OUTAGE_RETRY_AFTER_S)
