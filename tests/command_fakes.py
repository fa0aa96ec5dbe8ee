"""The command-line tool in one process with the fake API that it calls."""

import io
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from aiohttp import web
from aiohttp.test_utils import TestServer

from reedhook.process.administration.admin import Admin, admin_app
from reedhook.process.administration.admin_config import config_routes
from reedhook.process.administration.admin_operator import OperatorAuthenticator
from reedhook.process.tool.command import execute

from .admin_fakes import CREDENTIAL, DIGESTS, FakeNetwork
from .config_fleet import BASE
from .fakes_store import FakeStore
from .test_admin_config import editor_of

SITES = ("vittoria", "comiso", "ispica")


class Outcome:
    """Hold the exit code and the output of a run of the tool."""

    def __init__(self, code: int, out: str, err: str) -> None:
        self.code = code
        self.out = out
        self.err = err


class Tool:
    """Run the tool against one fake deployment.

    :param address: the address of the operators' API.
    """

    def __init__(self, address: str, network: FakeNetwork, store: FakeStore) -> None:
        self.environment: dict[str, str] = {
            "REEDHOOK_ADMIN": address,
            "REEDHOOK_CREDENTIAL": CREDENTIAL,
        }
        self.network = network
        self.store = store

    async def __call__(self, *argv: str, **changes: str) -> Outcome:
        out, err = io.StringIO(), io.StringIO()
        environment: Mapping[str, str] = self.environment | changes
        code = await execute(list(argv), environment, out, err)
        return Outcome(code, out.getvalue(), err.getvalue())


@asynccontextmanager
async def a_tool() -> AsyncIterator[Tool]:
    """Serve the API and yield a tool that calls it."""
    network, store = FakeNetwork(), FakeStore(0.0)
    source = network.sources["vittoria-1"]
    admin = Admin(source, network.fleet(), OperatorAuthenticator(DIGESTS), 65536)
    routes = config_routes(admin, editor_of(network, store))
    async with TestServer(admin_app(admin, routes), host="127.0.0.1") as server:
        yield Tool(f"127.0.0.1:{server.port}", network, store)


def folder(path: Path, queue: int) -> Path:
    """Write configuration documents into a folder."""
    (path / "overlays").mkdir(parents=True, exist_ok=True)
    (path / "base.yaml").write_text(f"{BASE}limits: {{queue: {queue}}}\n")
    for site in SITES:
        (path / "overlays" / f"{site}.yaml").write_text("{}\n")
    return path


class FakeCallers:
    """Answer statements and record their bodies."""

    def __init__(self) -> None:
        self.bodies: list[tuple[str, Any]] = []

    async def answer(self, request: web.Request) -> web.Response:
        self.bodies.append((request.path, await request.json()))
        return web.json_response(
            {
                "verdict": "done",
                "columns": ["id", "tons"],
                "rows": [[1, 12.5], [2, None]],
                "rowcount": 0,
                "token": "abc",
                "age_ms": 120.5,
                "target": "feedlog-1-b",
                "role": "replica",
                "host": "vittoria-1",
                "repeated": False,
            }
        )
