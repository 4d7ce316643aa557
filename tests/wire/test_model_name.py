from __future__ import annotations

import pytest

from springrock.wire.model_name import ModelName


@pytest.mark.parametrize(
    ("text", "name"),
    [
        ("base", ModelName("base")),
        ("base:harvest", ModelName("base", "harvest")),
        ("base:harvest@3", ModelName("base", "harvest", 3)),
        ("org/base-7b:a.b_c@12", ModelName("org/base-7b", "a.b_c", 12)),
    ],
)
def test_names_survive_parsing_and_formatting(text: str, name: ModelName) -> None:
    assert ModelName.from_text(text) == name
    assert str(name) == text


@pytest.mark.parametrize(
    "text", ["", ":", "a:", ":b", "a:b@", "a:b@x", "a b", "a:b:c", "a@1", "-a"]
)
def test_an_invalid_name_is_none(text: str) -> None:
    assert ModelName.from_text(text) is None


def test_the_adapter_key_names_the_version() -> None:
    assert ModelName("base", "harvest", 3).adapter_key == "harvest@3"
    assert ModelName("base").adapter_key == ""
