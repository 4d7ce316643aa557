"""Forwards raw HTTP requests over configured routes to replicas discovered at run time."""
