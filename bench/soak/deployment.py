"""The processes of a soak: those of the routed tests, and a proxy between boxes and all others."""

from __future__ import annotations

import json
import signal
import threading
from collections.abc import Callable, Sequence
from contextlib import AbstractContextManager, nullcontext
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import urllib3

from bench.soak.crashing import CrashingCaller
from bench.soak.observations import Attempt, ConfigurationChange, PublishedVersion
from bench.soak.pause_series import PauseSeries
from bench.soak.rerouting import write_links
from bench.soak.shape import (
    ADAPTER_SLOTS,
    CRASHING,
    CRASHING_PART,
    EVENT_PAUSE_MS,
    FIRST_SOFTWARE,
    QUOTA_WINDOW_S,
    RETRY_ALLOWANCE,
    RETRY_RATIO,
    RETRY_WINDOW_S,
    REVOKE_S,
    SERVICES,
    STOP_WITHIN_S,
    STREAM_EVENTS,
    WORK_MS,
    ReplicaPlan,
    Shape,
    SoakConfiguration,
)
from springrock.clock import monotonic
from springrock.emulator.ports import free_addresses
from springrock.emulator.replica_events import ReplicaEvent, read_replica_events
from springrock.emulator.unframed import CRASH_EXIT_STATUS
from springrock.platform import names
from tests.builds import LAST_RELEASE, build_at
from tests.processes import Processes, wait_until
from tests.routed.deployment import MODEL, Deployment

BOX_MODULE = "bench.soak.box"

_RELEASE_CUTS_EVERY = 3
"""Each engine of a new software version cuts one stream of this many."""

_UNROUTED_SERVICE = "strangers"
_FAULT_TIMEOUT_S = 3.0
_READINESS_TIMEOUT_S = 3.0


