"""Requests that crash the replicas that run them: found over all boxes, and sent to no more."""
