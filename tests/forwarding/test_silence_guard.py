"""The guard of a run's reading, with a scripted run and a scripted search."""

from __future__ import annotations

from collections.abc import Callable

import gevent
import pytest
from gevent.event import Event as Signal

from springrock.forwarding import silence_guard
from springrock.forwarding.events import Event
from springrock.forwarding.silence_guard import SilenceGuard

EVENT = Event(b"id: 1\n\n", "1")


class ScriptedRun:
    """A run whose reads end on a signal."""

    def __init__(self) -> None:
        self.speaks = Signal()

    def read(self) -> list[Event]:
        self.speaks.wait()
        self.speaks.clear()
        return [EVENT]


class SpeakingSearch:
    """A search that gives the silent run up in the moment in which it speaks."""

    won = False

    def __init__(self, run: ScriptedRun) -> None:
        self._run = run
        self.cancelled = False

    def start(self, silent: object, *, give_up: Callable[[], None]) -> None:
        def _speak_and_give_up() -> None:
            self._run.speaks.set()
            give_up()

        gevent.spawn_later(0.1, _speak_and_give_up)

    def cancel(self) -> None:
        self.cancelled = True


def test_a_run_that_spoke_in_the_moment_of_its_judgement_is_not_given_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(silence_guard, "STALL_TIMEOUT_S", 0.1)
    run = ScriptedRun()
    searches: list[SpeakingSearch] = []

    def _new_search(on_won: object) -> SpeakingSearch:
        searches.append(SpeakingSearch(run))
        return searches[-1]

    guard = SilenceGuard(
        run,  # type: ignore[arg-type]
        may_resume=lambda: not searches,
        new_resumption=_new_search,  # type: ignore[arg-type, return-value]
    )
    guard.start()
    assert guard.read() == [EVENT]
    assert [search.cancelled for search in searches] == [True]
    gevent.spawn_later(0.2, run.speaks.set)
    assert guard.read() == [EVENT]
    guard.close()
