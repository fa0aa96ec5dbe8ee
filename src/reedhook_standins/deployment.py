"""The example deployments, adapted to loopback addresses and test credentials."""

from collections.abc import Iterator
from hashlib import sha256
from pathlib import Path
from typing import Any, Final

import yaml

from reedhook.record import Record

EXAMPLES: Final = Path(__file__).parents[2] / "examples"
HOSTS: Final = 9


class Network(Record):
    """Hold the one-way delays of a deployment, in seconds.

    :param zones: between availability zones.
    :param callers: between callers and entry hosts.
    """

    __slots__ = ("zones", "callers")

    def __init__(self, zones: float, callers: float) -> None:
        self.zones = zones
        self.callers = callers


NETWORKS: Final = {
    "plant": Network(zones=0.0015, callers=0.003),
    "danube": Network(zones=0.0005, callers=0.001),
}


class GroupPlan(Record):
    """Describe a database group before its members have addresses.

    :param members: the availability zone of each member.
    """

    __slots__ = ("name", "members", "slots", "connections")

    def __init__(
        self, name: str, members: dict[str, str], slots: int, connections: int
    ) -> None:
        self.name = name
        self.members = members
        self.slots = slots
        self.connections = connections


class Deployment:
    """Load an example and adapt it.

    :ivar base: the base document.
    :ivar overlays: the overlay of each site.
    """

    def __init__(self, name: str, folder: Path = EXAMPLES) -> None:
        self.name = name
        self.network = NETWORKS[name]
        self.base = load(folder / name / "base.yaml")
        overlays = sorted((folder / name / "overlays").glob("*.yaml"))
        self.overlays = {path.stem: load(path) for path in overlays}

    @property
    def zones(self) -> list[str]:
        """Return the availability zones, sorted by name."""
        zones = {zone for group in self.groups() for zone in group.members.values()}
        return sorted(zones)

    def groups(self) -> Iterator[GroupPlan]:
        """Return the database groups of all services."""
        for service in self.base["services"].values():
            for name, group in service["groups"].items():
                members = group["members"]
                zones = {member: entry["zone"] for member, entry in members.items()}
                yield GroupPlan(name, zones, service["slots"], service["connections"])

    def host_zones(self, count: int = HOSTS) -> dict[str, str]:
        """Return the zone of each entry host, spread evenly."""
        zones = self.zones
        places = [zones[number % len(zones)] for number in range(count)]
        return {f"{zone}-{number}": zone for number, zone in enumerate(places, 1)}

    def zones_of(self, workspace: str) -> list[str]:
        """Return the zones whose overlay lets `workspace` use a service."""
        closed = {
            zone
            for zone, overlay in self.overlays.items()
            if overlay.get("workspaces", {}).get(workspace, {}).get("services") == []
        }
        return [zone for zone in self.zones if zone not in closed]

    def adapt(self, addresses: dict[str, str]) -> None:
        """Set the members' addresses and the credentials from `credential`."""
        for service in self.base["services"].values():
            for group in service["groups"].values():
                for member, entry in group["members"].items():
                    entry["address"] = addresses[member]
        for name, workspace in self.base["workspaces"].items():
            digest = sha256(credential(name).encode())
            workspace["token_sha256"] = digest.hexdigest()

    def base_text(self) -> str:
        """Return the base file as text."""
        return yaml.safe_dump(self.base, sort_keys=False)

    def overlay_texts(self) -> dict[str, str]:
        """Return the text of each overlay."""
        return {
            zone: yaml.safe_dump(overlay, sort_keys=False)
            for zone, overlay in self.overlays.items()
        }


def load(path: Path) -> dict[str, Any]:
    """Load one document of an example."""
    document: dict[str, Any] = yaml.safe_load(path.read_text(encoding="utf-8")) or {}
    return document


def credential(workspace: str) -> str:
    """Return the test credential of a workspace."""
    return f"credential-of-team-{workspace}"
