"""Simulates boxes, the placers of a zone and one replica that names a limit, in virtual time."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import NamedTuple

import pytest

from springrock.forwarding.configuration import Configuration
from springrock.forwarding.directory import ReplicaRecord
from springrock.log import Log
from springrock.permits import counter, named_limits, own_shares, permits
from springrock.permits.counter import HomeBoxes, PermitCounter
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
from springrock.placement.box_count import BoxCount
from tests.factories import make_limits

ZONE = "zone-1"
RECORD = ReplicaRecord(instance="i-1", service="s", address="127.0.0.1:1", zone=ZONE)

HEARTBEAT_S = 0.25
REQUEST_DELAY_S = 0.005
ANSWER_DELAY_S = 0.05
STEP_S = 0.01

ENFORCED_AFTER_S = 3.0
"""How long after a replica first named its limit it must not receive more than it tolerates."""

JUDGED_AFTER_S = 0.5
"""How long after a box first read an answer that names the limit its requests are judged."""


class Answer(NamedTuple):
    """An answer in transit; the limit it names is that at the arrival of its request."""

    at: float
    box: int
    sent_at: float
    per_s: float | None


class Arrival(NamedTuple):
    """A request at the replica."""

    at: float
    box: int


class Box:
    """One box, with its real `NamedLimits` and `Permits`."""

    def __init__(self, number: int, world: LimitWorld) -> None:
        self.number = number
        self.world = world
        self.linked = True
        self.first_named_at: float | None = None
        self.box_count = BoxCount(zones=1)
        self.box_count.record(world.home_boxes, home=world.home_boxes)
        self.limits = make_limits()
        self.limits.on_limit_report.append(self._notify)
        self.permits = Permits(
            counter=lambda zone: self,
            on_unanswered=lambda: None,
            is_cold=lambda record: False,
            limits=self.limits,
            shares=OwnShares(home_zone=ZONE, boxes=lambda: self.box_count.most_home),
        )

    def _notify(self, report: LimitReport) -> None:
        if self.linked and self.world.placer is not None:
            self.world.placer.limits.apply_limit_report(report)

    def permit(self, permit_ask: PermitAsk) -> tuple[PermitVerdict, float]:
        placer = self.world.placer
        if not self.linked or placer is None:
            raise PermitsUnheard()
        verdict = placer.ask(permit_ask)
        if verdict is None:
            raise PermitsUnheard()
        return verdict, self.world.now + PERMIT_LIFE_S

    def try_send(self) -> bool:
        """Send a request if that is allowed; return whether it was sent."""
        limited = self.limits.per_s(RECORD.instance) is not None
        if (
            limited
            and self.permits.ask(RECORD, request="r", reserve_retry=False).valid_until is None
        ):
            return False
        self.world.send(self.number)
        return True


class Placer:
    """The placer of the zone; it is a box of its own, in addition to the others."""

    def __init__(self, home_boxes: Callable[[], HomeBoxes]) -> None:
        self.limits: NamedLimits = make_limits()
        self._answers: list[Permitted] = []
        self._counter = PermitCounter(
            ZONE,
            configuration=lambda: Configuration(version=1),
            terms=lambda: SlowStartTerms(1.0, 0.0),
            limits=self.limits,
            lease_left_s=lambda: 1.0,
            continues_without_lease=lambda: True,
            answer=lambda box, permitted: self._answers.append(permitted),
            on_counted=lambda granted: None,
            log=Log("permits", "placer"),
            home_boxes=home_boxes,
        )

    def ask(self, ask: PermitAsk) -> PermitVerdict | None:
        self._counter.answer("box", [ask])
        return self._answers.pop().verdict


class LimitWorld:
    """The replica, the boxes and the current placer; time passes in steps.

    Args:
        boxes: How many boxes are in the zone, in addition to the placer.
        limit_of: Returns the limit that the replica names at a time; None for none.
    """

    def __init__(self, boxes: int, limit_of: Callable[[float], float | None]) -> None:
        self.now = 0.0
        self.limit_of = limit_of
        self.home_boxes = boxes
        self.placer: Placer | None = Placer(self._count_home_boxes)
        self.boxes = [Box(number, self) for number in range(boxes)]
        self.arrivals: list[Arrival] = []
        self.first_named_at: float | None = None
        self._answers: list[Answer] = []
        self._heartbeat_at = 0.0

    def replace_placer(self) -> None:
        """Replace the placer by a new one, to which the linked boxes report what they know."""
        self.placer = Placer(self._count_home_boxes)
        for box in self.boxes:
            if box.linked:
                self.broadcast(box)

    def _count_home_boxes(self) -> HomeBoxes:
        return HomeBoxes(self.home_boxes, sum(box.linked for box in self.boxes))

    def broadcast(self, box: Box) -> None:
        """Let a box report what it knows to a placer to which it was not linked before."""
        if self.placer is not None:
            for report in box.limits.reports_for([RECORD.instance]):
                self.placer.limits.apply_limit_report(report)

    def send(self, box: int) -> None:
        """Send a request of a box, and schedule its answer."""
        at = self.now + REQUEST_DELAY_S
        per_s = self.limit_of(at)
        self.arrivals.append(Arrival(at, box))
        self._answers.append(Answer(at + ANSWER_DELAY_S, box, self.now, per_s))

    def step(self) -> None:
        """Advance the time by one step."""
        self.now += STEP_S
        for answer in [answer for answer in self._answers if answer.at <= self.now]:
            self._answers.remove(answer)
            self._deliver(answer)
        if self.placer is not None and self.now >= self._heartbeat_at + HEARTBEAT_S:
            self._heartbeat_at = self.now
            for box in self.boxes:
                if box.linked:
                    linked = self._count_home_boxes().linked
                    box.box_count.record(linked, home=linked)
                    box.limits.apply_placer_limits(
                        ZONE, self.placer.limits.in_force([RECORD.instance])
                    )

    def _deliver(self, answer: Answer) -> None:
        box = self.boxes[answer.box]
        if answer.per_s is None:
            box.limits.record_limit_absent(RECORD.instance, sent_at=answer.sent_at)
            return
        box.limits.record_limit_named(RECORD.instance, answer.per_s, sent_at=answer.sent_at)
        self.first_named_at = self.now if self.first_named_at is None else self.first_named_at
        box.first_named_at = self.now if box.first_named_at is None else box.first_named_at

    def excess(self) -> float:
        """Return by how many requests the worst window exceeds what the replica tolerates."""
        if self.first_named_at is None:
            return 0.0
        judged = [arrival.at for arrival in self.arrivals if self._is_judged(arrival)]
        worst = 0.0
        for end, at in enumerate(judged):
            if at < self.first_named_at + ENFORCED_AFTER_S:
                continue
            within = [then for then in judged[: end + 1] if then > at - LIMIT_WINDOW_S]
            tolerated = self._tolerated(at)
            if tolerated is not None:
                worst = max(worst, len(within) - tolerated)
        return worst

    def _is_judged(self, arrival: Arrival) -> bool:
        named_at = self.boxes[arrival.box].first_named_at
        return named_at is not None and arrival.at >= named_at + JUDGED_AFTER_S

    def _tolerated(self, end: float) -> float | None:
        """Return what the replica tolerates in a window; None if its limit changed within it."""
        ticks = int(LIMIT_WINDOW_S / STEP_S)
        limits = {self.limit_of(end - tick * STEP_S) for tick in range(ticks + 1)}
        [*others, limit] = limits
        return None if others or limit is None else tolerated_in_window(limit)


def use_virtual_clock(patch: pytest.MonkeyPatch, world: LimitWorld) -> None:
    """Let the code under test use the world's clock, and write no logs."""
    for module in (counter, named_limits, own_shares, permits):
        patch.setattr(module, "monotonic", lambda: world.now)
    patch.setattr(Log, "info", lambda self, sentence, **fields: None)


class LoadResult(NamedTuple):
    """How many requests clients made, and how many were sent."""

    requested: int
    sent: int


def apply_load(
    world: LimitWorld, *, seconds: float, per_s: Callable[[int], float], seed: int = 1
) -> LoadResult:
    """Give each box requests at random times, at a rate that depends on its number."""
    chance = random.Random(seed)
    requested = sent = 0
    for _ in range(round(seconds / STEP_S)):
        world.step()
        for box in chance.sample(world.boxes, len(world.boxes)):
            if chance.random() < per_s(box.number) * STEP_S:
                requested += 1
                sent += box.try_send()
    return LoadResult(requested, sent)
