"""Measure the slopes from which docs/CAPACITY.md works out the design size.

Usage:
  capacity [--part=PART]...

Options:
  --part=PART  idle, memory, callers, moves, list, restart, regions; all of them
               if none is named.

Prints JSON with the machine's load before each part. Hosts run in processes
of their own on loopback; processor time is the kernel's count for a process.
"""

import importlib
import json
import os
import sys
from datetime import datetime
from typing import Final

from docopt import docopt

from reedhook.wire import Json

PARTS: Final = ("idle", "memory", "callers", "moves", "list", "restart", "regions")


def main() -> int:
    """Run the parts that are asked for and print their figures."""
    parts = docopt(__doc__)["--part"] or list(PARTS)
    unknown = set(parts).difference(PARTS)
    if unknown:
        print(f"no such part: {unknown}", file=sys.stderr)
        return 2
    print(json.dumps({name: measured(name) for name in parts}, indent=2))
    return 0


def measured(name: str) -> Json:
    """Run one part; say when, and under what load.

    Its module is loaded here only, since each process that is started loads
    this module, and all that it loads counts as memory of the host.
    """
    began = datetime.now().strftime("%Y-%m-%d %H:%M")
    load = round(os.getloadavg()[0], 1)
    part = importlib.import_module(f"{__package__}.capacity_{name}")
    return {"began": began, "load_before": load, "figures": part.measure()}


if __name__ == "__main__":
    sys.exit(main())
