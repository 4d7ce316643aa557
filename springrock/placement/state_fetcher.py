"""Fetches tables from other boxes when a box starts while the store does not answer."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

import gevent

from springrock.clock import monotonic
from springrock.errors import PeerRejected, SpringrockError
from springrock.forwarding.directory import Directory, LeavingSource
from springrock.log import Condition, Log
from springrock.placement.dialing import dial
from springrock.placement.link_server import LINK_FAILURES
from springrock.placement.messages import Hello, KnownState, decode, encode
from springrock.placement.placer_board import PlacerBoard
from springrock.placement.table_news import reading_from
from springrock.table_follower import TableFollower
from springrock.unknown_messages import UnknownKind

_STORE_ONLY_S = 0.25
"""How long only the store is waited for. It normally answers in a few milliseconds, so that an
ordinary start asks no other box."""

_POLL_INTERVAL_S = 0.02
_ANSWER_TIMEOUT_S = 1.0
_RETRY_DELAY_S = 0.3
"""Initial delay before all seeds are asked again."""

_RETRY_DELAY_GROWTH = 1.4
_MAX_RETRY_DELAY_S = 1.5

FETCH_FAILURES = (*LINK_FAILURES, UnknownKind)
"""The errors that `fetch_state` raises if it gets no state."""


def fetch_state(seed: str, hello: Hello) -> KnownState:
    """Return the state of the box at an address; raises one of `FETCH_FAILURES`."""
    connection = dial(seed)
    try:
        connection.send(encode(hello))
        state = decode(connection.recv(timeout=_ANSWER_TIMEOUT_S))
    finally:
        connection.close()
    if not isinstance(state, KnownState):
        raise PeerRejected(f"unexpected {type(state).__name__} instead of a KnownState")
    return state


class StateUnknown(SpringrockError):
    """Another box that sent no usable state.

    Args:
        seed: The address of that box.
        why: Why its answer is of no use.
    """

    def __init__(self, seed: str, why: str) -> None:
        super().__init__(f"the box at {seed}: {why}")


class StateFetcher:
    """Copies tables from other boxes until this box has all of them.

    Readings of the store replace the copies as soon as they arrive. Each table keeps the age that
    it had at the box it was copied from, so that checks of freshness still hold.

    Args:
        seeds: The addresses to ask. A box may be down, or the address may belong to another
            service.
        fetch: Returns the state of the box at an address; raises one of `FETCH_FAILURES`.
        zones: All availability zones of the deployment; a box with other zones is of another one.
        followers: The tables that this box follows.
        board: Gets the successors of placers.
        directory: Gets the replicas that are leaving.
        log: The log to write to.
    """

    def __init__(
        self,
        seeds: Sequence[str],
        *,
        fetch: Callable[[str], KnownState],
        zones: Sequence[str],
        followers: Sequence[TableFollower],
        board: PlacerBoard,
        directory: Directory,
        log: Log,
    ) -> None:
        self._seeds = list(seeds)
        self._fetch = fetch
        self._zones = sorted(zones)
        self._followers = followers
        self._board = board
        self._directory = directory
        self._log = log
        self._unanswered = Condition(
            log,
            begins="No other box provided its tables.",
            ends="Another box provided its tables.",
        )

    def run(self) -> None:
        """Ask other boxes until all tables are known, from them or from the store."""
        self._wait_for_store()
        retry_delay_s = _RETRY_DELAY_S
        while not self._knows_all:
            for seed in random.sample(self._seeds, len(self._seeds)):
                self._ask(seed)
            gevent.sleep(random.uniform(0.5, 1.0) * retry_delay_s)
            retry_delay_s = min(_MAX_RETRY_DELAY_S, retry_delay_s * _RETRY_DELAY_GROWTH)

    @property
    def _knows_all(self) -> bool:
        return all(follower.is_known for follower in self._followers)

    def _wait_for_store(self) -> None:
        deadline = monotonic() + _STORE_ONLY_S
        while monotonic() < deadline and not self._knows_all:
            if any(follower.last_read_failed for follower in self._followers):
                return
            gevent.sleep(_POLL_INTERVAL_S)

    def _ask(self, seed: str) -> None:
        asked_at = monotonic()
        try:
            state = self._fetch(seed)
            self._check(seed, state)
        except (*FETCH_FAILURES, StateUnknown) as error:
            self._unanswered.begin(seed=seed, error=str(error))
            return
        self._apply(state, asked_at)
        self._unanswered.end(seed=seed)
        self._log.info(
            "Copied the tables of another box.",
            seed=seed,
            ages_ms={table.full_table.table: table.age_ms for table in state.tables},
            took_ms=round(1000 * (monotonic() - asked_at)),
        )

    def _check(self, seed: str, state: KnownState) -> None:
        """Raise `StateUnknown` unless the state is usable."""
        if state.zones != self._zones:
            raise StateUnknown(seed, f"it is of another deployment, with the zones {state.zones}")
        if state.retry_after_ms:
            raise StateUnknown(seed, f"too many requests; retry after {state.retry_after_ms} ms")
        if not state.tables:
            raise StateUnknown(seed, "it does not have all tables itself")

    def _apply(self, state: KnownState, asked_at: float) -> None:
        by_table = {table.full_table.table: table for table in state.tables}
        for follower in self._followers:
            reported = by_table.get(follower.table)
            if reported is None:
                continue
            # Measured from before the request, as the answer may have been delayed.
            age_s = float("inf") if reported.age_ms is None else reported.age_ms / 1000
            follower.apply_copy(reading_from(reported.full_table), newest_at=asked_at - age_s)
        for key, successor in state.successors:
            self._board.record_successor(key, successor)
        for instance in state.leaving:
            self._directory.record_leaving(instance, LeavingSource.BOX)
