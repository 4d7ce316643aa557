"""Doors: the HTTP servers for callers and operators. Modules here register themselves."""
