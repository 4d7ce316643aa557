"""The load loop of one owned replica.

One load serves all requests that wait for the adapter. The load order policy chooses which adapter
is loaded next.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

import gevent

from springrock.clock import monotonic
from springrock.coordination.steward import Steward
from springrock.errors import (
    Cause,
    OrderFailed,
    Refusal,
    RunState,
    UpstreamBroke,
    UpstreamUnreachable,
)
from springrock.policies import Resident, Want
from springrock.serving.owned_replica import OwnedReplica

_MAX_LOAD_ATTEMPTS = 3
_IDLE_CHECK_INTERVAL_S = 1.0
_RETRY_PAUSE_S = 0.05
_FAILURES = (OrderFailed, UpstreamUnreachable, UpstreamBroke)


class Loader:
    """Loads the adapters that requests wait for, and the pinned ones, on one replica.

    Args:
        replica: The replica.
        steward: Grants turns to load from the weight store.
    """

    def __init__(self, replica: OwnedReplica, steward: Steward) -> None:
        self._replica = replica
        self._steward = steward
        self._failed_attempts: Counter[str] = Counter()
        self._task: gevent.Greenlet[..., Any] | None = None

    def start(self) -> None:
        """Start the load loop."""
        self._task = gevent.spawn(self._load_loop)

    def stop(self) -> None:
        """Stop the load loop."""
        if self._task is not None:
            self._task.kill(block=False)

    def _load_loop(self) -> None:
        replica = self._replica
        while True:
            replica.load_requested.wait(timeout=_IDLE_CHECK_INTERVAL_S)
            replica.load_requested.clear()
            while replica.accepting and self._choose() is not None:
                if not self._can_make_room():
                    replica.capacity_freed.clear()
                    replica.capacity_freed.wait(timeout=_RETRY_PAUSE_S)
                    continue
                self._load_in_turn()

    def _load_in_turn(self) -> None:
        want = self._choose()
        if want is None:
            return
        began_at = monotonic()
        self._steward.wait_for_turn(self._replica.name, want.adapter, want.worth_in_time)
        try:
            # The best choice may have changed during the wait for the turn.
            want = self._choose()
            if want is not None and self._make_room(want):
                self._load(want, began_at)
        finally:
            self._steward.end_turn(self._replica.name)

    def _choose(self) -> Want | None:
        replica = self._replica
        wants = replica.waiting.wants(
            replica.residency.ready,
            load_s=replica.pool.load_s,
            token_s=replica.estimate.token_s,
        )
        if wants:
            return replica.load_order.next(wants, now=monotonic())
        return self._next_missing_pin()

    def _next_missing_pin(self) -> Want | None:
        now = monotonic()
        for adapter in self._replica.pinned():
            if not self._replica.residency.ready(adapter):
                return Want(adapter, 0, 0.0, now, now, 0)
        return None

    # Unloads.

    def _can_make_room(self) -> bool:
        return self._replica.residency.free_slots > 0 or bool(self._evictable())

    def _evictable(self) -> list[Resident]:
        """Return the loaded adapters that are not pinned and that no request uses or waits for."""
        replica = self._replica
        if monotonic() < replica.unload_after:
            return []
        pinned = set(replica.pinned())
        return [
            resident
            for resident in replica.residency.residents()
            if not replica.in_use(resident.adapter) and resident.adapter not in pinned
        ]

    def _make_room(self, want: Want) -> bool:
        replica = self._replica
        if replica.residency.free_slots > 0:
            return True
        residents = self._evictable()
        if not residents:
            return False
        victim = replica.eviction.victim(residents, now=monotonic())
        return self._unload(victim, want)

    def _unload(self, victim: Resident, want: Want) -> bool:
        replica = self._replica
        replica.residency.unloading = victim.adapter
        replica.log.info(
            f"Unload {victim.adapter} from {replica.name} for {want.adapter}.",
            replica=replica.name,
            adapter=victim.adapter,
            rate=round(victim.rate, 3),
            uses=victim.uses,
            idle_s=round(monotonic() - victim.used_at, 3),
        )
        try:
            replica.order("unload_adapter", victim.adapter)
        except _FAILURES as error:
            replica.residency.unloading = ""
            replica.log.info("An unload failed.", replica=replica.name, error=str(error))
            self._resync()
            return False
        replica.residency.record_unloaded(victim.adapter)
        replica.metrics.unloads.inc()
        return True

    # Loads.

    def _load(self, want: Want, began_at: float) -> None:
        replica = self._replica
        replica.residency.loading = want.adapter
        replica.log.info(
            f"Load {want.adapter} on {replica.name} for {want.waiting} waiting.",
            replica=replica.name,
            adapter=want.adapter,
            waiting=want.waiting,
            worth_in_time=round(want.worth_in_time, 3),
            waited_s=round(monotonic() - want.oldest_at, 3),
        )
        try:
            replica.order("load_adapter", want.adapter)
        except _FAILURES as error:
            self._record_failed(want, str(error))
            return
        self._failed_attempts.pop(want.adapter, None)
        replica.estimate.record_load(monotonic() - began_at)
        replica.metrics.loads.labels("done").inc()
        replica.adapter_ready(want.adapter)

    def _record_failed(self, want: Want, detail: str) -> None:
        replica = self._replica
        replica.residency.loading = ""
        replica.metrics.loads.labels("failed").inc()
        replica.log.info("A load failed.", replica=replica.name, adapter=want.adapter, error=detail)
        self._failed_attempts[want.adapter] += 1
        if self._failed_attempts[want.adapter] >= _MAX_LOAD_ATTEMPTS:
            del self._failed_attempts[want.adapter]
            retry_after_s = replica.estimate.load_s
            refusal = Refusal(Cause.LOAD_FAILED, detail, RunState.NOT_RUN, retry_after_s)
            replica.refuse_waiting_for(want.adapter, refusal)
        self._resync()

    def _resync(self) -> None:
        """Replace the known adapters by the engine's list after an order that may have failed."""
        try:
            loaded = self._replica.driver.loaded()
        except (UpstreamUnreachable, UpstreamBroke):
            gevent.sleep(_RETRY_PAUSE_S)
            return
        self._replica.residency.replace(loaded.adapters)
        self._replica.grant_ready()
