"""The modules that each kind of host loads at startup."""

import subprocess
import sys

import pytest

HEAVY = ("aiohttp", "aiomisc", "yarl", "jsonschema")
"""Packages that take 0.05 s or more to import, which would delay a host's restart."""


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
"""The assembly module of each kind of host, and the packages of the other kind."""


def test_platform_host_imports_no_heavy_packages() -> None:
    assert loaded("reedhook.process.daemon, reedhook.platform.assembly", HEAVY) == []


@pytest.mark.parametrize(("assembly", "foreign"), APART)
def test_host_kinds_do_not_import_each_other(
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
