"""The age of a key's knowledge as a model, explored whole.

A relay reads the store and tells a box. Every question, answer and message may be delayed for any
time or lost, either process may stand still, and the box may restart. Whatever happens, the box
must not trust a key for longer after its removal than is allowed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from functools import cache
from typing import NamedTuple
from unittest.mock import patch

from springrock import store_clock
from springrock.store_clock import StoreClock

REVOKE = 2
TRUST = 1
LAST_TICK = 4
STORE_AHEAD, RELAY_AHEAD, BOX_AHEAD = 100, 10, 40
"""Each process has a clock of its own."""


class Question(NamedTuple):
    """One on its way to the store or back; `read_at` and `valid` once the store has answered."""

    sent_at: int
    read_at: int | None = None
    valid: bool = True


class News(NamedTuple):
    """What the relay tells the box."""

    valid: bool
    as_of: int


class State(NamedTuple):
    tick: int = 0
    removed_at: int | None = None
    relay_asks: Question | None = None
    relay_clock: tuple[int, int, int] | None = None
    updates: tuple[News, ...] = ()
    box_asks: Question | None = None
    box_clock: tuple[int, int, int] | None = None
    box_valid: bool = False
    box_newest: int | None = None

    @property
    def trusts(self) -> bool:
        """Whether the box serves the key now."""
        newest = self.box_newest
        return self.box_valid and newest is not None and self.tick + BOX_AHEAD - newest <= TRUST

    @property
    def broken(self) -> bool:
        return self.trusts and self.removed_at is not None and self.tick - self.removed_at > REVOKE


Take = Callable[[State, News], int | None]


@cache
def clock_from(recorded: tuple[int, int, int]) -> StoreClock:
    clock = StoreClock()
    store, sent_at, received_at = recorded
    clock.record(store, sent_at=sent_at, received_at=received_at)
    return clock


def by_the_stores_clock(state: State, updates: News) -> int | None:
    """When what is told was surely the newest, as the product reckons it."""
    if state.box_clock is None:
        return None
    now = state.tick + BOX_AHEAD
    newest = clock_from(state.box_clock).earliest_local(updates.as_of)
    assert newest is not None
    return round(newest) if newest <= now else None


def by_receipt(state: State, updates: News) -> int | None:
    """The mutation: what is told counts as the newest when it is received."""
    return state.tick + BOX_AHEAD


def steps(state: State, take: Take) -> Iterator[State]:
    """Yield all that may come next."""
    if state.tick < LAST_TICK:
        yield state._replace(tick=state.tick + 1)
    if state.removed_at is None:
        yield state._replace(removed_at=state.tick)
    yield from _relay_steps(state)
    yield from _box_steps(state, take)


def _relay_steps(state: State) -> Iterator[State]:
    now = state.tick + RELAY_AHEAD
    asked = state.relay_asks
    if asked is None:
        yield state._replace(relay_asks=Question(now))
        return
    yield state._replace(relay_asks=None)
    if asked.read_at is None:
        yield state._replace(relay_asks=_read(state, asked))
        return
    recorded = (asked.read_at, asked.sent_at, now)
    as_of = clock_from(recorded).earliest_store(asked.sent_at)
    assert as_of is not None
    updates = News(asked.valid, round(as_of))
    if len(state.updates) < 2:
        yield state._replace(relay_asks=None, updates=(*state.updates, updates))


def _box_steps(state: State, take: Take) -> Iterator[State]:
    now = state.tick + BOX_AHEAD
    # The box restarts and knows nothing.
    yield state._replace(
        box_asks=None, box_clock=None, box_valid=False, box_newest=None, updates=state.updates
    )
    if state.updates:
        first, *rest = state.updates
        yield state._replace(updates=tuple(rest))
        if state.box_clock is not None:
            newest = take(state, first)
            known = state.box_newest
            later = max((at for at in (known, newest) if at is not None), default=None)
            # A removal is never taken back: rising versions.
            valid = state.box_valid and first.valid
            yield state._replace(updates=tuple(rest), box_valid=valid, box_newest=later)
    asked = state.box_asks
    if asked is None:
        if state.box_clock is None:
            yield state._replace(box_asks=Question(now))
        return
    yield state._replace(box_asks=None)
    if asked.read_at is None:
        yield state._replace(box_asks=_read(state, asked))
        return
    yield state._replace(
        box_asks=None,
        box_clock=(asked.read_at, asked.sent_at, now),
        box_valid=asked.valid,
        box_newest=asked.sent_at,
    )


def _read(state: State, asked: Question) -> Question:
    return asked._replace(read_at=state.tick + STORE_AHEAD, valid=state.removed_at is None)


def explore(take: Take) -> tuple[int, State | None]:
    """Return how many states there are, and one in which the promise is broken."""
    with patch.object(store_clock, "_DRIFT", 0.0):
        seen = {State()}
        left = [State()]
        while left:
            state = left.pop()
            if state.broken:
                return len(seen), state
            for following in steps(state, take):
                if following not in seen:
                    seen.add(following)
                    left.append(following)
        return len(seen), None


def test_no_delay_loss_or_restart_makes_a_removed_key_trusted_too_long() -> None:
    states, broken = explore(by_the_stores_clock)
    assert broken is None
    assert states > 50_000


def test_the_model_finds_an_age_that_is_counted_from_the_receipt() -> None:
    _, broken = explore(by_receipt)
    assert broken is not None
