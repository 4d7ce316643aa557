"""Upstream drivers. Modules here register themselves."""
