"""Placement of adapters on model engines that are found at run time.

In each availability zone one box at a time, the *placer*, holds a lease on a row of the store and
orders engines to load and unload adapters under the lease's fence. All boxes report to the placer
which adapters their requests wait for and use; the placer publishes which engines hold which
adapters. A request never waits for the placer if an engine is known to hold its adapter.
"""
