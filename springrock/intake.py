"""Bounds what all connections of a process hold together, of requests and of descriptors.

Each connection is bounded for itself, but a crowd of clients can make a process hold the largest
request on each of its connections. When a bound of the sum is reached, the connection that has
rested for the longest is evicted, so that clients that stop short of the end of their requests
do not keep others out. A request that was read whole is never evicted.
"""

from __future__ import annotations

import resource
from collections import OrderedDict
from collections.abc import Callable, Iterable
from itertools import chain

from msgspec import Struct

from springrock.log import Condition
from springrock.memory_size import memory_bytes

LARGE_BYTES = 65_536
"""A request of which more has been read counts as large."""

_LARGE_SHARE = 0.75
"""The share of the bytes that large requests may hold, so that others always find room."""

_MEMORY_SHARE = 0.2
_MOST_HELD_BYTES = 64 * 1_048_576
_CONNECTION_BYTES = 32_768
"""What a connection takes besides its request."""

_CONNECTIONS_MEMORY_SHARE = 0.25
_CALM_SHARE = 0.9
"""The share of the connections below which there is room for all again."""

_DESCRIPTOR_SHARE = 2 / 3
"""The rest is for replicas, the store, and other boxes."""


class IntakeLimits(Struct, frozen=True, kw_only=True):
    """What all connections together may hold.

    Attributes:
        held_bytes: Bytes of requests. A single request may be longer.
        connections: Open connections.
    """

    held_bytes: int
    connections: int

    @classmethod
    def from_machine(
        cls, *, memory: int | None = None, descriptors: int | None = None
    ) -> IntakeLimits:
        """Return the limits for a process that has a machine to itself.

        Args:
            memory: Bytes of memory that the process may use; None for what the machine has.
            descriptors: Descriptors that it may open; None for the limit of the process.
        """
        if memory is None:
            memory = memory_bytes()
        if descriptors is None:
            descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        by_memory = int(memory * _CONNECTIONS_MEMORY_SHARE) // _CONNECTION_BYTES
        return cls(
            held_bytes=min(_MOST_HELD_BYTES, int(memory * _MEMORY_SHARE)),
            connections=max(1, min(int(descriptors * _DESCRIPTOR_SHARE), by_memory)),
        )


class NoRoom(Exception):
    """There is no room for more of a request, as none of the others can be evicted."""


class Reservation:
    """What one connection holds.

    Args:
        intake: The sum that it is a part of.
        interrupt: Ends a wait for bytes of the connection's client.

    Attributes:
        held_bytes: Bytes of the current request.
        evicted_bytes: Bytes that were held when the connection was evicted, until it is closed.
        evicted: Whether the connection was evicted, and is to be closed.
    """

    def __init__(self, intake: Intake, interrupt: Callable[[], None]) -> None:
        self._intake = intake
        self._interrupt = interrupt
        self.held_bytes = 0
        self.evicted_bytes = 0
        self.evicted = False

    def rest(self) -> None:
        """Hold nothing, as the connection waits for a request from now on."""
        self._intake.rest(self)

    def take(self, size: int) -> None:
        """Hold more bytes of a request.

        Raises:
            NoRoom: If there is no room for them.
        """
        self._intake.take(self, size)

    @property
    def must_wait(self) -> bool:
        """Whether no more should be read before evicted connections have released their bytes."""
        return self.held_bytes > LARGE_BYTES and self._intake.awaits_evicted

    def keep(self) -> None:
        """Keep what is held until the connection rests, as the request was read whole."""
        self._intake.keep(self)

    def close(self) -> None:
        """Hold nothing, as the connection is closed; safe to call again."""
        self._intake.close(self)

    def evict(self) -> None:
        """Let the task of the connection end it."""
        self.evicted = True
        self._interrupt()


