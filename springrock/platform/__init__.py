"""Adapters to the users' platform: they translate its names, formats and calls, without decisions.

Outside this folder only the deployment files use the platform's names. The platform's pages define
the protocol; this folder implements their version of 2026-11.
"""
