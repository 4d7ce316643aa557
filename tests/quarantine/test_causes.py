"""What crashes are put down to."""

from __future__ import annotations

from collections.abc import Collection

from springrock.forwarding.fingerprint import Fingerprint
from springrock.forwarding.suspects import Suspects
from springrock.quarantine.causes import find_causes

REQUEST, OTHER_REQUEST = Fingerprint("1" * 32), Fingerprint("2" * 32)
PART, RARE_PART, OTHER_PART = (Fingerprint(digit * 32) for digit in "abc")


def found(
    *,
    whole: dict[Fingerprint, str] | None = None,
    shared: dict[Fingerprint, str] | None = None,
    proven: Collection[Fingerprint] = (),
) -> list[set[Fingerprint]]:
    """Return the suspects of each cause; a letter is an incarnation that crashed."""
    causes = find_causes(
        whole={item: frozenset(crashed) for item, crashed in (whole or {}).items()},
        shared={item: frozenset(crashed) for item, crashed in (shared or {}).items()},
        crashes=3,
        is_proven=lambda suspect: suspect in proven,
    )
    return [set(cause.suspects) for cause in causes]


def test_fewer_crashes_than_required_have_no_cause() -> None:
    assert found(whole={REQUEST: "ij"}, shared={PART: "ij"}) == []


def test_each_request_with_enough_crashes_is_a_cause() -> None:
    assert found(whole={REQUEST: "ijk", OTHER_REQUEST: "jkl"}) == [{REQUEST}, {OTHER_REQUEST}]


def test_a_part_that_only_one_crashing_request_has_is_no_cause() -> None:
    assert found(whole={REQUEST: "ijk"}, shared={PART: "ijk"}) == [{REQUEST}]


def test_a_request_is_no_cause_if_a_part_was_there_at_its_crashes_and_others() -> None:
    assert found(whole={REQUEST: "ijk"}, shared={PART: "ijkl"}) == [{PART}]


def test_a_part_that_ran_beside_another_one_is_no_cause() -> None:
    assert found(shared={PART: "ijklm", RARE_PART: "ijk"}) == [{PART}]


def test_two_parts_that_crash_replicas_are_both_causes() -> None:
    assert found(shared={PART: "ijklm", OTHER_PART: "mnop"}) == [{PART}, {OTHER_PART}]


def test_parts_that_the_crashes_do_not_tell_apart_are_a_cause_together() -> None:
    assert found(shared={PART: "ijk", RARE_PART: "ijk"}) == [{PART, RARE_PART}]
    [cause] = find_causes(
        whole={}, shared=dict.fromkeys((PART, RARE_PART), frozenset("ijk")), crashes=3
    )
    assert cause.is_in(Suspects(REQUEST, (PART, OTHER_PART, RARE_PART)))
    assert not cause.is_in(Suspects(REQUEST, (PART,)))
    assert not cause.is_in(Suspects(REQUEST, (RARE_PART, OTHER_PART)))


def test_a_part_that_never_went_well_is_the_cause_before_one_that_did() -> None:
    crashed = {PART: "ijk", RARE_PART: "jklm"}
    assert found(shared=crashed, proven=[RARE_PART]) == [{PART}]
    assert found(shared=crashed, proven=[PART, RARE_PART]) == []


def test_a_part_that_went_well_once_is_a_cause_of_many_unexplained_crashes() -> None:
    crashed = {PART: "ijk", RARE_PART: "klmnopq"}
    assert found(shared=crashed, proven=[RARE_PART]) == [{PART}, {RARE_PART}]
    assert found(shared={RARE_PART: "lmnop"}, proven=[RARE_PART]) == []
