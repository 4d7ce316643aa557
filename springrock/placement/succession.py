"""Handover of a placer's lease over a link, while the store answers no box.

Only the store decides which box holds the lease. A handover transfers the right to continue under
the lease until the store answers, with a fence that no other box has. Each lease reserves some
fences above its own, and its row names the highest of them. So the fence of a box that acquires the
lease in the store is higher than all handed-over ones.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec
from msgspec import Struct

from springrock.eras import era_of, number_of, peer_version
from springrock.placement.placer_row import PlacerRow

RESERVED_FENCES = 64
"""How many times in a row a lease can be handed over while the store does not answer."""


class HandoverTarget(NamedTuple):
    """A box to which a lease can be handed over.

    Attributes:
        incarnation: The id of its process.
        address: The address at which it accepts links.
    """

    box: str
    incarnation: str
    address: str


class Successor(Struct, frozen=True, array_like=True):
    """The box that continues under a lease whose holder has stopped.

    Attributes:
        incarnation: The id of its process.
        address: The address at which it accepts links.
        fence: The fence of its orders until the store has confirmed the lease.
        last_fence: The highest fence that the lease has reserved.
        version: The number of the row's version, as the previous holder knew it.
        predecessors: The ids of the processes that held the lease before; the row may name any.
        era: The store's era of that version; 0 if unknown.
    """

    box: str
    incarnation: str
    address: str
    fence: int
    last_fence: int
    version: int
    predecessors: list[str]
    era: int = 0

    def continues_lease_of(self, row: PlacerRow) -> bool:
        """Whether a row belongs to the lease that was handed over, and not to a newer one."""
        return row.fence <= self.last_fence or row.incarnation in self.predecessors


class Tenure(NamedTuple):
    """A lease as seen by its holder.

    Attributes:
        row: The content of the row in the store, or to be written once the store answers.
        version: The version of that row.
        fence: The fence of the holder's orders.
        unconfirmed_handover: The handover by which the holder got the lease; None once the store
            has confirmed the lease.
    """

    row: PlacerRow
    version: int
    fence: int
    unconfirmed_handover: Successor | None = None

    @classmethod
    def from_row(cls, row: PlacerRow, version: int) -> Tenure:
        """Return the lease of a row that the store has confirmed."""
        return cls(row, version, row.fence - RESERVED_FENCES)

    @classmethod
    def from_handover(cls, handover: Successor) -> Tenure:
        """Return the lease as the box to which it was handed over has it."""
        row = PlacerRow(
            box=handover.box,
            incarnation=handover.incarnation,
            address=handover.address,
            fence=handover.last_fence,
        )
        return cls(row, peer_version(handover.era, handover.version), handover.fence, handover)

    def renewal(self) -> PlacerRow:
        """Return the row that the next renewal writes.

        The first renewal after a handover is a new lease, with fences above all reserved before.
        """
        reserved = 0 if self.unconfirmed_handover is None else 1 + RESERVED_FENCES
        row = self.row
        return msgspec.structs.replace(row, renewal=row.renewal + 1, fence=row.fence + reserved)

    def resolved(self, row: PlacerRow, version: int) -> Tenure | None:
        """Return the lease for a row found in a conflict; None if another box holds the lease."""
        if row.incarnation == self.row.incarnation:
            return Tenure.from_row(row, version)
        if self.unconfirmed_handover is None or not self.unconfirmed_handover.continues_lease_of(
            row
        ):
            return None
        # A late write by a box that held the lease before.
        existing = msgspec.structs.replace(self.row, fence=row.fence)
        return self._replace(row=existing, version=version)

    def reclaimed(self, row: PlacerRow | None, version: int) -> Tenure | None:
        """Return the lease in a store restored from a copy; None if another box holds it.

        Args:
            row: The row in the copy; None if there is none. It is older than this lease, unless a
                box has acquired the lease since the restore, with a fence above all earlier ones.
            version: The row's version in the restored store.
        """
        if row is not None and row.fence > self.row.fence:
            return None
        return self._replace(version=version)

    def handover(self, handover_target: HandoverTarget) -> Successor | None:
        """Return the handover to another box; None if no fence is left."""
        if self.fence >= self.row.fence:
            return None
        predecessors = (
            [] if self.unconfirmed_handover is None else self.unconfirmed_handover.predecessors
        )
        return Successor(
            box=handover_target.box,
            incarnation=handover_target.incarnation,
            address=handover_target.address,
            fence=self.fence + 1,
            last_fence=self.row.fence,
            version=number_of(self.version),
            era=era_of(self.version),
            predecessors=[*predecessors, self.row.incarnation],
        )
