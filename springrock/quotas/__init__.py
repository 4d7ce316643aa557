"""Quotas of teams over all boxes: who counts what a team uses, and who is asked."""
