"""Reduces the start-up time of a process: garbage collection and gevent's monkey patching.

Call `begin` before anything else is imported, and `end` once the process has created its long-lived
objects.
"""

from __future__ import annotations

import gc

import gevent
from gevent import events, monkey


def begin() -> None:
    """Patch the standard library for gevent, and disable garbage collection until `end`.

    Almost all objects that imports create are long-lived, so that collecting garbage among them
    would be wasted time. gevent notifies subscribers and plug-ins of each module that it patches,
    and searches the metadata of every installed package for plug-ins each time, which takes longer
    than the rest of the patching. This package has no such plug-ins, so only subscribers are
    notified. `subprocess` is not patched, as a process here starts no other.
    """
    gc.disable()
    # gevent looks this name up in the module at each call.
    names = vars(events)
    names["notify_and_call_entry_points"] = names["notify"]
    monkey.patch_all(subprocess=False)
    from springrock.resolver import Resolver

    gevent.config.resolver = Resolver


def end() -> None:
    """Enable garbage collection, without the objects that exist now."""
    gc.freeze()
    gc.enable()
