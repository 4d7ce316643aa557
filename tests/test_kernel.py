from __future__ import annotations

import pytest

from springrock.errors import UnknownPlugin
from springrock.kernel import Registry, load_plugins
from springrock.plugins import doors, drivers, platforms
from springrock.policies import evictions, load_orders, routings
from springrock.statements import statements


def test_a_plugin_is_registered_by_name() -> None:
    registry: Registry[int] = Registry("number")
    registry.register("one")(1)
    assert registry.get("one") == 1
    with pytest.raises(UnknownPlugin, match="no number named 'two'; known: one"):
        registry.get("two")


def test_loading_registers_every_plugin() -> None:
    load_plugins()
    assert doors.names == ("caller", "operator")
    assert drivers.names == ("engine", "service")
    assert platforms.names == ("http",)
    assert set(evictions.names) == {"lru", "random", "value"}
    assert set(load_orders.names) == {"arrival", "worth"}
    assert set(routings.names) == {"least_loaded", "random", "residency"}
    assert "why_request" in statements.names
