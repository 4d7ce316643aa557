"""Which services this box reaches replicas of."""

from __future__ import annotations

import functools
from collections.abc import Callable, Collection

from springrock.forwarding.replica_reach import ReplicaReach
from springrock.log import Log


class BoxReach:
    """The reach of a box to the replicas of each service, and to all of them.

    The box counts as cut off if it is cut off from every service that has replicas, or from every
    one that has engines, as it can then neither place adapters nor serve requests for them.

    Args:
        services: Returns the services that have replicas.
        log: The log to write to.
        engine_services: Returns the services whose replicas are engines.
        on_change: Called when the box begins or ceases to be cut off.
    """

    def __init__(
        self,
        services: Callable[[], Collection[str]],
        log: Log,
        *,
        engine_services: Callable[[], Collection[str]] = lambda: (),
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        self._services = services
        self._engine_services = engine_services
        self._log = log
        self._on_change = on_change
        self._reaches: dict[str, ReplicaReach] = {}
        self.cut_off = False

    def of(self, service: str) -> ReplicaReach:
        """Return the reach to the replicas of a service."""
        reach = self._reaches.get(service)
        if reach is None:
            reach = ReplicaReach(
                self._log,
                service=service,
                on_change=functools.partial(self._service_changed, service),
            )
            self._reaches[service] = reach
        return reach

    def services_to_probe(self) -> list[str]:
        """Return the services whose replicas should be probed now."""
        self._update()
        return [name for name in self._services() if self.of(name).needs_probe]

    def record_control_call(self, answered: bool) -> None:
        """Record whether an engine answered a call of this box's placer.

        An answer says nothing about requests, as it may have come over an older connection.
        """
        if not answered:
            self._suspect(self._services())

    def _suspect(self, services: Collection[str]) -> None:
        for service in services:
            self.of(service).record_unreachable()

    def _service_changed(self, changed: str) -> None:
        if self.of(changed).cut_off:
            self._suspect(set(self._services()) - {changed})
        self._update()

    def _update(self) -> None:
        services = self._services()
        for service in self._reaches.keys() - set(services):
            self._reaches[service].clear()
        was_cut_off = self.cut_off
        engine_services = set(services).intersection(self._engine_services())
        self.cut_off = self._is_cut_off_from(services) or self._is_cut_off_from(engine_services)
        if self.cut_off != was_cut_off:
            self._on_change()

    def _is_cut_off_from(self, services: Collection[str]) -> bool:
        return bool(services) and all(self.of(service).cut_off for service in services)
