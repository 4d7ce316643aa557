"""Writes of a placer's row by other boxes, for a placer that the store does not answer.

A cut between one box and the store is no reason to change the placer: its links stand, and any box
at their other end can write the row in its place. The write is under the same condition, so it does
not matter which box writes or how many are asked. A write that took effect unanswered is a conflict
for the next, as with the store itself: it took effect sooner than the next was sent.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from itertools import count

from gevent.event import Event

from springrock.eras import UNKNOWN_ERA, era_of, number_of, peer_version
from springrock.errors import PeerRejected
from springrock.placement.messages import Message, WriteFor, Written
from springrock.placement.placer_row import TABLE
from springrock.rows import (
    HelpersSilent,
    Row,
    RowConflict,
    RowStore,
    RowStoreUnavailable,
    WrittenInAnotherEra,
)

_HELPERS = 3
"""Boxes that are asked at once: of a third that the store does not answer, so many are all cut off
from it once in 27 times."""

_ANSWERS_WITHIN_S = 0.5


class RelayedWrites:
    """Has linked boxes write for the placer.

    Args:
        helpers: Returns some linked boxes, at most so many.
        send: Sends a message to one of them.
    """

    def __init__(
        self,
        *,
        helpers: Callable[[int], Sequence[str]],
        send: Callable[[str, Message], None],
    ) -> None:
        self._helpers = helpers
        self._send = send
        self._numbers = count(1)
        self._waiting: dict[int, _Round] = {}

    def write(self, table: str, key: str, value: bytes, *, expected: int) -> int:
        """Write a row if it has the expected version; return its version, or a later of the store.

        Args:
            table: The table of the placers' rows; boxes write no other for a placer.
            key: The row.
            value: What it is to be.
            expected: The version that it must have.

        Raises:
            RowConflict: If it has another version.
            HelpersSilent: If no box answered.
            RowStoreUnavailable: If no box could write.
        """
        assert table == TABLE
        helpers = self._helpers(_HELPERS)
        number = next(self._numbers)
        waiting = self._waiting[number] = _Round(len(helpers))
        try:
            for box in helpers:
                self._send(box, WriteFor(number, key, value, number_of(expected), era_of(expected)))
            if helpers:
                waiting.over.wait(timeout=_ANSWERS_WITHIN_S)
        finally:
            del self._waiting[number]
        written = waiting.best
        if not waiting.answered:
            raise HelpersSilent("no linked box answered")
        if written is None:
            raise RowStoreUnavailable("no linked box could write")
        # A box of an earlier build does not tell the era.
        era = written.era or era_of(expected)
        try:
            version = peer_version(era, written.version)
        except PeerRejected as error:
            raise RowStoreUnavailable(str(error)) from None
        if written.conflict:
            row = Row(key, written.value, version) if written.version else None
            raise RowConflict(row, version=version)
        if era_of(expected) not in (UNKNOWN_ERA, era):
            raise WrittenInAnotherEra(version)
        return version

    def record_written(self, written: Written) -> None:
        """Learn what a box could do; what comes too late is passed over."""
        waiting = self._waiting.get(written.number)
        if waiting is not None:
            waiting.handle_answer(written)


class _Round:
    """The answers to one write that several boxes were asked for.

    One of them writes; to the others the row then has another version.
    """

    def __init__(self, asked: int) -> None:
        self._left = asked
        self.answered = False
        self.best: Written | None = None
        self.over = Event()

    def handle_answer(self, written: Written) -> None:
        """Take an answer; that of the box that wrote is the one."""
        self._left -= 1
        self.answered = True
        if written.answered and (self.best is None or self.best.conflict):
            self.best = written
        if not self._left or (written.answered and not written.conflict):
            self.over.set()


def write_for(store: RowStore, asked: WriteFor) -> Written:
    """Write for a placer; return what came of it."""
    try:
        expected = peer_version(asked.era, asked.expected)
        version = store.write(TABLE, asked.key, asked.value, expected=expected)
    except RowConflict as conflict:
        row = conflict.row or Row(asked.key, b"", 0)
        return Written(
            asked.number,
            answered=True,
            version=number_of(row.version),
            conflict=True,
            value=row.value,
            era=era_of(conflict.version),
        )
    except WrittenInAnotherEra as written:
        version = written.version
    except (RowStoreUnavailable, PeerRejected):
        return Written(asked.number)
    return Written(asked.number, True, number_of(version), value=asked.value, era=era_of(version))
