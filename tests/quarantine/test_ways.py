"""Ways of holding crashes against requests, played in virtual time on the same requests.

Engines run requests of many adapters, each of which stands at two of them. Some engines crash by
themselves; one request crashes each engine that begins to run it and comes again and again. Each
way is judged by the engines that end, and by the other requests that are not served.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from typing import Any, NamedTuple

import pytest
import simpy

from springrock.forwarding.fingerprint import Fingerprint
from springrock.log import Log
from springrock.quarantine import book as book_module
from springrock.quarantine.book import CrashBook
from springrock.quarantine.report import CrashReport
from springrock.quarantine.terms import QuarantineTerms

BOXES = 7
ENGINES = 9
ADAPTERS = 60
HOLDERS = 2
PER_S = 40.0
RUNS_S = 1.2
BEGINS_S = 0.3
CRASHES_AFTER_S = 0.04
BACK_AFTER_S = 3.5
LENGTH_S = 60.0
ATTEMPTS = 2
TRIES = 2
RETURNS_S = 0.3
TOLD_AFTER_S = 0.7
"""What a report takes to be known to all boxes: 0.2 s of waiting, and to be read and told."""

NEVER = 10**9

GUILTY = Fingerprint("f" * 32)


class Way(NamedTuple):
    """How crashes are held against requests.

    Attributes:
        crashes: Under so many crashes a request is sent to no more; None for never.
        retries: With so many or more of them it gets no second attempt of its try; None to go by
            the book, which gives none to what one more crash would convict.
    """

    crashes: int | None
    retries: int | None = NEVER


class Play(NamedTuple):
    """What came of a play.

    Attributes:
        crashed: How many engines ended.
        refused: How many other requests were refused for crashes at least once.
        lost: How many other requests were not served.
        sent: How many other requests there were.
    """

    crashed: int
    refused: int
    lost: int
    sent: int


class Engine:
    """One engine, which ends with all that it runs."""

    def __init__(self, environment: simpy.Environment, number: int) -> None:
        self.number = number
        self.starts = 0
        self.up = True
        self.ended = environment.event()
        self.running: dict[Fingerprint, CrashBook] = {}

    @property
    def instance(self) -> str:
        return f"i-{self.number}-{self.starts}"


class Fleet:
    """The engines, what requests do, and what each box holds against them: others' news late."""

    def __init__(self, way: Way, seed: int, *, own_crashes_per_s: float) -> None:
        self.way = way
        self.environment = simpy.Environment()
        self.chance = random.Random(seed)
        self.engines = [Engine(self.environment, number) for number in range(ENGINES)]
        terms = QuarantineTerms(crashes=way.crashes or NEVER)
        self.books = [CrashBook(terms=lambda: terms, log=Log("test", "b")) for _ in range(BOXES)]
        self.crashed = self.refused = self.lost = self.sent = 0
        self.environment.process(self._others())
        self.environment.process(self._guilty())
        self.environment.process(self._own_crashes(own_crashes_per_s))

    def play(self) -> Play:
        self.environment.run(until=LENGTH_S)
        return Play(self.crashed, self.refused, self.lost, self.sent)

    def _others(self) -> Iterator[Any]:
        while True:
            yield self.environment.timeout(self.chance.expovariate(PER_S))
            self.sent += 1
            fingerprint = Fingerprint(f"{self.sent:032x}")
            self.environment.process(self._request(fingerprint))

    def _guilty(self) -> Iterator[Any]:
        yield self.environment.timeout(5.0)
        while True:
            yield self.environment.timeout(self.chance.expovariate(1 / 1.5))
            self.environment.process(self._request(GUILTY))

    def _own_crashes(self, per_s: float) -> Iterator[Any]:
        while per_s:
            yield self.environment.timeout(self.chance.expovariate(per_s))
            up = [engine for engine in self.engines if engine.up]
            if up:
                self._crash(self.chance.choice(up))

    def _request(self, fingerprint: Fingerprint) -> Iterator[Any]:
        adapter = self.chance.randrange(ADAPTERS)
        for _ in range(TRIES):
            book = self.chance.choice(self.books)
            if (yield self.environment.process(self._try(fingerprint, adapter, book))):
                book.record_completion(fingerprint)
                return
            yield self.environment.timeout(RETURNS_S)
        if fingerprint != GUILTY:
            self.lost += 1

    def _try(self, fingerprint: Fingerprint, adapter: int, book: CrashBook) -> Iterator[Any]:
        tried: set[int] = set()
        for attempt in range(ATTEMPTS):
            if book.quarantined_for_s(fingerprint) is not None:
                self.refused += fingerprint != GUILTY
                return False
            if attempt and not self._may_be_retried(fingerprint, book):
                return False
            engine = self._choose(adapter, tried)
            if engine is None:
                return False
            tried.add(engine.number)
            if (yield self.environment.process(self._run(fingerprint, engine, book))):
                return True
        return False

    def _may_be_retried(self, fingerprint: Fingerprint, book: CrashBook) -> bool:
        if self.way.retries is None:
            return book.may_be_retried(fingerprint)
        return len(book._crashes_of(fingerprint)) < self.way.retries

    def _choose(self, adapter: int, tried: set[int]) -> Engine | None:
        holders = [self.engines[(adapter + step) % ENGINES] for step in range(HOLDERS)]
        for group in (holders, self.engines):
            up = [item for item in group if item.up and item.number not in tried]
            if up:
                return min(up, key=lambda item: len(item.running))
        return None

    def _run(self, fingerprint: Fingerprint, engine: Engine, book: CrashBook) -> Iterator[Any]:
        engine.running[fingerprint] = book
        ended = engine.ended
        is_guilty = fingerprint == GUILTY
        lasts_s = BEGINS_S + (CRASHES_AFTER_S if is_guilty else self.chance.expovariate(1 / RUNS_S))
        over = self.environment.timeout(lasts_s)
        yield over | ended
        if ended.triggered:
            return False
        if is_guilty:
            self._crash(engine)
            return False
        engine.running.pop(fingerprint, None)
        return True

    def _crash(self, engine: Engine) -> None:
        self.crashed += 1
        broke, engine.running = engine.running, {}
        for book in set(broke.values()):
            own = [item for item, seen_by in broke.items() if seen_by is book]
            accused = [str(item) for item in own if not book.consume_completion(item)]
            key = f"crash/{self.books.index(book)}/{engine.instance}"
            self._report(key, CrashReport("b", engine.instance, accused), book)
        ended, engine.ended = engine.ended, self.environment.event()
        engine.up = False
        engine.starts += 1
        ended.succeed()
        self.environment.process(self._come_back(engine))

    def _report(self, key: str, report: CrashReport, own: CrashBook) -> None:
        own.hold(key, report)
        others = [book for book in self.books if book is not own]
        self.environment.process(self._notify(key, report, others))

    def _notify(self, key: str, report: CrashReport, others: list[CrashBook]) -> Iterator[Any]:
        yield self.environment.timeout(TOLD_AFTER_S)
        for book in others:
            book.hold(key, report)

    def _come_back(self, engine: Engine) -> Iterator[Any]:
        yield self.environment.timeout(BACK_AFTER_S)
        engine.up = True


