"""Serving of requests: admission, routing, permits, adapter loads and relaying."""
