"""The processes of a soak: those of the routed tests, with a proxy between boxes and all else."""

from __future__ import annotations

import json
import signal
import threading
from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import urllib3

from bench.soak.crashing import CrashingCaller
from bench.soak.observations import Attempt, Change, NamedVersion
from bench.soak.shape import (
    ADAPTER_SLOTS,
    CRASHING,
    EVENT_PAUSE_MS,
    QUOTA_WINDOW_S,
    RETRY_ALLOWANCE,
    RETRY_RATIO,
    RETRY_WINDOW_S,
    REVOKE_S,
    SERVICES,
    STOP_WITHIN_S,
    STREAM_EVENTS,
    WORK_MS,
    Configured,
    ReplicaPlan,
    Shape,
)
from springrock.clock import monotonic
from springrock.emulator.ports import free_addresses
from springrock.emulator.replica import CRASHED
from springrock.emulator.replica_events import ReplicaEvent, read_replica_events
from springrock.platform import names
from tests.builds import LAST_LANDING, build_at
from tests.processes import Processes, wait_until
from tests.routed.deployment import MODEL, Deployment

_UNROUTED_SERVICE = "strangers"
_REACHED_WITHIN_S = 3.0
_ANSWERS_WITHIN_S = 3.0


@dataclass
class SoakDeployment(Deployment):
    """Starts everything, changes it, and tells what replicas saw.

    Attributes:
        guard: Held while a process is started.
        shape: What runs.
        changes: The configurations that were written.
        versions: The versions of adapters that were named.
    """

    guard: Callable[[], AbstractContextManager[None]] = nullcontext
    shape: Shape = field(default_factory=lambda: Shape.from_boxes(4))
    changes: list[Change] = field(default_factory=list)
    versions: list[NamedVersion] = field(default_factory=list)

    def __post_init__(self) -> None:
        super().__post_init__()
        self.processes = Processes(self.folder, guard=self.guard)
        self.boxes = len(self.shape.boxes)
        self.services = SERVICES
        self.more_settings = {
            "keys": {"revoke_s": REVOKE_S},
            "quotas": {"window_s": QUOTA_WINDOW_S},
            "retries": {
                "ratio": RETRY_RATIO,
                "allowance": RETRY_ALLOWANCE,
                "window_s": RETRY_WINDOW_S,
                "boxes": self.boxes,
            },
            "stop": {"within_s": STOP_WITHIN_S, "notice_s": 0.2},
        }
        self._configured = Configured()
        self._named: dict[str, int] = {}
        self._removed_rows: set[str] = set()
        self._plans = {plan.name: plan for plan in self.shape.replicas}
        self._routes: dict[str, str] = {}
        self._proxy = ""
        self.crashing_attempts: list[Attempt] = []
        self._crashing: dict[str, CrashingCaller] = {}
        self._given_away: set[str] = set()
        self._earlier: Path | None = None
        self._restarting = threading.RLock()

    # Start.

    def start(self) -> None:
        """Start everything and wait until every box serves."""
        self.addresses["store"] = free_addresses(1)[0]
        self.processes.spawn("store", ["standin", "rowstore"], {"address": self.addresses["store"]})
        links = [f"{box}>store" for box in self.shape.boxes]
        links += [f">{plan.name}" for plan in self.shape.replicas]
        self._proxy, *addresses = free_addresses(len(links) + 1)
        self._routes = dict(zip(links, addresses, strict=True))
        for plan in self.shape.replicas:
            self._start_planned(plan)
        self.processes.spawn("proxy", ["standin", "proxy"], self._proxy_settings())
        self.change()
        self.assign_links(self.shape.boxes)
        for box in self.shape.boxes:
            self.start_box(box)
        self.wait_ready(replicas=len(self.shape.replicas))

    def restart_with_earlier_build(self, box: str) -> None:
        """Kill a box and start it with the build of the last landing.

        A box that does without a mechanism stays one: only this build can be told so.
        """
        if self.box_module != Deployment.box_module:
            self.processes.restart(box)
            return
        if self._earlier is None:
            self._earlier = build_at(LAST_LANDING, self.folder)
        self.processes.use_build(box, self._earlier)
        self._restart_knowing_seeds(box, [])

    def restart_with_this_build(self, box: str) -> None:
        """Kill a box and start it with this build."""
        self.processes.use_build(box, None)
        self._restart_knowing_seeds(box, self.seeds_of(box))

    def _restart_knowing_seeds(self, box: str, seeds: list[str]) -> None:
        """Restart a box; one of the last landing, which knows no such setting, is told none."""
        path = self.folder / f"{box}.jsonc"
        settings = json.loads(path.read_text())
        settings.pop("start", None)
        if seeds:
            settings["start"] = {"seeds": seeds}
        path.write_text(json.dumps(settings, indent=1))
        self.processes.restart(box)

    def store_address_of(self, box: str) -> str:
        """Where a box reaches the store: through the proxy."""
        return self._routes[f"{box}>store"]

    def _start_planned(self, plan: ReplicaPlan) -> None:
        more: dict[str, Any] = {
            "advertised_address": self._routes[f">{plan.name}"],
            "events_path": str(self.folder / f"{plan.name}.events"),
            "needs_instance": False,
            "work_ms": WORK_MS,
            "events": STREAM_EVENTS,
            "event_pause_ms": EVENT_PAUSE_MS,
            "adapter_slots": ADAPTER_SLOTS,
            "crashes_on": CRASHING,
        }
        if plan.is_engine:
            more["base_model"] = MODEL
        self.start_replica(plan.name, plan.service, plan.zone, **more)

    def _proxy_settings(self) -> dict[str, Any]:
        routes = [
            {
                "name": name,
                "address": address,
                "target_address": self.addresses[name.partition(">")[2]],
            }
            for name, address in self._routes.items()
        ]
        return {"address": self._proxy, "routes": routes}

    # The operator.

    def change(self, **fields: bool) -> None:
        """Change what the configuration says, and note when that was acknowledged."""
        self._configured = self._configured._replace(**fields)
        self.tenants = self._configured.tenants()
        began_at = monotonic()
        self.configure(self._configured.routes())
        self.changes.append(
            Change(
                began_at=began_at,
                acknowledged_at=monotonic(),
                configured=self._configured,
            )
        )

    def name_next_version(self, adapter: str) -> None:
        """Name the next version of an adapter."""
        version = self._named.get(adapter, 1) + 1
        self._named[adapter] = version
        self.name_version(adapter, version)
        self.versions.append(
            NamedVersion(acknowledged_at=monotonic(), adapter=adapter, version=version)
        )

    def write_again(self) -> None:
        """Write what a store lacks that came back from a copy, as the operator does."""
        self.configure(self._configured.routes(), self.version)
        for adapter, version in self._named.items():
            self.name_version(adapter, version)
        for instance in sorted(self._removed_rows):
            self.remove_replica_row(instance)

    # Faults.

    def fault(self, name: str, **fault: Any) -> None:
        """Switch the faults of a stand-in that may have been started a moment ago."""
        url = f"http://{self.addresses[name]}/standin/faults"
        wait_until(
            lambda: self._posted(url, json.dumps(fault)),
            within_s=_REACHED_WITHIN_S,
            what=f"{name} takes its fault",
        )

    def link_fault(self, links: tuple[str, ...], **fault: Any) -> None:
        """Switch the faults of some links; no fault heals them."""
        body = json.dumps({"routes": list(links), **fault})
        wait_until(
            lambda: self._posted(f"http://{self._proxy}/standin/faults", body),
            within_s=_REACHED_WITHIN_S,
            what="the proxy takes a fault",
        )

    def begin_crashing(self, route: str, seed: str) -> None:
        """Begin to send a request that crashes replicas."""
        caller = CrashingCaller(
            route,
            self.clients,
            seed=seed,
            attempts=self.crashing_attempts,
            restart=self._restart_crashed,
        )
        self._crashing[seed] = caller
        caller.start()

    def end_crashing(self, seed: str) -> None:
        """Undo `begin_crashing`."""
        self._crashing.pop(seed).stop()

    def _restart_crashed(self) -> None:
        """Start the replicas anew that a request has crashed, as the platform does."""
        with self._restarting:
            for name in self._plans.keys() - self._given_away:
                if self.processes[name].poll() == CRASHED:
                    self.replace_replica(name)

    def replace_replica(self, name: str) -> None:
        """End a replica, drop its record, and start it anew."""
        with self._restarting:
            self.processes.kill(name)
            self._drop_records_of(name)
            self.processes.restart(name)

    def give_address_away(self, name: str) -> None:
        """End a replica and let one of another service listen where it listened."""
        with self._restarting:
            self._given_away.add(name)
            self.processes.kill(name)
        settings = json.loads((self.folder / f"{name}.jsonc").read_text())
        settings["service"] = _UNROUTED_SERVICE
        self.processes.spawn(f"{name}-stranger", ["standin", "replica"], settings)

    def take_address_back(self, name: str) -> None:
        """Undo `give_address_away`."""
        self.processes.kill(f"{name}-stranger")
        self.replace_replica(name)
        self._given_away.discard(name)

    def write_foreign_row(self, instance: str, *, at: str, service: str) -> None:
        """Write a record that names another service's replica."""
        self._removed_rows.discard(instance)
        value = {
            "service": service,
            "address": self._routes[f">{at}"],
            "zone": self._plans[at].zone,
            "slots": 8,
            "state": "ready",
        }
        self.write_row(names.REPLICA_TABLE, instance, json.dumps(value).encode())

    def remove_replica_row(self, instance: str) -> None:
        """Drop a record."""
        self._removed_rows.add(instance)
        self._transact({"remove": [{"table": names.REPLICA_TABLE, "key": instance}]})

    def _drop_records_of(self, name: str) -> None:
        for instance in {event.instance for event in self._events_of(name)}:
            self.remove_replica_row(instance)

    # What replicas saw.

    def replica_events(self) -> list[ReplicaEvent]:
        """All that the replicas saw, killed ones too."""
        return [event for name in self._plans for event in self._events_of(name)]

    def ask_silent_boxes_for_stacks(self) -> list[str]:
        """Have each box that answers nothing at all write where it stands to its log, and end.

        Returns:
            The names of such boxes.
        """
        silent = [box for box in self.shape.boxes if not self._answers(box)]
        for box in silent:
            self.processes.signal(box, signal.SIGABRT)
        for box in silent:
            wait_until(partial(self._has_ended, box), what=f"{box} ends")
        return silent

    def _has_ended(self, box: str) -> bool:
        return not self.processes.runs(box)

    def _answers(self, box: str) -> bool:
        url = f"http://{self.readiness[box]}{names.READINESS_PATH}"
        try:
            urllib3.request("GET", url, timeout=_ANSWERS_WITHIN_S, retries=False)
        except urllib3.exceptions.HTTPError:
            return False
        return True

    def _events_of(self, name: str) -> list[ReplicaEvent]:
        return read_replica_events(self.folder / f"{name}.events")
