"""The settings under examples/ are valid and consistent."""

from pathlib import Path

import pytest

from reedhook.process.settings import Settings, load_settings
from reedhook.process.tool.command_access import Access

EXAMPLES = Path(__file__).parents[1] / "examples"
HOSTS = 9


def hosts(deployment: str) -> list[Settings]:
    """Return the settings of all hosts of an example."""
    files = sorted((EXAMPLES / deployment / "hosts").glob("*.yaml"))
    return [load_settings(file) for file in files]


@pytest.mark.parametrize("deployment", ["plant", "danube"])
def test_hosts_have_distinct_addresses_and_common_seeds(deployment: str) -> None:
    found = hosts(deployment)
    listeners = [
        address
        for one in found
        for address in (one.listen, one.peer_listen, one.admin_listen)
    ]
    peers = {one.peer_listen for one in found}
    zones = {path.stem for path in (EXAMPLES / deployment / "overlays").iterdir()}
    assert len({one.host for one in found}) == HOSTS
    assert len(set(listeners)) == 3 * HOSTS
    assert all(set(one.seeds) <= peers for one in found)
    assert {one.zone for one in found} == zones
    assert len({(one.peer_credential, one.token_secret) for one in found}) == 1


@pytest.mark.parametrize("deployment", ["plant", "danube"])
def test_access_file_lists_all_hosts(deployment: str) -> None:
    access = Access({"access": str(EXAMPLES / deployment / "access.yaml")}, {})
    found = hosts(deployment)
    assert set(access.admin().addresses) == {one.admin_listen for one in found}
    assert set(access.callers().addresses) == {one.listen for one in found}
