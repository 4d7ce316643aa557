"""Forwarding of raw HTTP requests over configured routes to replicas found at run time."""
