"""Placement in one box: joins the election of the placer, links to it, or is it."""

from __future__ import annotations

import random
from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import Any

import gevent

from springrock.clock import monotonic
from springrock.forwarding.adapters import WaitTerms
from springrock.forwarding.configuration import Configuration
from springrock.forwarding.directory import Directory, Replica
from springrock.forwarding.message import AdapterKey
from springrock.ids import new_id
from springrock.log import Log
from springrock.metrics import ForwardingMetrics
from springrock.placement.control import EngineControl
from springrock.placement.demand import DemandBook
from springrock.placement.lease import PlacerLease, PlacerRow
from springrock.placement.link import PlacerClient, PlacerServer
from springrock.placement.messages import Forecast, Heartbeat, Message, Residents
from springrock.placement.placer import Placer
from springrock.placement.residency import Residency, Versions
from springrock.rows import RowStore

_HEARTBEAT_S = 0.4
_LOOK_S = 0.3
_RENEWALS_PER_LEASE = 3
_DEMAND_PAUSE_S = 0.02


class PlacementSettings:
    """What placement takes from the settings.

    Args:
        box: The name of this box.
        address: Where the placer's links are served.
        lease_s: How long the placer's lease lasts.
        checks_fence: Whether engines refuse an older fence.
        ceiling_ratio: How far loads may exceed the stated rate.
        ceiling_burst: Loads that may be saved up.
    """

    def __init__(
        self,
        *,
        box: str,
        address: str,
        lease_s: float,
        checks_fence: bool,
        ceiling_ratio: float,
        ceiling_burst: float,
    ) -> None:
        self.box = box
        self.address = address
        self.lease_s = lease_s
        self.checks_fence = checks_fence
        self.ceiling_ratio = ceiling_ratio
        self.ceiling_burst = ceiling_burst


