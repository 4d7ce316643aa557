"""What a search for another replica may not do to streams, replicas, grants and budgets."""

from __future__ import annotations

import contextlib
import random
import socket
import threading
import time

import gevent
import gevent.socket
import msgspec
import pytest

from springrock.clock import monotonic
from springrock.forwarding import connection as connection_module
from springrock.forwarding import resumption, silence_guard
from springrock.forwarding.adapters import AdapterRequest, Use, UseOutcome
from springrock.forwarding.balancing import Balancer
from springrock.forwarding.budget import RetryBudget, RetryLimits
from springrock.forwarding.choosing import ReplicaChooser
from springrock.forwarding.configuration import (
    BaseModel,
    Configuration,
    Engine,
    RouteKind,
    Service,
)
from springrock.forwarding.connection import Connection, ConnectionPool
from springrock.forwarding.dialect import SendTerms
from springrock.forwarding.directory import Directory, Replica, ReplicaRecord
from springrock.forwarding.errors import AnswerSilent, NoReplica, OutcomeUnknown
from springrock.forwarding.exchange import exchange
from springrock.forwarding.message import Headers
from springrock.forwarding.request_progress import RequestProgress
from springrock.forwarding.stream_run import StreamRun
from springrock.forwarding.work_probe import WorkProbe
from springrock.log import Log
from springrock.permits.choice import NoPermits
from springrock.permits.permits import Permit
from springrock.platform.dialect import PlatformDialect
from tests.factories import make_routing_state
from tests.forwarding.scripted import ScriptedReplica, answer, read_request, reset
from tests.forwarding.test_choosing import ScriptedAdapters, ScriptedUse
from tests.forwarding.test_silent_replicas import (
    BEGUN,
    CHUNKED_HEAD,
    LAST_CHUNK,
    REST,
    STALL_S,
    WHOLE,
    Mute,
    Playing,
    chunk,
)
from tests.forwarding.test_streaming import Stream, collect
from tests.forwarding.test_values import make_request, make_route


@pytest.fixture(autouse=True)
def short_stalls(monkeypatch: pytest.MonkeyPatch) -> None:
    """Search early; the next replica is tried as late as in a box."""
    monkeypatch.setattr(connection_module, "socket", gevent.socket)
    monkeypatch.setattr(silence_guard, "STALL_TIMEOUT_S", STALL_S)
    monkeypatch.setattr(resumption, "_FIND_AGAIN_S", 0.05)


def breaks_off(connection: socket.socket) -> None:
    read_request(connection)
    connection.sendall(CHUNKED_HEAD + chunk(BEGUN))
    time.sleep(0.05)
    reset(connection)


def refuse(connection: socket.socket) -> None:
    read_request(connection)
    full = "503 Service Unavailable"
    connection.sendall(answer("r1", b"", "Springrock-Not-Executed: full", status=full))
    connection.recv(1)


def stream_of(
    *replicas: ScriptedReplica,
    deadline_s: float = 5.0,
    attempts: int = 2,
    resumable: bool = True,
    work_probe: WorkProbe | None = None,
) -> Stream:
    addresses = [replica.address for replica in replicas]
    stream = Stream(*addresses, resumable=resumable, work_probe=work_probe)
    route = make_route(kind=RouteKind.STREAMING, attempts=attempts, resumable=resumable)
    stream.progress = RequestProgress(make_request(deadline_s=deadline_s), route, "s")
    return stream


def test_a_refusal_is_followed_by_the_next_replica_at_once() -> None:
    third = Playing((0.0, REST))
    with (
        ScriptedReplica(breaks_off) as one,
        ScriptedReplica(refuse) as two,
        ScriptedReplica(third) as three,
    ):
        stream = stream_of(one, two, three)
        began = monotonic()
        received, cut = collect(stream.events())
        took_s = monotonic() - began
    assert (b"".join(received), cut) == (WHOLE, False)
    assert took_s < 1.0


def test_no_pending_try_keeps_a_client_after_its_deadline() -> None:
    first, second = Playing((0.0, BEGUN), ends=False), Mute()
    with ScriptedReplica(first) as one, ScriptedReplica(second) as two:
        stream = stream_of(one, two, deadline_s=1.0)
        _, cut = collect(stream.events())
        late_s = monotonic() - stream.progress.ends_at
    assert cut
    assert late_s < 0.5


def keep_heard(stream: Stream, *numbers: int) -> gevent.Greenlet[..., None]:
    def _hear() -> None:
        while True:
            for number in numbers:
                stream.chooser.replicas[number].heard_at = monotonic()
            gevent.sleep(0.05)

    return gevent.spawn(_hear)


def test_of_two_replicas_of_a_search_that_are_at_work_the_earlier_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(resumption, "_NEXT_REPLICA_AFTER_S", 2 * STALL_S)
    second, third = Mute(), Playing((1.5, REST))
    with (
        ScriptedReplica(breaks_off) as one,
        ScriptedReplica(second) as two,
        ScriptedReplica(third) as three,
    ):
        stream = stream_of(one, two, three, attempts=3)
        hearing = keep_heard(stream, 1, 2)
        received, cut = collect(stream.events())
        hearing.kill()
    assert (b"".join(received), cut) == (WHOLE, False)
    assert second.closed_at is not None
    # The third one was sent the request 1.5 s before its first event.
    assert second.closed_at < third.sent_at[0] - 1.5 + 0.5


