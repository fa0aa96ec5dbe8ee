"""What a host on the platform loads before it serves."""

import subprocess
import sys

HEAVY = ("aiohttp", "aiomisc", "yarl", "jsonschema")
"""Packages that take 0.05 s or more of a core to load, each for something that the
platform does not need. Until a host that lost power has started, nobody is served."""


def test_a_host_on_the_platform_loads_nothing_heavy() -> None:
    code = (
        "import sys, reedhook.process.daemon, reedhook.platform.assembly\n"
        f"print([name for name in {HEAVY!r} if name in sys.modules])"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert done.stdout.strip() == "[]"
