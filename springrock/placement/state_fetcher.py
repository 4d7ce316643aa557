"""Asks other boxes for what they know, while this one has just started and the store is silent."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

import gevent

from springrock.clock import monotonic
from springrock.errors import PeerRejected, SpringrockError
from springrock.forwarding.directory import Directory, LeavingSign
from springrock.log import Condition, Log
from springrock.placement.dialing import dial
from springrock.placement.link_server import LINK_FAILURES
from springrock.placement.messages import Hello, KnownState, decode, encode
from springrock.placement.placer_board import PlacerBoard
from springrock.placement.table_news import reading_from
from springrock.table_follower import TableFollower
from springrock.unknown_messages import UnknownKind

_STORE_FIRST_S = 0.25
"""So long the store alone is asked: it answers in a few milliseconds, and a start in calm costs
nothing more."""

_LOOK_S = 0.02
_ANSWER_S = 1.0
_AGAIN_S = 0.3
"""So long after all seeds were asked in vain they are asked again, at first."""

_AGAIN_GROWTH = 1.4
_AGAIN_AT_MOST_S = 1.5

FETCH_FAILURES = (*LINK_FAILURES, UnknownKind)
"""What `fetch_state` raises when no state comes."""


def fetch_state(seed: str, hello: Hello) -> KnownState:
    """Ask the box at an address for its state."""
    connection = dial(seed)
    try:
        connection.send(encode(hello))
        state = decode(connection.recv(timeout=_ANSWER_S))
    finally:
        connection.close()
    if not isinstance(state, KnownState):
        raise PeerRejected(f"an unexpected {type(state).__name__}")
    return state


class StateUnknown(SpringrockError):
    """Another box that told nothing of use.

    Args:
        seed: Its address.
        why: What came instead.
    """

    def __init__(self, seed: str, why: str) -> None:
        super().__init__(f"the box at {seed}: {why}")


class StateFetcher:
    """Takes over what other boxes know until this one knows all tables.

    The store's word replaces it as soon as it comes. Each table keeps the age that it had at the
    box that told it, so that whatever counts on fresh knowledge counts from then.

    Args:
        seeds: Where other boxes may be asked; they may be gone, or be something else.
        fetch: Asks a box at an address for its state; raises one of `FETCH_FAILURES`.
        zones: All availability zones of the deployment, by which it is told from others.
        followers: The tables that this box follows.
        board: Learns who places.
        directory: Learns which replicas leave.
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
        self._unknown = Condition(
            log, begins="No other box tells what it knows.", ends="Another box told what it knows."
        )

    def run(self) -> None:
        """Ask until all tables are known, from the store or from others."""
        self._wait_for_store()
        again_s = _AGAIN_S
        while not self._knows_all:
            for seed in random.sample(self._seeds, len(self._seeds)):
                self._ask(seed)
            gevent.sleep(random.uniform(0.5, 1.0) * again_s)
            again_s = min(_AGAIN_AT_MOST_S, again_s * _AGAIN_GROWTH)

    @property
    def _knows_all(self) -> bool:
        return all(follower.is_known for follower in self._followers)

    def _wait_for_store(self) -> None:
        until = monotonic() + _STORE_FIRST_S
        while monotonic() < until and not self._knows_all:
            if any(follower.unread for follower in self._followers):
                return
            gevent.sleep(_LOOK_S)

    def _ask(self, seed: str) -> None:
        asked_at = monotonic()
        try:
            state = self._fetch(seed)
            self._check(seed, state)
        except (*FETCH_FAILURES, StateUnknown) as error:
            self._unknown.begin(seed=seed, error=str(error))
            return
        self._apply(state, asked_at)
        self._unknown.end(seed=seed)
        self._log.say(
            "Learnt from another box.",
            seed=seed,
            ages_ms={table.updates.table: table.age_ms for table in state.tables},
            took_ms=round(1000 * (monotonic() - asked_at)),
        )

    def _check(self, seed: str, state: KnownState) -> None:
        """Raise `StateUnknown` unless it is of use."""
        if state.zones != self._zones:
            raise StateUnknown(seed, f"it is of another deployment, of the zones {state.zones}")
        if state.retry_after_ms:
            raise StateUnknown(seed, f"too many ask it; again in {state.retry_after_ms} ms")
        if not state.tables:
            raise StateUnknown(seed, "it does not know all tables itself")

    def _apply(self, state: KnownState, asked_at: float) -> None:
        by_table = {table.updates.table: table for table in state.tables}
        for follower in self._followers:
            reported = by_table.get(follower.table)
            if reported is None:
                continue
            # Counted from before the question, as the answer may have been long on its way.
            age_s = float("inf") if reported.age_ms is None else reported.age_ms / 1000
            follower.apply_copy(reading_from(reported.updates), newest_at=asked_at - age_s)
        for key, successor in state.successors:
            self._board.record_successor(key, successor)
        for instance in state.leaving:
            self._directory.record_leaving(instance, LeavingSign.BOX)
