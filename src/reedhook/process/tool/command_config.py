"""The ``config`` commands of the tool."""

from difflib import unified_diff
from pathlib import Path
from typing import Final
from uuid import uuid4

from ...wire import Json
from .command_client import Client, RequestRefusedError
from .command_error import CommandError, HostsUnreachableError, ToolExitCode
from .command_folder import ConfigurationFolder
from .command_report import Result, history_text, moment, status_text

INVALID: Final = "invalid_configuration"


async def check(client: Client, folder: Path) -> Result:
    """Have a host check the documents of a folder, without any change."""
    documents = ConfigurationFolder(folder).documents()
    try:
        body = await client.post("/admin/config/check", documents)
    except RequestRefusedError as refused:
        raise explain(refused, "") from refused
    return Result(body, "The configuration is valid.")


async def apply(
    client: Client, path: Path, parent: int | None, comment: str, edit_id: str | None
) -> Result:
    """Put the documents of a folder in force.

    :param parent: the version that was edited; None for the folder's version.
    :param edit_id: id of an earlier attempt with an unknown outcome, or None.
    """
    folder = ConfigurationFolder(path)
    base_version = folder.version() if parent is None else parent
    if base_version is None:
        problem = f"the version on which {path} is based is unknown"
        advice = "give --parent N, 0 for the first, or start from config show --output"
        raise CommandError(ToolExitCode.USAGE, problem, advice)
    edit_id = edit_id or uuid4().hex
    edit = {"parent": base_version, "comment": comment, "edit_id": edit_id}
    try:
        body = await client.post("/admin/config/apply", folder.documents() | edit)
    except RequestRefusedError as refused:
        raise explain(refused, edit_id) from refused
    except HostsUnreachableError as error:
        advice = f"repeat it with --edit-id {edit_id}"
        raise error.in_doubt(advice) from error
    version = body["head"]["version"]
    folder.set_version(version)
    return Result(body, f"Version {version} is accepted.")


def explain(refused: RequestRefusedError, edit_id: str) -> CommandError:
    """Return the error to show to the user, with its details."""
    body = refused.body
    if body.get("reason") == INVALID:
        faults = tuple(map(fault_line, body["faults"]))
        return CommandError(ToolExitCode.USAGE, str(body["detail"]), "fix them", faults)
    error = refused.error()
    if error.code is ToolExitCode.CONFLICT and "since" in body:
        details = tuple(map(since_line, body["since"]))
        advice = f"take version {body['version']} as the base of your edit"
        return CommandError(error.code, str(body["detail"]), advice, details)
    if error.code is ToolExitCode.IN_DOUBT:
        advice = f"repeat it with --edit-id {edit_id}"
        return CommandError(error.code, error.problem, advice)
    return error


def fault_line(fault: Json) -> str:
    """Return a fault in the format of compiler messages."""
    location = (
        fault["file"] if fault["line"] is None else f"{fault['file']}:{fault['line']}"
    )
    path = fault["path"] or "the document"
    return f"{location}: {path}: {fault['reason']}"


def since_line(version: Json) -> str:
    """Return the author, time and changed paths of a version as one line."""
    paths = ", ".join(
        f"{change['file']} {change['path']}" for change in version["changes"]
    )
    number, author, when = (
        version["version"],
        version["author"],
        moment(version["wall"]),
    )
    return f"version {number} by {author} at {when}: {paths or 'no values'}"


async def show(
    client: Client, version: int | None, output: Path | None, force: bool
) -> Result:
    """Show a version, or write it to a folder to be edited."""
    body = await client.get("/admin/config", version=version)
    number = body["head"]["version"]
    if output is None:
        return Result(body, "\n".join(documents_lines(body)))
    ConfigurationFolder(output).write(body, number, force)
    return Result(body, f"Version {number} is in {output}.")


def documents_lines(body: Json) -> list[str]:
    """Return a version's documents as lines, each under its name."""
    head = body["head"]
    when = moment(head["wall"])
    lines = [f"# version {head['version']} by {head['author']} at {when}"]
    for name, text in texts_of(body).items():
        lines += [f"# --- {name}", text.rstrip("\n")]
    return lines


async def diff(client: Client, old: int, new: int | None) -> Result:
    """Compare two versions line by line; None is the version in force."""
    before = await client.get("/admin/config", version=old)
    after = await client.get("/admin/config", version=new)
    number = after["head"]["version"]
    body = await client.get("/admin/config/diff", **{"from": old, "to": number})
    lines = diff_lines(texts_of(before), texts_of(after))
    return Result(body, "\n".join(lines) or "No difference.")


def diff_lines(before: dict[str, str], after: dict[str, str]) -> list[str]:
    """Return a unified diff of all documents."""
    lines: list[str] = []
    for name in sorted({*before, *after}):
        old = before.get(name, "").splitlines()
        new = after.get(name, "").splitlines()
        lines += unified_diff(old, new, f"a/{name}", f"b/{name}", lineterm="")
    return lines


def texts_of(body: Json) -> dict[str, str]:
    """Return the text of each document by its file name."""
    overlays = body["overlays"].items()
    return {"base.yaml": body["base"]} | {
        f"overlays/{site}.yaml": text for site, text in overlays
    }


async def history(client: Client, limit: int | None) -> Result:
    """Show the accepted versions, newest first."""
    body = await client.get("/admin/config/history", limit=limit)
    return Result(body, history_text(body))


async def status(client: Client) -> Result:
    """Show the version of each host; fail unless all have the newest."""
    body = await client.get("/admin/config/status")
    newest = body["newest"]
    behind = [host["host"] for host in body["hosts"] if host["version"] != newest]
    outdated = len(behind) + len(body["missing"])
    summary = f"Version {newest} is in force everywhere."
    if outdated:
        summary = f"{outdated} host(s) are not known to have version {newest}."
    code = ToolExitCode.REFUSED if outdated else ToolExitCode.DONE
    return Result(body, f"{status_text(body)}\n{summary}", code)
