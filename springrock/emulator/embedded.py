"""A whole deployment in one process: stand-ins and boxes, for the demo and for quick looks."""

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

_START_WITHIN_S = 30.0


def first_configuration(change: Change) -> Transaction:
    """Return the transaction that installs a deployment's first change in an empty table."""
    return Transaction(
        puts=[
            Put(HEAD_KEY, msgspec.json.encode(HeadValue(change.revision, 0))),
            Put(f"{CHANGE_PREFIX}{change.revision:012d}", msgspec.json.encode(change)),
        ]
    )


class EmbeddedDeployment:
    """Stand-ins and boxes of a shape, in this process.

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
        """Start everything and wait until every replica is owned and taken in.

        Raises:
            SpringrockError: If that does not come about in time.
        """
        self.platform.start()
        self.platform.table.transact(first_configuration(self.shape.first_change()))
        for engine in self.engines:
            engine.start()
        for service in self.services:
            service.start()
        for box in self.boxes:
            box.start()
        deadline = Deadline(_START_WITHIN_S)
        while not self._ready():
            if deadline.passed:
                raise SpringrockError("the deployment did not become ready")
            gevent.sleep(0.05)

    def stop(self) -> None:
        """Stop everything, the boxes as planned."""
        gevent.joinall([gevent.spawn(box.stop) for box in self.boxes])
        for engine in self.engines:
            engine.stop()
        for service in self.services:
            service.stop()
        self.platform.stop()

    @property
    def violations(self) -> dict[str, int]:
        """The broken promises that the stand-ins counted."""
        counters = [engine.violations for engine in self.engines]
        counters += [service.violations for service in self.services]
        return dict(sum(counters, Counter()))

    def _ready(self) -> bool:
        return all(self._box_ready(box) for box in self.boxes)

    def _box_ready(self, box: Box) -> bool:
        if box.why_not_ready():
            return False
        reports = [box.view.report(name) for name in self.addresses.engines]
        return all(report is not None and report.accepting for report in reports)
