"""A registry of classes that register themselves by name."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, Protocol, TypeVar


class Named(Protocol):
    """An object with a unique name."""

    name: str


T = TypeVar("T", bound=Named)


class DuplicateName(ValueError):
    """Two classes register under the same name."""


class Registry(Generic[T]):
    """Holds one instance of each registered class, and iterates over them sorted by name."""

    def __init__(self) -> None:
        self._members: dict[str, T] = {}

    def register(self, kind: type[T]) -> type[T]:
        """Register a class; use this as a class decorator.

        Raises:
            DuplicateName: If another class has registered the same name.
        """
        member = kind()
        if member.name in self._members:
            raise DuplicateName(member.name)
        self._members[member.name] = member
        return kind

    def __getitem__(self, name: str) -> T:
        return self._members[name]

    def __iter__(self) -> Iterator[T]:
        return iter(self._members[name] for name in sorted(self._members))

    @property
    def names(self) -> tuple[str, ...]:
        """The names of all registered classes, sorted."""
        return tuple(sorted(self._members))
