"""Emulators (stand-ins) of external systems for the demo, the tests and the load tool."""

from __future__ import annotations

from typing import Any

from springrock.emulator.settings import (
    EngineStandinSettings,
    PlatformStandinSettings,
    ProxySettings,
    ReplicaStandinSettings,
    RowStoreStandinSettings,
    ServiceStandinSettings,
)
from springrock.errors import UnknownPlugin
from springrock.settings import read_settings

_KINDS = ("engine", "platform", "proxy", "replica", "rowstore", "service")


def make_standin(kind: str, settings: str) -> Any:
    """Build a stand-in from its settings file.

    Raises:
        UnknownPlugin: If the kind is not one of `_KINDS`.
        SettingsError: If the settings file cannot be read or is invalid.
    """
    if kind == "platform":
        from springrock.emulator.platform import PlatformStandin

        return PlatformStandin(read_settings(settings, PlatformStandinSettings))
    if kind == "engine":
        from springrock.emulator.engine import EngineStandin

        return EngineStandin(read_settings(settings, EngineStandinSettings))
    if kind == "service":
        from springrock.emulator.service import ServiceStandin

        return ServiceStandin(read_settings(settings, ServiceStandinSettings))
    if kind == "proxy":
        from springrock.emulator.proxy import Proxy

        return Proxy(read_settings(settings, ProxySettings))
    if kind == "rowstore":
        from springrock.emulator.rowstore import RowStoreStandin

        return RowStoreStandin(read_settings(settings, RowStoreStandinSettings))
    if kind == "replica":
        from springrock.emulator.replica import ReplicaStandin

        return ReplicaStandin(read_settings(settings, ReplicaStandinSettings))
    raise UnknownPlugin("stand-in", kind, _KINDS)
