"""Tests of springrock.permits."""
