"""Token and request quotas of teams, enforced over all boxes by the placer of each zone."""
