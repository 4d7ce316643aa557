"""Sets up the memory allocator of the C library."""

from __future__ import annotations

import ctypes

_M_MMAP_THRESHOLD = -3
_LARGE_BLOCK_BYTES = 131_072
"""The allocator's own initial threshold, which it otherwise raises as large blocks are freed."""


def separate_large_blocks() -> bool:
    """Have each large block allocated apart, so that it grows in place and is returned once freed.

    Bodies of many connections, which grow at the same time, would otherwise leave gaps in the heap
    that take as much memory again (glibc, mallopt(3)).

    Returns:
        Whether the C library has the option.
    """
    try:
        return bool(ctypes.CDLL(None).mallopt(_M_MMAP_THRESHOLD, _LARGE_BLOCK_BYTES))
    except (OSError, AttributeError):
        return False
