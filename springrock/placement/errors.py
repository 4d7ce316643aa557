"""Errors of placement."""

from __future__ import annotations

from springrock.errors import SpringrockError


class PlacerSilent(SpringrockError):
    """No placer of the zone forecasts when the adapter will be loaded."""
