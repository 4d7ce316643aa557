"""The demand that a box sends to the placer, and how long its requests wait for a grant."""

from __future__ import annotations

import gevent
import pytest

from springrock.clock import monotonic
from springrock.forwarding.adapters import AdapterRequest, UseOutcome, WaitTerms
from springrock.forwarding.errors import NoReplica
from springrock.forwarding.message import AdapterKey, PromptPart
from springrock.placement.demand import DemandBook
from springrock.placement.errors import PlacerSilent
from springrock.placement.messages import CopyRequest, Demand, Ended, Outcome, decode, encode

KEY = AdapterKey("m", "a")


def adapter_request(
    *, target_s: float = 5.0, until_s: float = 10.0, returns_s: float = 1.0
) -> AdapterRequest:
    now = monotonic()
    terms = WaitTerms(
        worth=2.0, target_at=now + target_s, until=now + until_s, retry_within_s=returns_s
    )
    return AdapterRequest("r-1", KEY, terms, (PromptPart("p", 10),), frozenset({"i-9"}))


def make_book(*, has_placer: bool = True) -> DemandBook:
    return DemandBook(has_placer=lambda: has_placer)


def start_request(book: DemandBook, wanted: AdapterRequest) -> gevent.Greenlet[..., object]:
    task = gevent.spawn(book.find, wanted)
    gevent.sleep(0)
    return task


def test_an_ask_and_its_end_are_each_sent_once() -> None:
    book = make_book()
    task = start_request(book, adapter_request())
    reported = book.drain_updates()
    [ask] = reported.asks
    assert (ask.model, ask.adapter, ask.worth) == ("m", "a", 2.0)
    assert (ask.prompt, ask.tried) == ([("p", 10)], ["i-9"])
    assert book.drain_updates() == Demand()
    book.record_grant(ask.number, "i-1")
    use = task.get(timeout=10)
    assert use.instance == "i-1"
    use.record_first_event()
    use.end(UseOutcome.FULL)
    use.end(UseOutcome.ENDED)
    reported = book.drain_updates()
    assert [item.number for item in reported.started] == [ask.number]
    assert reported.ended == [Ended(ask.number, Outcome.FULL)]


def test_a_new_placer_gets_all_current_asks_and_uses() -> None:
    book = make_book()
    task = start_request(book, adapter_request())
    book.record_grant(book.drain_updates().asks[0].number, "i-1")
    task.get(timeout=10)
    ungranted_use = book.use("i-2", KEY)
    waiting = start_request(book, adapter_request())
    book.drain_updates()
    full = book.full_demand()
    assert [ask.adapter for ask in full.asks] == ["a"]
    assert sorted(use.instance for use in full.uses) == ["i-1", "i-2"]
    ungranted_use.end(UseOutcome.ENDED)
    assert len(book.full_demand().uses) == 1
    waiting.kill()


def test_no_end_is_sent_for_an_ask_or_use_that_was_not_sent() -> None:
    book = make_book()
    book.use("i-1", KEY).end(UseOutcome.ENDED)
    start_request(book, adapter_request()).kill()
    assert book.drain_updates() == Demand()


def test_the_ask_of_a_client_that_disconnects_is_ended() -> None:
    book = make_book()
    task = start_request(book, adapter_request())
    number = book.drain_updates().asks[0].number
    task.kill()
    book.record_grant(number, "i-1")
    assert book.drain_updates().ended == [Ended(number)]
    assert book.full_demand().uses == []


def test_a_silent_placer_is_not_waited_for_long() -> None:
    with pytest.raises(PlacerSilent):
        make_book().find(adapter_request())
    with pytest.raises(PlacerSilent):
        make_book(has_placer=False).find(adapter_request())


def test_a_client_that_can_retry_gets_a_retry_delay_and_its_retry_is_expected() -> None:
    book = make_book()
    task = start_request(book, adapter_request(target_s=0.5, until_s=0.9, returns_s=2.0))
    book.drain_updates()
    book.record_forecast(KEY, 1.0)
    with pytest.raises(NoReplica) as refusal:
        task.get(timeout=10)
    assert refusal.value.reason == "load_promised"
    assert 1.0 <= refusal.value.retry_after_s < 1.3
    [expected_retry] = book.drain_updates().expected_retries
    assert (expected_retry.model, expected_retry.adapter) == KEY
    assert 900 <= expected_retry.back_in_ms <= 1200
    assert book.full_demand().expected_retries


def test_a_request_that_a_load_serves_late_keeps_waiting_even_if_its_client_could_retry() -> None:
    book = make_book()
    task = start_request(book, adapter_request(target_s=0.1, until_s=9.0, returns_s=3.0))
    number = book.drain_updates().asks[0].number
    book.record_forecast(KEY, 2.0)
    gevent.sleep(0.3)
    assert not task.ready()
    book.record_grant(number, "i-1")
    assert task.get(timeout=10).instance == "i-1"


