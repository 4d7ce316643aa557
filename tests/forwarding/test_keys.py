"""Which requests are admitted by their keys, as the knowledge of keys ages."""

from __future__ import annotations

import pytest

from springrock.forwarding.configuration import Configuration, RouteTable, Team
from springrock.forwarding.errors import KeysStale, KeyUnknown
from springrock.forwarding.keys import Admission, KeyGate, KeyTerms, digest_of, shown
from springrock.forwarding.request_progress import RequestProgress
from tests.forwarding.test_values import make_request, make_route

KEY = digest_of("key-of-one")
ONE = Team(name="one", key_digests=frozenset({KEY}), priority=0)
TERMS = KeyTerms(revoke_s=5.0, fail_closed=True)


class Door:
    """A gate whose configuration and knowledge may be changed."""

    def __init__(self, *teams: Team, fail_closed: bool = True) -> None:
        self.stale_s = 0.0
        self.table = RouteTable(Configuration(version=1, teams=teams))
        terms = TERMS._replace(fail_closed=fail_closed)
        self.gate = KeyGate(
            routes=lambda: self.table, staleness_s=lambda: self.stale_s, terms=lambda: terms
        )

    def admit(self, digest: bytes | None = KEY, *, public: bool = False) -> Admission:
        return self.gate.admit(self.table, make_route(public=public), digest)


def test_a_known_key_gives_the_team() -> None:
    admission = Door(ONE).admit()
    assert (admission.team, admission.reported) == (ONE, "one")


@pytest.mark.parametrize("digest", [None, digest_of("other")])
def test_a_missing_or_unknown_key_is_rejected(digest: bytes | None) -> None:
    with pytest.raises(KeyUnknown) as rejection:
        Door(ONE).admit(digest)
    assert (rejection.value.status, rejection.value.retry_after_s) == (401, None)


def test_without_teams_nothing_is_asked_and_the_clients_headers_stand() -> None:
    table = RouteTable(Configuration(version=1))
    admission = Door().gate.admit(table, make_route(), None)
    assert (admission.team, admission.reported) == (None, None)


def test_no_team_at_all_admits_nobody() -> None:
    with pytest.raises(KeyUnknown):
        Door().admit()


def test_a_public_route_needs_no_key_and_tells_the_team_of_a_known_one() -> None:
    door = Door(ONE)
    door.stale_s = float("inf")
    assert door.admit(None, public=True).reported == ""
    assert door.admit(digest_of("other"), public=True).reported == ""
    assert door.admit(KEY, public=True).reported == "one"


def test_a_key_is_trusted_for_less_than_a_removal_may_take() -> None:
    door = Door(ONE)
    door.stale_s = 4.7
    assert door.admit().team == ONE
    door.stale_s = 4.8
    with pytest.raises(KeysStale) as rejection:
        door.admit()
    assert rejection.value.status == 503
    assert rejection.value.retry_after_s


def test_a_key_that_may_be_new_is_not_called_unknown() -> None:
    door = Door(ONE)
    door.stale_s = 2.1
    with pytest.raises(KeysStale):
        door.admit(digest_of("new"))


def test_where_it_does_not_fail_closed_known_keys_go_on() -> None:
    door = Door(ONE, fail_closed=False)
    door.stale_s = float("inf")
    assert door.admit().team == ONE
    with pytest.raises(KeysStale):
        door.admit(digest_of("new"))


def test_a_request_that_waited_is_not_sent_with_a_key_that_was_taken_away() -> None:
    door = Door(ONE)
    admission = door.admit()
    door.gate.check_again(admission, KEY)
    door.table = RouteTable(Configuration(version=2, teams=(Team(name="one"),)))
    with pytest.raises(KeyUnknown):
        door.gate.check_again(admission, KEY)


def test_a_key_that_went_to_another_team_does_not_serve_the_first_one() -> None:
    door = Door(ONE)
    admission = door.admit()
    other = Team(name="other", key_digests=frozenset({KEY}))
    door.table = RouteTable(Configuration(version=2, teams=(other,)))
    with pytest.raises(KeyUnknown):
        door.gate.check_again(admission, KEY)


def test_a_request_that_waited_beyond_the_age_is_not_sent() -> None:
    door = Door(ONE)
    admission = door.admit()
    door.stale_s = 4.8
    with pytest.raises(KeysStale):
        door.gate.check_again(admission, KEY)
    door.gate.check_again(door.admit(KEY, public=True), KEY)


def test_the_rank_of_a_team_goes_before_that_of_the_route() -> None:
    route = make_route(priority=2)
    assert RequestProgress(make_request(), route, "s").priority == 2
    assert RequestProgress(make_request(), route, "s", Admission(ONE)).priority == 0
    assert RequestProgress(make_request(), route, "s", Admission(Team(name="two"))).priority == 2


def test_what_is_shown_of_a_key_tells_keys_apart_and_nothing_else() -> None:
    assert shown(KEY) == KEY[:4].hex()
    assert shown(None) == ""
