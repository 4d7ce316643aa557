"""Chooses the base model that an empty engine loads, within the weight store's rate limit."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable

from springrock.forwarding.configuration import Configuration
from springrock.forwarding.directory import Directory
from springrock.placement.engine_book import EngineBook
from springrock.placement.load_budget import LoadBudget


class ModelLoads:
    """The loads of base models that one zone's placer orders.

    Args:
        zone: The availability zone.
        configuration: Returns the configuration in force.
        directory: The known replicas.
        ceiling_ratio: Multiple of the configured load rate that is allowed.
        ceiling_burst: Maximum number of unused loads that accumulate, over all zones.
    """

    def __init__(
        self,
        zone: str,
        *,
        configuration: Callable[[], Configuration],
        directory: Directory,
        ceiling_ratio: float,
        ceiling_burst: float,
    ) -> None:
        self._zone = zone
        self._configuration = configuration
        self._directory = directory
        self._ceiling_ratio = ceiling_ratio
        self._ceiling_burst = ceiling_burst
        self._budgets: dict[str, LoadBudget] = {}

    def next_model(self, service: str, books: Iterable[EngineBook]) -> str | None:
        """Return the base model that an empty engine is to load; None if the budget allows none.

        The model that the fewest engines of the service hold is chosen.

        Args:
            service: The engine's service.
            books: The books of the zone's engines.
        """
        engine = self._configuration().engine_services.get(service)
        if engine is None or not engine.models:
            return None
        if not self._budget(service, engine.loads_per_s).try_acquire():
            return None
        held = Counter(
            model for book in books if book.record.service == service for model in book.models
        )
        return min((model.name for model in engine.models), key=lambda name: held[name])

    def clear(self) -> None:
        """Reset the budgets, as when the lease is lost."""
        self._budgets.clear()

    def _budget(self, service: str, loads_per_s: float) -> LoadBudget:
        budget = self._budgets.get(service)
        if budget is None:
            share = self._share_of(service)
            budget = LoadBudget(
                per_s=loads_per_s * self._ceiling_ratio * share,
                burst=max(1.0, self._ceiling_burst * share),
            )
            self._budgets[service] = budget
        return budget

    def _share_of(self, service: str) -> float:
        """Return this zone's share of the service's engines, which is its share of the loads."""
        zones = [replica.record.zone for replica in self._directory.of_service(service)]
        return max(1, zones.count(self._zone)) / max(1, len(zones))
