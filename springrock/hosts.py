"""Protocols of the box as its plug-ins see it, one for each family of plug-ins.

Plug-ins import these protocols and never `springrock.box`, which imports the plug-ins.
"""

from __future__ import annotations

from typing import Protocol

from springrock.coordination.catalog import Catalog
from springrock.coordination.feed import Feed
from springrock.coordination.members import Members
from springrock.coordination.peers import Peers
from springrock.intake import Intake
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
    """The box as the operators' statements use it.

    Attributes:
        name: The name of the box that runs the statement.
        journal: The newest log lines of the box.
        feed: Reads the configuration and commits changes of it.
        view: The replicas that the box knows, and their state.
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
        """The configuration in force on this box."""

    def status(self, number: int = 0) -> wire.Status:
        """Return the status of this box."""

    def out_of_service(self, replica: str) -> bool:
        """Whether a replica must be sent no new requests."""

    def stop(self) -> None:
        """Perform a planned stop of the box."""


class OperatorDoorHost(StatementHost, Protocol):
    """The box as the operators' HTTP interface and its statements use it."""

    def log(self, part: str) -> Log:
        """Return a log whose lines have this prefix."""


class CallerDoorHost(Protocol):
    """The box as the callers' HTTP interface uses it.

    Attributes:
        refusing: Whether new requests are refused because the box is about to exit.
    """

    name: str
    settings: BoxSettings
    metrics: Metrics
    open_requests: OpenRequests
    intake: Intake
    admission: Admission
    relay: Relay
    services: Services
    refusing: bool

    @property
    def catalog(self) -> Catalog:
        """The configuration in force on this box."""

    @property
    def serving(self) -> bool:
        """Whether this box serves requests, as its configuration is up to date."""

    def not_ready_reason(self) -> str:
        """Return why the balancer should send no requests here; empty if the box is ready."""

    def log(self, part: str) -> Log:
        """Return a log whose lines have this prefix."""


class DoorHost(OperatorDoorHost, CallerDoorHost, Protocol):
    """The box as any of its HTTP interfaces may use it."""
