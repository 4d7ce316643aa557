"""Tells the other boxes which suspects this box has cleared."""

from __future__ import annotations

import random
from typing import Protocol

import gevent

from springrock.forwarding.fingerprint import Fingerprint
from springrock.quarantine.report import MAX_SHARED, CrashReport, new_key

_MIN_DELAY_S = 0.1
_MAX_DELAY_S = 0.5
"""Bounds of the random delay in which clearances are gathered into one report."""


class _Book(Protocol):
    def add_own(self, key: str, report: CrashReport) -> None: ...


class _Publisher(Protocol):
    def publish(self, key: str, report: CrashReport) -> None: ...


class Clearances:
    """Reports suspects on which a replica has written an answer at this box.

    Another box may see requests with the suspect too seldom to clear it itself.

    Args:
        box: The name of this box.
        book: Holds the reports of this box, so that they are not applied again when read.
        reports: Publishes them to the other boxes.
    """

    def __init__(self, *, box: str, book: _Book, reports: _Publisher) -> None:
        self._box = box
        self._book = book
        self._reports = reports
        self._waiting: dict[Fingerprint, None] = {}

    def add(self, suspect: Fingerprint) -> None:
        """Report a suspect within a short time, with others that are added until then."""
        if not self._waiting:
            gevent.spawn_later(random.uniform(_MIN_DELAY_S, _MAX_DELAY_S), self.publish)
        if len(self._waiting) < MAX_SHARED:
            self._waiting[suspect] = None

    def publish(self) -> None:
        """Report the suspects that wait."""
        cleared, self._waiting = [str(item) for item in self._waiting], {}
        key, report = new_key(), CrashReport(self._box, "", [], cleared=cleared)
        self._book.add_own(key, report)
        self._reports.publish(key, report)
