"""Boxes, the placers of a zone and one replica that names a limit, in virtual time."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import NamedTuple

import pytest

from springrock.forwarding.configuration import Configuration
from springrock.forwarding.directory import ReplicaRecord
from springrock.log import Log
from springrock.permits import counter, named_limits, own_shares, permits
from springrock.permits.counter import PermitCounter
from springrock.permits.messages import LimitReport, PermitAsk, Permitted, PermitVerdict
from springrock.permits.named_limits import NamedLimits
from springrock.permits.own_shares import OwnShares
from springrock.permits.permit_book import PermitsUnheard
from springrock.permits.permits import Permits
from springrock.permits.terms import (
    LIMIT_WINDOW_S,
    PERMIT_LIFE_S,
    SlowStartTerms,
    tolerated_in_window,
)
from tests.worlds import make_limits

ZONE = "zone-1"
RECORD = ReplicaRecord(instance="i-1", service="s", address="127.0.0.1:1", zone=ZONE)

HEARTBEAT_S = 0.25
TRAVEL_S = 0.005
ANSWERED_S = 0.05
STEP_S = 0.01

KNOWN_AFTER_S = 3.0
"""From so long after a replica first named its limit it is to get no more than it bears."""

TOLD_AFTER_S = 0.5
"""A box counts from so long after it passed on an answer that names the limit."""


class Answer(NamedTuple):
    """An answer on its way back: what it names was settled when its request arrived."""

    at: float
    box: int
    sent_at: float
    per_s: float | None


class Arrival(NamedTuple):
    """A request at the replica."""

    at: float
    box: int


class Box:
    """One box: what it knows, and how it asks."""

    def __init__(self, number: int, world: LimitWorld) -> None:
        self.number = number
        self.world = world
        self.linked = True
        self.reported_at: float | None = None
        self.limits = make_limits()
        self.limits.on_limit_report.append(self._notify)
        self.permits = Permits(
            counter=lambda zone: self,
            on_unanswered=lambda: None,
            is_cold=lambda record: False,
            limits=self.limits,
            shares=OwnShares(home_zone=ZONE, boxes=lambda: world.home_boxes),
        )

    def _notify(self, word: LimitReport) -> None:
        if self.linked and self.world.placer is not None:
            self.world.placer.limits.apply_limit_report(word)

    def permit(self, adapter_request: PermitAsk) -> tuple[PermitVerdict, float]:
        placer = self.world.placer
        if not self.linked or placer is None:
            raise PermitsUnheard()
        verdict = placer.ask(adapter_request)
        if verdict is None:
            raise PermitsUnheard()
        return verdict, self.world.now + PERMIT_LIFE_S

    def try_send(self) -> bool:
        """Send a request if that is allowed."""
        limited = self.limits.per_s(RECORD.instance) is not None
        if limited and self.permits.ask(RECORD, request="r", returns=False).good_until is None:
            return False
        self.world.send(self.number)
        return True


class Placer:
    """The box that places the zone, beside the others."""

    def __init__(self) -> None:
        self.limits: NamedLimits = make_limits()
        self._answers: list[Permitted] = []
        self._counter = PermitCounter(
            ZONE,
            configuration=lambda: Configuration(version=1),
            terms=lambda: SlowStartTerms(1.0, 0.0),
            limits=self.limits,
            lease_left_s=lambda: 1.0,
            goes_on=lambda: True,
            answer=lambda box, permitted: self._answers.append(permitted),
            on_counted=lambda granted: None,
            log=Log("permits", "placer"),
        )

    def ask(self, ask: PermitAsk) -> PermitVerdict | None:
        self._counter.answer("box", [ask])
        return self._answers.pop().verdict


class LimitWorld:
    """All of them; time passes by steps.

    Args:
        boxes: How many boxes stand in the zone, beside the placer's.
        limit_of: Returns the limit that the replica names at a time; None for none.
    """

    def __init__(self, boxes: int, limit_of: Callable[[float], float | None]) -> None:
        self.now = 0.0
        self.limit_of = limit_of
        self.home_boxes = boxes
        self.placer: Placer | None = Placer()
        self.boxes = [Box(number, self) for number in range(boxes)]
        self.arrivals: list[Arrival] = []
        self.first_named_at: float | None = None
        self._answers: list[Answer] = []
        self._heartbeat_at = 0.0

    def replace_placer(self) -> None:
        """Let another box place from now on; it is told by the linked ones what they know."""
        self.placer = Placer()
        for box in self.boxes:
            if box.linked:
                self.broadcast(box)

    def broadcast(self, box: Box) -> None:
        """Let a box tell a placer that is new to it."""
        if self.placer is not None:
            for word in box.limits.arguments([RECORD.instance]):
                self.placer.limits.apply_limit_report(word)

    def send(self, box: int) -> None:
        """Let a request of a box arrive, and its answer be on its way."""
        at = self.now + TRAVEL_S
        per_s = self.limit_of(at)
        self.arrivals.append(Arrival(at, box))
        self._answers.append(Answer(at + ANSWERED_S, box, self.now, per_s))

    def step(self) -> None:
        """Let time pass."""
        self.now += STEP_S
        for answer in [answer for answer in self._answers if answer.at <= self.now]:
            self._answers.remove(answer)
            self._take(answer)
        if self.placer is not None and self.now >= self._heartbeat_at + HEARTBEAT_S:
            self._heartbeat_at = self.now
            for box in self.boxes:
                if box.linked:
                    box.limits.apply_reported(ZONE, self.placer.limits.named([RECORD.instance]))

    def _take(self, answer: Answer) -> None:
        box = self.boxes[answer.box]
        if answer.per_s is None:
            box.limits.record_silent(RECORD.instance, sent_at=answer.sent_at)
            return
        box.limits.record_limit_named(RECORD.instance, answer.per_s, sent_at=answer.sent_at)
        self.first_named_at = self.now if self.first_named_at is None else self.first_named_at
        box.reported_at = self.now if box.reported_at is None else box.reported_at

    def excess(self) -> float:
        """Return by how many requests the replica got more than it bears in the worst window."""
        if self.first_named_at is None:
            return 0.0
        counted = [arrival.at for arrival in self.arrivals if self._counts(arrival)]
        worst = 0.0
        for end, at in enumerate(counted):
            if at < self.first_named_at + KNOWN_AFTER_S:
                continue
            within = [then for then in counted[: end + 1] if then > at - LIMIT_WINDOW_S]
            borne = self._borne(at)
            if borne is not None:
                worst = max(worst, len(within) - borne)
        return worst

    def _counts(self, arrival: Arrival) -> bool:
        reported_at = self.boxes[arrival.box].reported_at
        return reported_at is not None and arrival.at >= reported_at + TOLD_AFTER_S

    def _borne(self, end: float) -> float | None:
        """Return what a window bears in which one limit stood all along; else None."""
        ticks = int(LIMIT_WINDOW_S / STEP_S)
        limits = {self.limit_of(end - tick * STEP_S) for tick in range(ticks + 1)}
        [*others, limit] = limits
        return None if others or limit is None else tolerated_in_window(limit)


def quiet_and_virtual(patch: pytest.MonkeyPatch, world: LimitWorld) -> None:
    """Let all parts go by the world's clock, and write no logs."""
    for module in (counter, named_limits, own_shares, permits):
        patch.setattr(module, "monotonic", lambda: world.now)
    patch.setattr(Log, "say", lambda self, sentence, **fields: None)


class Pressed(NamedTuple):
    """How many requests clients wanted to be sent, and how many were."""

    wanted: int
    sent: int


def press(
    world: LimitWorld, *, seconds: float, per_s: Callable[[int], float], seed: int = 1
) -> Pressed:
    """Let each box have requests at random, some a second."""
    chance = random.Random(seed)
    wanted = sent = 0
    for _ in range(round(seconds / STEP_S)):
        world.step()
        for box in chance.sample(world.boxes, len(world.boxes)):
            if chance.random() < per_s(box.number) * STEP_S:
                wanted += 1
                sent += box.try_send()
    return Pressed(wanted, sent)
