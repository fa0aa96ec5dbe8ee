"""Tests that the operators' pages cover all routes, settings and metrics."""

import re
from pathlib import Path
from typing import Any

from reedhook.process import daemon
from reedhook.process.administration.admin import Admin, admin_app
from reedhook.process.administration.admin_config import config_routes
from reedhook.process.administration.admin_operator import OperatorAuthenticator
from reedhook.process.run import DaemonExitCode as DaemonExit
from reedhook.process.settings_schema import LIMITS, SETTINGS, TLS
from reedhook.process.tool import command
from reedhook.process.tool.command_error import ToolExitCode

from .admin_fakes import DIGESTS, FakeNetwork
from .fakes_store import FakeStore
from .support import run
from .test_admin_config import editor_of

ROOT = Path(__file__).parents[1]
ADMIN = (ROOT / "docs" / "ADMIN.md").read_text()
OPERATIONS = (ROOT / "docs" / "OPERATIONS.md").read_text()


def test_every_route_is_documented() -> None:
    async def main() -> set[str]:
        network = FakeNetwork()
        source = network.sources["vittoria-1"]
        admin = Admin(source, network.fleet(), OperatorAuthenticator(DIGESTS), 1024)
        editor = editor_of(network, FakeStore(0.0))
        app = admin_app(admin, config_routes(admin, editor))
        return {
            f"{route.method} {route.resource.canonical}"
            for route in app.router.routes()
            if route.resource is not None and route.method != "HEAD"
        }

    routes = run(main())
    documented = set(re.findall(r"`((?:GET|POST) /admin/[a-z/]+)", ADMIN))
    assert routes == documented


def test_every_setting_is_documented() -> None:
    for schema in (SETTINGS, LIMITS, TLS):
        properties: Any = schema["properties"]
        for name in properties:
            assert f"`{name}`" in OPERATIONS, name


def test_every_log_prefix_is_documented() -> None:
    sources = (file.read_text() for file in (ROOT / "src" / "reedhook").rglob("*.py"))
    prefixes = {
        name for text in sources for name in re.findall(r'Logger\("([a-z]+)"\)', text)
    }
    assert prefixes
    for name in prefixes:
        assert f"`{name}`" in OPERATIONS, name


def test_every_metric_is_documented() -> None:
    sources = (file.read_text() for file in (ROOT / "src" / "reedhook").rglob("*.py"))
    calls = re.compile(r'metrics\.(?:increment|gauge|timing)\(\s*"([a-z_.]+)"')
    names = {name for text in sources for name in calls.findall(text)}
    assert names
    for name in names - {"api.refused.internal"}:
        _, dot, last = name.partition(".")
        short = f"`.{last}`" if dot else f"`{name}`"
        assert f"`{name}`" in OPERATIONS or short in OPERATIONS, name


def test_help_lists_the_exit_codes() -> None:
    for text, codes in ((command.__doc__, ToolExitCode), (daemon.__doc__, DaemonExit)):
        assert text is not None
        listed = text.split("Exit codes:")[1]
        found = re.findall(r"^  ([0-9]) ", listed, re.MULTILINE)
        assert [int(code) for code in found] == [int(code) for code in codes]
