"""Health check of one engine by its owner.

Detects engines that fail or restart, and differences between the adapters loaded in the engine
and those recorded by its owner.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import gevent
from gevent.event import Event

from springrock.errors import OrderFailed, UpstreamBroke, UpstreamUnreachable
from springrock.wire.engine import LoadedAdapters

if TYPE_CHECKING:
    from springrock.serving.owned_replica import OwnedReplica

_CHECK_INTERVAL_S = 0.5
_MAX_FAILED_CHECKS = 3


class EngineWatch:
    """Removes an engine from service after failed checks, and adds it again with a low limit.

    Args:
        replica: The replica whose engine is checked and that is notified of changes.

    Attributes:
        ramped_limit: Limit of concurrent requests, raised at each check while the engine is
            healthy; 0 while it is removed.
    """

    def __init__(self, replica: OwnedReplica) -> None:
        self._replica = replica
        self._boot_id = ""
        self._failures = 0
        self._check_again = Event()
        self._task: gevent.Greenlet[..., Any] | None = None
        self.ramped_limit = 0

    def start(self) -> None:
        """Start the checks."""
        self._task = gevent.spawn(self._watch_loop)

    def stop(self) -> None:
        """Stop the checks."""
        if self._task is not None:
            self._task.kill(block=False)

    def check_soon(self) -> None:
        """Run the next check at once, for instance after an unexpected answer of the engine."""
        self._check_again.set()

    @property
    def healthy(self) -> bool:
        """Whether the engine answers and has accepted this owner's fence."""
        return bool(self._boot_id)

    def _watch_loop(self) -> None:
        while True:
            self._check()
            self._check_again.wait(timeout=_CHECK_INTERVAL_S)
            self._check_again.clear()

    def _check(self) -> None:
        replica = self._replica
        if replica.order_in_progress:
            return
        try:
            if not self._boot_id:
                replica.order("set_role")
            orders_before = replica.orders_sent
            loaded = replica.driver.loaded()
        except (UpstreamUnreachable, UpstreamBroke, OrderFailed) as error:
            self._record_failure(str(error))
            return
        if replica.orders_sent == orders_before:
            # An order that ran during the query may have made the list out of date.
            self._record_success(loaded)

    def _record_failure(self, detail: str) -> None:
        self._failures += 1
        if self._failures != _MAX_FAILED_CHECKS or not self._boot_id:
            return
        replica = self._replica
        replica.log.info(
            "Removed an upstream after failed checks.", replica=replica.name, why=detail
        )
        self._boot_id = ""
        self.ramped_limit = 0
        replica.handle_engine_removed()

    def _record_success(self, loaded: LoadedAdapters) -> None:
        replica = self._replica
        self._failures = 0
        if not self._boot_id:
            self._add_engine(loaded)
            return
        if loaded.boot_id != self._boot_id:
            # A restarted engine has no fence: the next check sets it before any other order.
            replica.log.info("An engine restarted.", replica=replica.name)
            self._boot_id = ""
            replica.residency.replace([])
            self._check_again.set()
            return
        if self.ramped_limit < replica.pool.running_limit:
            self.ramped_limit = min(replica.pool.running_limit, self.ramped_limit * 2)
            replica.grant_ready()
        if set(loaded.adapters) != set(replica.residency.ready_adapters):
            replica.apply_loaded(loaded.adapters)

    def _add_engine(self, loaded: LoadedAdapters) -> None:
        replica = self._replica
        self._boot_id = loaded.boot_id
        self.ramped_limit = max(1, replica.pool.running_limit // 4)
        replica.log.info(
            "Added an upstream.",
            replica=replica.name,
            boot=loaded.boot_id,
            holds=loaded.adapters,
        )
        replica.handle_engine_added(loaded.adapters)
