"""Watches one engine for its owner: whether it answers, restarted, and holds what is believed."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import gevent
from gevent.event import Event

from springrock.errors import OrderFailed, UpstreamBroke, UpstreamUnreachable
from springrock.wire.engine import LoadedAdapters

if TYPE_CHECKING:
    from springrock.serving.owned_replica import OwnedReplica

_WATCH_EVERY_S = 0.5
_EJECT_AFTER_FAILURES = 3


class EngineWatch:
    """Takes an engine out when it fails, and back in gradually.

    Args:
        replica: The replica that hears of it.

    Attributes:
        admitted: How many requests may run at once, as far as health is concerned.
    """

    def __init__(self, replica: OwnedReplica) -> None:
        self._replica = replica
        self._boot_id = ""
        self._failures = 0
        self._check_again = Event()
        self._task: gevent.Greenlet[..., Any] | None = None
        self.admitted = 0

    def start(self) -> None:
        """Begin watching."""
        self._task = gevent.spawn(self._watch_loop)

    def stop(self) -> None:
        """Stop watching."""
        if self._task is not None:
            self._task.kill(block=False)

    def check_soon(self) -> None:
        """Look at once, as when the engine said something unexpected."""
        self._check_again.set()

    @property
    def healthy(self) -> bool:
        """Whether the engine is known, fenced and answering."""
        return bool(self._boot_id)

    def _watch_loop(self) -> None:
        while True:
            self._watch()
            self._check_again.wait(timeout=_WATCH_EVERY_S)
            self._check_again.clear()

    def _watch(self) -> None:
        replica = self._replica
        if replica.ordering:
            return
        try:
            if not self._boot_id:
                replica.order("set_role")
            orders_before = replica.orders_given
            loaded = replica.driver.loaded()
        except (UpstreamUnreachable, UpstreamBroke, OrderFailed) as error:
            self._record_failure(str(error))
            return
        if replica.orders_given == orders_before:
            # A list that an order has overtaken says nothing.
            self._record_alive(loaded)

    def _record_failure(self, detail: str) -> None:
        self._failures += 1
        if self._failures != _EJECT_AFTER_FAILURES or not self._boot_id:
            return
        replica = self._replica
        replica.log.say("Took an upstream out.", replica=replica.name, why=detail)
        self._boot_id = ""
        self.admitted = 0
        replica.removed()

    def _record_alive(self, loaded: LoadedAdapters) -> None:
        replica = self._replica
        self._failures = 0
        if not self._boot_id:
            self._apply_loaded(loaded)
            return
        if loaded.boot_id != self._boot_id:
            # A restarted engine knows no fence: the next round tells it before anything else.
            replica.log.say("An engine restarted.", replica=replica.name)
            self._boot_id = ""
            replica.residency.replace([])
            self._check_again.set()
            return
        if self.admitted < replica.pool.running_limit:
            self.admitted = min(replica.pool.running_limit, self.admitted * 2)
            replica.grant_ready()
        if set(loaded.adapters) != set(replica.residency.ready_adapters):
            replica.holds(loaded.adapters)

    def _apply_loaded(self, loaded: LoadedAdapters) -> None:
        replica = self._replica
        self._boot_id = loaded.boot_id
        self.admitted = max(1, replica.pool.running_limit // 4)
        replica.log.say(
            "Took an upstream in.",
            replica=replica.name,
            boot=loaded.boot_id,
            holds=loaded.adapters,
        )
        replica.added(loaded.adapters)
