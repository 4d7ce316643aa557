"""How a box asks for permits to send to metered replicas, and how it handles the answers."""

from __future__ import annotations

import gevent
import pytest

from springrock.clock import monotonic
from springrock.forwarding.directory import Replica, ReplicaRecord
from springrock.forwarding.eligibility import Obstacle
from springrock.forwarding.errors import NoReplica
from springrock.permits.brittle import RefusalShares
from springrock.permits.choice import pick
from springrock.permits.messages import (
    PermitAsk,
    PermitStage,
    Permitted,
    PermitUse,
    PermitVerdict,
    ReplicaObservation,
)
from springrock.permits.named_limits import NamedLimits
from springrock.permits.own_shares import OwnShares
from springrock.permits.permit_book import PermitBook, PermitsUnheard
from springrock.permits.permits import Permit, Permits
from springrock.permits.terms import PERMIT_LIFE_S
from tests.factories import make_limits


def replica(instance: str) -> Replica:
    return Replica(
        ReplicaRecord(instance=instance, service="s", address="127.0.0.1:1", zone="zone-1")
    )


COLD, COLDER, WARM = replica("cold"), replica("colder"), replica("warm")


# The book of pending asks.


def test_a_permit_is_valid_from_before_the_ask() -> None:
    urgent: list[bool] = []
    book = PermitBook(on_update=urgent.append)
    asked_at = monotonic()
    task = gevent.spawn(book.ask, PermitAsk(0, "r", "s", "i-1", True))
    gevent.sleep(0.02)
    assert (book.drain_updates(), urgent) == (([PermitAsk(1, "r", "s", "i-1", True)], []), [True])
    book.record_permitted(Permitted(1, counts=True, granted=True))
    verdict, valid_until = task.get(timeout=5)
    assert verdict == PermitVerdict(True)
    assert asked_at + PERMIT_LIFE_S <= valid_until < asked_at + 0.02 + PERMIT_LIFE_S


@pytest.mark.parametrize("permitted", [None, Permitted(1, counts=False)])
def test_without_an_answer_of_an_authorized_placer_there_is_no_permit(
    permitted: Permitted | None,
) -> None:
    book = PermitBook(on_update=lambda urgent: None)
    task = gevent.spawn(book.ask, PermitAsk(0, "r", "s", "i-1", False))
    gevent.sleep(0)
    if permitted is not None:
        book.record_permitted(permitted)
    with pytest.raises(PermitsUnheard):
        task.get(timeout=5)
    assert book.drain_updates() == ([], [])
    book.record_permitted(Permitted(1, counts=True, granted=True))


def test_losing_the_placer_ends_all_asks_at_once() -> None:
    book = PermitBook(on_update=lambda urgent: None)
    book.record_observation("i-1", answered=False)
    task = gevent.spawn(book.ask, PermitAsk(0, "r", "s", "i-1", False))
    gevent.sleep(0)
    book.forget_placer()
    with pytest.raises(PermitsUnheard):
        task.get(timeout=5)
    assert book.drain_updates() == ([], [])


def test_observations_are_sent_in_order_without_duplicates() -> None:
    book = PermitBook(on_update=lambda urgent: None)
    for answered in (False, False, True):
        book.record_observation("i-1", answered=answered)
    assert book.drain_updates()[1] == [
        ReplicaObservation("i-1", False),
        ReplicaObservation("i-1", True),
    ]


# The box.


class ScriptedCounter:
    """Returns its verdicts in turn, and does not answer when none is left."""

    def __init__(self, *verdicts: PermitVerdict) -> None:
        self.verdicts = list(verdicts)
        self.asked = 0
        self.uses: list[PermitUse] = []

    def record_permit_use(self, use: PermitUse) -> None:
        self.uses.append(use)

    def permit(self, permit_ask: PermitAsk) -> tuple[PermitVerdict, float]:
        self.asked += 1
        if not self.verdicts:
            raise PermitsUnheard()
        return self.verdicts.pop(0), 77.0