class BeginsAndWaits(Playing):
    """A script that sends the beginning of a stream and waits for the end of its connection."""

    def __init__(self) -> None:
        super().__init__()
        self.ended = threading.Event()

    def __call__(self, connection: socket.socket) -> None:
        self.request = read_request(connection)
        connection.sendall(CHUNKED_HEAD + chunk(BEGUN))
        connection.settimeout(5.0)
        with contextlib.suppress(OSError):
            connection.recv(1)
        self.closed_at = monotonic()
        self.ended.set()


class BeginsLate(Playing):
    """A script that sends nothing of a stream, not even its head, for a second."""

    def __call__(self, connection: socket.socket) -> None:
        self.request = read_request(connection)
        time.sleep(1.0)
        connection.sendall(CHUNKED_HEAD + chunk(REST) + LAST_CHUNK)
        self.sent_at.append(monotonic())
        connection.recv(1)


def engines_stream(one: ScriptedReplica, two: ScriptedReplica, *, answering: set[int]) -> Stream:
    """Return a stream over two engines, of which some answer probes."""

    def _answers(replica: Replica) -> bool:
        return stream.chooser.replicas.index(replica) in answering

    stream = stream_of(one, two, work_probe=WorkProbe(_answers))
    for replica in stream.chooser.replicas:
        replica.record = msgspec.structs.replace(replica.record, models=frozenset({"base"}))
    return stream


def play_slow_and_late(
    monkeypatch: pytest.MonkeyPatch, *, answering: set[int]
) -> tuple[float, float]:
    """Play a stream whose replica is silent, and another one that is late with its first event.

    Returns:
        When the run at the silent replica was closed, and when the other one sent its first event.
    """
    monkeypatch.setattr(silence_guard, "STALL_TIMEOUT_S", 1.5)
    silent, late = BeginsAndWaits(), BeginsLate()
    with ScriptedReplica(silent) as one, ScriptedReplica(late) as two:
        received, cut = collect(engines_stream(one, two, answering=answering).events())
        assert (b"".join(received), cut) == (WHOLE, False)
        assert silent.ended.wait(5.0)
    assert silent.closed_at is not None
    return silent.closed_at, late.sent_at[0]


