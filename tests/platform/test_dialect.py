"""Translation of headers between clients, boxes and replicas on the platform."""

from __future__ import annotations

import pytest

from springrock.errors import BadRequest
from springrock.forwarding.dialect import EMPTY_NOTICE, NO_NOTICE, ReplicaNotice, SendTerms
from springrock.forwarding.keys import digest_of
from springrock.forwarding.message import AnswerHead, ClientRequest, Headers, PromptPart
from springrock.platform.dialect import PlatformDialect

ID = ("Springrock-Request-Id", "r-1")
TERMS = SendTerms(instance="i-1", left_s=1.0)


def read_with(*headers: tuple[str, str]) -> ClientRequest:
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
def test_headers_that_only_boxes_set_are_not_forwarded(name: str) -> None:
    headers = PlatformDialect().request_headers(read_with((name, "10.0.0.1:80/x")), TERMS)
    assert headers.get(name) is None
    assert headers.get(ID[0]) == ID[1]


def test_prompt_parts_are_parsed_in_order() -> None:
    request = read_with(("Springrock-Prompt-Prefix", "5c:800, 91:410,e4:250"))
    assert request.prompt == (PromptPart("5c", 800), PromptPart("91", 410), PromptPart("e4", 250))
    assert PlatformDialect().request_headers(request, TERMS).get("Springrock-Prompt-Prefix")


def test_spellings_of_the_id_of_a_prompt_part_are_one() -> None:
    request = read_with(("Springrock-Prompt-Prefix", "0AF:1,0af:1,af:1,0:1"))
    assert [part.part_id for part in request.prompt] == ["af", "af", "af", "0"]


@pytest.mark.parametrize(
    "value", ["", "5c", "5c:x", "5c:-1", "5c:1,", "ab:\xb2", "ab:" + "9" * 5000]
)
def test_malformed_prompt_parts_are_ignored(value: str) -> None:
    assert read_with(("Springrock-Prompt-Prefix", value)).prompt == ()


KEY = ("Api-Key", "asnmgkcuyj8pjbvk9m68")


def test_the_key_is_not_forwarded_and_the_team_header_is_set_by_the_box() -> None:
    request = read_with(KEY, ("Springrock-Tenant", "somebody-else"))
    assert request.key_digest == digest_of(KEY[1])
    for team in ("hule930", ""):
        headers = PlatformDialect().request_headers(request, TERMS._replace(team=team))
        assert headers.get("Api-Key") is None
        assert [value for name, value in headers if name == "Springrock-Tenant"] == [team] * bool(
            team
        )


def test_without_teams_a_clients_headers_are_forwarded() -> None:
    headers = PlatformDialect().request_headers(read_with(KEY), TERMS)
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
def test_a_malformed_key_is_rejected_without_quoting_it(keys: list[tuple[str, str]]) -> None:
    with pytest.raises(BadRequest) as error:
        read_with(*keys)
    assert not any(value and value in str(error.value) for _, value in keys)


@pytest.mark.parametrize("value", ["1e30,5", "5,1e30", "1" + "0" * 400, "-1,2", "x", "1,y"])
def test_an_impossible_token_count_is_rejected(value: str) -> None:
    with pytest.raises(BadRequest):
        read_with(("Springrock-Token-Count", value))


def test_prompt_and_answer_tokens_are_added() -> None:
    assert read_with(("Springrock-Token-Count", "1460,80")).tokens == 1540
    assert read_with().tokens is None


def notice_from_answer(status: int, *headers: tuple[str, str]) -> ReplicaNotice:
    return PlatformDialect().notice(AnswerHead(status, "", Headers.from_pairs([ID, *headers])))


@pytest.mark.parametrize("status", [200, 400, 408, 429, 500, 503, 504])
def test_an_answer_of_any_status_can_announce_that_a_replica_leaves(status: int) -> None:
    assert notice_from_answer(status, ("server-leaving", "1")).leaving
    assert notice_from_answer(status) == EMPTY_NOTICE
    assert notice_from_answer(status, ("Server-Leaving", "0")) == EMPTY_NOTICE


def test_retry_after_in_a_503_is_a_backoff_in_seconds() -> None:
    assert notice_from_answer(503, ("Retry-After", "3")).backoff_s == 3.0
    assert notice_from_answer(503, ("Retry-After", "0.25")).backoff_s == 0.25
    assert notice_from_answer(500, ("Retry-After", "3")) == EMPTY_NOTICE


def test_notices_in_a_misdirected_answer_are_ignored() -> None:
    assert notice_from_answer(421, ("Server-Leaving", "1"), ("Retry-After", "3")) == NO_NOTICE


@pytest.mark.parametrize("value", ["", "soon", "-1", "nan", "inf", "x" * 1000])
def test_a_malformed_backoff_is_ignored_and_reported_as_unreadable(value: str) -> None:
    notice = notice_from_answer(503, ("Retry-After", value), ("Server-Leaving", "1"))
    assert notice.leaving
    assert notice.backoff_s == 0.0
    assert notice.unreadable.startswith("Retry-After")
    assert len(notice.unreadable) < 100
