"""A soak test: real boxes on loopback under seeded faults.

A play is one run of a schedule of faults. After it, judges check the promises to users against what
callers and replicas observed.
"""
