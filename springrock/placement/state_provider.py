"""Provides a box's copies of the store's tables to boxes that start while the store is down."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Sequence

from springrock.clock import monotonic
from springrock.forwarding.directory import Directory
from springrock.log import Log
from springrock.placement.messages import Hello, KnownState, KnownTable
from springrock.placement.placer_board import PlacerBoard
from springrock.placement.table_news import table_news_from
from springrock.table_follower import TableFollower

_MAX_ANSWERS = 8
_WINDOW_S = 1.0
"""At most `_MAX_ANSWERS` boxes are answered within this time. Many boxes that start at once ask the
same few, which must still serve their own clients."""


class StateProvider:
    """Answers the state requests of other boxes.

    Args:
        zones: All availability zones of the deployment; a box of another one rejects the answer.
        followers: The tables that this box follows.
        board: The last known placers and their successors.
        directory: The known replicas.
        log: The log to write to.
    """

    def __init__(
        self,
        *,
        zones: Sequence[str],
        followers: Sequence[TableFollower],
        board: PlacerBoard,
        directory: Directory,
        log: Log,
    ) -> None:
        self._zones = sorted(zones)
        self._followers = followers
        self._board = board
        self._directory = directory
        self._log = log
        self._answered: deque[float] = deque(maxlen=_MAX_ANSWERS)

    def answer(self, hello: Hello) -> KnownState:
        """Return this box's tables, or when to retry if too many boxes ask."""
        now = monotonic()
        if len(self._answered) == _MAX_ANSWERS and now - self._answered[0] < _WINDOW_S:
            retry_after_ms = math.ceil(1000 * (self._answered[0] + _WINDOW_S - now))
            return KnownState(self._zones, retry_after_ms=retry_after_ms)
        self._answered.append(now)
        state = KnownState(
            self._zones,
            tables=self._tables(),
            successors=self._board.successors(),
            leaving=list(self._directory.leaving()),
        )
        self._log.info("Provided tables to a box.", peer=hello.box, tables=len(state.tables))
        return state

    def _tables(self) -> list[KnownTable]:
        """Return all tables; none if one is not known, as an incomplete set may mislead a box."""
        tables = []
        for follower in self._followers:
            known = follower.full_reading()
            if known is None:
                return []
            age_s = follower.staleness_s
            age_ms = math.ceil(1000 * age_s) if math.isfinite(age_s) else None
            tables.append(KnownTable(table_news_from(known), age_ms))
        return tables
