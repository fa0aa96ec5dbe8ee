"""Tests of the command ``settings check``."""

import io
from pathlib import Path

import pytest

from reedhook.process.tool.command import execute

from .support import run

PLATFORM = """\
# written by the platform
node_name=front-1
zone=north
ip=10.0.0.1
listen.front=10.0.0.1:7000
listen.ready=10.0.0.1:7001
internal_ports=7400,7409
platform.address=10.9.0.1:80
cloud.address=10.9.0.2:80
bounds.grace_s=6
unknown.field=ignored
"""


def check_settings(tmp_path: Path, text: str) -> tuple[int, str, str]:
    """Check a file with `text`; return the exit code, stdout and stderr."""
    path = tmp_path / "file"
    path.write_text(text)
    out, err = io.StringIO(), io.StringIO()
    code = run(execute(["settings", "check", str(path)], {}, out, err))
    return code, out.getvalue(), err.getvalue()


def test_valid_platform_file_passes(tmp_path: Path) -> None:
    code, out, err = check_settings(tmp_path, PLATFORM)
    assert (code, err) == (0, "")
    assert "(the platform's format) are fine" in out


@pytest.mark.parametrize(
    ("before", "after", "named"),
    [
        ("bounds.grace_s=6", "bounds.grace_s=soon", "line 10: bounds.grace_s"),
        ("listen.front=10.0.0.1:7000", "listen.front=here", "line 5: listen.front"),
        ("zone=north\n", "", "the field zone is missing"),
        ("ip=10.0.0.1", "ip", "line 4"),
    ],
)
def test_fault_is_reported_with_its_line(
    tmp_path: Path, before: str, after: str, named: str
) -> None:
    code, out, err = check_settings(tmp_path, PLATFORM.replace(before, after))
    assert (code, out) == (2, "")
    assert named in err


def test_valid_yaml_file_passes(tmp_path: Path) -> None:
    examples = Path(__file__).parent.parent / "examples"
    found = sorted(examples.glob("*/hosts/*.yaml"))
    assert found
    out, err = io.StringIO(), io.StringIO()
    code = run(execute(["settings", "check", str(found[0])], {}, out, err))
    assert (code, err.getvalue()) == (0, "")
    assert "(YAML) are fine" in out.getvalue()


def test_all_faults_of_a_yaml_file_are_reported(tmp_path: Path) -> None:
    code, out, err = check_settings(tmp_path, "host: 3\nzone: []\n")
    assert (code, out) == (2, "")
    assert "host" in err
    assert "zone" in err


def test_missing_file_is_an_error(tmp_path: Path) -> None:
    out, err = io.StringIO(), io.StringIO()
    code = run(execute(["settings", "check", str(tmp_path / "no")], {}, out, err))
    assert code == 2
    assert "cannot be read" in err.getvalue()
