"""What a request has in common with others, and what it has not."""

from __future__ import annotations

from springrock.forwarding.message import PromptPart
from springrock.forwarding.suspects import Suspects
from tests.forwarding.test_values import make_request


def suspects_of(*part_ids: str, target: str = "/x") -> Suspects:
    parts = tuple(PromptPart(part_id, 10) for part_id in part_ids)
    return Suspects.from_request(make_request(prompt=parts, target=target))


def test_requests_share_all_parts_but_the_last() -> None:
    one, other = suspects_of("5c", "91", "e4", target="/a"), suspects_of("5c", "7b", "e4")
    assert one.whole != other.whole
    assert one.shared[0] == other.shared[0]
    assert len({*one.shared, *other.shared}) == 3


def test_a_request_of_one_part_or_none_shares_nothing() -> None:
    assert suspects_of("5c").shared == suspects_of().shared == ()


def test_a_part_that_stands_twice_is_one_suspect_and_their_number_is_bounded() -> None:
    assert len(suspects_of("5c", "5c", "e4").shared) == 1
    assert len(suspects_of(*(str(number) for number in range(1000))).shared) == 32