class Placement:
    """Implements `springrock.forwarding.adapters.Adapters`.

    Args:
        settings: What placement takes from the settings.
        store: The store with the placer's row.
        configuration: Returns the configuration in force.
        directory: The known replicas.
        versions: The newest versions of adapters.
        control: Speaks to engines.
        log_of: Returns the log of a part.
        metrics: The metrics to count in.
    """

    def __init__(
        self,
        settings: PlacementSettings,
        *,
        store: RowStore,
        configuration: Callable[[], Configuration],
        directory: Directory,
        versions: Versions,
        control: EngineControl,
        log_of: Callable[[str], Log],
        metrics: ForwardingMetrics,
    ) -> None:
        self._settings = settings
        self._incarnation = new_id()
        self._versions = versions
        self._residency = Residency(directory, versions)
        self._demand = DemandBook(has_placer=self._has_placer)
        self._residency.on_change.append(self._demand.notify)
        self._lease = PlacerLease(
            store,
            box=settings.box,
            incarnation=self._incarnation,
            lease_s=settings.lease_s,
            checks_fence=settings.checks_fence,
            log=log_of("lease"),
        )
        self._lease.announce(settings.address)
        self._placer = Placer(
            configuration=configuration,
            directory=directory,
            versions=versions,
            control=control,
            lease=self._lease,
            box=settings.box,
            ceiling_ratio=settings.ceiling_ratio,
            ceiling_burst=settings.ceiling_burst,
            tell=self._tell,
            log=log_of("placer"),
            metrics=metrics,
        )
        self._server = PlacerServer(
            settings.address,
            incarnation=self._incarnation,
            accepts=lambda: self._lease.holds,
            on_demand=self._placer.take_demand,
            on_lost=self._placer.forget_box,
            heartbeat=self._lease.heartbeat,
            standing=self._placer.standing,
            log=log_of("link"),
        )
        self._client = PlacerClient(
            settings.box,
            demand=self._demand.snapshot,
            demand_changed=self._demand.changed,
            on_message=self._take,
            on_lost=self._placer_lost,
            log=log_of("link"),
        )
        self._tasks: list[gevent.Greenlet[..., Any]] = []
        self._stopping = False

    def start(self) -> None:
        """Begin to take part."""
        self._server.start()
        self._tasks.append(gevent.spawn(self._elect_forever))
        self._tasks.append(gevent.spawn(self._feed_own_demand))

    def hand_over(self) -> None:
        """Let another box become the placer, as this one is about to stop."""
        self._stopping = True
        if self._placer.active:
            self._placer.stop()
            self._lease.give_up()
            self._server.close_links()

    def stop(self) -> None:
        """End all tasks and links."""
        for task in self._tasks:
            task.kill()
        self._client.close()
        self._server.stop()

    # What forwarding asks.

    def holds(self, replica: Replica, key: AdapterKey) -> bool:
        """Whether a replica holds the newest known version of an adapter."""
        return self._residency.holds(replica, key)

    def deny(self, instance: str, key: AdapterKey) -> None:
        """Learn from a replica itself that it does not hold an adapter."""
        self._residency.deny(instance, key)

    def newest(self, key: AdapterKey) -> int:
        """Return the newest named version; 0 if none was named."""
        return self._versions.newest(key)

    def note_hit(self, key: AdapterKey) -> None:
        """Count a request for an adapter."""
        self._demand.note_hit(key)

    def using(self, instance: str, key: AdapterKey) -> AbstractContextManager[None]:
        """Count a request as running with an adapter at a replica."""
        return self._demand.using(instance, key)

    def wait_for(self, key: AdapterKey, terms: WaitTerms, *, there: Callable[[], bool]) -> None:
        """Wait until an adapter can be used."""
        self._demand.wait_for(key, terms, there=there)

    # The placer's word.

    def _has_placer(self) -> bool:
        return self._client.linked or self._placer.active

    def _tell(self, message: Message) -> None:
        self._server.tell_all(message)
        self._take(message)

    def _take(self, message: Message) -> None:
        match message:
            case Residents(instance=instance, adapters=adapters):
                self._residency.note_told(instance, adapters)
            case Forecast(model=model, adapter=adapter, ready_in_ms=ready_in_ms):
                self._demand.note_forecast(AdapterKey(model, adapter), ready_in_ms / 1000)
            case Heartbeat(row_version=row_version, lease_left_ms=lease_left_ms):
                self._lease.note_heartbeat(row_version, lease_left_ms / 1000)

    def _placer_lost(self) -> None:
        self._residency.forget_told()
        self._demand.forget_forecasts()

    def _feed_own_demand(self) -> None:
        while True:
            self._demand.changed.wait()
            if self._placer.active:
                self._demand.changed.clear()
                self._placer.take_demand(self._settings.box, self._demand.snapshot())
            gevent.sleep(_DEMAND_PAUSE_S)

    # The election.

    def _elect_forever(self) -> None:
        gevent.sleep(random.uniform(0.0, _LOOK_S))
        while not self._stopping:
            if self._lease.held:
                self._hold()
            elif self._client.linked:
                self._client.lost.wait()
            else:
                self._find_placer()

    def _hold(self) -> None:
        """Renew the lease until it is lost."""
        self._placer.start()
        renew_every_s = self._settings.lease_s / _RENEWALS_PER_LEASE
        renewed_at = monotonic()
        while self._lease.held and not self._stopping:
            self._server.tell_all(self._lease.heartbeat())
            gevent.sleep(_HEARTBEAT_S)
            if self._lease.held and monotonic() - renewed_at >= renew_every_s:
                renewed_at = monotonic()
                self._lease.renew()
        if not self._stopping:
            self._placer.stop()
            self._server.close_links()
            self._placer_lost()

    def _find_placer(self) -> None:
        standing = self._lease.look()
        if standing is not None and self._is_other(standing) and self._link_to(standing):
            return
        if not self._stopping and not self._lease.challenge(standing):
            gevent.sleep(random.uniform(_LOOK_S / 2, _LOOK_S))

    def _link_to(self, standing: PlacerRow) -> bool:
        return self._client.link(standing.address, incarnation=standing.incarnation)

    def _is_other(self, standing: PlacerRow) -> bool:
        return bool(standing.incarnation) and standing.incarnation != self._incarnation
