"""Placement of adapters on model engines that are found at run time.

One box at a time, the *placer*, holds a lease on a row of the store and orders loads and unloads
under its fence. All boxes tell it what they wait for and what they use; it tells them what stands
where. Requests never wait for the placer when their adapter is known to be somewhere.
"""
