"""The placer of a zone: hears what boxes want, plans loads, has them ordered, tells of them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event

from springrock.clock import monotonic
from springrock.forwarding.configuration import Configuration
from springrock.forwarding.directory import Directory, Replica, ReplicaRecord
from springrock.forwarding.message import AdapterKey
from springrock.log import Log
from springrock.metrics import ForwardingMetrics
from springrock.placement.control import EngineControl
from springrock.placement.engine_book import EngineBook
from springrock.placement.keeper import Keeper
from springrock.placement.lease import PlacerLease
from springrock.placement.load_budget import LoadBudget
from springrock.placement.messages import Demand, Forecast, Message, Residents
from springrock.placement.planner import CombinedWant, Planner, crowded_engines
from springrock.placement.popularity import Popularity
from springrock.placement.residency import Versions

_PLAN_EVERY_S = 0.05
_FORECAST_STEP_S = 0.1
"""Forecasts that differ by less are not told again."""


class Placer:
    """Places adapters on the engines of a zone while this box holds its lease.

    Args:
        zone: The availability zone.
        configuration: Returns the configuration in force.
        directory: The known replicas.
        versions: The newest versions of adapters.
        control: Speaks to engines.
        lease: The lease.
        box: The name under which it orders.
        ceiling_ratio: How far loads may exceed the rate that the configuration states.
        ceiling_burst: Loads that may be saved up.
        tell: Tells all boxes, this one included.
        log: The log to write to.
        metrics: The metrics to count in.
    """

    def __init__(
        self,
        zone: str,
        *,
        configuration: Callable[[], Configuration],
        directory: Directory,
        versions: Versions,
        control: EngineControl,
        lease: PlacerLease,
        box: str,
        ceiling_ratio: float,
        ceiling_burst: float,
        tell: Callable[[Message], None],
        log: Log,
        metrics: ForwardingMetrics,
    ) -> None:
        self._zone = zone
        self._configuration = configuration
        self._directory = directory
        self._versions = versions
        self._control = control
        self._lease = lease
        self._box = box
        self._ceiling_ratio = ceiling_ratio
        self._ceiling_burst = ceiling_burst
        self._tell = tell
        self._log = log
        self._metrics = metrics
        self._popularity = Popularity()
        self._planners: dict[str, Planner] = {}
        self._demands: dict[str, Demand] = {}
        self._since: dict[AdapterKey, float] = {}
        self._told: dict[AdapterKey, float] = {}
        self._keepers: dict[str, Keeper] = {}
        self._budgets: dict[str, LoadBudget] = {}
        self._work = Event()
        self._task: gevent.Greenlet[..., Any] | None = None
        directory.on_change.append(self._replica_changed)

    @property
    def active(self) -> bool:
        """Whether it works now."""
        return self._task is not None

    def start(self) -> None:
        """Begin to place, under the lease just taken."""
        self._task = gevent.spawn(self._plan_forever)
        for service in self._configuration().engine_services:
            for replica in self._directory.of_service(service):
                if replica.record.zone == self._zone:
                    self._keep(replica)

    def stop(self) -> None:
        """Stop at once."""
        if self._task is not None:
            self._task.kill()
            self._task = None
        for keeper in self._keepers.values():
            keeper.stop()
        self._keepers.clear()
        self._planners.clear()
        self._budgets.clear()
        self._demands.clear()
        self._since.clear()
        self._told.clear()

    def take_demand(self, box: str, demand: Demand) -> None:
        """Take all that a box now wants and uses."""
        self._tell_anew(demand, before=self._demands.get(box))
        self._demands[box] = demand
        for hits in demand.hits:
            self._popularity.note(AdapterKey(hits.model, hits.adapter), hits.count)
        self._work.set()

    def forget_box(self, box: str) -> None:
        """Drop what a box wanted and used; its requests are gone or will be told anew."""
        self._demands.pop(box, None)

    def standing(self) -> list[Message]:
        """Return what a box that has just linked must be told."""
        return [
            Residents(keeper.book.instance, keeper.book.ready())
            for keeper in self._keepers.values()
            if keeper.book.sequence is not None
        ]

    def room(self) -> int:
        """Return how many more adapters the engines could take now."""
        used = self._used()
        now = monotonic()
        return sum(
            self._planner(keeper.book.record.service).room(keeper.book, used=used, now=now)
            for keeper in self._keepers.values()
            if keeper.book.reachable and keeper.book.models and not keeper.book.record.leaving
        )

    def crowded(self) -> tuple[str, ...]:
        """Return the engines that run so much that all of it becomes slow."""
        return tuple(sorted(crowded_engines(self._used())))

    # Engines.

    def _replica_changed(self, record: ReplicaRecord | None, instance: str) -> None:
        if not self.active or (record is not None and record.zone != self._zone):
            return
        if record is None:
            keeper = self._keepers.pop(instance, None)
            if keeper is not None:
                keeper.stop()
            return
        if instance in self._keepers:
            self._keepers[instance].take_record(record)
        elif record.service in self._configuration().engine_services:
            replica = self._directory.find(instance)
            if replica is not None:
                self._keep(replica)
        self._work.set()

    def _keep(self, replica: Replica) -> None:
        engine = self._configuration().engine_services[replica.record.service]
        keeper = Keeper(
            EngineBook(replica.record, slots=engine.adapter_slots),
            control=self._control,
            lease=self._lease,
            planner=self._planner(replica.record.service),
            used=self._used,
            newest=self._versions.newest,
            wanted_model=lambda: self._wanted_model(replica.record.service),
            holder=self._box,
            on_change=self._tell_residents,
            log=self._log,
            metrics=self._metrics,
        )
        self._keepers[replica.instance] = keeper
        keeper.start()

    def _wanted_model(self, service: str) -> str | None:
        """Return the base model that an empty engine is to load now, if one may be loaded."""
        engine = self._configuration().engine_services.get(service)
        if engine is None or not engine.models:
            return None
        if not self._budget(service, engine.loads_per_s).take():
            return None
        held = Counter(
            model
            for keeper in self._keepers.values()
            if keeper.book.record.service == service
            for model in keeper.book.models
        )
        return min((model.name for model in engine.models), key=lambda name: held[name])

    def _tell_residents(self, book: EngineBook) -> None:
        self._tell(Residents(book.instance, book.ready()))
        self._work.set()

    def _used(self) -> Counter[tuple[str, AdapterKey]]:
        used: Counter[tuple[str, AdapterKey]] = Counter()
        for demand in self._demands.values():
            for use in demand.uses:
                used[(use.instance, AdapterKey(use.model, use.adapter))] += use.count
        return used

    # Planning.

    def _plan_forever(self) -> None:
        while True:
            self._work.wait(timeout=_PLAN_EVERY_S if self._since else None)
            self._work.clear()
            if self._lease.holds:
                self._plan()

    def _plan(self) -> None:
        wants = self._combined_wants()
        for service, engine in self._configuration().engine_services.items():
            models = {model.name for model in engine.models}
            of_service = [want for want in wants if want.key.model in models]
            books = [
                keeper.book
                for keeper in self._keepers.values()
                if keeper.book.record.service == service
                and keeper.book.reachable
                and not keeper.book.record.leaving
            ]
            plan = self._planner(service).plan(
                of_service,
                books,
                used=self._used(),
                now=monotonic(),
            )
            for assignment in plan.assignments:
                self._keepers[assignment.engine.instance].wake()
            for key, ready_in_s in plan.ready_in_s.items():
                self._tell_forecast(key, ready_in_s)

    def _planner(self, service: str) -> Planner:
        planner = self._planners.get(service)
        if planner is None:
            planner = Planner(self._popularity, self._versions.newest)
            self._planners[service] = planner
        return planner

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
        """Return this zone's share of the engines, and so of the loads of models."""
        zones = [replica.record.zone for replica in self._directory.of_service(service)]
        return max(1, zones.count(self._zone)) / max(1, len(zones))

    def _combined_wants(self) -> list[CombinedWant]:
        now = monotonic()
        combined: dict[AdapterKey, CombinedWant] = {}
        for demand in self._demands.values():
            for want in demand.wants:
                key = AdapterKey(want.model, want.adapter)
                target_at = now + want.target_left_ms / 1000
                known = combined.get(key)
                if known is None:
                    since = self._since.setdefault(key, now)
                    combined[key] = CombinedWant(
                        key=key,
                        waiting=want.waiting,
                        promised=want.promised,
                        worth=want.worth,
                        since=since,
                        target_at=target_at,
                    )
                else:
                    known.waiting += want.waiting
                    known.promised += want.promised
                    known.worth += want.worth
                    known.target_at = min(known.target_at, target_at)
        for key in [key for key in self._since if key not in combined]:
            del self._since[key]
            self._told.pop(key, None)
        return list(combined.values())

    def _tell_anew(self, demand: Demand, *, before: Demand | None) -> None:
        """Have forecasts told again that a box has not kept, as it did not want them yet."""
        known = {(want.model, want.adapter) for want in before.wants} if before else set()
        for want in demand.wants:
            if (want.model, want.adapter) not in known:
                self._told.pop(AdapterKey(want.model, want.adapter), None)

    def _tell_forecast(self, key: AdapterKey, ready_in_s: float) -> None:
        ready_at = monotonic() + ready_in_s
        told = self._told.get(key)
        if told is not None and abs(told - ready_at) < _FORECAST_STEP_S:
            return
        self._told[key] = ready_at
        self._tell(Forecast(key.model, key.adapter, round(ready_in_s * 1000)))
