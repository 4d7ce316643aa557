"""Benchmarks and analyses: commands that measure real processes or read their logs."""
