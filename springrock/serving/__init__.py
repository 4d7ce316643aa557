"""Serving parts: admission, routing, placement and relaying of requests."""