def make_permits(
    counter: ScriptedCounter,
    unanswered_permits: list[int] | None = None,
    *,
    cold: bool = True,
    limits: NamedLimits | None = None,
    boxes: int = 1,
    brittle_per_s: float | None = None,
) -> Permits:
    calls = [] if unanswered_permits is None else unanswered_permits
    return Permits(
        counter=lambda zone: counter,
        on_unanswered=lambda: calls.append(1),
        is_cold=lambda record: cold,
        limits=limits or make_limits(),
        shares=OwnShares(home_zone="zone-1", boxes=lambda: boxes),
        refusal_shares=RefusalShares(home_zone="zone-1", boxes=lambda: boxes),
        brittle=lambda service, instance: brittle_per_s,
    )


def test_a_granted_ask_returns_a_permit() -> None:
    permits = make_permits(ScriptedCounter(PermitVerdict(True)))
    assert permits.ask(COLD.record, request="r", reserve_retry=False) == Permit(77.0)


def test_a_replica_without_room_is_not_asked_again_unless_a_caller_needs_a_retry_slot() -> None:
    counter = ScriptedCounter(PermitVerdict(False, 60.0, 60.0), PermitVerdict(False, 60.0, 61.0))
    permits = make_permits(counter)
    assert permits.ask(COLD.record, request="r", reserve_retry=False) == Permit(None, 60.0)
    assert permits.ask(COLD.record, request="r", reserve_retry=False).valid_until is None
    assert counter.asked == 1
    assert permits.ask(COLD.record, request="r", reserve_retry=True) == Permit(None, 61.0)


def test_a_zone_that_does_not_answer_is_skipped_for_a_while() -> None:
    counter, unanswered_permits = ScriptedCounter(), list[int]()
    permits = make_permits(counter, unanswered_permits)
    for _ in range(3):
        assert permits.ask(COLD.record, request="r", reserve_retry=True).valid_until is None
    assert (counter.asked, len(unanswered_permits)) == (1, 1)


# Limits that replicas name.


def limited_to(per_s: float) -> NamedLimits:
    limits = make_limits()
    limits.record_limit_named("cold", per_s, sent_at=monotonic())
    return limits


def test_without_a_placer_a_box_sends_its_share_to_its_own_zone() -> None:
    permits = make_permits(ScriptedCounter(), cold=False, limits=limited_to(1.0), boxes=2)
    assert permits.ask(COLD.record, request="r", reserve_retry=True).valid_until is not None
    refused = permits.ask(COLD.record, request="r", reserve_retry=True)
    assert refused.valid_until is None
    assert 1.5 < refused.retry_after_s <= 2.0


def test_nothing_is_sent_uncounted_to_a_limited_replica_that_is_cold() -> None:
    permits = make_permits(ScriptedCounter(), cold=True, limits=limited_to(1.0))
    assert permits.ask(COLD.record, request="r", reserve_retry=True).valid_until is None


@pytest.mark.parametrize(("boxes", "sends"), [(0, False), (4, True), (5, False)])
def test_if_there_are_too_many_boxes_none_sends_uncounted(boxes: int, sends: bool) -> None:
    permits = make_permits(ScriptedCounter(), cold=False, limits=limited_to(1.0), boxes=boxes)
    permit = permits.ask(COLD.record, request="r", reserve_retry=True)
    assert (permit.valid_until is not None) is sends


def test_a_permit_from_a_placer_without_named_limits_is_charged_to_the_share() -> None:
    counter = ScriptedCounter(PermitVerdict(True), PermitVerdict(True))
    permits = make_permits(counter, cold=True, limits=limited_to(1.0))
    assert permits.ask(COLD.record, request="r", reserve_retry=True).valid_until is not None
    assert permits.ask(COLD.record, request="r", reserve_retry=True).valid_until is None


# Brittle replicas.


def test_without_a_placer_a_box_sends_its_share_to_a_brittle_replica() -> None:
    permits = make_permits(ScriptedCounter(), cold=False, boxes=2, brittle_per_s=8.0)
    assert permits.ask(COLD.record, request="r", reserve_retry=True).valid_until is not None
    refused = permits.ask(COLD.record, request="s", reserve_retry=True)
    assert refused.valid_until is None and refused.retry_after_s > 0
    permits.record_use(COLD.record, "r", PermitStage.ADMITTED)
    assert permits.ask(COLD.record, request="s", reserve_retry=True).valid_until is not None


