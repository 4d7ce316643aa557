"""Typed settings of an entry box, read from JSON with comments.

They hold every address and the availability zone. Key names end in their unit: ``_s`` for seconds,
``_ms`` for milliseconds, ``_bytes`` for bytes. Unknown keys are rejected.
"""

from __future__ import annotations

import re
from pathlib import Path as FilePath
from types import UnionType
from typing import Annotated, Any, NamedTuple, TypeVar, Union, get_args, get_origin, get_type_hints

import msgspec
from msgspec import Meta, Struct, field

from springrock.errors import SettingsError
from springrock.intake import IntakeLimits
from springrock.jsonc import Document, JsoncError, Path, parse

S = TypeVar("S", bound=Struct)


class Section(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The base class of all settings sections."""


class BoxSection(Section, frozen=True, kw_only=True):
    """The identity of this box, and its planned stop.

    Attributes:
        name: The name of the box, unique in the deployment.
        availability_zone: The availability zone that the box runs in.
        stop_notice_s: How long a stopping box still accepts requests, so that the balancer can
            see that it is not ready.
        stop_within_s: How long a planned stop waits for open requests.
    """

    name: str
    availability_zone: str
    stop_notice_s: float = 2.0
    stop_within_s: float = 130.0


class WorkloadKey(Section, frozen=True, kw_only=True):
    """A caller's key and the workload that its requests belong to."""

    workload: str
    key: str


class CallerDoorSection(Section, frozen=True, kw_only=True):
    """The HTTP interface for callers."""

    address: str
    body_limit_bytes: int = 1_048_576
    send_timeout_s: float = 20.0
    default_deadline_s: float = 60.0
    longest_deadline_s: float = 120.0
    open_requests_limit: int = 2_000
    workload_keys: list[WorkloadKey] = field(default_factory=list)


class OperatorCredential(Section, frozen=True, kw_only=True):
    """An operator's name and key."""

    name: str
    key: str


class OperatorDoorSection(Section, frozen=True, kw_only=True):
    """The HTTP interface for operators."""

    address: str
    credentials: list[OperatorCredential]


class PeersSection(Section, frozen=True, kw_only=True):
    """Links to the other boxes.

    Attributes:
        remote_zone_links: How many boxes of each other zone this box connects to. If that is the
            number of boxes in a zone, all boxes are linked to each other.
        reached_at: Addresses, by box name, of boxes that this one cannot reach at the address that
            they announce, but through a tunnel, for example.
    """

    address: str
    shared_key: str
    frame_limit_bytes: int = 1_048_576
    remote_zone_links: int = 4
    reached_at: dict[str, str] = field(default_factory=dict)


class PlatformSection(Section, frozen=True, kw_only=True):
    """The platform's services."""

    table_address: str
    objects_address: str
    list_address: str
    request_timeout_s: float = 2.0
    list_poll_s: float = 1.0
    driver: str = "http"


class LeaseSection(Section, frozen=True, kw_only=True):
    """The leases under which boxes own replicas, and how their rows in the table are scanned.

    Attributes:
        margin_s: How long another box waits after a lease has lapsed before it takes over.
        scan_every_s: How often the zone's rows are read while a box of the zone is not linked or
            ownership is changing.
        calm_scan_every_s: How often the zone's rows are read otherwise.
        all_zones_scan_every_s: How often the rows of all zones are read.
        settle_s: How long after a change of boxes or a move a replica may be moved for balance.
    """

    renew_every_s: float = 3.0
    lapse_after_s: float = 10.0
    margin_s: float = 2.0
    scan_every_s: float = 1.0
    calm_scan_every_s: float = 10.0
    all_zones_scan_every_s: float = 30.0
    settle_s: float = 3.0


class ConfigurationSection(Section, frozen=True, kw_only=True):
    """How often the box polls for a new configuration."""

    head_poll_s: float = 1.0
    slow_poll_s: float = 5.0


class UpstreamSection(Section, frozen=True, kw_only=True):
    """One replica of a pool."""

    name: str
    availability_zone: str
    address: str
    checks_fence: bool = True


class PoolSection(Section, frozen=True, kw_only=True):
    """A pool of interchangeable replicas.

    Attributes:
        name: The pool's name; for plain services also the path segment that selects it.
        driver: The upstream driver: ``engine`` or ``service``.
        base_model: The base model of an engine pool.
        adapter_slots: How many adapters one replica can hold.
        running_limit: How many requests one replica runs concurrently.
        step_ms: The usual duration of an engine step, for estimates until one is measured.
        load_s: The usual duration of an adapter load, for estimates until one is measured.
    """

    name: str
    replicas: list[UpstreamSection]
    driver: str = "engine"
    base_model: str = ""
    adapter_slots: int = 8
    running_limit: int = 16
    step_ms: float = 12.0
    load_s: float = 0.5


class PolicySection(Section, frozen=True, kw_only=True):
    """The selection and the parameters of the decision policies."""

    eviction: str = "value"
    load_order: str = "worth"
    routing: str = "residency"
    queue_limit: int = 512
    longest_permit_s: float = 125.0
    start_window_s: float = 2.0
    loads_per_s: float = 2.0


class IntakeSection(Section, frozen=True, kw_only=True):
    """What all clients together may hold of this box, derived from what the box has.

    A fifth of the memory, 64 MiB at most, may hold requests, of which large ones (over 64 KiB) may
    take three quarters. A quarter of the memory, at 32 KiB each, and two thirds of the descriptors
    may be taken by connections. Beyond that the connection that has rested for the longest is
    closed, or a request that is still being read is refused.

    Attributes:
        memory_mb: Megabytes of memory that the process may use; null for what the machine has.
        descriptors: Descriptors that the process may open; null for the limit of the process.
    """

    memory_mb: Annotated[float, Meta(gt=0.0)] | None = None
    descriptors: Annotated[int, Meta(ge=1)] | None = None

    @property
    def limits(self) -> IntakeLimits:
        """The limits of what all connections together hold."""
        memory = None if self.memory_mb is None else int(self.memory_mb * 1_000_000)
        return IntakeLimits.from_machine(memory=memory, descriptors=self.descriptors)


class BoxSettings(Section, frozen=True, kw_only=True):
    """The settings of an entry box that runs `springrock serve`."""

    box: BoxSection
    caller_door: CallerDoorSection
    operator_door: OperatorDoorSection
    peers: PeersSection
    platform: PlatformSection
    pools: list[PoolSection]
    lease: LeaseSection = field(default_factory=LeaseSection)
    configuration: ConfigurationSection = field(default_factory=ConfigurationSection)
    policy: PolicySection = field(default_factory=PolicySection)
    intake: IntakeSection = field(default_factory=IntakeSection)


class Problem(NamedTuple):
    """One problem in a settings file.

    Attributes:
        line: The line of the value; 0 if the file cannot be read.
        key: The path of the key; empty for the file.
        detail: What is wrong.
    """

    line: int
    key: str
    detail: str

    def __str__(self) -> str:
        return f"line {self.line}: {self.key or 'file'}: {self.detail}"


def read_settings(path: str | FilePath, kind: type[S]) -> S:
    """Read a settings file.

    Raises:
        SettingsError: With every problem that the file has.
    """
    try:
        text = FilePath(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError((Problem(0, "", f"cannot be read: {error}"),)) from None
    return parse_settings(text, kind)


def parse_settings(text: str, kind: type[S]) -> S:
    """Build settings from JSON with comments.

    Raises:
        SettingsError: With every problem that the text has.
    """
    try:
        document = parse(text)
    except JsoncError as error:
        raise SettingsError((Problem(error.line, "", error.detail),)) from None
    problems = tuple(_type_problems(document, document.data, kind, ()))
    if problems:
        raise SettingsError(problems)
    try:
        settings = msgspec.convert(document.data, kind)
    except msgspec.ValidationError as error:
        raise SettingsError((_problem_of_value(document, error),)) from None
    problems = tuple(_semantic_problems(document, settings))
    if problems:
        raise SettingsError(problems)
    return settings


def _problem_of_value(document: Document, error: msgspec.ValidationError) -> Problem:
    """Return the problem of a value that has the right type but violates a constraint."""
    detail, _, location = str(error).partition(" - at `$")
    steps = re.findall(r"\.([^.\[\]`]+)|\[(\d+)\]", location)
    path = tuple(name or int(number) for name, number in steps)
    return _problem_at(document, path, detail)


def _type_problems(document: Document, data: Any, kind: Any, path: Path) -> list[Problem]:
    if get_origin(kind) is list and isinstance(data, list):
        (item_kind,) = get_args(kind)
        return [
            problem
            for index, item in enumerate(data)
            for problem in _type_problems(document, item, item_kind, (*path, index))
        ]
    if isinstance(kind, type) and issubclass(kind, Struct) and isinstance(data, dict):
        return _section_problems(document, data, kind, path)
    return _leaf_problems(document, data, kind, path)


def _section_problems(
    document: Document, data: dict[str, Any], kind: type[Struct], path: Path
) -> list[Problem]:
    problems: list[Problem] = []
    hints = get_type_hints(kind)
    for key, value in data.items():
        if key in hints:
            problems += _type_problems(document, value, _required_kind(hints[key]), (*path, key))
        else:
            problems.append(_problem_at(document, (*path, key), "unknown key"))
    for info in msgspec.structs.fields(kind):
        if info.required and info.name not in data:
            problems.append(_problem_at(document, path, f"key {info.name!r} is missing"))
    return problems


def _required_kind(kind: Any) -> Any:
    if get_origin(kind) in (Union, UnionType):
        return next(arg for arg in get_args(kind) if arg is not type(None))
    return kind


def _leaf_problems(document: Document, data: Any, kind: Any, path: Path) -> list[Problem]:
    try:
        msgspec.convert(data, kind)
    except msgspec.ValidationError as error:
        return [_problem_at(document, path, str(error))]
    if isinstance(data, int | float) and not isinstance(data, bool) and data < 0:
        return [_problem_at(document, path, "must not be negative")]
    last = path[-1] if path else ""
    if last == "address" or str(last).endswith("_address"):
        return _address_problems(document, str(data), path)
    return []


def _address_problems(document: Document, address: str, path: Path) -> list[Problem]:
    host, colon, port = address.rpartition(":")
    if colon and host and port.isdigit() and int(port) < 65_536:
        return []
    return [_problem_at(document, path, f"{address!r} is not HOST:PORT")]


def _semantic_problems(document: Document, settings: Struct) -> list[Problem]:
    if not isinstance(settings, BoxSettings):
        return []
    problems: list[Problem] = []
    names: set[str] = set()
    for pool_index, pool in enumerate(settings.pools):
        for index, replica in enumerate(pool.replicas):
            if replica.name in names:
                name_path: Path = ("pools", pool_index, "replicas", index, "name")
                problems.append(
                    _problem_at(document, name_path, f"duplicate replica name {replica.name!r}")
                )
            names.add(replica.name)
        if pool.driver == "engine" and not pool.base_model:
            pool_path: Path = ("pools", pool_index)
            problems.append(_problem_at(document, pool_path, "an engine pool needs a base_model"))
    lease = settings.lease
    if lease.lapse_after_s <= 2 * lease.renew_every_s:
        path = ("lease", "lapse_after_s")
        problems.append(_problem_at(document, path, "must be over twice renew_every_s"))
    return problems


def _problem_at(document: Document, path: Path, detail: str) -> Problem:
    return Problem(document.line_of(path), _dotted_key(path), detail)


def _dotted_key(path: Path) -> str:
    text = ""
    for step in path:
        text += f"[{step}]" if isinstance(step, int) else f".{step}"
    return text.lstrip(".")


def split_address(address: str) -> tuple[str, int]:
    """Split ``HOST:PORT`` into its host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)
