"""Tests of the judges of answers without end, and of what they rest on."""

from __future__ import annotations

import contextlib
import http.client
import os
import random
import socket
import threading
import time
from typing import Any

import pytest

from bench.soak.callers import BODY, LATE_S, attempt_once
from bench.soak.faults.endless import EndlessAnswers
from bench.soak.judges.endless import ANSWER_WITHIN_S, MAX_MEMORY_MB, TARGET_S
from bench.soak.judges.service import RECOVERY_S
from bench.soak.memory import MemoryMeter
from bench.soak.observations import Attempt, BoxMemory, Call, FaultSpan, Pause
from bench.soak.shape import Shape
from springrock.clock import monotonic
from springrock.emulator.endless import EndlessPart
from springrock.emulator.replica_events import AnswerEnd, ReplicaEventKind
from tests.soak.made_up import attempt, call, findings_of, refused, run, span

HOLD_NOTHING = "endless_answers_hold_nothing"
END = "endless_answers_end"
MEMORY = "memory_is_bounded"


def endless(replica: str = "catalog-1", **more: Any) -> FaultSpan:
    return span(EndlessAnswers.name, f"replica/{replica}", began_at=9.0, ended_at=14.0, **more)


def unanswered(**more: Any) -> Call:
    return call(answered=False, ended_at=13.0, **more)


def beside(*spans: FaultSpan, **observations: Any) -> int:
    """Return the number of findings beside an endless answer of another service."""
    return len(findings_of(HOLD_NOTHING, spans=[endless(), *spans], **observations))


def test_an_unanswered_call_beside_an_endless_answer_is_found() -> None:
    assert beside(calls=[call()]) == 0
    assert beside(calls=[unanswered()]) == 1
    assert findings_of(HOLD_NOTHING, calls=[unanswered()]) == []


@pytest.mark.parametrize("route", ["lookup", "join", "turns", "items", "minutes"])
def test_calls_to_all_other_services_are_judged(route: str) -> None:
    assert beside(calls=[unanswered(route=route)]) == 1


def test_calls_to_the_service_itself_and_of_the_limited_team_are_not_judged() -> None:
    assert beside(calls=[unanswered(route="open"), unanswered(key="few")]) == 0


def test_a_slow_plain_answer_beside_an_endless_one_is_found() -> None:
    slow = attempt(call="c1", ended_at=10.0 + TARGET_S + 0.1)
    pauses = [Pause(10.5, 0.2)]
    assert beside(calls=[call()], attempts=[slow]) == 1
    assert beside(calls=[call()], attempts=[slow], pauses=pauses) == 0
    assert beside(calls=[call()], attempts=[attempt(call="c1", ended_at=10.0 + TARGET_S)]) == 0
    stream = attempt(call="c1", route="items", ended_at=10.0 + TARGET_S + 0.1)
    assert beside(calls=[call(route="items")], attempts=[stream]) == 0


@pytest.mark.parametrize(
    "claim", ["store", "box/box-2", "link/>catalog-1", "replica/rosters-2", "configuration/goes"]
)
def test_a_call_that_another_fault_may_affect_is_not_judged(claim: str) -> None:
    assert beside(span("other", claim, began_at=1.0, ended_at=9.0), calls=[unanswered()]) == 0
    long_ago = span("other", claim, began_at=1.0, ended_at=10.0 - RECOVERY_S - 0.1)
    assert beside(long_ago, calls=[unanswered()]) == 1


def test_a_fault_of_replicas_of_other_services_excuses_nothing() -> None:
    crashed = ("replica/language-1", "ends/language-1", "down/language-1")
    other = span("crashed_replica", *crashed, began_at=9.0, ended_at=14.0)
    assert beside(other, calls=[unanswered()]) == 1


def ended(*attempts: Attempt, end: AnswerEnd = AnswerEnd.ENDLESS, **more: Any) -> int:
    """Return the number of findings for attempts whose answers a replica ended in some way."""
    ends = [run(item, kind=ReplicaEventKind.ENDED, detail=end) for item in attempts]
    return len(findings_of(END, attempts=list(attempts), replica_events=ends, **more))


def held(*, settled_at: float) -> Attempt:
    return refused(status=504, sent_at=10.0, deadline_at=13.0, settled_at=settled_at)


def test_a_caller_that_hears_of_an_endless_answer_too_late_or_never_is_found() -> None:
    bound_at = 13.0 + ANSWER_WITHIN_S
    assert ended(held(settled_at=bound_at)) == 0
    assert ended(held(settled_at=bound_at + 0.1)) == 1
    assert ended(held(settled_at=float("inf"))) == 1
    assert ended(held(settled_at=float("inf")), end=AnswerEnd.WHOLE) == 0


def test_a_late_end_is_excused_by_a_pause_and_by_a_fault_of_its_box_alone() -> None:
    late = held(settled_at=13.0 + ANSWER_WITHIN_S + 0.1)
    assert ended(late, pauses=[Pause(12.0, 0.2)]) == 0
    never = held(settled_at=float("inf"))
    assert ended(never, pauses=[Pause(12.0, 0.2)]) == 1
    spans = {
        box: span("paused_box", f"box/{box}", began_at=9.0, ended_at=12.0)
        for box in ("box-1", "box-2")
    }
    assert ended(never, spans=[spans["box-1"]]) == 0
    assert ended(never, spans=[spans["box-2"]]) == 1
    assert (
        ended(never, spans=[span("cut_link", "link/>rosters-1", began_at=9.0, ended_at=12.0)]) == 1
    )


