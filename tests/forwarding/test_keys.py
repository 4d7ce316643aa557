"""The admission of requests by their keys, depending on the staleness of the configuration."""

from __future__ import annotations

import pytest

from springrock.forwarding.configuration import Configuration, RouteTable, Team
from springrock.forwarding.errors import KeysStale, KeyUnknown
from springrock.forwarding.keys import Admission, KeyGate, KeyTerms, digest_of, digest_prefix
from springrock.forwarding.request_progress import RequestProgress
from tests.forwarding.test_values import make_request, make_route

KEY = digest_of("key-of-one")
ONE = Team(name="one", key_digests=frozenset({KEY}), priority=0)
TERMS = KeyTerms(revoke_s=5.0, fail_closed=True)


class GateFixture:
    """A key gate whose configuration and staleness can be changed."""

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
    admission = GateFixture(ONE).admit()
    assert (admission.team, admission.team_for_replicas) == (ONE, "one")


@pytest.mark.parametrize("digest", [None, digest_of("other")])
def test_a_missing_or_unknown_key_is_rejected(digest: bytes | None) -> None:
    with pytest.raises(KeyUnknown) as rejection:
        GateFixture(ONE).admit(digest)
    assert (rejection.value.status, rejection.value.retry_after_s) == (401, None)


def test_without_teams_no_key_is_needed_and_client_headers_are_unchanged() -> None:
    table = RouteTable(Configuration(version=1))
    admission = GateFixture().gate.admit(table, make_route(), None)
    assert (admission.team, admission.team_for_replicas) == (None, None)


def test_an_empty_list_of_teams_rejects_every_request() -> None:
    with pytest.raises(KeyUnknown):
        GateFixture().admit()


def test_a_public_route_needs_no_key_but_reports_the_team_of_a_known_key() -> None:
    fixture = GateFixture(ONE)
    fixture.stale_s = float("inf")
    assert fixture.admit(None, public=True).team_for_replicas == ""
    assert fixture.admit(digest_of("other"), public=True).team_for_replicas == ""
    assert fixture.admit(KEY, public=True).team_for_replicas == "one"


def test_a_key_is_trusted_for_less_than_the_revocation_bound() -> None:
    fixture = GateFixture(ONE)
    fixture.stale_s = 4.7
    assert fixture.admit().team == ONE
    fixture.stale_s = 4.8
    with pytest.raises(KeysStale) as rejection:
        fixture.admit()
    assert rejection.value.status == 503
    assert rejection.value.retry_after_s


def test_a_key_that_may_be_new_is_not_rejected_as_unknown() -> None:
    fixture = GateFixture(ONE)
    fixture.stale_s = 2.1
    with pytest.raises(KeysStale):
        fixture.admit(digest_of("new"))


def test_without_fail_closed_known_keys_are_accepted_from_a_stale_configuration() -> None:
    fixture = GateFixture(ONE, fail_closed=False)
    fixture.stale_s = float("inf")
    assert fixture.admit().team == ONE
    with pytest.raises(KeysStale):
        fixture.admit(digest_of("new"))


def test_a_request_that_waited_is_not_sent_if_its_key_was_revoked() -> None:
    fixture = GateFixture(ONE)
    admission = fixture.admit()
    fixture.gate.check_again(admission, KEY)
    fixture.table = RouteTable(Configuration(version=2, teams=(Team(name="one"),)))
    with pytest.raises(KeyUnknown):
        fixture.gate.check_again(admission, KEY)


def test_a_request_that_waited_is_rejected_if_its_key_moved_to_another_team() -> None:
    fixture = GateFixture(ONE)
    admission = fixture.admit()
    other = Team(name="other", key_digests=frozenset({KEY}))
    fixture.table = RouteTable(Configuration(version=2, teams=(other,)))
    with pytest.raises(KeyUnknown):
        fixture.gate.check_again(admission, KEY)


def test_a_request_that_waited_is_not_sent_if_the_configuration_became_stale() -> None:
    fixture = GateFixture(ONE)
    admission = fixture.admit()
    fixture.stale_s = 4.8
    with pytest.raises(KeysStale):
        fixture.gate.check_again(admission, KEY)
    fixture.gate.check_again(fixture.admit(KEY, public=True), KEY)


def test_the_priority_of_a_team_overrides_that_of_the_route() -> None:
    route = make_route(priority=2)
    assert RequestProgress(make_request(), route, "s").priority == 2
    assert RequestProgress(make_request(), route, "s", Admission(ONE)).priority == 0
    assert RequestProgress(make_request(), route, "s", Admission(Team(name="two"))).priority == 2


def test_logs_show_only_the_start_of_a_keys_digest() -> None:
    assert digest_prefix(KEY) == KEY[:4].hex()
    assert digest_prefix(None) == ""
