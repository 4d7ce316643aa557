"""Measurements: each module is a command that takes figures anew with real processes."""
