"""Keeps the origins of streams in the store, where they outlive all boxes.

Each zone has a ring of rows. A zone's placer writes what it was told into the row that was written
longest ago; boxes read all rows only when a stream is taken up that nobody knows.
"""

from __future__ import annotations

from typing import Any

import gevent
import msgspec
from msgspec import Struct

from springrock.bounded_dict import BoundedDict
from springrock.clock import monotonic
from springrock.eras import era_of
from springrock.forwarding.software_history import STREAM_LIFE_S
from springrock.forwarding.stream_origins import Origin, OriginBook
from springrock.log import Condition, Log
from springrock.rows import ABSENT_VERSION, Row, RowConflict, RowStore, RowStoreUnavailable
from springrock.store_clock import StoreClock
from springrock.strict_json import Int64, MalformedJson, decode_json

TABLE = "springrock-origins"

_SAVE_INTERVAL_S = 0.5
_ROWS_PER_ZONE = 128
"""As many as are written within the life of a stream, and some."""

_MAX_ROW_BYTES = 32_768
"""Half of what a row of the store may have."""

_BYTES_BESIDES_ID = 4
_MAX_UNSAVED = 20_000
_READ_INTERVAL_S = 1.0
_READ_TIMEOUT_S = 0.3


class SavedStreams(Struct, frozen=True, kw_only=True):
    """Streams with the same origin.

    Attributes:
        requests: The ids of the requests that brought their first events.
    """

    service: str
    software: str
    requests: list[str]


class OriginRow(Struct, frozen=True, kw_only=True):
    """The content of a row.

    Attributes:
        as_of_ms: When it was written, on the store's steady clock.
        era: The store's era of that time.
        begun: The streams, by origin.
    """

    as_of_ms: Int64
    era: Int64
    begun: list[SavedStreams]

    @classmethod
    def from_origins(cls, origins: dict[str, Origin], *, as_of_ms: int, era: int) -> OriginRow:
        """Return the row of some streams, by the ids of their requests."""
        requests: dict[Origin, list[str]] = {}
        for request_id, origin in origins.items():
            requests.setdefault(origin, []).append(request_id)
        begun = [
            SavedStreams(service=origin.service, software=origin.software, requests=ids)
            for origin, ids in requests.items()
        ]
        return cls(as_of_ms=as_of_ms, era=era, begun=begun)


class _Ring:
    """The rows of one zone.

    Args:
        zone: The zone.
        rows: The rows that the store has, with their content.
    """

    def __init__(self, zone: str, rows: dict[str, tuple[Row, OriginRow | None]]) -> None:
        self._versions: dict[str, int] = {}
        keys = [f"{zone}/{number}" for number in range(_ROWS_PER_ZONE)]
        for key in keys:
            self._versions[key] = rows[key][0].version if key in rows else ABSENT_VERSION
        # A row's version rises with each write, so the oldest has the lowest.
        self._oldest_first = sorted(keys, key=lambda key: self._versions[key])

    def next(self) -> tuple[str, int]:
        """Return the key of the row to write, and its version."""
        key = self._oldest_first[0]
        return key, self._versions[key]

    def record_written(self, version: int) -> None:
        """Record that this row was written."""
        key = self._oldest_first.pop(0)
        self._oldest_first.append(key)
        self._versions[key] = version


