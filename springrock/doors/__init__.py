"""Doors: the HTTP servers that callers and operators use. Modules here register themselves."""
