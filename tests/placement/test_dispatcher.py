"""Tests of the dispatcher: the engine on which a request runs, by the use of all boxes."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from springrock import backoff as backoff_module
from springrock.forwarding import health as health_module
from springrock.forwarding.message import AdapterKey
from springrock.placement import dispatcher as dispatcher_module
from springrock.placement import engine_work as engine_work_module
from springrock.placement.dispatcher import Dispatcher
from springrock.placement.messages import Ended, Outcome, Started, Use

KEY = AdapterKey("m", "a")
OTHER = AdapterKey("m", "b")
SHARED = [("letter", 6000)]
PassTime = Callable[[float], None]


@pytest.fixture
def pass_time(monkeypatch: pytest.MonkeyPatch) -> PassTime:
    now = [1000.0]
    for module in (dispatcher_module, engine_work_module, backoff_module, health_module):
        monkeypatch.setattr(module, "monotonic", lambda: now[0])

    def _advance(seconds: float) -> None:
        now[0] += seconds

    return _advance


class Requests:
    """Sends requests to the engines that a dispatcher chooses."""

    def __init__(self) -> None:
        self.dispatcher = Dispatcher(memory_tokens=200_000)
        self.sent = 0

    def send(
        self,
        *holders: str,
        key: AdapterKey = KEY,
        tokens: int = 2000,
        shared: list[tuple[str, int]] | None = None,
        target_in_s: float = 1.0,
    ) -> str | None:
        """Return the engine that a request is sent to; None if there is none."""
        self.sent += 1
        prompt = [*(shared or []), (f"own-{self.sent}", tokens)]
        choice = self.dispatcher.choose(key, prompt, holders, target_in_s=target_in_s)
        if choice is None:
            return None
        self.dispatcher.record_granted("box", self.sent, choice, key, prompt)
        return choice.instance

    def finish(self, number: int, outcome: Outcome = Outcome.ENDED) -> None:
        self.dispatcher.record_finished("box", Ended(number, outcome))


@pytest.fixture
def requests(pass_time: PassTime) -> Requests:
    return Requests()


def test_requests_go_to_the_engine_with_the_smallest_prefill_backlog(requests: Requests) -> None:
    assert {requests.send("i-1", "i-2"), requests.send("i-1", "i-2")} == {"i-1", "i-2"}
    first = requests.send("i-1", "i-2", tokens=8000)
    assert requests.send("i-1", "i-2") != first
    assert requests.send("i-1", "i-2") != first


def test_a_prompt_goes_to_the_engine_that_has_it_cached(requests: Requests) -> None:
    first = requests.send("i-1", "i-2", shared=SHARED)
    requests.dispatcher.record_start("box", Started(1, 400))
    assert requests.send("i-1", "i-2", shared=SHARED) == first
    requests.dispatcher.record_start("box", Started(2, 100))
    assert requests.send("i-1", "i-2", shared=SHARED) == first


def test_parts_are_cached_for_one_adapter_and_only_while_the_engine_holds_it(
    requests: Requests,
) -> None:
    requests.send("i-1", shared=SHARED)
    cache = requests.dispatcher.work("i-1").prompt_cache
    prompt = [*SHARED, ("own", 10)]
    assert cache.cached_tokens(KEY, prompt) == 6000
    assert cache.cached_tokens(OTHER, prompt) == 0
    assert cache.cached_tokens(KEY, [("another", 5), *prompt]) == 0, (
        "parts after a gap are read again"
    )
    cache.retain_only({OTHER})
    assert cache.cached_tokens(KEY, prompt) == 0


def test_the_least_recently_used_parts_are_evicted(requests: Requests) -> None:
    for name in range(30):
        requests.send("i-1", shared=[(f"part-{name}", 6000)])
    cache = requests.dispatcher.work("i-1").prompt_cache
    assert cache.cached_tokens(KEY, [("part-0", 6000)]) == 0
    assert cache.cached_tokens(KEY, [("part-29", 6000)]) == 6000


def test_an_engine_that_reads_slowly_gets_fewer_requests_for_a_time(
    requests: Requests, pass_time: PassTime
) -> None:
    for number in range(1, 9):
        instance = requests.send("i-1" if number % 2 else "i-2")
        requests.dispatcher.record_start("box", Started(number, 800 if instance == "i-1" else 100))
        requests.finish(number)
    assert [requests.send("i-1", "i-2") for _ in range(3)] == ["i-2"] * 3
    pass_time(60.0)
    for number in (9, 10, 11):
        requests.finish(number)
    assert {requests.send("i-1", "i-2"), requests.send("i-1", "i-2")} == {"i-1", "i-2"}


@pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.UNREACHABLE])
def test_an_engine_that_cannot_take_a_request_is_avoided_for_all_boxes(
    requests: Requests, outcome: Outcome
) -> None:
    first = requests.send("i-1", "i-2")
    requests.finish(1, outcome)
    assert first not in [requests.send("i-1", "i-2") for _ in range(5)]


def test_an_engine_that_lacks_the_adapter_gets_no_request_for_it(
    requests: Requests, pass_time: PassTime
) -> None:
    assert requests.send("i-1") == "i-1"
    requests.finish(1, Outcome.LACKING)
    assert requests.send("i-1") is None
    assert requests.send("i-1", key=OTHER) == "i-1"
    pass_time(2.0)
    assert requests.send("i-1") == "i-1"


def test_an_adapter_whose_first_events_would_come_late_is_crowded(
    requests: Requests, pass_time: PassTime
) -> None:
    requests.send("i-1", tokens=3000)
    assert requests.dispatcher.crowded_since(0.0) == []
    requests.send("i-1", tokens=9000)
    assert requests.dispatcher.crowded_since(0.0) == [KEY]
    pass_time(1.0)
    assert requests.dispatcher.crowded_since(1000.5) == []


def test_ended_requests_and_those_of_removed_boxes_are_not_counted(requests: Requests) -> None:
    requests.send("i-1")
    requests.send("i-1", key=OTHER)
    requests.dispatcher.record_use("other box", Use(1, "i-1", *KEY))
    requests.finish(1)
    requests.finish(1)
    dispatcher = requests.dispatcher
    assert dispatcher.used == {("i-1", OTHER): 1, ("i-1", KEY): 1}
    dispatcher.forget_box("box")
    dispatcher.forget_box("other box")
    assert not dispatcher.used
    assert (dispatcher.work("i-1").runs, dispatcher.work("i-1").prefill_backlog) == (0, 0)


def test_the_end_of_a_request_at_a_removed_engine_is_ignored(requests: Requests) -> None:
    requests.send("i-1")
    requests.dispatcher.forget("i-1")
    requests.finish(1)
    assert not requests.dispatcher.used
    assert requests.dispatcher.work("i-1").prefill_backlog == 0


def test_requests_that_outlast_the_record_of_their_engine_are_counted_once_it_is_back(
    requests: Requests,
) -> None:
    """Else their ends leave it with fewer than no requests, and it seems idle for good."""
    for _ in range(3):
        requests.send("i-1")
    requests.dispatcher.record_start("box", Started(1, 100))
    requests.finish(3)
    requests.dispatcher.forget("i-1")
    work = requests.dispatcher.work("i-1")
    assert (work.runs, work.prefill_backlog) == (2, 2000)
    requests.send("i-1")
    assert (work.runs, work.prefill_backlog) == (3, 4000)
    for number in (1, 2, 4):
        requests.finish(number)
    assert (work.runs, work.prefill_backlog) == (0, 0)


def test_an_engine_that_fails_as_often_as_the_others_has_no_excess(pass_time: PassTime) -> None:
    requests = Requests()
    for number, engine in enumerate(("i-1", "i-2", "i-1", "i-2", "i-3"), start=1):
        requests.send(engine)
        requests.finish(number, Outcome.FAILED)
    dispatcher = requests.dispatcher
    assert dispatcher.excess_failure_rate("i-1") > 0
    assert dispatcher.excess_failure_rate("i-3") < 0
    assert dispatcher.excess_failure_rate("i-1") == pytest.approx(
        dispatcher.excess_failure_rate("i-2")
    )


def test_an_engine_that_failed_all_its_requests_at_once_is_chosen_again_later(
    requests: Requests, pass_time: PassTime
) -> None:
    """Without requests it could not reduce its rate by a success."""
    for number in range(1, 9):
        requests.send("i-1")
        requests.finish(number, Outcome.FAILED)
    pass_time(1.0)
    excess = requests.dispatcher.excess_failure_rate("i-1")
    assert [requests.send("i-1", "i-2") for _ in range(3)] == ["i-2"] * 3
    for number in (9, 10, 11):
        requests.finish(number)
    pass_time(60.0)
    assert requests.dispatcher.excess_failure_rate("i-1") < excess / 4
    assert "i-1" in [requests.send("i-1", "i-2") for _ in range(3)]


def test_an_engine_that_asked_a_box_to_pause_is_used_only_if_there_is_no_other(
    pass_time: PassTime,
) -> None:
    requests = Requests()
    assert requests.send("i-1") == "i-1"
    requests.dispatcher.record_finished("box", Ended(requests.sent, Outcome.FULL, 2000))
    for _ in range(3):
        assert requests.send("i-1", "i-2") == "i-2"
    assert requests.dispatcher.waits()["i-1"] > requests.dispatcher.waits()["i-2"] + 1.0
    assert requests.send("i-1") == "i-1"
    pass_time(2.1)
    assert requests.send("i-1", "i-2") == "i-1"