class Intake:
    """The sum of what all connections hold.

    Args:
        limits: The bounds of the sum.
        on_evicted: Called for each connection that is evicted.
        on_refused: Called for each new connection that there was no room for.
        crowded: Holds while new connections find no room, or only that of others.
    """

    def __init__(
        self,
        limits: IntakeLimits,
        *,
        on_evicted: Callable[[], None] = lambda: None,
        on_refused: Callable[[], None] = lambda: None,
        crowded: Condition | None = None,
    ) -> None:
        self.limits = limits
        self._on_evicted = on_evicted
        self._on_refused = on_refused
        self._crowded = crowded
        # In the order in which connections have rested, or sent bytes, for the longest.
        self._resting: OrderedDict[Reservation, None] = OrderedDict()
        self._reading: OrderedDict[Reservation, None] = OrderedDict()
        self._large_reading: OrderedDict[Reservation, None] = OrderedDict()
        self._kept: set[Reservation] = set()
        self._held_bytes = 0
        self._large_bytes = 0
        self._evicted_bytes = 0

    @property
    def connections(self) -> int:
        """Number of open connections that were not evicted."""
        return len(self._resting) + len(self._reading) + len(self._kept)

    @property
    def held_bytes(self) -> int:
        """Bytes of requests that are held."""
        return self._held_bytes

    @property
    def awaits_evicted(self) -> bool:
        """Whether evicted connections still hold bytes that there is no other room for."""
        in_memory = self._held_bytes + self._evicted_bytes
        return self._evicted_bytes > 0 and in_memory > self.limits.held_bytes

    def open(self, interrupt: Callable[[], None]) -> Reservation:
        """Return the hold of a new connection.

        Raises:
            NoRoom: If there are too many connections, and none of them can be evicted.
        """
        if self.connections >= self.limits.connections:
            self._make_room_for_connection()
        elif self._crowded and self.connections < _CALM_SHARE * self.limits.connections:
            self._crowded.end(connections=self.connections)
        reservation = Reservation(self, interrupt)
        self._resting[reservation] = None
        return reservation

    # Called by reservations.

    def rest(self, reservation: Reservation) -> None:
        """Record that a connection holds nothing and waits for a request."""
        self.close(reservation)
        if not reservation.evicted:
            self._resting[reservation] = None

    def take(self, reservation: Reservation, size: int) -> None:
        """Record that more of a request was read, and evict others if that is too much."""
        if reservation.evicted:
            return
        self._resting.pop(reservation, None)
        self._add(reservation, size)
        if reservation not in self._kept:
            self._reading[reservation] = None
            self._reading.move_to_end(reservation)
        is_large = reservation.held_bytes > LARGE_BYTES
        if is_large and reservation not in self._kept:
            self._large_reading[reservation] = None
            self._large_reading.move_to_end(reservation)
        if is_large:
            self._make_room_for_large(reservation)
        self._make_room(reservation)

    def keep(self, reservation: Reservation) -> None:
        """Record that a request was read whole and is not evicted."""
        if reservation.evicted:
            return
        self._resting.pop(reservation, None)
        self._reading.pop(reservation, None)
        self._large_reading.pop(reservation, None)
        self._kept.add(reservation)

    def close(self, reservation: Reservation) -> None:
        """Record that a connection holds nothing any more."""
        self._add(reservation, -reservation.held_bytes)
        self._resting.pop(reservation, None)
        self._reading.pop(reservation, None)
        self._large_reading.pop(reservation, None)
        self._kept.discard(reservation)
        self._evicted_bytes -= reservation.evicted_bytes
        reservation.evicted_bytes = 0

    def _make_room_for_connection(self) -> None:
        if self._crowded:
            self._crowded.begin(
                resting=len(self._resting),
                reading=len(self._reading),
                running=len(self._kept),
                most=self.limits.connections,
            )
        try:
            self._evict_one_of(chain(self._resting, self._reading))
        except NoRoom:
            self._on_refused()
            raise

    def _add(self, reservation: Reservation, size: int) -> None:
        before = reservation.held_bytes
        reservation.held_bytes += size
        self._held_bytes += size
        self._large_bytes += _large_part(reservation.held_bytes) - _large_part(before)

    def _make_room_for_large(self, reservation: Reservation) -> None:
        at_most = int(self.limits.held_bytes * _LARGE_SHARE)
        while self._large_bytes > max(at_most, reservation.held_bytes):
            self._evict_one_of(self._large_reading, besides=reservation)

    def _make_room(self, reservation: Reservation) -> None:
        while self._held_bytes > max(self.limits.held_bytes, reservation.held_bytes):
            self._evict_one_of(chain(self._large_reading, self._reading), besides=reservation)

    def _evict_one_of(
        self, reservations: Iterable[Reservation], *, besides: Reservation | None = None
    ) -> None:
        """Evict the first connection.

        Raises:
            NoRoom: If there is no other one.
        """
        found = next(
            (reservation for reservation in reservations if reservation is not besides), None
        )
        if found is None:
            raise NoRoom()
        held_bytes = found.held_bytes
        self.close(found)
        found.evicted_bytes = held_bytes
        self._evicted_bytes += held_bytes
        self._on_evicted()
        found.evict()


def _large_part(held_bytes: int) -> int:
    """Return what a reservation counts among large requests."""
    return held_bytes if held_bytes > LARGE_BYTES else 0
