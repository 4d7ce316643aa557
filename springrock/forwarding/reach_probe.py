"""Probes replicas when a box may be cut off from all of them."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import gevent

from springrock.forwarding import connection
from springrock.forwarding.directory import Directory, Replica
from springrock.forwarding.errors import ReplicaUnreachable
from springrock.forwarding.replica_reach import ReplicaReach

_INTERVAL_S = 0.25
_CONNECT_TIMEOUT_S = 0.4
_MAX_PROBED = 4
"""More replicas than usually fail at once."""


def connects(address: str) -> bool:
    """Whether a replica accepts a connection."""
    try:
        connection.Connection(address, connect_timeout_s=_CONNECT_TIMEOUT_S).close()
    except ReplicaUnreachable:
        return False
    return True


class ReachProbe:
    """Probes a few replicas at a time while there is a reason to.

    Args:
        reach: Tells when to probe; receives the results.
        directory: The known replicas.
        connect: Whether a replica at an address accepts a connection.
    """

    def __init__(
        self,
        reach: ReplicaReach,
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
            if self._reach.needs_probe:
                self.probe()

    def probe(self) -> None:
        """Probe one replica, and more at once if it cannot be reached."""
        replicas = self._sample()
        if not replicas:
            return
        first, *others = replicas
        if self._is_reached(first) or any(self._probe_all(others)):
            self._reach.record_heard()
        else:
            self._reach.record_probes_failed(len(replicas))

    def _sample(self) -> list[Replica]:
        replicas = [item for item in self._directory.all_replicas() if not item.record.leaving]
        return random.sample(replicas, min(_MAX_PROBED, len(replicas)))

    def _probe_all(self, replicas: list[Replica]) -> list[bool]:
        tasks = [gevent.spawn(self._is_reached, replica) for replica in replicas]
        gevent.joinall(tasks)
        return [bool(task.value) for task in tasks]

    def _is_reached(self, replica: Replica) -> bool:
        return self._connect(replica.record.address)
