"""Detects requests that crash the replicas running them, and stops sending them to any replica."""
