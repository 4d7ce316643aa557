"""What a box knows of the store, for boxes that start while the store answers nobody."""

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

_ANSWERS = 8
_WINDOW_S = 1.0
"""A box tells so many others in this time: many that start at once ask the same few, which have
their clients to serve."""


class StateProvider:
    """Answers boxes that ask for what this one knows.

    Args:
        zones: All availability zones of the deployment, by which it is told from others.
        followers: The tables that this box follows.
        board: Who places.
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
        self._answered: deque[float] = deque(maxlen=_ANSWERS)

    def answer(self, hello: Hello) -> KnownState:
        """Return what this box knows, or when to ask again if too many ask."""
        now = monotonic()
        if len(self._answered) == _ANSWERS and now - self._answered[0] < _WINDOW_S:
            busy_ms = math.ceil(1000 * (self._answered[0] + _WINDOW_S - now))
            return KnownState(self._zones, retry_after_ms=busy_ms)
        self._answered.append(now)
        state = KnownState(
            self._zones,
            tables=self._tables(),
            successors=self._board.successors(),
            leaving=list(self._directory.leaving()),
        )
        self._log.say("Told a box what is known.", peer=hello.box, tables=len(state.tables))
        return state

    def _tables(self) -> list[KnownTable]:
        """Return all tables; none if one of them is not known, as half of it may mislead."""
        tables = []
        for follower in self._followers:
            known = follower.known()
            if known is None:
                return []
            age_s = follower.staleness_s
            age_ms = math.ceil(1000 * age_s) if math.isfinite(age_s) else None
            tables.append(KnownTable(table_news_from(known), age_ms))
        return tables
