"""Writes a placer's row through other boxes when the store does not answer the placer.

A network cut between one box and the store is no reason to change the placer: its links still work,
and any linked box can write the row in its place. The write has the same condition, so it does not
matter which box writes it or how many are asked. A relayed write that took effect without an answer
makes the next write a conflict, as with the store itself, since it took effect before the next one
was sent.
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
"""Number of boxes asked at once. If the store does not answer a third of all boxes, all three are
cut off from it once in 27 times."""

_ANSWER_TIMEOUT_S = 0.5


class RelayedWrites:
    """Writes rows of the store through linked boxes.

    Args:
        helpers: Returns linked boxes to ask, at most as many as its argument says.
        send: Sends a message to a linked box.
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
        self._pending: dict[int, _PendingWrite] = {}

    def write(self, table: str, key: str, value: bytes, *, expected: int) -> int:
        """Write a row if it has the expected version; return its version, or a later one.

        Args:
            table: The table of the placers' rows; boxes write to no other one for a placer.
            key: The key of the row.
            value: The new value of the row.
            expected: The version that the row must have.

        Raises:
            RowConflict: If the row has another version.
            HelpersSilent: If no box answered.
            RowStoreUnavailable: If no box could write.
        """
        assert table == TABLE
        helpers = self._helpers(_HELPERS)
        number = next(self._numbers)
        pending = self._pending[number] = _PendingWrite(len(helpers))
        try:
            for box in helpers:
                self._send(box, WriteFor(number, key, value, number_of(expected), era_of(expected)))
            if helpers:
                pending.finished.wait(timeout=_ANSWER_TIMEOUT_S)
        finally:
            del self._pending[number]
        written = pending.best
        if not pending.answered:
            raise HelpersSilent("no linked box answered")
        if written is None:
            raise RowStoreUnavailable("no linked box could write")
        # A box with an earlier build does not send the era.
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
        """Handle a box's answer to a write; an answer after the timeout is ignored."""
        pending = self._pending.get(written.number)
        if pending is not None:
            pending.handle_answer(written)


class _PendingWrite:
    """The answers to one write that several boxes were asked for.

    The first box to write succeeds; the others then report a conflict.

    Attributes:
        answered: Whether any box answered.
        best: The answer that counts: a success if there is one, else a conflict.
        finished: Set when a box succeeded or all boxes have answered.
    """

    def __init__(self, helper_count: int) -> None:
        self._outstanding = helper_count
        self.answered = False
        self.best: Written | None = None
        self.finished = Event()

    def handle_answer(self, written: Written) -> None:
        """Record an answer; a successful write takes precedence over a conflict."""
        self._outstanding -= 1
        self.answered = True
        if written.answered and (self.best is None or self.best.conflict):
            self.best = written
        if not self._outstanding or (written.answered and not written.conflict):
            self.finished.set()


def write_for(store: RowStore, request: WriteFor) -> Written:
    """Write a row for a placer; return the answer to send to it."""
    try:
        expected = peer_version(request.era, request.expected)
        version = store.write(TABLE, request.key, request.value, expected=expected)
    except RowConflict as conflict:
        row = conflict.row or Row(request.key, b"", 0)
        return Written(
            request.number,
            answered=True,
            version=number_of(row.version),
            conflict=True,
            value=row.value,
            era=era_of(conflict.version),
        )
    except WrittenInAnotherEra as written:
        version = written.version
    except (RowStoreUnavailable, PeerRejected):
        return Written(request.number)
    return Written(
        request.number, True, number_of(version), value=request.value, era=era_of(version)
    )
