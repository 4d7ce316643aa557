"""Mechanisms that a soak can disable in its boxes, to show that it detects what they prevent.

Each function patches the running program; only `bench.soak.mutant` calls them. The product has no
switch to disable these mechanisms.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from weakref import WeakKeyDictionary

_SILENCE_S = 0.5
"""Time without bytes after which a box without tolerance takes an answer for broken off."""

MECHANISMS: dict[str, Callable[[], None]] = {}
"""The patches, by the name of the mechanism that each one disables."""


def _disables(name: str) -> Callable[[Callable[[], None]], Callable[[], None]]:
    def _register(patch: Callable[[], None]) -> Callable[[], None]:
        MECHANISMS[name] = patch
        return patch

    return _register


def _drop_header(header: str) -> None:
    from springrock.platform.dialect import PlatformDialect

    original = PlatformDialect.request_headers

    def _without_header(self: Any, request: Any, terms: Any) -> Any:
        return original(self, request, terms).without((header,))

    PlatformDialect.request_headers = _without_header  # type: ignore[method-assign]


@_disables("expected_instance")
def _omit_expected_instance() -> None:
    from springrock.platform import names

    _drop_header(names.EXPECT_INSTANCE)


@_disables("event_offsets")
def _omit_event_offsets() -> None:
    from springrock.platform import names

    _drop_header(names.LAST_EVENT_ID)


@_disables("store_eras")
def _ignore_store_eras() -> None:
    from springrock.platform import store

    store.era_from_reported = lambda reported: 0


@_disables("retry_budget")
def _ignore_retry_budget() -> None:
    from springrock.forwarding.budget import RetryBudget

    RetryBudget.try_spend = lambda self, *, request="": True  # type: ignore[method-assign]


@_disables("key_freshness")
def _never_expire_keys() -> None:
    from springrock.forwarding.keys import KeyTerms

    KeyTerms.trust_s = property(lambda self: float("inf"))  # type: ignore[method-assign,assignment]


@_disables("quota_lease")
def _ignore_quota_lease() -> None:
    from springrock.quotas.quota_counter import QuotaCounter

    original = QuotaCounter.__init__

    def _init(self: Any, *args: Any, **kwargs: Any) -> None:
        original(self, *args, **kwargs)
        self._lease_left_s = lambda: float("inf")

    QuotaCounter.__init__ = _init  # type: ignore[method-assign]


@_disables("not_run_honesty")
def _report_broken_as_not_run() -> None:
    from springrock.forwarding.request_progress import AttemptOutcome

    ran = frozenset({AttemptOutcome.UNDER_WAY, AttemptOutcome.ANSWERED, AttemptOutcome.FAILED})
    AttemptOutcome.may_have_run = property(  # type: ignore[method-assign,assignment]
        lambda self: self in ran
    )


@_disables("drain")
def _ignore_leaving_replicas() -> None:
    import msgspec

    from springrock.platform import replica_rows, tables

    original = replica_rows.replica_from

    def _without_leaving(row: Any, **more: Any) -> Any:
        return msgspec.structs.replace(original(row, **more), leaving=False)

    vars(tables)["replica_from"] = _without_leaving


@_disables("quarantine")
def _ignore_quarantine() -> None:
    from springrock.quarantine.book import CrashBook

    CrashBook.quarantined_for_s = lambda self, fingerprint: None  # type: ignore[method-assign]
    CrashBook.may_be_retried = lambda self, fingerprint: True  # type: ignore[method-assign]


@_disables("shared_suspects")
def _suspect_whole_requests_only() -> None:
    from springrock.forwarding.suspects import Suspects

    original = Suspects.from_request
    Suspects.from_request = classmethod(  # type: ignore[method-assign,assignment]
        lambda cls, request: original(request)._replace(shared=())
    )


@_disables("passing_on")
def _pass_nothing_on() -> None:
    from springrock.forwarding.passing_on import PassingOn

    PassingOn.is_due = lambda self, progress: False  # type: ignore[method-assign]
    PassingOn.is_last_resort = (  # type: ignore[method-assign]
        lambda self, progress, rejection: False
    )


@_disables("replicas_words")
def _ignore_replica_notices() -> None:
    from springrock.forwarding.notices import ReplicaNotices

    ReplicaNotices.apply = (  # type: ignore[method-assign]
        lambda self, replica, notice, *, sent_at: None
    )


@_disables("named_limits")
def _ignore_named_limits() -> None:
    from springrock.permits.named_limits import NamedLimits

    NamedLimits.record_limit_named = (  # type: ignore[method-assign]
        lambda self, instance, per_s, *, sent_at: None
    )


@_disables("ends_confirmed")
def _take_every_close_for_an_end() -> None:
    from springrock.forwarding.exchange import Answer

    Answer._confirm_end = lambda self, timeout_s: None  # type: ignore[method-assign]


@_disables("whole_events")
def _pass_on_incomplete_events() -> None:
    from springrock.forwarding.events import Event
    from springrock.forwarding.exchange import Answer
    from springrock.forwarding.stream_run import StreamRun

    def _read_end(self: StreamRun, answer: Answer) -> list[Event]:
        incomplete = self._splitter.drain_incomplete()
        return [Event(incomplete, "")] if incomplete else []

    StreamRun._read_end = _read_end  # type: ignore[method-assign]


@_disables("software_bounds")
def _resume_at_any_software_version() -> None:
    from springrock.forwarding.request_progress import RequestProgress

    RequestProgress.bind_software = lambda self, software: None  # type: ignore[method-assign]


@_disables("stream_origins")
def _take_up_at_any_software_version() -> None:
    from springrock.forwarding.stream_origins import StreamOrigins

    StreamOrigins.bind = lambda self, progress: None  # type: ignore[method-assign]


@_disables("told_origins")
def _tell_no_origins() -> None:
    from springrock.placement.origin_exchange import OriginExchange

    OriginExchange.tell_origin = (  # type: ignore[method-assign]
        lambda self, request_id, origin: None
    )
    OriginExchange.ask_origin = (  # type: ignore[method-assign]
        lambda self, request_id, service: None
    )


@_disables("own_connections")
def _send_ids_again_on_their_connections() -> None:
    from springrock.forwarding.connection import Connection

    Connection.has_carried = lambda self, request_id: False  # type: ignore[method-assign]


@_disables("silence_tolerance")
def _take_silences_for_breaks() -> None:
    from springrock.clock import monotonic
    from springrock.forwarding.errors import AnswerBroken, AnswerSilent
    from springrock.forwarding.exchange import Answer

    original = Answer.read
    heard_at: WeakKeyDictionary[Any, float] = WeakKeyDictionary()

    def _read(self: Any, *, timeout_s: float) -> bytes:
        left_s = heard_at.setdefault(self, monotonic()) + _SILENCE_S - monotonic()
        try:
            data = original(self, timeout_s=max(0.0, min(timeout_s, left_s)))
        except AnswerSilent:
            if timeout_s < left_s:
                raise
            raise AnswerBroken("silence is taken for a break") from None
        heard_at[self] = monotonic()
        return data

    Answer.read = _read  # type: ignore[method-assign]


@_disables("answer_bounds")
def _bound_each_read_alone() -> None:
    from springrock import bounded_reader

    def _begin_step(self: Any, deadline: Any, max_bytes: int) -> None:
        self.step_bytes = 0
        self.timeout_s = None if deadline is None else max(0.001, deadline.left_s)

    def _readinto(self: Any, buffer: Any) -> int:
        self._socket.settimeout(self.timeout_s)
        size = int(self._socket.recv_into(buffer))
        self.step_bytes += size
        return size

    kind: Any = bounded_reader._BoundedSocket
    kind.begin_step, kind.readinto = _begin_step, _readinto