class OriginRows:
    """Writes origins to the store and reads those that other boxes have written.

    Args:
        store: The store.
        book: Receives the origins that are read.
        clock: Converts the times of rows.
        log: The log to write to.
    """

    def __init__(self, store: RowStore, *, book: OriginBook, clock: StoreClock, log: Log) -> None:
        self._store = store
        self._book = book
        self._clock = clock
        self._log = log
        self._failing = Condition(
            log,
            begins="Could not save origins of streams.",
            ends="Origins of streams are saved again.",
        )
        self._unsaved: dict[str, BoundedDict[Origin]] = {}
        self._rings: dict[str, _Ring] = {}
        self._reading: gevent.Greenlet[..., Any] | None = None
        self._read_at = float("-inf")

    def add(self, zone: str, request_id: str, origin: Origin) -> None:
        """Have an origin written soon, by the box that places a zone."""
        unsaved = self._unsaved.setdefault(zone, BoundedDict(at_most=_MAX_UNSAVED))
        unsaved.record(request_id, origin)

    def run(self) -> None:
        """Write new origins regularly, until killed."""
        while True:
            gevent.sleep(_SAVE_INTERVAL_S)
            self.save()

    def save(self) -> None:
        """Write what was added; what the store does not confirm is written again the next time."""
        for zone in [zone for zone, unsaved in self._unsaved.items() if unsaved]:
            try:
                self._save_zone(zone)
            except (RowConflict, RowStoreUnavailable) as error:
                self._rings.pop(zone, None)
                self._failing.begin(zone=zone, unsaved=len(self._unsaved[zone]), error=str(error))
            else:
                self._failing.end(zone=zone)

    def find(self, request_id: str) -> Origin | None:
        """Return the origin of a stream by the rows in the store; None if they lack it.

        Waits for the store only briefly, and reads no more often than once a second.
        """
        if self._reading is None and monotonic() - self._read_at >= _READ_INTERVAL_S:
            self._read_at = monotonic()
            self._reading = gevent.spawn(self._read)
        if self._reading is not None:
            self._reading.join(timeout=_READ_TIMEOUT_S)
        return self._book.find(request_id)

    def _save_zone(self, zone: str) -> None:
        if zone not in self._rings:
            self._rings[zone] = _Ring(zone, self._read_rows())
        unsaved = self._unsaved[zone]
        while unsaved:
            saved = _first_of(unsaved)
            self._write(zone, saved)
            for request_id in saved:
                unsaved.pop(request_id, None)

    def _write(self, zone: str, origins: dict[str, Origin]) -> None:
        as_of_s = self._clock.earliest_store(monotonic())
        if as_of_s is None:
            raise RowStoreUnavailable("the time of the store is unknown")
        ring = self._rings[zone]
        key, version = ring.next()
        row = OriginRow.from_origins(origins, as_of_ms=int(as_of_s * 1000), era=self._clock.era)
        written = self._store.write(TABLE, key, msgspec.json.encode(row), expected=version)
        if era_of(written) != row.era:
            raise RowStoreUnavailable("the store is in another era")
        ring.record_written(written)
        self._log.info("Saved origins of streams.", zone=zone, streams=len(origins), row=key)

    def _read(self) -> None:
        try:
            rows = self._read_rows()
        except RowStoreUnavailable as error:
            self._log.info("Could not read origins of streams.", error=str(error))
            return
        finally:
            self._reading = None
        fresh = [content for _, content in rows.values() if content and self._is_fresh(content)]
        for content in fresh:
            self._record(content)
        self._log.info("Read origins of streams.", rows=len(rows), fresh=len(fresh))

    def _read_rows(self) -> dict[str, tuple[Row, OriginRow | None]]:
        """Return the rows and their content by key; no content for what cannot be decoded.

        Raises:
            RowStoreUnavailable: If no answer came.
        """
        return {row.key: (row, _decode(row)) for row in self._store.read_all(TABLE).rows}

    def _is_fresh(self, content: OriginRow) -> bool:
        written_at = self._clock.earliest_local(content.as_of_ms / 1000, era=content.era)
        return written_at is not None and monotonic() - written_at < STREAM_LIFE_S

    def _record(self, content: OriginRow) -> None:
        for streams in content.begun:
            origin = Origin(streams.service, streams.software)
            for request_id in streams.requests:
                if self._book.find(request_id) is None:
                    self._book.record(request_id, origin)


def _first_of(origins: dict[str, Origin]) -> dict[str, Origin]:
    """Return those of some origins that fit into a row, the oldest first."""
    first: dict[str, Origin] = {}
    size = 0
    for request_id, origin in origins.items():
        size += len(request_id.encode()) + _BYTES_BESIDES_ID
        if first and size > _MAX_ROW_BYTES:
            break
        first[request_id] = origin
    return first


def _decode(row: Row) -> OriginRow | None:
    try:
        return decode_json(row.value, OriginRow)
    except MalformedJson:
        return None
