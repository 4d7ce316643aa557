from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from springrock.errors import StatementError
from springrock.kernel import load_plugins
from springrock.language import parse
from springrock.statements import statements

load_plugins()


@pytest.mark.parametrize(
    ("text", "name", "values"),
    [
        ("show boxes", "show_boxes", {}),
        (
            'SHOW Adapters LIKE "base:a*" FIRST 5',
            "show_adapters",
            {"pattern": "base:a*", "count": "5"},
        ),
        ("why request load-1-2", "why_request", {"request": "load-1-2"}),
        ("why adapter harvest@3", "why_adapter", {"loaded": "harvest@3"}),
        (
            "create adapter base:harvest version 1, 2 for workload a,b if revision 0",
            "create_adapter",
            {"adapter": "base:harvest", "version": "1", "workload": "a", "seen": "0"},
        ),
        (
            "set workload minutes priority -3 limit 2.5 share 2 stall weight 0.8",
            "set_workload",
            {
                "workload": "minutes",
                "priority": "-3",
                "limit": "2.5",
                "share": "2",
                "weight": "0.8",
            },
        ),
        ("place harvest@3 on engine-1", "place", {"loaded": "harvest@3", "replica": "engine-1"}),
        ("drain show", "drain", {"replica": "show"}),
        ("stop box suva-1-a", "stop", {"box": "suva-1-a"}),
    ],
)
def test_a_statement_is_parsed(text: str, name: str, values: dict[str, str]) -> None:
    statement, arguments = parse(text)
    assert statement is statements.get(name)
    assert arguments.values == values


def test_all_values_of_a_list_are_kept() -> None:
    _, arguments = parse("create adapter base:x version 1,2,3 for workload a,b")
    assert arguments.integers("version") == [1, 2, 3]
    assert arguments.lists["workload"] == ["a", "b"]


@pytest.mark.parametrize(
    "text",
    [
        "",
        " ",
        "show",
        "show boxes please",
        "drain",
        "create adapter noversion",
        "x" * 20_000,
        "drop",
    ],
)
def test_an_invalid_statement_is_a_typed_error(text: str) -> None:
    with pytest.raises(StatementError):
        parse(text)


@given(st.text(max_size=60))
def test_no_text_breaks_the_parser(text: str) -> None:
    try:
        parse(text)
    except StatementError:
        return


@given(
    st.lists(
        st.sampled_from(
            ["show", "boxes", "adapter", "base:x", "version", "1", ",", "on", "a@1", "if"]
        ),
        max_size=8,
    )
)
def test_no_sequence_of_tokens_breaks_the_parser(tokens: list[str]) -> None:
    try:
        parse(" ".join(tokens))
    except StatementError:
        return
