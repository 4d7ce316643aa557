"""What plug-ins may use of the box that they belong to: one small protocol for each family.

Plug-ins know these and never `springrock.box`, which puts everything together and knows them.
"""

from __future__ import annotations

from typing import Protocol

from springrock.coordination.catalog import Catalog
from springrock.coordination.feed import Feed
from springrock.coordination.members import Members
from springrock.coordination.peers import Peers
from springrock.log import Journal, Log
from springrock.metrics import Metrics
from springrock.open_requests import OpenRequests
from springrock.serving.admission import Admission
from springrock.serving.relay import Relay
from springrock.serving.services import Services
from springrock.serving.view import RoutingView
from springrock.settings import BoxSettings
from springrock.wire import peer as wire


class StatementHost(Protocol):
    """What operators' statements read and change.

    Attributes:
        name: The name of the box that was asked.
        journal: The decisions that it remembers.
        feed: Where changes of the configuration are committed.
        view: What it knows of replicas.
    """

    name: str
    settings: BoxSettings
    journal: Journal
    members: Members
    peers: Peers
    feed: Feed
    view: RoutingView

    @property
    def catalog(self) -> Catalog:
        """The configuration in force here."""

    def status(self, number: int = 0) -> wire.Status:
        """Return how this box is."""

    def out_of_service(self, replica: str) -> bool:
        """Whether a replica must get no new work."""

    def stop(self) -> None:
        """Stop the box as planned."""


class OperatorDoorHost(StatementHost, Protocol):
    """What the operators' door needs beside what its statements do."""

    def log(self, part: str) -> Log:
        """Return the log of one part."""


class CallerDoorHost(Protocol):
    """What the callers' door needs.

    Attributes:
        refusing: Whether requests are refused, as the box is about to end.
    """

    name: str
    settings: BoxSettings
    metrics: Metrics
    open_requests: OpenRequests
    admission: Admission
    relay: Relay
    services: Services
    refusing: bool

    @property
    def catalog(self) -> Catalog:
        """The configuration in force here."""

    @property
    def serving(self) -> bool:
        """Whether requests are served."""

    def why_not_ready(self) -> str:
        """Return why the balancer should send nothing here, or an empty text."""

    def log(self, part: str) -> Log:
        """Return the log of one part."""


class DoorHost(OperatorDoorHost, CallerDoorHost, Protocol):
    """What any door may need."""
