"""The users' platform: names, formats and calls, translated to this package's own; no decisions.

Nothing outside this folder knows the platform's names, beside the deploy files. Its pages tell
the protocol; this folder follows their version of 2026-11.
"""
