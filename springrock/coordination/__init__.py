"""Coordination between boxes, through the platform's table and over links between the boxes."""
