"""Keeps the origins of streams at other boxes, which outlive the box that serves them.

A box tells the origins of its streams to the placers of two zones, as long as a service has had
several software versions lately, or may have had. It asks the placers of all zones. The placers
save what they are told in the store, which outlives them.
"""

from __future__ import annotations

from collections.abc import Callable, Generator, Iterable
from contextlib import closing
from typing import Protocol

import gevent
from gevent.queue import Empty, Queue

from springrock.clock import Deadline
from springrock.forwarding.software_history import KnownVersions, SoftwareHistory
from springrock.forwarding.stream_origins import Origin, OriginBook
from springrock.placement.messages import BegunStreams, OriginFound, OriginQuestion
from springrock.placement.origin_questions import OriginQuestions
from springrock.placement.origin_rows import OriginRows
from springrock.placement.placer_board import PlacerBoard
from springrock.placement.placer_row import SoftwareReport
from springrock.store_clock import StoreClock

_COPIES = 2
"""Placers that are told of each stream: one may be lost together with the stream's own box."""

_ANSWER_TIMEOUT_S = 0.2
_UPDATE_INTERVAL_S = 0.5


class PlacerLink(Protocol):
    """The link of this box to the placer of one zone."""

    @property
    def placer(self) -> str:
        """The address of the zone's placer while it is reached; a box may place several zones."""

    @property
    def questions(self) -> OriginQuestions:
        """This box's questions at the placer."""

    @property
    def keeps_origins(self) -> bool:
        """Whether the zone's placer is reached, is another box, and keeps origins."""

    @property
    def placing(self) -> bool:
        """Whether this box is the zone's placer."""

    def tell(self, origins: Iterable[tuple[str, Origin]]) -> None:
        """Tell the placer the origins of streams, by the ids of their requests."""


