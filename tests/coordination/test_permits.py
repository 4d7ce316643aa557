from __future__ import annotations

from springrock.clock import monotonic
from springrock.coordination.permits import HeldPermitBook, InheritedBook, PermitBook
from springrock.wire import peer as wire

ASK = wire.Ask(1, "r-1", "engine-1", "harvest@3", "minutes", 1.0, 0, 64, 20.0)


def grant(permit: int, fence: int) -> wire.Grant:
    return wire.Grant(1, permit, "engine-1", "harvest@3", fence, 2.0, 20.0, 0.0, 0.0)


def test_an_adapter_is_in_use_until_its_last_permit_is_returned() -> None:
    book = PermitBook()
    first = book.grant(ASK, holder="a", lifetime_s=60)
    second = book.grant(ASK, holder="b", lifetime_s=60)
    assert book.using("harvest@3") == 2
    book.end(first.number)
    assert book.end(first.number) is None
    assert book.using("harvest@3") == 1
    book.end(second.number)
    assert book.using("harvest@3") == 0
    assert len(book) == 0


def test_an_overdue_permit_is_reported_once_and_stays_in_use() -> None:
    book = PermitBook()
    permit = book.grant(ASK, holder="a", lifetime_s=-1)
    assert book.overdue() == [permit]
    assert book.overdue() == []
    assert book.using("harvest@3") == 1


def test_a_grant_of_an_older_owner_is_refused() -> None:
    held = HeldPermitBook()
    old = held.add_granted(grant(1, fence=2), ends_at=monotonic() + 10)
    assert old is not None
    reported = held.apply_fence_notice("engine-1", 3, "new-owner")
    assert [(item.fence, item.permit) for item in reported] == [(2, 1)]
    assert held.add_granted(grant(9, fence=2), ends_at=monotonic() + 10) is None
    assert held.add_granted(grant(1, fence=3), ends_at=monotonic() + 10) is not None
    assert held.owners_to_notify(old, "old-owner") == {"old-owner", "new-owner"}


def test_a_late_notice_of_an_older_owner_changes_nothing() -> None:
    held = HeldPermitBook()
    held.apply_fence_notice("engine-1", 5, "newer")
    held.apply_fence_notice("engine-1", 4, "older")
    assert held.highest_fence("engine-1") == 5


def test_an_inherited_permit_keeps_its_adapter_in_use_until_it_ends() -> None:
    book = InheritedBook()
    book.add(wire.HeldPermit(2, 1, "harvest@3", 10.0), ends_at=monotonic() + 10)
    book.add(wire.HeldPermit(2, 2, "other@1", 0.0), ends_at=monotonic() - 1)
    assert book.using("harvest@3")
    assert not book.using("other@1")
    assert book.end(2, 1)
    assert not book.end(2, 1)
    assert not book.using("harvest@3")