WAYS = {
    "as it stood": Way(None),
    "two": Way(2),
    "three": Way(3),
    "three, one attempt once accused": Way(3, retries=1),
    "three, one attempt once accused twice (as built)": Way(3, retries=None),
}
"""Over 30 seeds of 60 s, 2,400 requests each, without own crashes of the engines | with one in 10 s
| with one in 2.5 s: engines that ended, other requests refused, other requests not served.

| way | | | |
|---|---|---|---|
| two | 118, 62, 64 | 293, 80, 83 | 895, 338, 545 |
| three | 165, 37, 166 | 325, 29, 45 | 861, 165, 707 |
| three, one attempt once accused | 141, 0, 274 | 334, 0, 330 | 907, 0, 1367 |
| three, one attempt once accused twice | 140, 18, 61 | 308, 32, 85 | 845, 138, 592 |

As it stood 528 engines ended in 6 seeds without own crashes, and 4,802 of 14,523 other requests
were not served (a trial in which all boxes learnt at the same time). Two crashes would do as well
here, but refuse more than twice as many others, each for as long as a crash is held against it."""

SEEDS = range(3)


BUILT = WAYS["three, one attempt once accused twice (as built)"]


def play_all(way: Way, *, own_crashes_per_s: float, patch: pytest.MonkeyPatch) -> Play:
    plays = []
    for seed in SEEDS:
        fleet = Fleet(way, seed, own_crashes_per_s=own_crashes_per_s)
        patch.setattr(book_module, "monotonic", lambda fleet=fleet: fleet.environment.now)
        plays.append(fleet.play())
    return Play(*(sum(column) for column in zip(*plays, strict=True)))


def test_few_engines_end_under_one_request_and_few_others_suffer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Over 3 seeds; as it stood over 200 engines ended."""
    play = play_all(BUILT, own_crashes_per_s=0.0, patch=monkeypatch)
    assert play.crashed <= 8 * len(SEEDS)
    assert play.refused <= 0.002 * play.sent
    assert play.lost <= 0.005 * play.sent


def test_ordinary_crashes_convict_hardly_anybody(monkeypatch: pytest.MonkeyPatch) -> None:
    play = play_all(BUILT, own_crashes_per_s=0.4, patch=monkeypatch)
    assert play.refused <= 0.005 * play.sent


def test_without_a_book_one_request_ends_engine_after_engine(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    play = play_all(WAYS["as it stood"], own_crashes_per_s=0.0, patch=monkeypatch)
    assert play.crashed >= 50 * len(SEEDS)
