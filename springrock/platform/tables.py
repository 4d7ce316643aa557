"""Listeners of the platform's tables, which hand on what the rows say in this package's values."""

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

_FAULTS_KEPT = 1000
"""Of so many ids it is remembered what was wrong with their rows, so that not each beat of them
writes a line."""


class OperatorTable:
    """Hands on configurations, named versions and evacuations.

    Args:
        on_configuration: Called with each configuration.
        on_unreadable: Called when the configuration cannot be read.
        on_version: Called with each named version of an adapter.
        evacuations: Learns which zones are evacuated.
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
        """Take the whole table.

        Versions never go, so what is missing of them means nothing; a zone whose evacuation is
        missing is taken back.
        """
        evacuated = [evacuated_zone(row.key) for row in rows]
        self._evacuations.replace([zone for zone in evacuated if zone])
        for row in rows:
            self.change(row)

    def change(self, row: Row) -> None:
        """Take a new or changed row."""
        try:
            if row.key == names.CONFIGURATION_KEY:
                self._on_configuration(configuration_from(row))
            elif is_version(row):
                self._on_version(*version_from(row))
            elif zone := evacuated_zone(row.key):
                self._evacuations.begin(zone)
        except MalformedRecord as error:
            self._log.say("Passed over a malformed row.", error=str(error))
            if row.key == names.CONFIGURATION_KEY:
                self._on_unreadable()

    def remove(self, key: str) -> None:
        """Learn that a row is gone; of the operator's only an evacuation is taken back so."""
        if zone := evacuated_zone(key):
            self._evacuations.end(zone)


class ReplicaTable:
    """Hands on what replicas write of themselves, and which of them wrote something else.

    Args:
        directory: Learns of them.
        knows_zone: Whether a zone is one of the deployment's.
        count_fault: Called with each row that names no replica to use.
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
        self._faults: BoundedDict[RowFault] = BoundedDict(at_most=_FAULTS_KEPT)

    def replace(self, rows: Sequence[Row]) -> None:
        """Take the whole table."""
        records = [self._record(row) for row in rows]
        not_understood = [
            row.key for row, record in zip(rows, records, strict=True) if record is None
        ]
        self._directory.replace(
            (record for record in records if record is not None), not_understood=not_understood
        )

    def change(self, row: Row) -> None:
        """Take a new or changed row."""
        record = self._record(row)
        if record is None:
            self._directory.record_not_understood(row.key)
        else:
            self._directory.update(record)

    def remove(self, key: str) -> None:
        """Learn that a replica is gone."""
        self._faults.pop(key, None)
        self._directory.remove(key)

    def _record(self, row: Row) -> ReplicaRecord | None:
        """Return the replica of a row; None if it names none to use."""
        try:
            record = replica_from(row, knows_zone=self._knows_zone)
            if record.born_ms is None and self._directory.newest_start(row.key) is not None:
                raise ReplicaRowMalformed(RowFault.START_MISSING, "born")
        except ReplicaRowMalformed as error:
            self._record_fault(row.key, error)
            return None
        self._faults.pop(row.key, None)
        return record

    def _record_fault(self, key: str, error: ReplicaRowMalformed) -> None:
        """Count a row that is not understood; say so once until another thing is wrong with it."""
        self._count_fault(error.fault)
        if self._faults.get(key) is error.fault:
            return
        self._faults.record(key, error.fault)
        self._log.say(
            "Passed over a replica's row.", replica=key, fault=error.fault, field=error.field
        )