def test_a_run_at_a_replica_that_works_slowly_is_not_kept_beside_another_for_400_ms(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against taking a replica for paused that is heard rarely, as it works slowly."""
    closed_at, event_at = play_slow_and_late(monkeypatch, answering={0, 1})
    assert closed_at < event_at - 1.0 + 0.4


@pytest.mark.parametrize("answering", [set(), {0}, {1}])
def test_a_run_is_kept_until_another_goes_on_unless_both_replicas_answer(
    monkeypatch: pytest.MonkeyPatch, answering: set[int]
) -> None:
    closed_at, event_at = play_slow_and_late(monkeypatch, answering=answering)
    assert closed_at >= event_at


def test_a_sound_replica_is_not_given_up_for_one_that_then_refuses() -> None:
    def _refuse_late(connection: socket.socket) -> None:
        read_request(connection)
        time.sleep(0.7)
        full = "503 Service Unavailable"
        connection.sendall(answer("r1", b"", "Springrock-Not-Executed: full", status=full))
        connection.recv(1)

    first = Playing((0.0, BEGUN), (1.5, REST))
    with ScriptedReplica(first) as one, ScriptedReplica(_refuse_late) as two:
        stream = stream_of(one, two)
        hearing = keep_heard(stream, 0)
        received, cut = collect(stream.events())
        hearing.kill()
    assert (b"".join(received), cut) == (WHOLE, False)


def test_a_sound_replica_is_not_given_up_for_one_that_is_paused_for_good() -> None:
    first = Playing((0.0, BEGUN), (1.5, REST))
    with ScriptedReplica(first) as one, ScriptedReplica(Mute()) as two:
        stream = stream_of(one, two)
        hearing = keep_heard(stream, 0)
        received, cut = collect(stream.events())
        hearing.kill()
    assert (b"".join(received), cut) == (WHOLE, False)


def test_a_replica_that_is_silent_in_a_stream_that_may_not_go_on_elsewhere_is_avoided() -> None:
    first = Playing((0.0, BEGUN), ends=False)
    with ScriptedReplica(first) as one:
        stream = stream_of(one, deadline_s=4.0, resumable=False)
        rates: list[float] = []
        health = stream.chooser.replicas[0].health
        # The route's estimate of how long its client waits is 2 s.
        gevent.spawn_later(3.0, lambda: rates.append(health.failure_rate))
        collect(stream.events())
    assert rates[0] > 0


def test_an_exchange_that_was_silent_from_its_beginning_counts_as_begun_before_the_silence() -> (
    None
):
    stream = Stream("127.0.0.1:1", resumable=True)
    chosen = stream.chooser.next_replica(stream.progress, until=0.0)
    wrong = 0
    for _ in range(200):
        run = StreamRun(
            stream._relay._sender,
            stream.progress,
            chosen,
            on_begun=lambda progress, software: None,
        )
        wrong += run.began_at > run._heard_at
        run.close()
        gevent.sleep(0.001)
    assert wrong == 0


def test_a_replica_that_reads_no_body_is_silent_and_has_not_broken_off() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        connection = Connection(address, connect_timeout_s=1.0)
        with pytest.raises(AnswerSilent):
            connection.send(
                request_id="r1",
                method="POST",
                target="/",
                headers=Headers.from_pairs([]),
                body=bytes(30_000_000),
                timeout_s=0.3,
            )
        connection.close()


def test_a_request_that_is_read_slowly_still_ends_at_its_timeout() -> None:
    def _read_late(connection: socket.socket) -> None:
        time.sleep(0.8)
        while connection.recv(1_000_000):
            continue

    with ScriptedReplica(_read_late) as replica:
        pool = ConnectionPool(replica.address)
        began = monotonic()
        with pytest.raises(OutcomeUnknown):
            exchange(
                make_request(body=bytes(30_000_000)),
                pool=pool,
                terms=SendTerms(instance="i-1", left_s=1.0),
                dialect=PlatformDialect(),
                repeatable=True,
                head_timeout_s=1.0,
            )
        assert monotonic() - began < 1.4


def test_a_stream_that_reached_its_deadline_as_it_was_sending_is_no_silence() -> None:
    first = Playing(*[(0.1, event) for event in (BEGUN, *[b": more\n\n"] * 20)])
    with ScriptedReplica(first) as one:
        stream = stream_of(one, deadline_s=1.0, resumable=False)
        _, cut = collect(stream.events())
    assert cut
    assert stream.chooser.replicas[0].health.failure_rate == 0


class CountingUse(ScriptedUse):
    """A use that records how it ended."""

    def __init__(self) -> None:
        self.ended: list[UseOutcome] = []

    def end(self, outcome: UseOutcome, *, backoff_s: float = 0.0) -> None:
        self.ended.append(outcome)


class GrantingAdapters(ScriptedAdapters):
    """Adapters whose placer grants the only replica at once."""

    def __init__(self) -> None:
        super().__init__(waits=0)
        self.uses: list[CountingUse] = []

    def find(self, adapter_request: AdapterRequest) -> Use | None:
        self.uses.append(CountingUse())
        return self.uses[-1]


class SlowPermits(NoPermits):
    """Permits that are not heard of for long."""

    def ask(
        self, record: ReplicaRecord, *, request: str, reserve_retry: bool, grant: int = 0
    ) -> Permit:
        gevent.sleep(5.0)
        return Permit(None)


def make_chooser(
    adapters: GrantingAdapters, *, cold: bool = False, limits: RetryLimits
) -> ReplicaChooser:
    engine = Engine(
        running_limit=8, adapter_slots=2, loads_per_s=5.0, models=(BaseModel(name="m"),)
    )
    configuration = Configuration(version=1, services={"s": Service(name="s", engine=engine)})
    directory = Directory(Log("test", "box-1"))
    record = ReplicaRecord(instance="i-1", service="s", address="127.0.0.1:1", zone="zone-1")
    directory.update(record)
    budget = RetryBudget(lambda: limits)
    return ReplicaChooser(
        configuration=lambda: configuration,
        directory=directory,
        balancer=Balancer(
            routing_state=lambda: make_routing_state(is_cold=lambda record: cold),
            rng=random.Random(1),
        ),
        adapters=adapters,
        budget_of=lambda service: budget,
        permits=SlowPermits(),
    )


def make_progress() -> RequestProgress:
    request = make_request(model="m", adapter="a", deadline_s=5.0)
    return RequestProgress(request, make_route(attempts=3), "s")


def test_a_grant_is_given_back_if_the_search_is_ended_while_it_asks_for_a_permit() -> None:
    adapters = GrantingAdapters()
    chooser = make_chooser(adapters, cold=True, limits=RetryLimits(0.1, 10.0, 10.0))
    search = gevent.spawn(chooser.next_replica, make_progress(), until=monotonic() + 1.0)
    gevent.sleep(0.1)
    search.kill()
    assert [use.ended for use in adapters.uses] == [[UseOutcome.ENDED]]


def test_no_grant_is_taken_for_a_retry_that_the_budget_does_not_allow() -> None:
    adapters = GrantingAdapters()
    chooser = make_chooser(adapters, limits=RetryLimits(0.0, 0.0, 10.0))
    progress = make_progress()
    progress.start_attempt("i-2", record_age_s=0.0)
    with pytest.raises(NoReplica) as refusal:
        chooser.next_replica(progress, until=monotonic() + 1.0)
    assert refusal.value.reason == "retry_budget"
    assert not adapters.uses
