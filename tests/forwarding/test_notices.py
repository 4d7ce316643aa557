"""Notices in answers: which incarnation they apply to, and who is notified."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from springrock.clock import monotonic
from springrock.forwarding.dialect import NO_NOTICE, ReplicaNotice
from springrock.forwarding.directory import Directory, ReplicaRecord, incarnation_of
from springrock.forwarding.message import Headers
from springrock.forwarding.notices import ReplicaNotices
from springrock.log import Log
from springrock.platform.notices import notice_from
from tests.factories import make_limits, make_notices

LEAVES = ReplicaNotice(leaving=True)


class Box:
    """The directory of one box, and the leaving incarnations that listeners were notified of."""

    def __init__(self) -> None:
        self.directory = Directory(Log("directory", "box-1"))
        self.notices: ReplicaNotices = make_notices(self.directory)
        self.leaving_instances: list[str] = []
        self.notices.on_leaving.append(self.leaving_instances.append)

    def add_incarnation(self, born_ms: int) -> None:
        """Add the row of an incarnation of the replica."""
        record = ReplicaRecord(
            instance=incarnation_of("i-1", born_ms),
            service="s",
            address="127.0.0.1:1",
            zone="zone-1",
            born_ms=born_ms,
        )
        self.directory.update(record)


@pytest.fixture
def box() -> Box:
    box = Box()
    box.add_incarnation(5)
    return box


def test_a_leaving_notice_marks_its_replica_and_notifies_listeners_once(box: Box) -> None:
    replica = box.directory.find("i-1@5")
    assert replica is not None
    box.notices.apply(replica, NO_NOTICE, sent_at=monotonic())
    assert box.directory.leaving() == ()
    box.notices.apply(replica, LEAVES, sent_at=monotonic())
    box.notices.apply(replica, LEAVES, sent_at=monotonic())
    assert box.directory.leaving() == ("i-1@5",)
    assert box.leaving_instances == ["i-1@5"]


def test_a_leaving_notice_is_kept_after_the_row_was_removed(box: Box) -> None:
    replica = box.directory.find("i-1@5")
    assert replica is not None
    box.directory.remove("i-1")
    box.notices.apply(replica, LEAVES, sent_at=monotonic())
    box.add_incarnation(5)
    assert box.directory.leaving() == ("i-1@5",)


def test_a_late_notice_of_an_earlier_incarnation_does_not_affect_the_new_one(box: Box) -> None:
    replica = box.directory.find("i-1@5")
    assert replica is not None
    handle = box.notices.notice_handler("i-1")
    box.add_incarnation(6)
    box.notices.apply(replica, LEAVES, sent_at=monotonic())
    handle(LEAVES)
    assert box.directory.leaving() == ()


def test_notices_in_answers_to_control_calls_are_applied(box: Box) -> None:
    box.notices.notice_handler("i-1")(LEAVES)
    assert box.directory.leaving() == ("i-1@5",)
    box.notices.notice_handler("i-unknown")(LEAVES)


@given(
    status=st.integers(100, 599),
    headers=st.lists(
        st.tuples(
            st.sampled_from(["Server-Leaving", "retry-after", "server-limit", "X"]),
            st.text() | st.floats().map(str),
        ),
        max_size=6,
    ),
)
def test_any_head_gives_a_valid_notice(status: int, headers: list[tuple[str, str]]) -> None:
    notice = notice_from(status, Headers.from_pairs(headers))
    assert 0.0 <= notice.backoff_s < float("inf")
    has_leaving_header = any(
        name == "Server-Leaving" and value.strip() == "1" for name, value in headers
    )
    assert notice.leaving == (has_leaving_header and status != 421)
    assert not notice.backoff_s or status == 503
    assert notice.limit_per_s is None or 0.0 <= notice.limit_per_s < float("inf")
    assert notice.limit_per_s is None or status != 421


def test_the_limit_in_an_answer_is_read() -> None:
    def _read(status: int, *values: str) -> ReplicaNotice:
        return notice_from(status, Headers.from_pairs(("Server-Limit", value) for value in values))

    assert _read(200, "1.3").limit_per_s == 1.3
    assert _read(503, "0").limit_per_s == 0.0
    assert _read(200, "2", "1.5").limit_per_s == 1.5
    assert _read(421, "1.3").limit_per_s is None
    assert _read(200, "few") == ReplicaNotice(unreadable="Server-Limit: few")
    assert _read(200, "-1").limit_per_s is None


def test_how_brittle_a_replica_is_is_read_and_ends_with_an_answer_that_does_not_say_it(
    box: Box,
) -> None:
    words = make_limits()
    box.notices = ReplicaNotices(
        box.directory, limits=make_limits(), brittle=words, log=Log("directory", "box-1")
    )
    replica = box.directory.find("i-1@5")
    assert replica is not None
    headers = Headers.from_pairs([("Server-Brittle", "8"), ("server-brittle", "6.5")])
    brittle = notice_from(200, headers)
    assert (brittle.brittle_per_s, brittle.unknown) == (6.5, ())
    assert notice_from(421, headers).brittle_per_s is None
    unreadable = notice_from(200, Headers.from_pairs([("Server-Brittle", "very")]))
    assert unreadable == ReplicaNotice(unreadable="Server-Brittle: very")
    box.notices.handle_answer(replica, brittle, sent_at=monotonic())
    box.notices.handle_answer(replica, unreadable, sent_at=monotonic())
    box.notices.apply(replica, ReplicaNotice(), sent_at=monotonic())
    assert words.per_s("i-1@5") == 6.5
    box.notices.handle_answer(replica, ReplicaNotice(), sent_at=monotonic())
    assert words.per_s("i-1@5") is None


def test_a_backoff_applies_to_all_incarnations_with_the_id(box: Box) -> None:
    replica = box.directory.find("i-1@5")
    assert replica is not None
    box.notices.apply(replica, ReplicaNotice(backoff_s=3.0), sent_at=monotonic())
    box.notices.apply(replica, ReplicaNotice(backoff_s=1.0), sent_at=monotonic())
    assert 2.0 < replica.backoff.left_s <= 3.0
    box.add_incarnation(6)
    restarted = box.directory.find("i-1@6")
    assert restarted is not None and restarted.backoff.active
    box.directory.remove("i-1")
    box.add_incarnation(6)
    restored = box.directory.find("i-1@6")
    assert restored is not None and restored is not restarted and restored.backoff.active


def test_an_unknown_notice_name_is_logged_once_for_each_replica(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    counted: list[str] = []
    logged: list[object] = []
    monkeypatch.setattr(
        Log, "info", lambda self, sentence, **fields: logged.append(fields.get("notice"))
    )
    box = Box()
    box.notices = ReplicaNotices(
        box.directory,
        limits=make_limits(),
        brittle=make_limits(),
        log=Log("directory", "box-1"),
        count=counted.append,
    )
    box.add_incarnation(5)
    replica = box.directory.find("i-1@5")
    assert replica is not None
    headers = Headers.from_pairs([("Server-Mood", "low"), ("Server", "x"), ("Server-Limit", "2")])
    for _ in range(3):
        box.notices.apply(replica, notice_from(200, headers), sent_at=monotonic())
    assert counted.count("unknown") == 1
    assert logged.count("server-mood") == 1
