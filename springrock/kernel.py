"""Registries of plug-ins, and the protocol of the components that a box starts and stops."""

from __future__ import annotations

import importlib
import pkgutil
from collections.abc import Callable, Iterator
from typing import Generic, Protocol, TypeVar

from springrock.errors import UnknownPlugin

T = TypeVar("T")

PLUGIN_PACKAGES = (
    "springrock.doors",
    "springrock.drivers",
    "springrock.platform_clients",
    "springrock.policies",
    "springrock.statements",
)


class Registry(Generic[T]):
    """The plug-ins of one family, by name.

    Args:
        family: The name of the family in messages, in the singular.
    """

    def __init__(self, family: str) -> None:
        self.family = family
        self._plugins: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers a plug-in under a name."""

        def _register(plugin: T) -> T:
            self._plugins[name] = plugin
            return plugin

        return _register

    def get(self, name: str) -> T:
        """Return the plug-in of a name.

        Raises:
            UnknownPlugin: If no plug-in is registered under that name.
        """
        try:
            return self._plugins[name]
        except KeyError:
            raise UnknownPlugin(self.family, name, self.names) from None

    @property
    def names(self) -> tuple[str, ...]:
        """The registered names, sorted."""
        return tuple(sorted(self._plugins))

    def __iter__(self) -> Iterator[tuple[str, T]]:
        return iter(sorted(self._plugins.items(), key=lambda item: item[0]))


class Part(Protocol):
    """A component that a box starts and stops."""

    def start(self) -> None:
        """Start and return without waiting."""

    def stop(self) -> None:
        """Stop; called once, in the reverse of the start order."""


def load_plugins() -> None:
    """Import every module of the plug-in packages; each registers its plug-ins on import."""
    for package_name in PLUGIN_PACKAGES:
        package = importlib.import_module(package_name)
        for module in pkgutil.iter_modules(package.__path__, f"{package_name}."):
            importlib.import_module(module.name)
