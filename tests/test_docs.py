from __future__ import annotations

from bench import settings_page


def test_the_settings_page_is_up_to_date() -> None:
    assert settings_page.PAGE.read_text() == settings_page.page()
