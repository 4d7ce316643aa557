"""Messages between boxes of a kind that this build does not know: ignored, counted and logged once.

During a rolling upgrade boxes with two builds are linked. A message that only the later build knows
must not cost more than its own content: closing the link would also lose the grants and leases that
both builds know.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar, get_args

from springrock.errors import SpringrockError
from springrock.log import Log

T = TypeVar("T")

_HIGHEST_KIND = 255
"""Kinds are numbered from 1 in the order in which they were added. A frame with a higher number is
malformed rather than from a later build."""


class UnknownKind(SpringrockError):
    """A well-formed frame of a kind that this build does not know.

    Args:
        kind: Its number.
    """

    def __init__(self, kind: int) -> None:
        self.kind = kind
        super().__init__(f"a message of the unknown kind {kind}")


def kinds_of(messages: Any) -> frozenset[int]:
    """Return the kinds (tags) of a union of message classes."""
    return frozenset(message.__struct_config__.tag for message in get_args(messages))


def check_kind(frame: object, known: frozenset[int]) -> None:
    """Check the kind of a decoded frame.

    Raises:
        UnknownKind: If the kind is unknown, so that a later build may have sent the frame.
    """
    kind = frame[0] if isinstance(frame, list) and frame else None
    if type(kind) is int and 0 < kind <= _HIGHEST_KIND and kind not in known:
        raise UnknownKind(kind)


class UnknownMessages:
    """Skips the messages of one link that this build does not know.

    Args:
        peer: The box at the other end of the link.
        log: The log to write to.
        count: Called with the kind of each such message.
    """

    def __init__(self, peer: str, *, log: Log, count: Callable[[int], None]) -> None:
        self._peer = peer
        self._log = log
        self._count = count
        self._logged_kinds: set[int] = set()

    def next_known(self, receive: Callable[[], T]) -> T:
        """Return the next message of a known kind.

        Args:
            receive: Waits for a message; raises `UnknownKind` for one of an unknown kind.
        """
        while True:
            try:
                return receive()
            except UnknownKind as unknown:
                self._record(unknown)

    def _record(self, unknown: UnknownKind) -> None:
        """Count an unknown message, and log the first of its kind on the link."""
        self._count(unknown.kind)
        if unknown.kind not in self._logged_kinds:
            self._logged_kinds.add(unknown.kind)
            self._log.info(
                "Ignored a message of an unknown kind.", peer=self._peer, kind=unknown.kind
            )
