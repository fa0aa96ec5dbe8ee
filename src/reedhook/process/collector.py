"""Garbage collector settings of a long-running process."""

import gc


def freeze_startup_objects() -> None:
    """Exclude all objects that exist now from garbage collection.

    Modules and settings are never garbage, and a full collection that traverses
    them blocks all statements and heartbeats of the host. `deploy/reedhookd.py`
    disables the collector at startup; this function enables it.
    """
    gc.collect()
    gc.freeze()
    gc.enable()
