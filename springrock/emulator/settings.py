"""Settings of the stand-ins."""

from __future__ import annotations

from msgspec import field

from springrock.settings import Section
from springrock.wire.platform import Listed


class PlatformStandinSettings(Section, frozen=True, kw_only=True):
    """Settings of the platform stand-in: table, objects, list and weight store.

    Attributes:
        address: The listening address.
        loads_per_s: Adapter loads a second with a single concurrent load.
        crowding: The share of that rate which remains in total with several concurrent loads.
        list_lag_s: Delay before readers see a change of the list.
        listed: The initial entries of the list.
    """

    address: str
    loads_per_s: float = 2.0
    crowding: float = 0.7
    list_lag_s: float = 1.0
    listed: list[Listed] = field(default_factory=list)


class EngineStandinSettings(Section, frozen=True, kw_only=True):
    """Settings of the model engine stand-in.

    Attributes:
        step_ms: Duration of a step with an empty batch.
        step_ms_per_request: Duration that each request in the batch adds to a step.
        step_ms_per_adapter: Duration that each distinct adapter in the batch adds to a step.
        report_lag_s: Age of the state that the engine reports.
        retain_s: How long a finished or broken stream can be resumed.
        lose_every_cache_event: Every cache event whose number is a multiple of this is lost;
            0 loses none.
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
    """Settings of the plain service stand-in, which serves roster and catalogue calls by path."""

    name: str
    address: str
    work_ms: float = 5.0


class RowStoreStandinSettings(Section, frozen=True, kw_only=True):
    """Settings of the stand-in for the users' metadata store.

    Attributes:
        tells_era: Whether answers carry the header of the store's era.
    """

    address: str
    tells_era: bool = True


class ReplicaStandinSettings(Section, frozen=True, kw_only=True):
    """Settings of the stand-in for one of the users' replicas.

    Attributes:
        service: The service that the replica belongs to.
        store_address: Address of the store that the replica writes its record to.
        base_model: The base model of an engine; empty for a plain service.
        adapter_slots: Maximum number of loaded adapters.
        load_s: Duration of an adapter load.
        events: Number of events in a stream.
        work_ms: Duration of a plain request.
        tells_start: Whether reports carry the start time, which makes a restart under the same id
            visible.
        cold_s: Time after the start during which the replica reports itself as cold.
        instance: The id of the replica; empty for a random one.
        event_pause_ms: The pause after each event of a stream.
        advertised_address: The address in the record, if it differs from `address` because of a
            proxy.
        events_path: The file to append events to; empty for none.
        needs_instance: Whether a request without an expected instance is also answered with 421.
        crashes_on: The process exits when it begins to run a request with this text in its path or
            body; empty for none.
        crashes_on_part: The process exits when it begins to write the answer to a request that has
            a part in its prompt whose id begins so, except as the last one; empty for none.
        software_version: The version of the replica's software, as JSON, as its row may hold a
            text or a number; it is also in the data of its events. Empty for none.
        cut_every: Each stream whose number is a multiple of this is cut; 0 cuts none.
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
    crashes_on_part: str = ""
    software_version: str = ""
    cut_every: int = 0


class RouteSettings(Section, frozen=True, kw_only=True):
    """Settings of one route of the fault-injecting proxy.

    Attributes:
        name: The name by which faults refer to the route.
        address: The address that the proxy listens on for the route.
        target_address: The address that connections are forwarded to.
    """

    name: str
    address: str
    target_address: str


class ProxySettings(Section, frozen=True, kw_only=True):
    """Settings of the fault-injecting TCP proxy.

    Attributes:
        address: The address of the control server, which accepts faults.
    """

    address: str
    routes: list[RouteSettings]
