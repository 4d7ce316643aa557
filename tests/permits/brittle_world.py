"""Simulates boxes, the placers of a zone and one brittle replica, in virtual time."""

from __future__ import annotations

import heapq
import random
from bisect import bisect_left
from collections.abc import Callable
from itertools import count

import pytest

from springrock.forwarding.configuration import Configuration
from springrock.forwarding.directory import ReplicaRecord
from springrock.log import Log
from springrock.permits import brittle, counter, named_limits, own_shares, permits
from springrock.permits.brittle import RefusalShares
from springrock.permits.counter import PermitCounter
from springrock.permits.messages import (
    LimitReport,
    PermitAsk,
    PermitStage,
    Permitted,
    PermitUse,
    PermitVerdict,
)
from springrock.permits.own_shares import OwnShares
from springrock.permits.permit_book import PermitsUnheard
from springrock.permits.permits import Permits
from springrock.permits.terms import PERMIT_LIFE_S, SlowStartTerms
from tests.factories import make_brittle, make_limits

ZONE = "zone-1"
RECORD = ReplicaRecord(instance="i-1", service="s", address="127.0.0.1:1", zone=ZONE)

STEP_S = 0.01
HEARTBEAT_S = 0.25
MAX_ARRIVAL_S = 0.2
MAX_REPORT_S = 0.5
WORK_S = 0.1


class Placer:
    """The placer of the zone; it is a box of its own, in addition to the others."""

    def __init__(self, *, is_first: bool) -> None:
        self.brittle = make_brittle()
        self._answers: list[Permitted] = []
        self.counter = PermitCounter(
            ZONE,
            configuration=lambda: Configuration(version=1),
            terms=lambda: SlowStartTerms(1.0, 0.0),
            limits=make_limits(),
            lease_left_s=lambda: 1.0,
            continues_without_lease=lambda: True,
            answer=lambda box, permitted: self._answers.append(permitted),
            on_counted=lambda granted: None,
            log=Log("permits", "placer"),
            brittle=self.brittle.per_s,
        )
        if not is_first:
            self.counter.reset()

    def ask(self, box: str, ask: PermitAsk) -> PermitVerdict | None:
        self.counter.answer(box, [ask])
        return self._answers.pop().verdict


class Box:
    """One box, with its real `BrittleReplicas` and `Permits`."""

    def __init__(self, number: int, world: BrittleWorld) -> None:
        self.name = f"box-{number}"
        self.world = world
        self.linked = True
        self.brittle = make_brittle()
        self.brittle.words.on_limit_report.append(self._notify)
        self.permits = Permits(
            counter=lambda zone: self,
            on_unanswered=lambda: None,
            is_cold=lambda record: False,
            limits=make_limits(),
            shares=OwnShares(home_zone=ZONE, boxes=lambda: len(world.boxes)),
            refusal_shares=RefusalShares(home_zone=ZONE, boxes=lambda: len(world.boxes)),
            brittle=self.brittle.per_s,
        )

    def _notify(self, report: LimitReport) -> None:
        if self.linked and self.world.placer is not None:
            self.world.placer.brittle.words.apply_limit_report(report)

    def permit(self, permit_ask: PermitAsk) -> tuple[PermitVerdict, float]:
        placer = self.world.placer
        verdict = placer.ask(self.name, permit_ask) if self.linked and placer is not None else None
        if verdict is None:
            raise PermitsUnheard()
        return verdict, self.world.now + PERMIT_LIFE_S

    def record_permit_use(self, use: PermitUse) -> None:
        """Tell the placer of that time what became of a request, after a delay."""
        placer = self.world.placer
        if not self.linked or placer is None:
            return
        delay_s = self.world.chance.random() * self.world.max_report_s
        self.world.after(delay_s, lambda: placer.counter.record_uses(self.name, [use]))

    def try_send(self) -> bool:
        """Send a request if that is allowed; return whether it was sent."""
        request = f"r-{next(self.world.numbers)}"
        if self.brittle.is_brittle(RECORD):
            permit = self.permits.ask(RECORD, request=request, reserve_retry=False)
            if permit.valid_until is None:
                return False
        self.world.send(self, request)
        return True


