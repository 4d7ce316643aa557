"""What a box that is being stopped still sends to replicas, and how long runs usually take."""

from __future__ import annotations

import pytest

from springrock.clock import monotonic
from springrock.forwarding.errors import NoReplica
from springrock.forwarding.planned_stop import PlannedStop
from springrock.forwarding.request_progress import RequestProgress
from springrock.forwarding.run_times import RunTimes
from tests.forwarding.test_values import make_request, make_route

ROUTE = make_route()


def stop_with(*, runs_s: tuple[float, ...] = (), ends_in_s: float | None) -> PlannedStop:
    times = RunTimes()
    for run_s in runs_s:
        times.record(ROUTE.name, run_s)
    stop = PlannedStop(times)
    if ends_in_s is not None:
        stop.begin(ends_at=monotonic() + ends_in_s)
    return stop


def progress_of(*, deadline_s: float = 30.0) -> RequestProgress:
    return RequestProgress(make_request(deadline_s=deadline_s), ROUTE, "s")


def test_everything_may_be_sent_before_a_stop() -> None:
    stop_with(runs_s=(25.0,), ends_in_s=None).check(progress_of())


@pytest.mark.parametrize(
    ("runs_s", "ends_in_s", "allowed"),
    [
        ((), 2.0, True),
        ((), 0.5, False),
        ((0.05,), 2.0, True),
        ((0.05,), 0.5, False),
        ((3.0,), 2.0, False),
        ((3.0,), 4.0, True),
        ((0.1, 5.0), 2.0, False),
        ((3.0,) + (0.1,) * 40, 2.0, True),
    ],
)
def test_only_what_usually_ends_before_the_box_is_sent(
    runs_s: tuple[float, ...], ends_in_s: float, allowed: bool
) -> None:
    stop = stop_with(runs_s=runs_s, ends_in_s=ends_in_s)
    assert stop.leaves_time_for(progress_of()) is allowed
    if not allowed:
        with pytest.raises(NoReplica, match="stopping") as raised:
            stop.check(progress_of())
        assert (raised.value.status, raised.value.retry_after_s) == (503, 0.0)


def test_a_request_that_has_to_end_before_the_box_by_its_deadline_is_sent() -> None:
    stop = stop_with(runs_s=(10.0,), ends_in_s=4.0)
    assert not stop.leaves_time_for(progress_of())
    assert stop.leaves_time_for(progress_of(deadline_s=3.0))


def test_a_stream_that_has_begun_goes_on() -> None:
    progress = progress_of()
    progress.record_event("1")
    stop_with(runs_s=(10.0,), ends_in_s=0.5).check(progress)


def test_the_usual_time_of_a_route_follows_its_runs() -> None:
    times = RunTimes()
    assert times.usual_s("a") == 0.0
    times.record("a", 2.0)
    assert times.usual_s("a") == 2.0
    times.record("b", 9.0)
    assert times.usual_s("a") == 2.0
    for _ in range(100):
        times.record("a", 0.5)
        times.record("a", 1.5)
    assert 1.5 < times.usual_s("a") < 2.5
