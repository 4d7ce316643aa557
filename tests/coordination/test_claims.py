"""Claims beside rows that no box has written."""

from __future__ import annotations

from collections.abc import Iterator

import gevent
import pytest

from springrock.coordination.claims import CLAIM_PREFIX, Claims
from springrock.errors import Cause
from springrock.wire.platform import Row, Transaction, TransactionAnswer

NESTED = b'{"more":' + b"[" * 100_000


class ScriptedTable:
    """A table of claims with one malformed row."""

    def __init__(self) -> None:
        self.rows_by_key = {
            f"{CLAIM_PREFIX}odd": Row(key=f"{CLAIM_PREFIX}odd", value=NESTED, version=1)
        }

    def rows(self, prefix: str) -> list[Row]:
        return [row for key, row in self.rows_by_key.items() if key.startswith(prefix)]

    def transact(self, transaction: Transaction) -> TransactionAnswer:
        failed = [
            self.rows_by_key[check.key]
            for check in transaction.checks
            if check.key in self.rows_by_key
        ]
        if failed:
            return TransactionAnswer(committed=False, failed=failed)
        for put in transaction.puts:
            self.rows_by_key[put.key] = Row(key=put.key, value=put.value, version=2)
        return TransactionAnswer(committed=True, version=2)


@pytest.fixture
def claims() -> Iterator[Claims]:
    claims = Claims(ScriptedTable(), box="box-1")  # type: ignore[arg-type]
    claims.start()
    yield claims
    claims.stop()


def test_a_malformed_claim_refuses_its_own_request_alone(claims: Claims) -> None:
    requests = [gevent.spawn(claims.claim, request_id) for request_id in ("odd", "sound")]
    gevent.joinall(requests, timeout=5.0, raise_error=True)
    refused, claimed = (request.value for request in requests)
    assert claimed.is_ok()
    assert refused.error.cause is Cause.ALREADY_CLAIMED
    with gevent.Timeout(5.0):
        assert claims.claim("next").is_ok()


def test_a_malformed_claim_is_not_released(claims: Claims) -> None:
    with gevent.Timeout(5.0):
        claims.release("odd")
        assert claims.claim("odd").is_error()
