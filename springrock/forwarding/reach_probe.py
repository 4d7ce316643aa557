"""Probes replicas when a box may be cut off from all replicas of a service."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection
from typing import Any

import gevent

from springrock.forwarding import connection
from springrock.forwarding.box_reach import BoxReach
from springrock.forwarding.directory import Directory, Replica
from springrock.forwarding.errors import ConnectionRefused, ReplicaUnreachable

_INTERVAL_S = 0.25
_CONNECT_TIMEOUT_S = 0.4
_PROMPT_S = 0.1
"""A silent replica that has not accepted a connection within this time gets others probed too."""

_MAX_PROBED = 4
"""More replicas than usually fail at once."""

_MAX_CONFIRMING = 8
"""How many others are probed where some, but few, accepted a connection."""


def connects(address: str) -> bool:
    """Whether a replica accepts a connection."""
    try:
        connection.Connection(address, connect_timeout_s=_CONNECT_TIMEOUT_S).close()
    except ReplicaUnreachable:
        return False
    return True


def is_out_of_reach(address: str) -> bool:
    """Whether connections to a replica fail, but are not refused: the network may be cut."""
    try:
        connection.Connection(address, connect_timeout_s=_CONNECT_TIMEOUT_S).close()
    except ConnectionRefused:
        return False
    except ReplicaUnreachable:
        return True
    return False


class ReachProbe:
    """Probes a few replicas of a service at a time while there is a reason to.

    Args:
        reach: Tells when to probe; receives the results.
        directory: The known replicas.
        connect: Whether a replica at an address accepts a connection.
    """

    def __init__(
        self,
        reach: BoxReach,
        directory: Directory,
        *,
        connect: Callable[[str], bool] = connects,
    ) -> None:
        self._reach = reach
        self._directory = directory
        self._connect = connect
        self._task: gevent.Greenlet[..., Any] | None = None

    def start(self) -> None:
        """Start probing when needed."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop probing."""
        if self._task is not None:
            self._task.kill()

    def _run(self) -> None:
        while True:
            gevent.sleep(_INTERVAL_S)
            due = self._reach.services_to_probe()
            self._probe_services(due)
            # A service that was found cut off makes the others suspect.
            self._probe_services(set(self._reach.services_to_probe()) - set(due))

    def _probe_services(self, services: Collection[str]) -> None:
        gevent.joinall([gevent.spawn(self.probe, service) for service in services])

    def probe(self, service: str) -> None:
        """Probe some replicas of a service at once, and more if few of them are reached.

        A replica that is only silent is probed first.
        """
        reach = self._reach.of(service)
        replicas = self._in_random_order(service, first=reach.last_heard)
        if not replicas:
            return
        silent = [item for item in replicas if item.instance == reach.silent]
        if silent and self._count_reached(silent, timeout_s=_PROMPT_S):
            reach.record_silent_probed()
            return
        sample, others = replicas[:_MAX_PROBED], replicas[_MAX_PROBED:][:_MAX_CONFIRMING]
        reached = self._count_reached(sample)
        if 0 < 2 * reached < len(sample):
            reached += self._count_reached(others)
            sample += others
        reach.record_probes(reached=reached, probed=len(sample))

    def _in_random_order(self, service: str, *, first: str) -> list[Replica]:
        """Return the replicas of a service that stay, the one given before the others."""
        replicas = [item for item in self._directory.of_service(service) if not item.record.leaving]
        random.shuffle(replicas)
        return sorted(replicas, key=lambda replica: replica.instance != first)

    def _count_reached(self, replicas: list[Replica], *, timeout_s: float | None = None) -> int:
        tasks = [gevent.spawn(self._connect, replica.record.address) for replica in replicas]
        gevent.joinall(tasks, timeout=timeout_s)
        return sum(bool(task.value) for task in tasks)
