"""A model of the age of a box's state of a key, explored exhaustively.

A relay reads the store and sends its readings to a box. Every request, answer and message may be
delayed for any time or lost, either process may be suspended, and the box may restart. In no case
may the box trust a key for longer after its removal than is allowed.
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
"""The offset of each process's own clock."""


class Call(NamedTuple):
    """A call to the store; `read_at` and `valid` are set once the store has answered."""

    sent_at: int
    read_at: int | None = None
    valid: bool = True


class Message(NamedTuple):
    """A message of the relay to the box."""

    valid: bool
    as_of: int


class State(NamedTuple):
    tick: int = 0
    removed_at: int | None = None
    relay_asks: Call | None = None
    relay_clock: tuple[int, int, int] | None = None
    messages: tuple[Message, ...] = ()
    box_asks: Call | None = None
    box_clock: tuple[int, int, int] | None = None
    box_valid: bool = False
    box_newest: int | None = None

    @property
    def trusts(self) -> bool:
        """Whether the box accepts the key now."""
        newest = self.box_newest
        return self.box_valid and newest is not None and self.tick + BOX_AHEAD - newest <= TRUST

    @property
    def violated(self) -> bool:
        return self.trusts and self.removed_at is not None and self.tick - self.removed_at > REVOKE


AgeRule = Callable[[State, Message], int | None]


@cache
def clock_from(recorded: tuple[int, int, int]) -> StoreClock:
    clock = StoreClock()
    store, sent_at, received_at = recorded
    clock.record(store, sent_at=sent_at, received_at=received_at)
    return clock


def by_the_stores_clock(state: State, messages: Message) -> int | None:
    """The time at which a message was up to date, as the implementation computes it."""
    if state.box_clock is None:
        return None
    now = state.tick + BOX_AHEAD
    newest = clock_from(state.box_clock).earliest_local(messages.as_of)
    assert newest is not None
    return round(newest) if newest <= now else None


def by_receipt(state: State, messages: Message) -> int | None:
    """A mutation: a message counts as up to date when it is received."""
    return state.tick + BOX_AHEAD


def steps(state: State, rule: AgeRule) -> Iterator[State]:
    """Yield all possible next states."""
    if state.tick < LAST_TICK:
        yield state._replace(tick=state.tick + 1)
    if state.removed_at is None:
        yield state._replace(removed_at=state.tick)
    yield from _relay_steps(state)
    yield from _box_steps(state, rule)


def _relay_steps(state: State) -> Iterator[State]:
    now = state.tick + RELAY_AHEAD
    asked = state.relay_asks
    if asked is None:
        yield state._replace(relay_asks=Call(now))
        return
    yield state._replace(relay_asks=None)
    if asked.read_at is None:
        yield state._replace(relay_asks=_read(state, asked))
        return
    recorded = (asked.read_at, asked.sent_at, now)
    as_of = clock_from(recorded).earliest_store(asked.sent_at)
    assert as_of is not None
    messages = Message(asked.valid, round(as_of))
    if len(state.messages) < 2:
        yield state._replace(relay_asks=None, messages=(*state.messages, messages))


def _box_steps(state: State, rule: AgeRule) -> Iterator[State]:
    now = state.tick + BOX_AHEAD
    # The box restarts and loses its state.
    yield state._replace(
        box_asks=None, box_clock=None, box_valid=False, box_newest=None, messages=state.messages
    )
    if state.messages:
        first, *rest = state.messages
        yield state._replace(messages=tuple(rest))
        if state.box_clock is not None:
            newest = rule(state, first)
            known = state.box_newest
            later = max((at for at in (known, newest) if at is not None), default=None)
            # A removal is never undone, as versions rise.
            valid = state.box_valid and first.valid
            yield state._replace(messages=tuple(rest), box_valid=valid, box_newest=later)
    asked = state.box_asks
    if asked is None:
        if state.box_clock is None:
            yield state._replace(box_asks=Call(now))
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


def _read(state: State, asked: Call) -> Call:
    return asked._replace(read_at=state.tick + STORE_AHEAD, valid=state.removed_at is None)


def explore(rule: AgeRule) -> tuple[int, State | None]:
    """Return the number of states explored, and one that violates the bound, if any."""
    with patch.object(store_clock, "_DRIFT", 0.0):
        seen = {State()}
        left = [State()]
        while left:
            state = left.pop()
            if state.violated:
                return len(seen), state
            for next_state in steps(state, rule):
                if next_state not in seen:
                    seen.add(next_state)
                    left.append(next_state)
        return len(seen), None


def test_no_delay_loss_or_restart_makes_a_removed_key_trusted_too_long() -> None:
    states, violated = explore(by_the_stores_clock)
    assert violated is None
    assert states > 50_000


def test_the_model_finds_an_age_that_is_counted_from_the_receipt() -> None:
    _, violated = explore(by_receipt)
    assert violated is not None
