"""The kernel: registries that plug-ins join by themselves, and a box's parts in start order."""

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
    """A named family of plug-ins.

    Args:
        family: What the plug-ins are, in the singular, for messages.
    """

    def __init__(self, family: str) -> None:
        self.family = family
        self._plugins: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers its target under a name."""

        def _register(plugin: T) -> T:
            self._plugins[name] = plugin
            return plugin

        return _register

    def get(self, name: str) -> T:
        """Return a plug-in.

        Raises:
            UnknownPlugin: If nothing registered under that name.
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
    """Something that a box starts and stops."""

    def start(self) -> None:
        """Begin work and return at once."""

    def stop(self) -> None:
        """End work; called once, in the reverse of the start order."""


def load_plugins() -> None:
    """Import every module of the plug-in packages, so that they register themselves."""
    for package_name in PLUGIN_PACKAGES:
        package = importlib.import_module(package_name)
        for module in pkgutil.iter_modules(package.__path__, f"{package_name}."):
            importlib.import_module(module.name)
