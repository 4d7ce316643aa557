"""Headers between clients, boxes and replicas on the platform."""

from __future__ import annotations

import pytest

from springrock.errors import BadRequest
from springrock.forwarding.dialect import EMPTY_NOTICE, NO_NOTICE, ReplicaNotice, SendTerms
from springrock.forwarding.keys import digest_of
from springrock.forwarding.message import AnswerHead, ClientRequest, Headers, PromptPart
from springrock.platform.dialect import PlatformDialect

ID = ("Springrock-Request-Id", "r-1")
TERMS = SendTerms(instance="i-1", left_s=1.0)


def read(*headers: tuple[str, str]) -> ClientRequest:
    return PlatformDialect().read_request(
        method="POST",
        target="/x",
        headers=Headers.from_pairs([ID, *headers]),
        body=b"",
        received_at=0.0,
    )


@pytest.mark.parametrize(
    "name", ["Springrock-Hold", "springrock-pin-ms", "Springrock-Kv-Backup", "Kv-From", "KV-FETCH"]
)
def test_what_only_the_system_sets_is_not_passed_on(name: str) -> None:
    headers = PlatformDialect().request_headers(read((name, "10.0.0.1:80/x")), TERMS)
    assert headers.get(name) is None
    assert headers.get(ID[0]) == ID[1]


def test_the_parts_of_a_prompt_are_read_in_order() -> None:
    request = read(("Springrock-Prompt-Prefix", "5c:800, 91:410,e4:250"))
    assert request.prompt == (PromptPart("5c", 800), PromptPart("91", 410), PromptPart("e4", 250))
    assert PlatformDialect().request_headers(request, TERMS).get("Springrock-Prompt-Prefix")


@pytest.mark.parametrize("value", ["", "5c", "5c:x", "5c:-1", "5c:1,"])
def test_parts_that_cannot_be_read_are_no_parts(value: str) -> None:
    assert read(("Springrock-Prompt-Prefix", value)).prompt == ()


KEY = ("Api-Key", "asnmgkcuyj8pjbvk9m68")


def test_the_key_never_reaches_a_replica_and_the_team_is_the_systems_word() -> None:
    request = read(KEY, ("Springrock-Tenant", "somebody-else"))
    assert request.key_digest == digest_of(KEY[1])
    for team in ("hule930", ""):
        headers = PlatformDialect().request_headers(request, TERMS._replace(team=team))
        assert headers.get("Api-Key") is None
        assert [value for name, value in headers if name == "Springrock-Tenant"] == [team] * bool(
            team
        )


def test_without_teams_a_clients_headers_stand() -> None:
    headers = PlatformDialect().request_headers(read(KEY), TERMS)
    assert headers.get("Api-Key") == KEY[1]


@pytest.mark.parametrize(
    "keys",
    [
        [KEY, ("api-key", "k2")],
        [("Api-Key", "")],
        [("Api-Key", "k\xff\xfe")],
        [("Api-Key", "k\x07")],
    ],
)
def test_a_malformed_key_is_rejected_and_not_told(keys: list[tuple[str, str]]) -> None:
    with pytest.raises(BadRequest) as error:
        read(*keys)
    assert not any(value and value in str(error.value) for _, value in keys)


@pytest.mark.parametrize("value", ["1e30,5", "5,1e30", "1" + "0" * 400, "-1,2", "x", "1,y"])
def test_a_token_count_that_no_request_holds_is_malformed(value: str) -> None:
    with pytest.raises(BadRequest):
        read(("Springrock-Token-Count", value))


def test_the_tokens_of_a_request_are_counted_together() -> None:
    assert read(("Springrock-Token-Count", "1460,80")).tokens == 1540
    assert read().tokens is None


def notice_of(status: int, *headers: tuple[str, str]) -> ReplicaNotice:
    return PlatformDialect().notice(AnswerHead(status, "", Headers.from_pairs([ID, *headers])))


@pytest.mark.parametrize("status", [200, 400, 408, 429, 500, 503, 504])
def test_a_replica_says_in_any_answer_that_it_leaves(status: int) -> None:
    assert notice_of(status, ("server-leaving", "1")).leaving
    assert notice_of(status) == EMPTY_NOTICE
    assert notice_of(status, ("Server-Leaving", "0")) == EMPTY_NOTICE


def test_a_rest_is_asked_for_in_seconds_by_who_turns_a_request_away() -> None:
    assert notice_of(503, ("Retry-After", "3")).backoff_s == 3.0
    assert notice_of(503, ("Retry-After", "0.25")).backoff_s == 0.25
    assert notice_of(500, ("Retry-After", "3")) == EMPTY_NOTICE


def test_who_answers_for_another_replica_tells_nothing_of_the_one_that_was_meant() -> None:
    assert notice_of(421, ("Server-Leaving", "1"), ("Retry-After", "3")) == NO_NOTICE


@pytest.mark.parametrize("value", ["", "soon", "-1", "nan", "inf", "x" * 1000])
def test_a_rest_that_cannot_be_read_is_said_to_be_so_and_is_none(value: str) -> None:
    notice = notice_of(503, ("Retry-After", value), ("Server-Leaving", "1"))
    assert notice.leaving
    assert notice.backoff_s == 0.0
    assert notice.unreadable.startswith("Retry-After")
    assert len(notice.unreadable) < 100
