"""A placer's role handed over by a link, for as long as the store answers nobody.

The store remains the one judge of who holds the lease. What is handed over is the right to go on
under it until the store answers, with a fence that no other box has: each lease reserves some above
its own, and its row names the highest of them, so that whoever takes it by the store is above all.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec
from msgspec import Struct

from springrock.eras import era_of, number_of, peer_version
from springrock.placement.placer_row import PlacerRow

RESERVED_FENCES = 64
"""So often in a row a role can be handed over while the store is silent."""


class HandoverTarget(NamedTuple):
    """A box to which a role can be handed over.

    Attributes:
        incarnation: Its process.
        address: Where it serves links.
    """

    box: str
    incarnation: str
    address: str


class Successor(Struct, frozen=True, array_like=True):
    """Who goes on under a lease whose holder has stopped.

    Attributes:
        incarnation: The process that goes on.
        address: Where it serves links.
        fence: Under which it orders until the store has confirmed it.
        last_fence: The highest that the lease has reserved.
        version: The number of the row's version, as the last holder knew it.
        after: The processes that went before under the lease; the row may name any of them.
        era: The store's era of that version; 0 if it is not known.
    """

    box: str
    incarnation: str
    address: str
    fence: int
    last_fence: int
    version: int
    after: list[str]
    era: int = 0

    def follows(self, row: PlacerRow) -> bool:
        """Whether a row of the store is of the lease that was handed over, and not a newer one."""
        return row.fence <= self.last_fence or row.incarnation in self.after


class Tenure(NamedTuple):
    """A lease as its holder has it.

    Attributes:
        row: What the row of the store says, or is to say once the store answers.
        version: The version of that row.
        fence: Under which the holder orders.
        handed: How the lease was handed over, until the store has confirmed that.
    """

    row: PlacerRow
    version: int
    fence: int
    handed: Successor | None = None

    @classmethod
    def from_row(cls, row: PlacerRow, version: int) -> Tenure:
        """Return the lease that the store has confirmed by a row."""
        return cls(row, version, row.fence - RESERVED_FENCES)

    @classmethod
    def from_handover(cls, handed: Successor) -> Tenure:
        """Return the lease of the box that it was handed over to."""
        row = PlacerRow(
            box=handed.box,
            incarnation=handed.incarnation,
            address=handed.address,
            fence=handed.last_fence,
        )
        return cls(row, peer_version(handed.era, handed.version), handed.fence, handed)

    def renewal(self) -> PlacerRow:
        """Return what the next renewal writes.

        The first one after a handover is a lease of its own, above all that was reserved before.
        """
        reserved = 0 if self.handed is None else 1 + RESERVED_FENCES
        row = self.row
        return msgspec.structs.replace(row, renewal=row.renewal + 1, fence=row.fence + reserved)

    def resolved(self, row: PlacerRow, version: int) -> Tenure | None:
        """Return the lease as the row is found instead; None if another box holds it."""
        if row.incarnation == self.row.incarnation:
            return Tenure.from_row(row, version)
        if self.handed is None or not self.handed.follows(row):
            return None
        # A late write of a box that held it before.
        existing = msgspec.structs.replace(self.row, fence=row.fence)
        return self._replace(row=existing, version=version)

    def reclaimed(self, row: PlacerRow | None, version: int) -> Tenure | None:
        """Return the lease in a store that came back from a copy; None if another box holds it.

        Args:
            row: The row in the copy; None if there is none. It is older than this lease, unless a
                box has taken the lease since, above all fences of before.
            version: Its version there.
        """
        if row is not None and row.fence > self.row.fence:
            return None
        return self._replace(version=version)

    def handover(self, handover_target: HandoverTarget) -> Successor | None:
        """Return the handover to another box; None if no fence is left."""
        if self.fence >= self.row.fence:
            return None
        before = [] if self.handed is None else self.handed.after
        return Successor(
            box=handover_target.box,
            incarnation=handover_target.incarnation,
            address=handover_target.address,
            fence=self.fence + 1,
            last_fence=self.row.fence,
            version=number_of(self.version),
            era=era_of(self.version),
            after=[*before, self.row.incarnation],
        )