def holding(peak_mb: float, box: str = "box-1", at: float = 10.0) -> BoxMemory:
    return BoxMemory(box=box, at=at, peak_mb=peak_mb)


def test_a_box_beyond_the_memory_of_the_smallest_machines_is_found_once() -> None:
    assert findings_of(MEMORY, memory=[holding(MAX_MEMORY_MB)]) == []
    samples = [holding(MAX_MEMORY_MB + 1), holding(MAX_MEMORY_MB + 2, at=11.0)]
    assert len(findings_of(MEMORY, memory=samples)) == 1
    assert len(findings_of(MEMORY, memory=[*samples, holding(500.0, "box-2")])) == 2


def test_the_memory_of_the_last_release_is_not_judged() -> None:
    earlier = span("earlier_build", "box/box-1", "build/box-1", began_at=9.0, ended_at=12.0)
    samples = [holding(500.0), holding(500.0, at=11.9)]
    assert findings_of(MEMORY, memory=samples, spans=[earlier]) == []
    assert len(findings_of(MEMORY, memory=[holding(500.0, at=12.1)], spans=[earlier])) == 1
    assert len(findings_of(MEMORY, memory=[holding(500.0, "box-2")], spans=[earlier])) == 1


def test_the_meter_samples_the_peak_of_each_box_that_runs() -> None:
    class _Process:
        def __init__(self, pid: int) -> None:
            self.pid = pid

    processes: Any = {"box-1": _Process(os.getpid()), "box-2": _Process(0)}
    meter = MemoryMeter(processes, processes)
    meter.start()
    time.sleep(0.7)
    meter.stop()
    assert {sample.box for sample in meter.samples} == {"box-1"}
    assert all(sample.peak_mb > 1 for sample in meter.samples)


def test_every_kind_of_endless_answer_is_drawn_and_claims_its_replicas_alone() -> None:
    fault = EndlessAnswers()
    drawn = [fault.targets(random.Random(seed), Shape.from_boxes(4)) for seed in range(999)]
    assert {targets[0] for targets in drawn} == {"all", "one_in_ten", "reports", "orders"}
    assert {targets[1] for targets in drawn} == set(EndlessPart) - {EndlessPart.EVENTS}
    assert {targets[2] for targets in drawn} == {"fast", "slow"}
    for which, part, _, *replicas in drawn:
        services = {replica.rpartition("-")[0] for replica in replicas}
        assert len(services) == 1
        if which in ("reports", "orders") or part == EndlessPart.EVENT:
            assert services == {"language"}
        claims = fault.claims((which, part, "", *replicas))
        kinds = ["replica"] + (["ends", "down"] if which == "reports" else [])
        assert claims == {f"{kind}/{replica}" for kind in kinds for replica in replicas}


def attempt_at(*blocks: bytes, pause_s: float, closes: bool) -> Attempt:
    """Return the attempt of a caller whose deadline is 0.5 s, at a box that sends blocks."""
    over = threading.Event()

    def _answer(listener: socket.socket) -> None:
        connection, _ = listener.accept()
        with connection, contextlib.suppress(BrokenPipeError):
            request = b""
            while not request.endswith(BODY):
                request += connection.recv(65_536)
            for block in blocks:
                time.sleep(pause_s)
                connection.sendall(block)
            if not closes:
                over.wait()

    sent_at = monotonic()
    made = Attempt(
        request_id="r1", call="c1", box="b", route="lookup", key="one", adapter="", sent_at=sent_at
    )
    with socket.create_server(("127.0.0.1", 0)) as listener:
        thread = threading.Thread(target=_answer, args=(listener,))
        thread.start()
        connection = http.client.HTTPConnection(*listener.getsockname())
        attempt_once(made, connection, ends_at=sent_at + 0.5)
        over.set()
        thread.join()
        connection.close()
    return made


HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"


def test_a_caller_that_gave_up_notes_a_late_answer_and_a_late_end() -> None:
    refusal = b"HTTP/1.1 504 Late\r\nContent-Length: 0\r\n\r\n"
    for blocks in ((b"", b"", b"", refusal), (HEAD, b"", b"", b"")):
        made = attempt_at(*blocks, pause_s=0.25, closes=True)
        assert made.error == "TimeoutError"
        assert made.ended_at < made.settled_at < made.deadline_at + LATE_S


def test_a_caller_that_hears_nothing_or_bytes_on_end_notes_no_end() -> None:
    for blocks in ((), (HEAD, *[b"x"] * 40)):
        made = attempt_at(*blocks, pause_s=0.1, closes=False)
        assert made.error == "TimeoutError"
        assert made.settled_at == float("inf")


def test_an_attempt_settles_as_it_ends() -> None:
    made = attempt_at(HEAD, b"text", pause_s=0.0, closes=True)
    assert made.settled_at == made.ended_at


@pytest.mark.parametrize("end", [b"", b"0\r\n\r\n"])
def test_the_end_of_an_answer_that_is_longer_than_any_sound_one_is_seen(end: bytes) -> None:
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    chunk = b"%x\r\n%s\r\n" % (2**16, bytes(2**16))
    made = attempt_at(head, *[chunk] * 40, end, pause_s=0.001, closes=True)
    assert (made.error, made.is_complete) == ("", bool(end))
    assert made.settled_at == made.ended_at
