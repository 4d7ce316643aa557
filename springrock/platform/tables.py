"""Listeners of the platform's tables: they decode rows and pass the values on."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from springrock.bounded_dict import BoundedDict
from springrock.forwarding.configuration import Configuration
from springrock.forwarding.directory import Directory, ReplicaRecord
from springrock.forwarding.evacuations import Evacuations
from springrock.forwarding.message import AdapterKey
from springrock.log import Log
from springrock.platform import names
from springrock.platform.records import (
    MalformedRecord,
    configuration_from,
    evacuated_zone,
    is_version,
    version_from,
)
from springrock.platform.replica_rows import ReplicaRowMalformed, RowFault, replica_from
from springrock.rows import Row

_MAX_REMEMBERED_FAULTS = 1000
"""Replica ids whose latest fault is remembered, so that a malformed row that is rewritten with each
heartbeat is logged only once."""


class OperatorTable:
    """Passes on configurations, adapter versions and evacuations.

    Args:
        on_configuration: Called with each configuration.
        on_unreadable: Called when the configuration is malformed.
        on_version: Called with each named version of an adapter.
        evacuations: Notified of zones whose evacuation begins or ends.
        log: The log to write to.
    """

    def __init__(
        self,
        *,
        on_configuration: Callable[[Configuration], None],
        on_unreadable: Callable[[], None],
        on_version: Callable[[AdapterKey, int], None],
        evacuations: Evacuations,
        log: Log,
    ) -> None:
        self._on_configuration = on_configuration
        self._on_unreadable = on_unreadable
        self._on_version = on_version
        self._evacuations = evacuations
        self._log = log

    def replace(self, rows: Sequence[Row]) -> None:
        """Apply the full table.

        Rows of versions are never removed, so missing ones are ignored. A missing evacuation row
        ends the evacuation of its zone.
        """
        evacuated = [evacuated_zone(row.key) for row in rows]
        self._evacuations.replace([zone for zone in evacuated if zone])
        for row in rows:
            self.change(row)

    def change(self, row: Row) -> None:
        """Apply a new or changed row."""
        try:
            if row.key == names.CONFIGURATION_KEY:
                self._on_configuration(configuration_from(row))
            elif is_version(row):
                self._on_version(*version_from(row))
            elif zone := evacuated_zone(row.key):
                self._evacuations.begin(zone)
        except MalformedRecord as error:
            self._log.info("Ignored a malformed row.", error=str(error))
            if row.key == names.CONFIGURATION_KEY:
                self._on_unreadable()

    def remove(self, key: str) -> None:
        """Apply the removal of a row; only the removal of an evacuation has an effect."""
        if zone := evacuated_zone(key):
            self._evacuations.end(zone)


class ReplicaTable:
    """Passes on the replicas' rows, and the ids of replicas whose rows are malformed.

    Args:
        directory: Receives the replicas.
        knows_zone: Returns whether a zone is one of the deployment's.
        count_fault: Called with the fault of each malformed row.
        log: The log to write to.
    """

    def __init__(
        self,
        directory: Directory,
        *,
        knows_zone: Callable[[str], bool],
        count_fault: Callable[[RowFault], None],
        log: Log,
    ) -> None:
        self._directory = directory
        self._knows_zone = knows_zone
        self._count_fault = count_fault
        self._log = log
        self._last_fault_by_id: BoundedDict[RowFault] = BoundedDict(at_most=_MAX_REMEMBERED_FAULTS)

    def replace(self, rows: Sequence[Row]) -> None:
        """Apply the full table."""
        records = [self._parse(row) for row in rows]
        malformed_ids = [
            row.key for row, record in zip(rows, records, strict=True) if record is None
        ]
        self._directory.replace(
            (record for record in records if record is not None), malformed_ids=malformed_ids
        )

    def change(self, row: Row) -> None:
        """Apply a new or changed row."""
        record = self._parse(row)
        if record is None:
            self._directory.record_not_understood(row.key)
        else:
            self._directory.update(record)

    def remove(self, key: str) -> None:
        """Apply the removal of a replica's row."""
        self._last_fault_by_id.pop(key, None)
        self._directory.remove(key)

    def _parse(self, row: Row) -> ReplicaRecord | None:
        """Return the replica of a row; None, and a recorded fault, if the row is malformed."""
        try:
            record = replica_from(row, knows_zone=self._knows_zone)
            if record.born_ms is None and self._directory.newest_start(row.key) is not None:
                raise ReplicaRowMalformed(RowFault.START_MISSING, "born")
        except ReplicaRowMalformed as error:
            self._record_fault(row.key, error)
            return None
        self._last_fault_by_id.pop(row.key, None)
        return record

    def _record_fault(self, key: str, error: ReplicaRowMalformed) -> None:
        """Count a malformed row, and log it unless the id's previous row had the same fault."""
        self._count_fault(error.fault)
        if self._last_fault_by_id.get(key) is error.fault:
            return
        self._last_fault_by_id.record(key, error.fault)
        self._log.info(
            "Ignored a replica's malformed row.", replica=key, fault=error.fault, field=error.field
        )
