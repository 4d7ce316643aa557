"""A deployment in one process, stand-ins and boxes, for the demo and manual experiments."""

from __future__ import annotations

from collections import Counter

import gevent
import msgspec

from springrock.box import Box
from springrock.clock import Deadline
from springrock.coordination.catalog import Change
from springrock.coordination.feed import CHANGE_PREFIX, HEAD_KEY, HeadValue
from springrock.emulator.deployment import Addresses, SettingsWriter, Shape
from springrock.emulator.engine import EngineStandin
from springrock.emulator.platform import PlatformStandin
from springrock.emulator.service import ServiceStandin
from springrock.emulator.settings import (
    EngineStandinSettings,
    PlatformStandinSettings,
    ServiceStandinSettings,
)
from springrock.errors import SpringrockError
from springrock.settings import BoxSettings
from springrock.wire.platform import Put, Transaction

_START_TIMEOUT_S = 30.0


def first_configuration(change: Change) -> Transaction:
    """Return the transaction that writes a deployment's first change to an empty table."""
    return Transaction(
        puts=[
            Put(HEAD_KEY, msgspec.json.encode(HeadValue(change.revision, 0))),
            Put(f"{CHANGE_PREFIX}{change.revision:012d}", msgspec.json.encode(change)),
        ]
    )


class EmbeddedDeployment:
    """Stand-ins and boxes of a shape, run in this process.

    Args:
        shape: The shape of the deployment.
    """

    def __init__(self, shape: Shape) -> None:
        self.shape = shape
        self.addresses = Addresses.for_shape(shape)
        writer = SettingsWriter(shape, self.addresses)
        self.platform = PlatformStandin(msgspec.convert(writer.platform(), PlatformStandinSettings))
        self.engines = [
            EngineStandin(msgspec.convert(writer.engine(name), EngineStandinSettings))
            for name in self.addresses.engines
        ]
        self.services = [
            ServiceStandin(msgspec.convert(writer.service(name), ServiceStandinSettings))
            for name in self.addresses.services
        ]
        self.boxes = [
            Box(msgspec.convert(writer.box(name), BoxSettings)) for name in shape.box_names
        ]

    def start(self) -> None:
        """Start all components and wait until every box is ready and sees all engines accepting.

        Raises:
            SpringrockError: If that takes more than `_START_TIMEOUT_S`.
        """
        self.platform.start()
        self.platform.table.transact(first_configuration(self.shape.first_change()))
        for engine in self.engines:
            engine.start()
        for service in self.services:
            service.start()
        for box in self.boxes:
            box.start()
        deadline = Deadline(_START_TIMEOUT_S)
        while not self._is_ready():
            if deadline.passed:
                raise SpringrockError("the embedded deployment did not become ready in time")
            gevent.sleep(0.05)

    def stop(self) -> None:
        """Stop the boxes gracefully, then the stand-ins."""
        gevent.joinall([gevent.spawn(box.stop) for box in self.boxes])
        for engine in self.engines:
            engine.stop()
        for service in self.services:
            service.stop()
        self.platform.stop()

    @property
    def violations(self) -> dict[str, int]:
        """Protocol violations counted by the engine and service stand-ins, by kind."""
        counters = [engine.violations for engine in self.engines]
        counters += [service.violations for service in self.services]
        return dict(sum(counters, Counter()))

    def _is_ready(self) -> bool:
        return all(self._is_box_ready(box) for box in self.boxes)

    def _is_box_ready(self, box: Box) -> bool:
        if box.not_ready_reason():
            return False
        reports = [box.view.report(name) for name in self.addresses.engines]
        return all(report is not None and report.accepting for report in reports)
