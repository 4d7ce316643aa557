"""Tests that the judge of silences finds answers that ended early for no reason, and only these."""

from __future__ import annotations

from typing import Any

import pytest

from bench.soak.judges import Finding
from bench.soak.observations import LEFT, Attempt, ConfigurationChange, Framing, Pause
from bench.soak.shape import HURRIED_TIMEOUT_S, TIMEOUT_S, SoakConfiguration
from springrock.emulator.replica_events import AnswerEnd, ReplicaEvent, ReplicaEventKind
from tests.soak.made_up import attempt, events, findings_of, run, span

DEADLINE_S = 3.0


def cut(**more: Any) -> Attempt:
    """Return an attempt whose stream ended 1.6 s after it was sent, without its last events."""
    defaults = {
        "route": "items",
        "body": events([1, 2, 3]),
        "is_complete": False,
        "error": "IncompleteRead",
        "ended_at": 11.6,
        "deadline_at": 10.0 + DEADLINE_S,
    }
    return attempt(**{**defaults, **more})


def ended(of: Attempt, end: AnswerEnd, **more: Any) -> ReplicaEvent:
    """Return the end of a replica's answer."""
    more = {"at": of.sent_at + 2.0, **more}
    return run(of, kind=ReplicaEventKind.ENDED, detail=end, **more)


def found(one: Attempt, *replica_events: ReplicaEvent, **more: Any) -> list[Finding]:
    """Return the findings on an attempt; without events its replica saw its connection close."""
    seen = replica_events or (run(one), ended(one, AnswerEnd.CLOSED))
    return findings_of(
        "silence_ends_nothing",
        attempts=[one],
        replica_events=list(seen),
        **{"replica_names": {"i-1": "language-1", "i-2": "language-2"}, **more},
    )


@pytest.mark.parametrize("end", [AnswerEnd.CLOSED, AnswerEnd.WHOLE])
@pytest.mark.parametrize("route", ["items", "minutes"])
def test_a_stream_that_ends_while_its_replica_works_on_it_is_found(
    route: str, end: AnswerEnd
) -> None:
    one = cut(route=route)
    findings = found(one, run(one), ended(one, end))
    assert [finding.request_id for finding in findings] == ["r1"]
    assert "ended after 1.60 s and event 3" in findings[0].text


def test_a_request_without_any_answer_is_found() -> None:
    one = cut(route="join", status=0, body=b"", error="RemoteDisconnected")
    assert len(found(one)) == 1


def test_a_request_that_reached_no_replica_is_not_judged() -> None:
    assert findings_of("silence_ends_nothing", attempts=[cut(status=0, body=b"")]) == []


def test_a_complete_refusal_or_error_is_an_answer() -> None:
    assert found(cut(status=504, body=b"{}", is_complete=True, error="")) == []


def test_an_answer_that_its_connection_ends_is_judged_by_its_content() -> None:
    whole = attempt(route="items", is_complete=False, framing=Framing.CONNECTION)
    assert found(whole) == []
    assert len(found(cut(framing=Framing.CONNECTION))) == 1


def test_a_caller_may_leave() -> None:
    assert found(cut(error=LEFT)) == []


def test_a_replica_may_break_off() -> None:
    one = cut()
    assert found(one, run(one), ended(one, AnswerEnd.BROKEN_OFF)) == []


def test_a_replica_may_end() -> None:
    one = cut()
    assert found(one, run(one)) == []


def test_a_second_replica_that_breaks_off_before_its_first_event_is_no_excuse() -> None:
    one = cut()
    later = {"instance": "i-2", "first_event": 4}
    silent = (run(one), ended(one, AnswerEnd.CLOSED))
    second = run(one, at=11.5, **later)
    assert len(found(one, *silent, second, ended(one, AnswerEnd.BROKEN_OFF, **later))) == 1


def test_a_second_replica_that_went_on_may_break_off() -> None:
    one = cut(body=events([1, 2, 3, 4]))
    later = {"instance": "i-2", "first_event": 4}
    silent = (run(one), ended(one, AnswerEnd.CLOSED))
    second = run(one, at=11.5, **later)
    assert found(one, *silent, second, ended(one, AnswerEnd.BROKEN_OFF, **later)) == []


@pytest.mark.parametrize(
    ("claim", "lives_on", "findings"),
    [
        ("framing/language-1", False, 0),
        ("framing/language-1", True, 1),
        ("framing/language-2", False, 1),
        ("ends/language-1", False, 1),
    ],
)
def test_an_answer_without_length_may_end_early_if_its_replica_ended_right_after_it(
    claim: str, lives_on: bool, findings: int
) -> None:
    one = cut(body=events(range(1, 21)))
    whole = ended(one, AnswerEnd.WHOLE, at=11.5)
    later = [run(attempt("r2"), at=12.0)] if lives_on else []
    during = span("fault", claim, began_at=9.0, ended_at=11.7)
    assert len(found(one, run(one), whole, *later, spans=[during])) == findings


@pytest.mark.parametrize(("lasted_s", "findings"), [(2.95, 1), (3.0, 0), (3.1, 0)])
def test_the_deadline_ends_an_answer_and_nothing_before_it(lasted_s: float, findings: int) -> None:
    assert len(found(cut(ended_at=10.0 + lasted_s))) == findings


@pytest.mark.parametrize(("paused_s", "findings"), [(0.2, 0), (0.0, 1)])
def test_a_pause_of_the_machine_is_tolerated(paused_s: float, findings: int) -> None:
    pauses = [Pause(11.0, paused_s)] if paused_s else []
    assert len(found(cut(ended_at=12.9), pauses=pauses)) == findings


@pytest.mark.parametrize(
    ("hurried_at", "restored_at", "findings"),
    [
        pytest.param(2.0, 20.0, 0, id="in force"),
        pytest.param(9.9, 20.0, 0, id="maybe known"),
        pytest.param(10.5, 20.0, 1, id="changed while the replica ran it"),
        pytest.param(1.0, 8.0, 0, id="maybe still in force"),
        pytest.param(1.0, 3.0, 1, id="surely restored"),
    ],
)
def test_only_a_timeout_from_before_the_request_ends_its_answer(
    hurried_at: float, restored_at: float, findings: int
) -> None:
    assert HURRIED_TIMEOUT_S < DEADLINE_S < TIMEOUT_S
    times = {0.0: False, hurried_at: True, restored_at: False}
    changes = [
        ConfigurationChange(
            began_at=at, acknowledged_at=at, configured=SoakConfiguration(hurried=hurried)
        )
        for at, hurried in times.items()
    ]
    one = cut(ended_at=10.0 + HURRIED_TIMEOUT_S)
    assert len(found(one, changes=changes)) == findings
    assert len(found(cut(), changes=changes)) == 1


@pytest.mark.parametrize(
    ("claims", "findings"),
    [
        (["box/box-1"], 0),
        (["box/box-2"], 1),
        (["link/box-1>replicas"], 0),
        (["link/box-1>store"], 1),
        (["link/>language-1"], 0),
        (["link/>language-2"], 1),
        (["replica/language-1"], 1),
        (["link/>language-1", "replica/language-1"], 1),
        (["store"], 1),
        (["configuration/withdrawn"], 1),
    ],
)
def test_only_faults_of_the_box_and_of_its_links_excuse(claims: list[str], findings: int) -> None:
    during = span("fault", *claims, began_at=9.0, ended_at=11.0)
    assert len(found(cut(), spans=[during])) == findings
    before = span("fault", *claims, began_at=8.0, ended_at=9.9)
    assert len(found(cut(), spans=[before])) == 1
