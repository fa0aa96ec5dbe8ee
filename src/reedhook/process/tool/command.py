"""Drive a deployment of the database proxy.

Usage:
  reedhook config check DIR [options]
  reedhook config apply DIR [--parent N] [--comment TEXT] [--edit-id ID] [options]
  reedhook config show [--version N] [--output DIR [--force]] [options]
  reedhook config diff FROM [TO] [options]
  reedhook config history [--limit N] [options]
  reedhook config status [options]
  reedhook groups [--group NAME] [options]
  reedhook hosts [options]
  reedhook query GROUP SQL [PARAM...] [--write] [--consistency C] [--max-age MS]
      [--token TOKEN] [--deadline MS] [--request-id ID] [options]
  reedhook drain [HOST] [options]
  reedhook settings check FILE [options]
  reedhook timeline [--group NAME] [--host HOST] [--kind KINDS] [--since TIME]
      [--html FILE] [options]
  reedhook --help

Options:
  --access FILE     YAML file with addresses and credentials.
  --admin ADDRS     Hosts' IP:port for operators, with commas between them.
  --callers ADDRS   Hosts' IP:port for callers, with commas between them.
  --ca FILE         Authorities of the hosts' certificates; speak TLS.
  --json            Print JSON.
  --parent N        Version that was edited; 0 before the first.
  --comment TEXT    Why the edit is made.
  --edit-id ID      Repeat an edit whose outcome is not known.
  --version N       Version to show; the one in force by default.
  --output DIR      Write the documents to a folder to edit them there.
  --force           Replace the documents in the folder.
  --limit N         How many versions to list.
  --group NAME      Only this database group.
  --write           The statement changes data.
  --consistency C   fresh, session or max_age.
  --max-age MS      Accept an answer up to this age.
  --token TOKEN     Session token of an earlier answer.
  --deadline MS     Time for the statement.
  --request-id ID   Repeat a write whose outcome is not known.
  --host HOST       Only events of this host.
  --kind KINDS      Only events of these kinds, with commas between them.
  --since TIME      Only later events: 90s, 10m, 2h, or 2026-03-12T06:30:00Z.
  --html FILE       Write a page with a picture.
  --help            Show this text.

Credentials come from REEDHOOK_CREDENTIAL and REEDHOOK_CALLER_CREDENTIAL or the
access file, never from the command line, which other users of a machine see.

Exit codes:
  0  done
  1  refused or failed
  2  the command line or the input is wrong
  3  no host can be reached
  4  another operator's edit came first
  5  it may have run; the message says how to repeat it safely
"""

import asyncio
import os
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final, TextIO

from docopt import DocoptExit, docopt

from . import command_config as config, command_settings
from .command_access import FIELDS, Access, Endpoint
from .command_client import Client, RequestRefusedError
from .command_error import CommandError, ToolExitCode
from .command_query import StatementRequest, query
from .command_report import Result, ResultPrinter, groups_text, hosts_text
from .command_timeline import timeline

CONFIG: Final = ("check", "apply", "show", "diff", "history", "status")


def main(argv: list[str] | None = None) -> int:
    """Run the tool and return its exit code."""
    return asyncio.run(execute(argv, os.environ, sys.stdout, sys.stderr))


async def execute(
    argv: list[str] | None, environment: Mapping[str, str], out: TextIO, err: TextIO
) -> int:
    """Run the tool with output to `out` and `err`; return its exit code."""
    try:
        arguments = docopt(__doc__, argv)
    except DocoptExit as error:
        print(error, file=err)
        return ToolExitCode.USAGE
    report = ResultPrinter(out, err, arguments["--json"])
    try:
        result = await run(arguments, environment)
    except CommandError as error:
        report.error(error)
        return error.code
    report.result(result)
    return result.code


async def run(arguments: dict[str, Any], environment: Mapping[str, str]) -> Result:
    """Run the command in `arguments`.

    :raises CommandError: if it fails.
    """
    if arguments["settings"]:
        return command_settings.check(Path(arguments["FILE"]))
    access = access_of(arguments, environment)
    try:
        async with Client(endpoint_of(arguments, access)) as client:
            if arguments["config"]:
                return await run_config(client, arguments)
            return await run_other(client, arguments)
    except RequestRefusedError as refused:
        raise refused.error() from refused
    except (KeyError, TypeError) as error:
        problem = f"malformed response from a host: {error!r}"
        raise CommandError(
            ToolExitCode.REFUSED, problem, "check the address"
        ) from error


def access_of(arguments: dict[str, Any], environment: Mapping[str, str]) -> Access:
    """Return the addresses and credentials of the hosts."""
    options = {name: arguments.get(f"--{name}") for name in ("access", *FIELDS)}
    return Access(options, environment)


def endpoint_of(arguments: dict[str, Any], access: Access) -> Endpoint:
    """Return the endpoint to which the command sends its requests."""
    return access.callers() if arguments["query"] else access.admin()


async def run_config(client: Client, arguments: dict[str, Any]) -> Result:
    """Run a ``config`` command."""
    match next(name for name in CONFIG if arguments[name]):
        case "check":
            return await config.check(client, Path(arguments["DIR"]))
        case "apply":
            return await config.apply(
                client,
                Path(arguments["DIR"]),
                number(arguments, "--parent"),
                arguments["--comment"] or "",
                arguments["--edit-id"],
            )
        case "show":
            output = arguments["--output"]
            return await config.show(
                client,
                number(arguments, "--version"),
                None if output is None else Path(output),
                arguments["--force"],
            )
        case "diff":
            old, new = number(arguments, "FROM"), number(arguments, "TO")
            return await config.diff(client, old or 0, new)
        case "history":
            return await config.history(client, number(arguments, "--limit"))
    return await config.status(client)


async def run_other(client: Client, arguments: dict[str, Any]) -> Result:
    """Run a command other than ``config`` and ``settings``."""
    if arguments["groups"]:
        body = await client.get("/admin/groups", group=arguments["--group"])
        return Result(body, groups_text(body))
    if arguments["hosts"]:
        body = await client.get("/admin/hosts")
        return Result(body, hosts_text(body))
    if arguments["drain"]:
        request = {"host": arguments["HOST"]} if arguments["HOST"] else {}
        body = await client.post("/admin/drain", request)
        return Result(body, f"Host {body['host']} drains.")
    if arguments["query"]:
        return await query(client, query_of(arguments))
    return await timeline(
        client,
        arguments["--group"],
        arguments["--host"],
        arguments["--kind"],
        arguments["--since"],
        arguments["--html"],
    )


def query_of(arguments: dict[str, Any]) -> StatementRequest:
    """Return the request of a ``query`` command."""
    return StatementRequest(
        group=arguments["GROUP"],
        sql=arguments["SQL"],
        params=arguments["PARAM"],
        write=arguments["--write"],
        consistency=arguments["--consistency"],
        max_age_ms=number(arguments, "--max-age"),
        token=arguments["--token"],
        deadline_ms=number(arguments, "--deadline"),
        request_id=arguments["--request-id"],
    )


def number(arguments: dict[str, Any], name: str) -> int | None:
    """Return an argument as a non-negative integer; None if it is not given.

    :raises CommandError: if it is not a non-negative integer.
    """
    text = arguments[name]
    if text is None:
        return None
    if not (text.isascii() and text.isdigit()):
        problem = f"{name} is '{text}'"
        raise CommandError(ToolExitCode.USAGE, problem, "give a whole number")
    return int(text)


if __name__ == "__main__":
    sys.exit(main())
