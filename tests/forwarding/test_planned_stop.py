"""What a box that is being stopped still sends to replicas."""

from __future__ import annotations

import pytest

from springrock.clock import monotonic
from springrock.forwarding.errors import NoReplica
from springrock.forwarding.planned_stop import PlannedStop


def test_everything_may_be_sent_before_a_stop() -> None:
    PlannedStop().check(run_s=1e9)


@pytest.mark.parametrize(("run_s", "allowed"), [(0.0, True), (1.5, True), (2.5, False)])
def test_only_what_ends_before_the_box_is_sent(run_s: float, allowed: bool) -> None:
    stop = PlannedStop()
    stop.begin(ends_at=monotonic() + 2.0)
    assert stop.leaves_time_for(run_s) is allowed
    if not allowed:
        with pytest.raises(NoReplica, match="stopping") as raised:
            stop.check(run_s=run_s)
        assert (raised.value.status, raised.value.retry_after_s) == (503, 0.0)
