"""Clearances are gathered and reported to the other boxes."""

from __future__ import annotations

import gevent
import pytest

from springrock.forwarding.fingerprint import Fingerprint
from springrock.log import Log
from springrock.quarantine import clearances as clearances_module
from springrock.quarantine.book import CrashBook
from springrock.quarantine.clearances import Clearances
from springrock.quarantine.terms import QuarantineTerms
from tests.factories import RecordingPublisher

PART, OTHER_PART = Fingerprint("c" * 32), Fingerprint("d" * 32)


def test_suspects_that_are_cleared_shortly_after_each_other_are_in_one_report(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(clearances_module, "_MIN_DELAY_S", 0.01)
    monkeypatch.setattr(clearances_module, "_MAX_DELAY_S", 0.01)
    book = CrashBook(terms=QuarantineTerms, log=Log("quarantine", "box-1"))
    reports = RecordingPublisher()
    clearances = Clearances(box="box-1", book=book, reports=reports)
    for suspect in (PART, OTHER_PART, PART):
        clearances.add(suspect)
    gevent.sleep(0.03)
    [report] = reports.published
    assert (report.instance, report.requests, report.cleared) == ("", [], [PART, OTHER_PART])