class OriginExchange:
    """Implements `springrock.forwarding.stream_origins.OtherBoxes`.

    `_informed` holds the zones, each with a service, whose placers know the service's streams.

    Args:
        own: The origins of this box's own streams.
        of_others: The origins that other boxes have told this one.
        rows: Saves what this box is told.
        history: The versions that replicas have had lately.
        links: Returns the links by zone, those first whose placers are preferably told.
        board: The placers' rows, whose reports outlive the boxes that wrote them.
        clock: Converts the times of reports.
    """

    def __init__(
        self,
        *,
        own: OriginBook,
        of_others: OriginBook,
        rows: OriginRows,
        history: SoftwareHistory,
        links: Callable[[], dict[str, PlacerLink]],
        board: PlacerBoard,
        clock: StoreClock,
    ) -> None:
        self._board = board
        self._clock = clock
        self._own = own
        self._history = history
        self._links = links
        self._of_others = of_others
        self._rows = rows
        self._informed: set[tuple[str, str]] = set()

    def run(self) -> None:
        """Tell origins as services get several versions and as placers change, until killed."""
        while True:
            self.update()
            gevent.sleep(_UPDATE_INTERVAL_S)

    def update(self) -> None:
        """Tell the placers that keep origins those that they have not been told yet."""
        self._history.update()
        self._read_reports()
        services = {origin.service for _, origin in self._own.recent()}
        chosen = self._chosen()
        wanted = {
            (zone, service)
            for service in services
            if self._history.only_version(service) is None
            for zone in chosen
        }
        for zone, service in wanted - self._informed:
            self._tell_all(chosen[zone], service)
        self._informed = wanted

    def report(self) -> SoftwareReport | None:
        """Return what this box knows of software versions; None if it does not know enough."""
        known = self._history.known_versions()
        if known is None:
            return None
        as_of_s = self._clock.earliest_store(known.as_of)
        if as_of_s is None:
            return None
        return SoftwareReport(
            as_of_ms=int(as_of_s * 1000), era=self._board.era, versions=known.versions
        )

    def _read_reports(self) -> None:
        """Learn from the placers' rows what served before this box started."""
        if self._history.covers_stream_life:
            return
        for row in self._board.rows():
            report = row.software
            if report is None:
                continue
            as_of = self._clock.earliest_local(report.as_of_ms / 1000, era=report.era)
            if as_of is not None:
                self._history.apply_report(KnownVersions(as_of, report.versions))

    def forget_placer(self, zone: str) -> None:
        """Record that a zone's placer was lost, and with it what it was told."""
        self._informed = {informed for informed in self._informed if informed[0] != zone}

    # Implementation of `OtherBoxes`.

    def tell_origin(self, request_id: str, origin: Origin) -> None:
        """Tell other boxes the origin of a stream, unless the service has only one version."""
        if self._history.only_version(origin.service) is not None:
            return
        chosen = self._chosen()
        if not chosen:
            self._save_own(request_id, origin)
        for zone, link in chosen.items():
            if (zone, origin.service) in self._informed:
                link.tell([(request_id, origin)])
            else:
                self._tell_all(link, origin.service)
                self._informed.add((zone, origin.service))

    def _save_own(self, request_id: str, origin: Origin) -> None:
        """Save the origin of a stream of this box, if it is the only placer that is reached."""
        placed = next((zone for zone, link in self._links().items() if link.placing), None)
        if placed is not None:
            self._rows.add(placed, request_id, origin)

    def told_origin(self, request_id: str) -> Origin | None:
        """Return the origin that another box told this one; None if none did."""
        return self._of_others.find(request_id)

    def ask_origin(self, request_id: str, service: str) -> Origin | None:
        """Ask the placers of all zones at once.

        The first placer that was told of the stream decides. Without one, the only version that
        placers vouch for does, unless this box knows of another one.
        """
        vouched: set[Origin] = set()
        with closing(self._answers(request_id, service)) as answers:
            for found in answers:
                if found.software is None:
                    continue
                origin = Origin(found.service, found.software)
                if found.told:
                    return origin
                vouched.add(origin)
        known = {Origin(service, software) for software in self._history.versions(service)}
        return next(iter(vouched)) if len(vouched | known) == 1 and vouched else None

    def stored_origin(self, request_id: str) -> Origin | None:
        """Return the origin that a placer has saved in the store; None if none did."""
        return self._rows.find(request_id)

    def _answers(self, request_id: str, service: str) -> Generator[OriginFound, None, None]:
        """Yield the answers of placers as they arrive in time."""
        answers: Queue[OriginFound | None] = Queue()
        asked = [
            (link.questions, link.questions.ask(request_id, service, answers=answers))
            for link in self._links().values()
            if link.keeps_origins
        ]
        deadline = Deadline(_ANSWER_TIMEOUT_S)
        try:
            for _ in asked:
                found = answers.get(timeout=max(0.0, deadline.left_s))
                if found is not None:
                    yield found
        except Empty:
            pass
        finally:
            for questions, number in asked:
                questions.withdraw(number)

    # Called while this box places.

    def keep(self, begun: BegunStreams, *, zone: str) -> None:
        """Keep the origins of streams of another box.

        Args:
            begun: The streams.
            zone: The zone that this box was told as the placer of.
        """
        origin = Origin(begun.service, begun.software)
        for request_id in begun.requests:
            if self._of_others.find(request_id) is None:
                self._rows.add(zone, request_id, origin)
            self._of_others.record(request_id, origin)

    def answer(self, question: OriginQuestion) -> OriginFound:
        """Return the answer to a question of another box."""
        found = self._of_others.find(question.request) or self._own.find(question.request)
        if found is not None:
            return OriginFound(question.number, found.service, found.software, told=True)
        only = self._history.only_version(question.service)
        return OriginFound(question.number, question.service, only)

    def _chosen(self) -> dict[str, PlacerLink]:
        """Return the zones whose placers are told of streams, each one another box."""
        chosen: dict[str, tuple[str, PlacerLink]] = {}
        for zone, link in self._links().items():
            if link.keeps_origins and len(chosen) < _COPIES:
                chosen.setdefault(link.placer, (zone, link))
        return dict(chosen.values())

    def _tell_all(self, link: PlacerLink, service: str) -> None:
        link.tell(item for item in self._own.recent() if item[1].service == service)
