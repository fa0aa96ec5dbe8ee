"""The garbage collector of a process that serves for long."""

import gc


def freeze_startup_objects() -> None:
    """Let the collector leave alone what has been made so far.

    Modules, settings and the like are never garbage. A full collection that
    looks at them all holds up every statement and heartbeat of the host.
    It is off until now where the program starts with `deploy/reedhookd.py`.
    """
    gc.collect()
    gc.freeze()
    gc.enable()
