"""Coordination parts: what boxes agree on through the platform and tell each other."""
