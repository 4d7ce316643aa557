"""Typed settings of the stand-ins."""

from __future__ import annotations

from msgspec import field

from springrock.settings import Section
from springrock.wire.platform import Listed


class PlatformStandinSettings(Section, frozen=True, kw_only=True):
    """The stand-in for the platform: table, objects, list and weight store.

    Attributes:
        address: Where it listens.
        loads_per_s: Adapter loads a second when one runs alone.
        crowding: The share of that rate which is left when several loads run at once.
        list_lag_s: How late a change of the list is seen by readers.
        listed: The list at the start.
    """

    address: str
    loads_per_s: float = 2.0
    crowding: float = 0.7
    list_lag_s: float = 1.0
    listed: list[Listed] = field(default_factory=list)


class EngineStandinSettings(Section, frozen=True, kw_only=True):
    """The stand-in for a model engine.

    Attributes:
        step_ms: A step's length with nothing in it.
        step_ms_per_request: What each request in the batch adds.
        step_ms_per_adapter: What each distinct adapter in the batch adds.
        report_lag_s: How old the reported load is.
        retain_s: How long a finished or broken stream can be resumed.
        lose_every_cache_event: Every so many-th cache event is lost; 0 loses none.
    """

    name: str
    address: str
    base_model: str
    weights_address: str
    adapter_slots: int = 8
    batch_limit: int = 16
    step_ms: float = 10.0
    step_ms_per_request: float = 0.1
    step_ms_per_adapter: float = 0.2
    report_lag_s: float = 1.0
    retain_s: float = 30.0
    checks_fence: bool = True
    cached_prefixes: int = 64
    cache_event_lag_s: float = 1.0
    lose_every_cache_event: int = 10


class ServiceStandinSettings(Section, frozen=True, kw_only=True):
    """The stand-in for a plain service: roster and catalogue calls by path."""

    name: str
    address: str
    work_ms: float = 5.0


class RowStoreStandinSettings(Section, frozen=True, kw_only=True):
    """The stand-in for the users' metadata store.

    Attributes:
        tells_era: Whether its answers name the era.
    """

    address: str
    tells_era: bool = True


class ReplicaStandinSettings(Section, frozen=True, kw_only=True):
    """The stand-in for one of the users' replicas.

    Attributes:
        service: The service that it belongs to.
        store_address: The store that it records itself in.
        base_model: The model that it holds; empty for a plain service.
        adapter_slots: How many adapters it holds.
        load_s: How long an adapter takes to come.
        events: How many events an answer has.
        work_ms: How long a plain request takes.
        tells_start: Whether it says when it started, and may start again under its id.
        cold_s: How long it is cold after its start.
        instance: Its id; empty for one of its own.
        event_pause_ms: The pause after each event of a stream.
        advertised_address: The address that its record names, if it stands behind a proxy.
        events_path: A file to which it appends all that it sees; empty for none.
        needs_instance: Whether a request without an expected instance is turned away, too.
        crashes_on: Its process ends as it begins to run a request with this text in its path or
            body; empty for none.
    """

    address: str
    service: str
    store_address: str
    availability_zone: str
    base_model: str = ""
    adapter_slots: int = 2
    load_s: float = 0.1
    events: int = 5
    work_ms: float = 5.0
    tells_start: bool = False
    cold_s: float = 0.0
    instance: str = ""
    event_pause_ms: float = 10.0
    advertised_address: str = ""
    events_path: str = ""
    needs_instance: bool = True
    crashes_on: str = ""


class RouteSettings(Section, frozen=True, kw_only=True):
    """One route of the fault-injecting proxy.

    Attributes:
        name: The route, as faults name it.
        address: Where the proxy listens.
        target_address: Where it connects to.
    """

    name: str
    address: str
    target_address: str


class ProxySettings(Section, frozen=True, kw_only=True):
    """The fault-injecting TCP proxy.

    Attributes:
        address: Where faults are posted.
    """

    address: str
    routes: list[RouteSettings]