@dataclass
class SoakDeployment(Deployment):
    """Starts the processes, injects faults, changes the configuration, and reads replicas' events.

    Attributes:
        guard: A context that is entered while a process is started.
        shape: The boxes and replicas.
        changes: The configurations that were written.
        versions: The versions of adapters that were published.
    """

    guard: Callable[[], AbstractContextManager[None]] = nullcontext
    shape: Shape = field(default_factory=lambda: Shape.from_boxes(4))
    changes: list[ConfigurationChange] = field(default_factory=list)
    versions: list[PublishedVersion] = field(default_factory=list)

    def __post_init__(self) -> None:
        super().__post_init__()
        self.processes = Processes(self.folder, guard=self.guard)
        self.boxes = len(self.shape.boxes)
        self.box_module = BOX_MODULE
        self.services = SERVICES
        self.box_settings = {
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
        self._configured = SoakConfiguration()
        self._published_versions: dict[str, int] = {}
        self._removed_rows: set[str] = set()
        self._plans = {plan.name: plan for plan in (*self.shape.replicas, *self.shape.spares)}
        self._absent = {plan.name for plan in self.shape.spares}
        self._releases = 0
        self._routes: dict[str, str] = {}
        self._proxy = ""
        self.crashing_attempts: list[Attempt] = []
        self._crashing_callers: dict[str, CrashingCaller] = {}
        self._reassigned: set[str] = set()
        self._earlier_build: Path | None = None
        self._restart_lock = threading.RLock()
        self._pause_series: dict[str, PauseSeries] = {}
        self._change_lock = threading.RLock()

    # Start.

    def start(self) -> None:
        """Start all processes and wait until every box serves."""
        self.addresses["store"] = free_addresses(1)[0]
        self.processes.spawn("store", ["standin", "rowstore"], {"address": self.addresses["store"]})
        links = [f"{box}>store" for box in self.shape.boxes]
        links += [f">{name}" for name in self._plans]
        links += [link for box in self.shape.boxes for link in self.links_to_replicas(box)]
        self._proxy, *addresses = free_addresses(len(links) + 1)
        self._routes = dict(zip(links, addresses, strict=True))
        for plan in self.shape.replicas:
            self._start_planned(plan)
        for plan in self.shape.spares:
            self.addresses[plan.name] = free_addresses(1)[0]
        self.processes.spawn("proxy", ["standin", "proxy"], self._proxy_settings())
        self.change()
        self.assign_links(self.shape.boxes)
        for box in self.shape.boxes:
            self.start_box(box)
        self.wait_ready(replicas=len(self.shape.replicas))

    def restart_with_earlier_build(self, box: str) -> None:
        """Kill a box and start it with the build of the last release.

        A box with a disabled mechanism keeps this build, as earlier builds cannot disable it.
        """
        if self.box_module != BOX_MODULE:
            self.processes.restart(box)
            return
        if self._earlier_build is None:
            self._earlier_build = build_at(LAST_RELEASE, self.folder)
        self._restart_with_seeds(box, [], module=Deployment.box_module, build=self._earlier_build)

    def restart_with_this_build(self, box: str) -> None:
        """Kill a box and start it with this build."""
        self._restart_with_seeds(box, self.seeds_of(box), module=self.box_module)

    def _restart_with_seeds(
        self, box: str, seeds: list[str], *, module: str, build: Path | None = None
    ) -> None:
        """Restart a box with these seeds; omit the setting if there are none.

        The earlier build does not know this setting, nor the module for a box's own links: it
        connects to the addresses in the replicas' records.
        """
        path = self.folder / f"{box}.jsonc"
        settings = json.loads(path.read_text())
        settings.pop("start", None)
        if seeds:
            settings["start"] = {"seeds": seeds}
        self.processes.kill(box)
        self.processes.spawn(box, [*self.box_command], settings, module=module, build=build)

    def start_box(self, name: str) -> None:
        """Start a box that connects to replicas over its own links."""
        links = {
            self._routes[f">{replica}"]: self._routes[f"{name}>{replica}"]
            for replica in self._plans
        }
        write_links(self.folder / f"{name}.jsonc", links)
        super().start_box(name)

    def links_to_replicas(self, box: str) -> tuple[str, ...]:
        """Return the names of a box's own links to all replicas, also to those not started yet."""
        return tuple(f"{box}>{name}" for name in self._plans)

    def store_address_of(self, box: str) -> str:
        """Return the address of the proxy through which a box reaches the store."""
        return self._routes[f"{box}>store"]

    def _start_planned(
        self, plan: ReplicaPlan, *, software: str | int = FIRST_SOFTWARE, cut_every: int = 0
    ) -> None:
        more: dict[str, Any] = {
            "advertised_address": self._routes[f">{plan.name}"],
            "events_path": str(self.folder / f"{plan.name}.events"),
            "needs_instance": False,
            "work_ms": WORK_MS,
            "events": STREAM_EVENTS,
            "event_pause_ms": EVENT_PAUSE_MS,
            "adapter_slots": ADAPTER_SLOTS,
            "crashes_on": CRASHING,
            "crashes_on_part": CRASHING_PART,
            "software_version": json.dumps(software),
            "cut_every": cut_every,
        }
        if plan.is_engine:
            more["base_model"] = MODEL
        self.start_replica(plan.name, plan.service, plan.zone, **more)

    def _proxy_settings(self) -> dict[str, Any]:
        routes = [
            {"name": name, "address": address, "target_address": self._target_of(name)}
            for name, address in self._routes.items()
        ]
        return {"address": self._proxy, "routes": routes}

    def _target_of(self, link: str) -> str:
        """Return where a link leads; a box's own link leads to the one that all boxes share."""
        box, _, target = link.partition(">")
        if box and target != "store":
            return self._routes[f">{target}"]
        return self.addresses[target]

    # Operator's changes.

    def change(self, **fields: bool) -> None:
        """Change the configuration, and record when the change was acknowledged."""
        with self._change_lock:
            self._configured = self._configured._replace(**fields)
            self.tenants = self._configured.tenants()
            began_at = monotonic()
            self.configure(self._configured.routes())
            self.changes.append(
                ConfigurationChange(
                    began_at=began_at,
                    acknowledged_at=monotonic(),
                    configured=self._configured,
                )
            )

    def write_operator_row(self, key: str, value: dict[str, Any]) -> None:
        """Write a row as the operator; that of the configuration gets its limits for callers."""
        if key == names.CONFIGURATION_KEY:
            value = {**value, "limits": self._configured.limits()}
        super().write_operator_row(key, value)

    def publish_next_version(self, adapter: str) -> None:
        """Publish the next version of an adapter."""
        version = self._published_versions.get(adapter, 1) + 1
        self._published_versions[adapter] = version
        self.name_version(adapter, version)
        self.versions.append(
            PublishedVersion(acknowledged_at=monotonic(), adapter=adapter, version=version)
        )

    def rewrite_missing(self) -> None:
        """Repeat the operator's writes, which a store restored from a copy may lack."""
        with self._change_lock:
            self.configure(self._configured.routes(), self.version)
        for adapter, version in self._published_versions.items():
            self.name_version(adapter, version)
        for instance in sorted(self._removed_rows):
            self.remove_replica_row(instance)

    # Faults.

    def fault(self, name: str, **fault: Any) -> None:
        """Set the faults of a stand-in; retry while it is still starting."""
        url = f"http://{self.addresses[name]}/standin/faults"
        wait_until(
            lambda: self._post(url, json.dumps(fault)),
            within_s=_FAULT_TIMEOUT_S,
            what=f"{name} sets its faults",
        )

    def link_fault(self, links: tuple[str, ...], **fault: Any) -> None:
        """Set the faults of some links; without faults the links work normally again."""
        body = json.dumps({"routes": list(links), **fault})
        wait_until(
            lambda: self._post(f"http://{self._proxy}/standin/faults", body),
            within_s=_FAULT_TIMEOUT_S,
            what="the proxy sets its faults",
        )

    def start_crashing_request(self, route: str, seed: str, *, by_part: bool = False) -> None:
        """Start to send a request that crashes replicas, or many with a part that does."""
        caller = CrashingCaller(
            route,
            self.clients,
            seed=seed,
            by_part=by_part,
            attempts=self.crashing_attempts,
            restart=self._restart_crashed,
        )
        self._crashing_callers[seed] = caller
        caller.start()

    def stop_crashing_request(self, seed: str) -> None:
        """Stop sending a request that crashes replicas."""
        self._crashing_callers.pop(seed).stop()

    def start_pause_series(self, seed: str, replicas: Sequence[str]) -> None:
        """Start to pause replicas several times, and to change the configuration meanwhile."""
        series = PauseSeries(
            seed,
            pause=partial(self._signal_all, replicas, signal.SIGSTOP),
            resume=partial(self._signal_all, replicas, signal.SIGCONT),
            change=self.change,
        )
        self._pause_series[seed] = series
        series.start()

    def stop_pause_series(self, seed: str) -> None:
        """Resume the replicas of a series and revert its changes."""
        self._pause_series.pop(seed).stop()

    def _signal_all(self, replicas: Sequence[str], number: signal.Signals) -> None:
        for name in replicas:
            self.processes.signal(name, number)

    def _restart_crashed(self) -> None:
        """Replace the replicas that a request has crashed, as the platform does."""
        with self._restart_lock:
            for name in self._plans.keys() - self._reassigned - self._absent:
                if self.processes[name].poll() == CRASH_EXIT_STATUS:
                    self.replace_replica(name)

    def replace_replica(self, name: str) -> None:
        """Kill a replica, drop its records, and start it again."""
        with self._restart_lock:
            self.processes.kill(name)
            self._drop_records_of(name)
            self.processes.restart(name)

    def begin_release(self, leaving: str) -> None:
        """Start engines of a new software version; an engine of the old version leaves."""
        self._releases += 1
        version = FIRST_SOFTWARE + self._releases
        with self._restart_lock:
            for plan in self.shape.spares:
                # Versions have no order, and a row may hold a text or a number.
                software = str(version) if version % 2 == 0 else version
                self._start_planned(plan, software=software, cut_every=_RELEASE_CUTS_EVERY)
            self._absent.clear()
        self.fault(leaving, leaving=True)

    def end_release(self, leaving: str) -> None:
        """End the engines of the new version, and start the engine that left again."""
        with self._restart_lock:
            for plan in self.shape.spares:
                self._absent.add(plan.name)
                self.processes.kill(plan.name)
                self._drop_records_of(plan.name)
        self.replace_replica(leaving)

    def reassign_address(self, name: str) -> None:
        """Kill a replica and start a replica of another service at its address."""
        with self._restart_lock:
            self._reassigned.add(name)
            self.processes.kill(name)
        settings = json.loads((self.folder / f"{name}.jsonc").read_text())
        settings["service"] = _UNROUTED_SERVICE
        self.processes.spawn(f"{name}-stranger", ["standin", "replica"], settings)

    def restore_address(self, name: str) -> None:
        """Kill the replica of the other service and start the original one."""
        self.processes.kill(f"{name}-stranger")
        self.replace_replica(name)
        self._reassigned.discard(name)

    def write_foreign_row(self, instance: str, *, at: str, service: str) -> None:
        """Write a record of a service with the address of another service's replica, `at`."""
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
        """Delete the record of a replica."""
        self._removed_rows.add(instance)
        self._transact({"remove": [{"table": names.REPLICA_TABLE, "key": instance}]})

    def _drop_records_of(self, name: str) -> None:
        for instance in {event.instance for event in self._events_of(name)}:
            self.remove_replica_row(instance)

    # Observations.

    def replica_events(self) -> list[ReplicaEvent]:
        """Return the events of all replicas, including killed ones."""
        return [event for name in self._plans for event in self._events_of(name)]

    def replica_names(self) -> dict[str, str]:
        """Return the names of all replicas, including killed ones, by their instance."""
        return {event.instance: name for name in self._plans for event in self._events_of(name)}

    def dump_stacks_of_silent_boxes(self) -> list[str]:
        """Make each box that does not answer write its stacks to its log and exit.

        Returns:
            The names of these boxes.
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
            urllib3.request("GET", url, timeout=_READINESS_TIMEOUT_S, retries=False)
        except urllib3.exceptions.HTTPError:
            return False
        return True

    def _events_of(self, name: str) -> list[ReplicaEvent]:
        return read_replica_events(self.folder / f"{name}.events")
