"""Messages between boxes of a kind that this build does not know: left, counted and said once.

While boxes are replaced one after the other, two builds speak to each other. What a later build
tells that an earlier one cannot know must cost what it tells and no more: cutting the link would
take the grants and leases down that both know.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar, get_args

from springrock.errors import SpringrockError
from springrock.log import Log

T = TypeVar("T")

_HIGHEST_KIND = 255
"""Kinds are numbered from 1 in the order in which they came; a frame that claims more is no frame
of a later build."""


class UnknownKind(SpringrockError):
    """A well-formed frame of a kind that this build does not know.

    Args:
        kind: Its number.
    """

    def __init__(self, kind: int) -> None:
        self.kind = kind
        super().__init__(f"a message of the unknown kind {kind}")


def kinds_of(messages: Any) -> frozenset[int]:
    """Return the kinds of a union of messages."""
    return frozenset(message.__struct_config__.tag for message in get_args(messages))


def check_kind(frame: object, known: frozenset[int]) -> None:
    """Look at the kind of an unpacked frame.

    Raises:
        UnknownKind: If a later build may have sent it.
    """
    kind = frame[0] if isinstance(frame, list) and frame else None
    if type(kind) is int and 0 < kind <= _HIGHEST_KIND and kind not in known:
        raise UnknownKind(kind)


class UnknownMessages:
    """Notes what one link brought that this build does not know.

    Args:
        peer: Who sent it.
        log: The log to write to.
        count: Called with the kind of each.
    """

    def __init__(self, peer: str, *, log: Log, count: Callable[[int], None]) -> None:
        self._peer = peer
        self._log = log
        self._count = count
        self._said: set[int] = set()

    def next_known(self, receive: Callable[[], T]) -> T:
        """Return the next message that this build knows.

        Args:
            receive: Waits for a message; raises `UnknownKind` for one that is not known.
        """
        while True:
            try:
                return receive()
            except UnknownKind as unknown:
                self._record(unknown)

    def _record(self, unknown: UnknownKind) -> None:
        """Note one message; the first of its kind on the link is said."""
        self._count(unknown.kind)
        if unknown.kind not in self._said:
            self._said.add(unknown.kind)
            self._log.say("Left a message of an unknown kind.", peer=self._peer, kind=unknown.kind)
