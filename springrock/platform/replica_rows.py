"""Parses and validates the replicas' rows, as other writers have access to their table too."""

from __future__ import annotations

import hashlib
import re
from collections.abc import Callable
from enum import StrEnum
from typing import Any

import msgspec

from springrock.forwarding.directory import ReplicaRecord, incarnation_of
from springrock.platform.records import HeldModel, held_adapters
from springrock.rows import Row
from springrock.strict_json import MalformedJson, decode_json


class RowFault(StrEnum):
    """Why a row does not describe a usable replica, as shown in logs and metrics."""

    UNREADABLE = "unreadable"
    """Its value is not a JSON object."""
    ID = "id"
    """Its key is not a valid replica id."""
    MISSING_FIELD = "missing_field"
    WRONG_TYPE = "wrong_type"
    OUT_OF_RANGE = "out_of_range"
    ADDRESS = "address"
    """Its address is not HOST:PORT."""
    UNKNOWN_STATE = "unknown_state"
    UNKNOWN_ZONE = "unknown_zone"
    MODELS = "models"
    """Its list of models is malformed."""
    START_MISSING = "start_missing"
    """It lacks the start time, which earlier rows of the same replica id had."""


class ReplicaRowMalformed(ValueError):
    """A row that does not describe a usable replica.

    Args:
        fault: What is wrong with the row.
        field: The field that is wrong; empty if the fault concerns no single field.
    """

    def __init__(self, fault: RowFault, field: str = "") -> None:
        self.fault = fault
        self.field = field
        super().__init__(f"{fault}: {field}" if field else str(fault))


_IS_LEAVING_BY_STATE = {"ready": False, "draining": True}

_MAX_START_MS = 253_402_300_799_999
"""The end of the year 9999.

Start times are not compared with this box's clock, which may be wrong.
"""

_MAX_SLOTS = 1_000_000
"""More requests than any replica runs at once; a larger number is rejected as malformed."""

_MAX_SEQUENCE = 2**63 - 1
_MAX_COLD_MS = 86_400_000
"""One day; no replica is slow after its start for longer."""

_MAX_TEXT_CHARS = 200
"""The limit of the store's keys, and so of replica ids, services and zones."""

_MAX_SOFTWARE_CHARS = 40
"""Shorter than a digest, so that no version equals the digest of another one."""

_HOST_LABEL = r"[A-Za-z0-9_](?:[A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?"
_ADDRESS = re.compile(
    rf"(?:{_HOST_LABEL}(?:\.{_HOST_LABEL})*|[0-9A-Fa-f:]*:[0-9A-Fa-f:.]*):([0-9]{{1,5}})"
)
"""A port, and a host that the resolver accepts; it raises errors of its own for other names."""

_INCARNATION = re.compile(r".*@[0-9]+")


def replica_from(row: Row, *, knows_zone: Callable[[str], bool]) -> ReplicaRecord:
    """Return the replica that a row describes.

    The service is not checked: the next configuration may add it.

    Args:
        row: The row.
        knows_zone: Returns whether a zone is one of the deployment's.

    Raises:
        ReplicaRowMalformed: If the row does not describe a usable replica.
    """
    fields = _Fields(_decode_fields(row.value))
    born_ms = fields.integer_or_none("born", at_most=_MAX_START_MS)
    _check_id(row.key, born_ms)
    models = _models_from(fields.value_or("models", []))
    # The value is unused, but a wrong type shows that something else wrote the row.
    fields.check_types("stage", (str,))
    return ReplicaRecord(
        instance=incarnation_of(row.key, born_ms),
        service=fields.text("service"),
        address=_parse_address(fields),
        zone=_parse_zone(fields, knows_zone),
        running_limit=fields.integer("slots", at_least=1, at_most=_MAX_SLOTS),
        leaving=_parse_leaving(fields),
        models=frozenset(model.name for model in models),
        adapters=held_adapters(models),
        born_ms=born_ms,
        sequence=fields.integer_or_none("sequence", at_most=_MAX_SEQUENCE) or 0,
        cold_s=fields.number_or_zero("coldRemainingMs", at_most=_MAX_COLD_MS) / 1000,
        software=_parse_software(fields),
    )


