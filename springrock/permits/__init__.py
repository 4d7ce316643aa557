"""Permits that bound what all boxes together send to a cold replica or one that names a limit."""
