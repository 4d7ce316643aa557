"""Each call to the store is counted with its outcome."""

from __future__ import annotations

import pytest

from springrock.counted_store import CountedStore
from springrock.metrics import ForwardingMetrics
from springrock.rows import (
    Changes,
    HistoryGone,
    Row,
    RowConflict,
    RowStoreUnavailable,
    Snapshot,
)


class ScriptedStore:
    """Answers every call in the same way."""

    def __init__(self, failure: Exception | None = None) -> None:
        self.failure = failure

    def read_all(self, table: str) -> Snapshot:
        self._fail()
        return Snapshot([Row("a", b"1", 1)], 1)

    def changes(self, table: str, *, after: int, wait_s: float) -> Changes:
        self._fail()
        return Changes([], after)

    def write(self, table: str, key: str, value: bytes, *, expected: int) -> int:
        self._fail()
        return expected + 1

    def _fail(self) -> None:
        if self.failure is not None:
            raise self.failure


def counted(metrics: ForwardingMetrics, call: str, answer: str) -> float | None:
    labels = {"call": call, "table": "t", "answer": answer}
    return metrics.registry.get_sample_value("springrock_store_calls_total", labels)


def test_calls_are_forwarded_and_counted() -> None:
    metrics = ForwardingMetrics()
    store = CountedStore(ScriptedStore(), calls=metrics.store_calls)
    assert store.read_all("t").version == 1
    assert store.changes("t", after=7, wait_s=0.1).version == 7
    assert store.write("t", "a", b"", expected=3) == 4
    for call in ("read", "changes", "write"):
        assert counted(metrics, call, "done") == 1


@pytest.mark.parametrize(
    ("failure", "answer"),
    [
        (RowConflict(None), "conflict"),
        (HistoryGone("gone"), "history_gone"),
        (RowStoreUnavailable("down"), "unanswered"),
        (RuntimeError("a fault"), "failed"),
    ],
)
def test_a_failed_call_is_counted_and_its_error_raised(failure: Exception, answer: str) -> None:
    metrics = ForwardingMetrics()
    store = CountedStore(ScriptedStore(failure), calls=metrics.store_calls)
    with pytest.raises(type(failure)):
        store.write("t", "a", b"", expected=0)
    assert counted(metrics, "write", answer) == 1
