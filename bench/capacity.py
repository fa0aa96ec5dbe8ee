"""Measure the slopes from which docs/CAPACITY.md works out the design size.

Usage:
  capacity [--part=PART]...

Options:
  --part=PART  idle, memory, callers; all of them if none is named.

Prints JSON with the machine's load before each part. Hosts run in processes
of their own on loopback; processor time is the kernel's count for a process.
"""

import asyncio
import json
import os
import sys
from collections.abc import Callable
from datetime import datetime
from typing import Any, Final

from docopt import docopt

from reedhook.wire import Json

from . import capacity_callers, capacity_idle, capacity_memory

GROUPS: Final = 12
MEMBERS: Final = 3
SINGLES: Final = 36


def main() -> int:
    """Run the parts that are asked for and print their figures."""
    parts = docopt(__doc__)["--part"] or list(PARTS)
    unknown = set(parts) - PARTS.keys()
    if unknown:
        print(f"no such part: {unknown}", file=sys.stderr)
        return 2
    print(json.dumps({name: measured(PARTS[name]) for name in parts}, indent=2))
    return 0


def measured(part: Callable[[], Any]) -> Json:
    """Run one part; say when, and under what load."""
    began = datetime.now().strftime("%Y-%m-%d %H:%M")
    load = round(os.getloadavg()[0], 1)
    return {"began": began, "load_before": load, "figures": part()}


def idle() -> Json:
    """Measure control at rest, in groups of three and of one."""
    return {
        "groups_of_three": asyncio.run(capacity_idle.measure(GROUPS, MEMBERS, True)),
        "groups_of_one": asyncio.run(capacity_idle.measure(SINGLES, 1)),
    }


def callers() -> Json:
    """Measure the connections of callers."""
    return {
        "plain": asyncio.run(capacity_callers.measure(False)),
        "tls": asyncio.run(capacity_callers.measure(True)),
    }


PARTS: Final[dict[str, Callable[[], Any]]] = {
    "idle": idle,
    "memory": capacity_memory.measure,
    "callers": callers,
}


if __name__ == "__main__":
    sys.exit(main())