@pytest.mark.parametrize(("boxes", "sends"), [(0, False), (2, True), (3, False)])
def test_boxes_send_nothing_uncounted_if_a_brittle_replica_bears_too_little(
    boxes: int, sends: bool
) -> None:
    permits = make_permits(ScriptedCounter(), cold=False, boxes=boxes, brittle_per_s=8.0)
    permit = permits.ask(COLD.record, request="r", reserve_retry=True)
    assert (permit.valid_until is not None) is sends


def test_a_permit_from_a_placer_that_counts_no_places_is_charged_to_the_share() -> None:
    counter = ScriptedCounter(*[PermitVerdict(True, limited=True)] * 2, PermitVerdict(True))
    permits = make_permits(counter, cold=False, boxes=2, brittle_per_s=8.0)
    assert permits.ask(COLD.record, request="r", reserve_retry=True).valid_until is not None
    assert permits.ask(COLD.record, request="s", reserve_retry=True).valid_until is None


def test_only_what_concerns_brittle_replicas_is_reported() -> None:
    counter = ScriptedCounter()
    make_permits(counter).record_use(COLD.record, "r", PermitStage.ENDED)
    assert counter.uses == []
    make_permits(counter, brittle_per_s=8.0).record_use(COLD.record, "r", PermitStage.ENDED)
    assert counter.uses == [PermitUse(COLD.instance, "r", PermitStage.ENDED)]


# The choice of a replica.


class Candidates:
    """Selects the first replica that is not excluded; only `WARM` needs no permit."""

    def __init__(self, *replicas: Replica) -> None:
        self.replicas = replicas

    def __call__(
        self, *, include_metered: bool, excluded: frozenset[str] = frozenset()
    ) -> Replica | None:
        fitting = [
            item
            for item in self.replicas
            if item.instance not in excluded and (include_metered or item is WARM)
        ]
        return fitting[0] if fitting else None


def pick_among(*candidates: Replica, verdicts: tuple[PermitVerdict, ...] = ()) -> tuple[str, bool]:
    found = pick(
        Candidates(*candidates),
        metered=lambda item: None if item is WARM else Obstacle.COLD,
        permits=make_permits(ScriptedCounter(*verdicts)),
        request="r",
    )
    assert found is not None
    return found.replica.instance, found.send_by is not None


def test_a_warm_replica_that_is_best_is_chosen_without_asking() -> None:
    assert pick_among(WARM, COLD) == ("warm", False)


def test_a_better_cold_replica_is_chosen_with_a_permit_and_the_warm_one_without() -> None:
    assert pick_among(COLD, WARM, verdicts=(PermitVerdict(True),)) == ("cold", True)
    assert pick_among(COLD, WARM, verdicts=(PermitVerdict(False, 1.0, 1.0),)) == ("warm", False)
    assert pick_among(COLD, WARM) == ("warm", False)


def test_a_second_cold_replica_is_asked_for() -> None:
    verdicts = (PermitVerdict(False, 1.0, 1.0), PermitVerdict(True))
    assert pick_among(COLD, COLDER, verdicts=verdicts) == ("colder", True)


def test_without_a_permit_the_refusal_has_the_shortest_retry_delay() -> None:
    verdicts = (PermitVerdict(False, 1.0, 2.0), PermitVerdict(False, 1.0, 1.5))
    with pytest.raises(NoReplica) as refusal:
        pick_among(COLD, COLDER, verdicts=verdicts)
    assert (refusal.value.reason, refusal.value.retry_after_s) == ("cold", 1.5)


def test_a_caller_without_a_permit_is_never_told_to_retry_at_once() -> None:
    with pytest.raises(NoReplica) as refusal:
        pick_among(COLD, verdicts=(PermitVerdict(False, 0.002, 0.002),))
    assert refusal.value.retry_after_s == 0.1


def test_without_any_replica_none_is_picked() -> None:
    nothing = pick(
        Candidates(),
        metered=lambda item: None,
        permits=make_permits(ScriptedCounter()),
        request="r",
    )
    assert nothing is None