class _Fields:
    """Typed access to the fields of a row.

    Args:
        fields: The decoded fields.
    """

    def __init__(self, fields: dict[str, Any]) -> None:
        self._fields = fields

    def value_or(self, name: str, default: Any) -> Any:
        """Return a field unchecked; the default if it is missing."""
        return self._fields.get(name, default)

    def text(self, name: str) -> str:
        """Return a field that must be a printable, non-empty text."""
        value = self._required(name)
        if not isinstance(value, str):
            raise ReplicaRowMalformed(RowFault.WRONG_TYPE, name)
        if not value or len(value) > _MAX_TEXT_CHARS or not value.isprintable():
            raise ReplicaRowMalformed(RowFault.OUT_OF_RANGE, name)
        return value

    def integer(self, name: str, *, at_least: int, at_most: int) -> int:
        """Return a field that must be an integer in a range; booleans and floats are rejected."""
        value = self._required(name)
        if type(value) is not int:
            raise ReplicaRowMalformed(RowFault.WRONG_TYPE, name)
        if not at_least <= value <= at_most:
            raise ReplicaRowMalformed(RowFault.OUT_OF_RANGE, name)
        return value

    def integer_or_none(self, name: str, *, at_most: int) -> int | None:
        """Return a field that must be a non-negative integer; None if it is missing."""
        if name not in self._fields:
            return None
        return self.integer(name, at_least=0, at_most=at_most)

    def number_or_zero(self, name: str, *, at_most: float) -> float:
        """Return a field that must be a non-negative number; 0 if it is missing."""
        value = self._fields.get(name, 0)
        if type(value) not in (int, float):
            raise ReplicaRowMalformed(RowFault.WRONG_TYPE, name)
        if not 0 <= value <= at_most:
            raise ReplicaRowMalformed(RowFault.OUT_OF_RANGE, name)
        return float(value)

    def check_types(self, name: str, types: tuple[type, ...]) -> None:
        """Raise if a field is present and has none of the types."""
        if name in self._fields and type(self._fields[name]) not in types:
            raise ReplicaRowMalformed(RowFault.WRONG_TYPE, name)

    def _required(self, name: str) -> Any:
        if name not in self._fields:
            raise ReplicaRowMalformed(RowFault.MISSING_FIELD, name)
        return self._fields[name]


def _decode_fields(value: bytes) -> dict[str, Any]:
    try:
        return decode_json(value, dict[str, Any])
    except MalformedJson:
        raise ReplicaRowMalformed(RowFault.UNREADABLE) from None


def _check_id(replica_id: str, born_ms: int | None) -> None:
    """Raise if an id does not fit into a header, or equals the incarnation of another replica."""
    is_valid = replica_id.isascii() and replica_id.isprintable() and " " not in replica_id
    if not replica_id or not is_valid:
        raise ReplicaRowMalformed(RowFault.ID)
    if born_ms is None and _INCARNATION.fullmatch(replica_id):
        raise ReplicaRowMalformed(RowFault.ID)


def _parse_address(fields: _Fields) -> str:
    address = fields.text("address")
    match = _ADDRESS.fullmatch(address)
    if match is None or not 0 < int(match[1]) < 65_536:
        raise ReplicaRowMalformed(RowFault.ADDRESS, "address")
    return address


def _parse_zone(fields: _Fields, knows_zone: Callable[[str], bool]) -> str:
    zone = fields.text("zone")
    if not knows_zone(zone):
        raise ReplicaRowMalformed(RowFault.UNKNOWN_ZONE, "zone")
    return zone


def _parse_software(fields: _Fields) -> str:
    """Return the software version as text; a long one as its digest, empty if it is missing.

    Versions are compared only for equality, and numbers are equal to their decimal text.
    """
    fields.check_types("version", (str, int, float))
    text = str(fields.value_or("version", ""))
    if len(text) <= _MAX_SOFTWARE_CHARS:
        return text
    return hashlib.sha256(text.encode("utf-8", "surrogatepass")).hexdigest()


def _parse_leaving(fields: _Fields) -> bool:
    state = fields.text("state")
    if state not in _IS_LEAVING_BY_STATE:
        raise ReplicaRowMalformed(RowFault.UNKNOWN_STATE, "state")
    return _IS_LEAVING_BY_STATE[state]


def _models_from(value: Any) -> list[HeldModel]:
    try:
        models = msgspec.convert(value, list[HeldModel])
    except msgspec.ValidationError:
        raise ReplicaRowMalformed(RowFault.MODELS, "models") from None
    names = [text for model in models for text in (model.name, *model.adapters)]
    if not all(text and text.isprintable() for text in names):
        raise ReplicaRowMalformed(RowFault.MODELS, "models")
    return models
