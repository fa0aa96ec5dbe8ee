"""What each kind of host loads before it serves."""

import subprocess
import sys

import pytest

HEAVY = ("aiohttp", "aiomisc", "yarl", "jsonschema")
"""Packages that take 0.05 s or more of a core to load, each for something that the
platform does not need. Until a host that lost power has started, nobody is served."""


APART = [
    (
        "reedhook.platform.assembly",
        ("reedhook.process.groups", "reedhook.process.configuring"),
    ),
    (
        "reedhook.process.assembly",
        ("reedhook.process.primary_lease", "reedhook.process.discovery"),
    ),
]
"""Where each kind of host is assembled, and what is the other kind's alone; a reader
of one need not know the other."""


def test_a_host_on_the_platform_loads_nothing_heavy() -> None:
    assert loaded("reedhook.process.daemon, reedhook.platform.assembly", HEAVY) == []


@pytest.mark.parametrize(("assembly", "foreign"), APART)
def test_each_kind_of_host_loads_nothing_of_the_other(
    assembly: str, foreign: tuple[str, ...]
) -> None:
    assert loaded(assembly, foreign) == []


def loaded(modules: str, names: tuple[str, ...]) -> list[str]:
    """Return which of `names` a new process has loaded after `modules`."""
    code = (
        f"import sys, {modules}\n"
        f"print(*[name for name in {names!r} if name in sys.modules])"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    return done.stdout.split()
