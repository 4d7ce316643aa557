from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from springrock.jsonc import JsoncError, parse
from springrock.jsonc_grammar import parse_with_lines

JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4),
    max_leaves=12,
)


@given(JSON)
def test_all_plain_json_is_parsed(data: object) -> None:
    assert parse(json.dumps(data)).data == data


def test_comments_and_trailing_commas_are_ignored() -> None:
    document = parse('{ // one\n "a": 1, /* two\n lines */ "b": [1, 2,],\n}')
    assert document.data == {"a": 1, "b": [1, 2]}


def test_the_line_of_every_key_is_found() -> None:
    document = parse('{\n "a": {\n  "b": 1\n }\n}')
    assert document.line_of(("a",)) == 2
    assert document.line_of(("a", "b")) == 3
    assert document.line_of(("a", "missing")) == 2


@pytest.mark.parametrize(
    ("text", "line"), [("{", 1), ('{"a": }', 1), ('{\n"a": 1\n"b": 2}', 3), ("", 1), ("[1,,2]", 1)]
)
def test_a_syntax_error_names_its_line(text: str, line: int) -> None:
    with pytest.raises(JsoncError) as caught:
        parse(text)
    assert caught.value.line == line


def test_a_duplicate_key_is_rejected() -> None:
    with pytest.raises(JsoncError, match="duplicate key"):
        parse('{"a": 1,\n "a": 2}')


@given(st.text(alphabet='{}[]",:/ *0aN\n'))
def test_both_parsers_agree(text: str) -> None:
    try:
        expected, _ = parse_with_lines(text)
    except JsoncError:
        with pytest.raises(JsoncError):
            parse(text)
    else:
        assert parse(text).data == expected


def test_comment_lines_do_not_shift_line_numbers() -> None:
    document = parse('// one\n{\n  // "b": 2,\n "a": "// no comment"\n}')
    assert document.data == {"a": "// no comment"}
    assert document.line_of(("a",)) == 4


@pytest.mark.parametrize("text", ["NaN", '{"a": Infinity}', '{"a": 1, "a": 1}'])
def test_extensions_of_the_standard_library_are_rejected(text: str) -> None:
    with pytest.raises(JsoncError):
        parse(text)