class BrittleWorld:
    """The replica, the boxes and the current placer.

    Args:
        boxes: How many boxes are in the zone, in addition to the placer.
        per_s: How many requests the replica may turn away in a second, as it says.
        room_of: Returns how many requests it runs at once at a time.
        max_report_s: The largest delay of reports to the placer.
        head_first: Whether the head of an answer arrives when the request begins to run.
    """

    def __init__(
        self,
        boxes: int,
        *,
        per_s: float,
        room_of: Callable[[float], int],
        max_report_s: float = MAX_REPORT_S,
        head_first: bool = True,
        seed: int = 1,
    ) -> None:
        self.now = 0.0
        self.chance = random.Random(seed)
        self.numbers = count(1)
        self.max_report_s = max_report_s
        self.placer: Placer | None = Placer(is_first=True)
        self.boxes = [Box(number, self) for number in range(boxes)]
        self.refusals: list[float] = []
        self.served: list[float] = []
        self._per_s = per_s
        self._room_of = room_of
        self._head_first = head_first
        self._running = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._heartbeat_at = 0.0

    def replace_placer(self) -> None:
        """Replace the placer by a new one, to which the linked boxes report what they know."""
        self.placer = Placer(is_first=False)
        for box in self.boxes:
            if box.linked:
                for report in box.brittle.words.reports_for([RECORD.instance]):
                    self.placer.brittle.words.apply_limit_report(report)

    def after(self, delay_s: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay_s, next(self.numbers), act))

    def send(self, box: Box, request: str) -> None:
        """Send a request within the life of its permit."""
        delay_s = self.chance.random() * (PERMIT_LIFE_S + MAX_ARRIVAL_S)
        sent_at = self.now
        self.after(delay_s, lambda: self._arrive(box, request, sent_at))

    def _arrive(self, box: Box, request: str, sent_at: float) -> None:
        back_s = self.chance.random() * MAX_ARRIVAL_S
        if self._running >= self._room_of(self.now):
            self.refusals.append(self.now)
            self.after(back_s, lambda: self._settle(box, request, sent_at, PermitStage.REFUSED))
            return
        self._running += 1
        if self._head_first:
            self.after(back_s, lambda: self._settle(box, request, sent_at, PermitStage.ADMITTED))
        self.after(WORK_S, lambda: self._end(box, request, sent_at, back_s))

    def _end(self, box: Box, request: str, sent_at: float, back_s: float) -> None:
        self._running -= 1
        self.served.append(self.now)
        if not self._head_first:
            self.after(back_s, lambda: self._settle(box, request, sent_at, PermitStage.ADMITTED))
        self.after(back_s, lambda: self._settle(box, request, sent_at, PermitStage.ENDED))

    def _settle(self, box: Box, request: str, sent_at: float, stage: PermitStage) -> None:
        box.brittle.words.record_limit_named(RECORD.instance, self._per_s, sent_at=sent_at)
        box.permits.record_use(RECORD, request, stage)

    def step(self) -> None:
        """Advance the time by one step."""
        until = self.now + STEP_S
        while self._events and self._events[0][0] <= until:
            self.now, _, act = heapq.heappop(self._events)
            act()
        self.now = until
        if self.placer is not None and self.now >= self._heartbeat_at + HEARTBEAT_S:
            self._heartbeat_at = self.now
            for box in self.boxes:
                if box.linked:
                    box.brittle.words.apply_placer_limits(
                        ZONE, self.placer.brittle.words.in_force([RECORD.instance])
                    )

    def apply_load(self, *, seconds: float, per_s: float) -> None:
        """Give each box requests at random times."""
        for _ in range(round(seconds / STEP_S)):
            self.step()
            for box in self.chance.sample(self.boxes, len(self.boxes)):
                if self.chance.random() < per_s * STEP_S:
                    box.try_send()

    def worst_second(self) -> int:
        """Return how many requests the replica turned away in its worst second."""
        at = self.refusals
        return max((bisect_left(at, then + 1.0) - i for i, then in enumerate(at)), default=0)


def use_virtual_clock(patch: pytest.MonkeyPatch, world: BrittleWorld) -> None:
    """Let the code under test use the world's clock, and write no logs."""
    for module in (brittle, counter, named_limits, own_shares, permits):
        patch.setattr(module, "monotonic", lambda: world.now)
    patch.setattr(Log, "info", lambda self, sentence, **fields: None)
