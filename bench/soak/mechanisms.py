"""Mechanisms that a soak can take out of its boxes, to show that it finds what they are for.

Each function patches the running program; only `bench.soak.mutant` calls them. The product has no
such switch.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

MECHANISMS: dict[str, Callable[[], None]] = {}
"""The patches by the name of the mechanism that each takes out."""


def _takes_out(name: str) -> Callable[[Callable[[], None]], Callable[[], None]]:
    def _register(patch: Callable[[], None]) -> Callable[[], None]:
        MECHANISMS[name] = patch
        return patch

    return _register


def _drop_header(header: str) -> None:
    from springrock.platform.dialect import PlatformDialect

    whole = PlatformDialect.request_headers

    def _without(self: Any, request: Any, terms: Any) -> Any:
        return whole(self, request, terms).without((header,))

    PlatformDialect.request_headers = _without  # type: ignore[method-assign]


@_takes_out("expected_instance")
def _send_no_expected_instance() -> None:
    from springrock.platform import names

    _drop_header(names.EXPECT_INSTANCE)


@_takes_out("event_offsets")
def _resume_from_the_start() -> None:
    from springrock.platform import names

    _drop_header(names.LAST_EVENT_ID)


@_takes_out("store_eras")
def _know_no_era() -> None:
    from springrock.platform import store

    store.era_from_reported = lambda reported: 0


@_takes_out("retry_budget")
def _spend_without_limit() -> None:
    from springrock.forwarding.budget import RetryBudget

    RetryBudget.spend = lambda self: True  # type: ignore[method-assign]


@_takes_out("key_freshness")
def _trust_keys_for_ever() -> None:
    from springrock.forwarding.keys import KeyTerms

    KeyTerms.trust_s = property(lambda self: float("inf"))  # type: ignore[method-assign,assignment]


@_takes_out("quota_lease")
def _count_without_a_lease() -> None:
    from springrock.quotas.quota_counter import QuotaCounter

    begin = QuotaCounter.__init__

    def _begin(self: Any, *args: Any, **kwargs: Any) -> None:
        begin(self, *args, **kwargs)
        self._lease_left_s = lambda: float("inf")

    QuotaCounter.__init__ = _begin  # type: ignore[method-assign]


@_takes_out("not_run_honesty")
def _take_broken_for_not_run() -> None:
    from springrock.forwarding.request_progress import AttemptOutcome

    ran = frozenset({AttemptOutcome.UNDER_WAY, AttemptOutcome.ANSWERED, AttemptOutcome.FAILED})
    AttemptOutcome.may_have_run = property(  # type: ignore[method-assign,assignment]
        lambda self: self in ran
    )


@_takes_out("drain")
def _see_nobody_leave() -> None:
    import msgspec

    from springrock.platform import replica_rows, tables

    read = replica_rows.replica_from

    def _staying(row: Any, **more: Any) -> Any:
        return msgspec.structs.replace(read(row, **more), leaving=False)

    vars(tables)["replica_from"] = _staying


@_takes_out("quarantine")
def _send_on_what_crashes_replicas() -> None:
    from springrock.quarantine.book import CrashBook

    CrashBook.quarantined_for_s = lambda self, fingerprint: None  # type: ignore[method-assign]
    CrashBook.may_be_retried = lambda self, fingerprint: True  # type: ignore[method-assign]


@_takes_out("replicas_words")
def _pass_over_what_answers_tell() -> None:
    from springrock.forwarding.notices import ReplicaNotices

    ReplicaNotices.take = (  # type: ignore[method-assign]
        lambda self, replica, notice, *, sent_at: None
    )


@_takes_out("named_limits")
def _know_no_limit() -> None:
    from springrock.permits.named_limits import NamedLimits

    NamedLimits.record_limit_named = (  # type: ignore[method-assign]
        lambda self, instance, per_s, *, sent_at: None
    )
