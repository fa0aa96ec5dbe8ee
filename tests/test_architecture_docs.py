"""The architecture page lists exactly the existing modules and peer paths."""

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
SOURCES = ROOT / "src" / "reedhook"
PAGE = (ROOT / "docs" / "ARCHITECTURE.md").read_text()
PATHS, MAP = PAGE.split("## Peer paths")[1].split("## Map of modules")


def rows(table: str, column: int) -> set[str]:
    """Return the quoted names in a column of a table."""
    cells = [line.split("|")[column] for line in table.splitlines() if "|" in line]
    return {name for cell in cells for name in re.findall(r"`([a-z_]+)`", cell)}


def test_module_map_lists_every_module() -> None:
    names = {file.stem for file in SOURCES.rglob("*.py")} - {"__init__"}
    assert names
    tool = {name for name in names if name.startswith("command_")}
    assert rows(MAP, 2) == names - tool


def test_peer_table_lists_every_path() -> None:
    texts = [file.read_text() for file in (SOURCES / "process").rglob("*.py")]
    constants = "(?:[A-Z_]*PATH|TAKEOVER|WORK|END|PROOF)"
    added = rf'(?:routes\.add\(|^{constants}: Final = )"([a-z_]+)"'
    names = {name for text in texts for name in re.findall(added, text, re.M)}
    assert len(names) > 10
    assert rows(PATHS, 1) == names
