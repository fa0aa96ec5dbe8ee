"""The examples of docs/API.md, run against hosts of the plant deployment."""

import json
import re
import shlex
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final

import aiohttp

from reedhook_standins.deployment import Deployment
from reedhook_standins.world import World

from .support import on_loop

PAGE: Final = Path(__file__).parent.parent / "docs" / "API.md"
EXAMPLE: Final = re.compile(r"```sh\n(.*?)```", re.DOTALL)
ASSIGNED: Final = re.compile(r"^(\w+)=(.*)$", re.DOTALL)
CURL: Final = re.compile(r"curl -sS (?:[^'|\n]|'[^']*')*")
EXPECTED: Final = 6


class Shell:
    """Run the page's shell examples, with aiohttp instead of curl."""

    def __init__(self, host: str, http: aiohttp.ClientSession) -> None:
        self.http = http
        self.variables = {"HOST": f"http://{host}"}
        self.answers: list[dict[str, Any]] = []

    async def run(self, example: str) -> None:
        """Run the commands of one example."""
        for command in commands(example):
            assigned = ASSIGNED.match(command)
            if assigned and "curl" not in command:
                self.assign(assigned[1], assigned[2])
                continue
            answer = await self.call(command)
            if assigned:
                self.variables[assigned[1]] = answer["transaction"]

    def assign(self, name: str, value: str) -> None:
        """Set a variable unless the test has set it."""
        now = str(int(time.time() * 1000))
        text = value.strip().replace("$(date +%s%3N)", now)
        self.variables.setdefault(name, text)
        if name == "ID":
            self.variables[name] = text

    async def call(self, command: str) -> dict[str, Any]:
        """Send the request of a curl command and return the answer."""
        arguments = shlex.split(self.expanded(CURL.findall(command)[0]))
        url = next(word for word in arguments if word.startswith("http"))
        body = arguments[arguments.index("-d") + 1] if "-d" in arguments else None
        method = "POST" if body or "POST" in arguments else "GET"
        headers = {}
        if "-H" in arguments:
            name, _, value = arguments[arguments.index("-H") + 1].partition(": ")
            headers[name] = value
        async with self.http.request(method, url, data=body, headers=headers) as reply:
            answer: dict[str, Any] = await reply.json()
            assert reply.status == 200, answer
        self.answers.append(answer)
        return answer

    def expanded(self, command: str) -> str:
        """Expand the variables of a command."""
        joined = command.replace("'$ID'", "$ID")
        for name, value in self.variables.items():
            joined = joined.replace(f"${name}", value)
        return joined


def commands(example: str) -> Iterator[str]:
    """Yield the commands of an example; a quoted body spans lines."""
    command = ""
    for line in example.splitlines():
        command = f"{command}\n{line}" if command else line
        if command.count("'") % 2 == 0:
            yield command
            command = ""


def after(token: str) -> str:
    """Return the command that reads what the page's transaction wrote."""
    body = {"group": "feedlog-1", "sql": "SELECT id, text FROM notes", "token": token}
    header = "Authorization: Bearer $CREDENTIAL"
    return f"curl -sS $HOST/v1/read -H \"{header}\" -d '{json.dumps(body)}'"


@on_loop
async def test_examples_of_api_page_run() -> None:
    async with World(Deployment("plant")) as world:
        host = next(iter(world.settings.values())).listen
        async with aiohttp.ClientSession() as http:
            shell = Shell(host, http)
            for example in EXAMPLE.findall(PAGE.read_text()):
                await shell.run(example)
            result = await shell.call(after(shell.answers[4]["token"]))
    assert len(shell.answers) == EXPECTED + 1
    read, wrote, began, step, _, health = shell.answers[:EXPECTED]
    assert read["rows"] == [[42]]
    assert wrote["verdict"] == began["verdict"] == step["verdict"] == "done"
    assert result["rows"] == [[1, "manure, 12 t"]]
    assert health["status"] == "ok"
