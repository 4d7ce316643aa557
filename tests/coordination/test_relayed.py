"""The relaying platform client after a direct call has failed."""

from __future__ import annotations

import pytest

from springrock.coordination.relayed import RelayedPlatform
from springrock.errors import PlatformUnavailable
from springrock.metrics import Metrics
from springrock.wire import platform as wire


class FlakyPlatform:
    """A platform that fails the first calls and then answers."""

    def __init__(self, *, failures: int) -> None:
        self.failures = failures
        self.calls = 0

    def transact(self, transaction: wire.Transaction) -> wire.TransactionAnswer:
        self._call()
        return wire.TransactionAnswer(committed=True, version=7)

    def rows(self, prefix: str) -> list[wire.Row]:
        self._call()
        return []

    def get_object(self, name: str) -> bytes | None:
        raise NotImplementedError

    def put_object(self, name: str, data: bytes) -> None:
        raise NotImplementedError

    def listing(self) -> wire.Listing:
        raise NotImplementedError

    def _call(self) -> None:
        self.calls += 1
        if self.failures:
            self.failures -= 1
            raise PlatformUnavailable("no answer")


def make_platform(flaky: FlakyPlatform) -> RelayedPlatform:
    return RelayedPlatform(flaky, zone="zone-1", metrics=Metrics())


def test_a_direct_call_is_tried_again_when_no_peer_can_relay_it() -> None:
    flaky = FlakyPlatform(failures=1)
    platform = make_platform(flaky)
    with pytest.raises(PlatformUnavailable):
        platform.rows("a/")
    assert platform.rows("a/") == []
    assert platform.transact(wire.Transaction()).version == 7
    assert flaky.calls == 3


def test_a_call_that_failed_directly_is_not_made_twice() -> None:
    flaky = FlakyPlatform(failures=5)
    platform = make_platform(flaky)
    with pytest.raises(PlatformUnavailable):
        platform.transact(wire.Transaction())
    assert flaky.calls == 1