def test_a_request_is_rejected_as_soon_as_its_load_is_forecast_too_late() -> None:
    book = make_book()
    task = start_request(book, adapter_request(target_s=0.1, until_s=5.0, returns_s=0.0))
    book.record_forecast(KEY, 2.0)
    gevent.sleep(0.05)
    assert not task.ready()
    book.record_forecast(KEY, 5.5)
    with pytest.raises(NoReplica) as refusal:
        task.get(timeout=1)
    assert refusal.value.retry_after_s > 5.0


def test_a_client_that_cannot_retry_in_time_is_refused_and_not_expected() -> None:
    book = make_book()
    task = start_request(book, adapter_request(target_s=0.5, until_s=0.9, returns_s=0.3))
    book.record_forecast(KEY, 1.0)
    with pytest.raises(NoReplica) as refusal:
        task.get(timeout=10)
    assert refusal.value.reason == "load_not_in_time"
    assert book.drain_updates().expected_retries == []


def test_losing_the_placer_ends_the_waits_for_its_grants() -> None:
    reachable = [True]
    book = DemandBook(has_placer=lambda: reachable[0])
    task = start_request(book, adapter_request())
    book.record_forecast(KEY, 0.5)
    gevent.sleep(0)
    reachable[0] = False
    book.forget_placer()
    with pytest.raises(PlacerSilent):
        task.get(timeout=10)


def test_a_demand_is_decoded_unchanged() -> None:
    book = make_book()
    task = start_request(book, adapter_request())
    book.use("i-2", KEY)
    reported = book.drain_updates()
    assert decode(encode(reported)) == reported
    task.kill()


def test_waiting_requests_are_referred_to_another_zone_when_no_adapters_are_loaded() -> None:
    book = make_book()
    task = start_request(book, adapter_request())
    book.record_forecast(KEY, 0.5)
    book.ask_elsewhere(except_for=lambda key: key == KEY)
    gevent.sleep(0.05)
    assert not task.ready(), "its adapter is still served here"
    book.ask_elsewhere(except_for=lambda key: False)
    with pytest.raises(PlacerSilent):
        task.get(timeout=10)


def test_a_copy_request_is_sent_once_with_the_latest_savings() -> None:
    book = make_book()
    book.request_copy(KEY, 80)
    book.request_copy(KEY, 120)
    reported = decode(encode(book.drain_updates()))
    assert isinstance(reported, Demand)
    assert reported.copies == [CopyRequest("m", "a", 120)]
    assert book.drain_updates() == Demand()


def test_a_copy_request_without_a_placer_is_dropped() -> None:
    book = make_book(has_placer=False)
    book.request_copy(KEY, 80)
    assert book.drain_updates() == Demand()


def test_a_leaving_replica_is_reported_once_and_again_to_a_new_placer() -> None:
    book = DemandBook(has_placer=lambda: True, leaving=lambda: ("i-1", "i-2"))
    book.record_leaving("i-1")
    assert decode(encode(book.drain_updates())) == Demand(leaving=["i-1"])
    assert book.drain_updates() == Demand()
    assert book.full_demand().leaving == ["i-1", "i-2"]


def test_the_backoff_an_engine_asks_for_is_sent_with_the_end_of_its_use() -> None:
    book = make_book()
    task = start_request(book, adapter_request())
    book.record_grant(book.drain_updates().asks[0].number, "i-1")
    task.get(timeout=10).end(UseOutcome.FULL, backoff_s=2.0005)
    [ended] = decode(encode(book.drain_updates())).ended
    assert (ended.outcome, ended.backoff_ms) == (Outcome.FULL, 2001)


def stopping_within(book: DemandBook, seconds: float) -> None:
    book.begin_stop(ends_at=monotonic() + seconds)


@pytest.mark.parametrize("known", [False, True], ids=["without a forecast", "with a forecast"])
def test_a_request_waits_no_longer_than_it_can_and_still_end_before_the_box(known: bool) -> None:
    """Guards against waits that only the client's patience bounds."""
    book = make_book()
    terms = adapter_request().terms._replace(run_s=1.0)
    task = start_request(book, adapter_request()._replace(terms=terms))
    if known:
        book.record_forecast(KEY, 0.1)
    began_at = monotonic()
    stopping_within(book, 1.2)
    with pytest.raises(NoReplica) as raised:
        task.get(timeout=5)
    assert (raised.value.reason, raised.value.retry_after_s) == ("stopping", 0.0)
    assert 0.1 < monotonic() - began_at < 0.6
    assert book.drain_updates().asks == []


def test_a_request_whose_adapter_comes_after_the_stop_is_refused_at_once() -> None:
    book = make_book()
    task = start_request(book, adapter_request())
    book.record_forecast(KEY, 4.0)
    began_at = monotonic()
    stopping_within(book, 2.0)
    with pytest.raises(NoReplica, match="stopping"):
        task.get(timeout=5)
    assert monotonic() - began_at < 0.2


def test_a_request_that_can_end_before_the_stop_waits_for_its_grant() -> None:
    book = make_book()
    task = start_request(book, adapter_request())
    stopping_within(book, 2.0)
    book.record_grant(book.drain_updates().asks[0].number, "i-1")
    assert task.get(timeout=1).instance == "i-1"
