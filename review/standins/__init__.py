"""Stand-ins for the review's cases: platform store, replicas, clients, and the boxes' processes.

Only the standard library is used. Everything but the boxes runs in the process of the case.
"""
