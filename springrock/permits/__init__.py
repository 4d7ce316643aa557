"""Replicas that have started lately get no more than they bear, from all boxes together."""
