"""The platform of a deployment: store, host list and database groups.

Run by hand as ``python -m reedhook_standins.platform``, it serves until it is
interrupted. The members listen at the addresses in the deployment's base file;
the calls by which faults are switched are those of `FaultControl`.

Usage:
  platform --deployment NAME [--port-base N]

Options:
  --deployment NAME  plant or danube.
  --port-base N      port of the control; the store and the host list take
                     the next two [default: 17000].
"""

import asyncio
import signal
import sys

import uvloop
from docopt import docopt

from reedhook.clock import Clock, SystemClock
from reedhook.process.fleet.hostlist import ListedKind
from reedhook.process.io_uring import forbid_io_uring

from .control import FaultControl, groups_text
from .deployment import NETWORKS, Deployment
from .group import GroupStandin
from .hostlist import HostListStandin
from .member import MemberStandin
from .store import StoreStandin


class Platform:
    """Run the stand-ins of a deployment in the current process.

    :param list_lag: seconds by which the host list lags.
    """

    def __init__(
        self,
        deployment: Deployment,
        clock: Clock | None = None,
        list_lag: float = 0.0,
    ) -> None:
        self.deployment = deployment
        self.clock = clock or SystemClock()
        self.store = StoreStandin(self.clock)
        self.hostlist = HostListStandin(self.clock, list_lag)
        self.groups = {
            plan.name: GroupStandin(
                plan.name,
                list(plan.members),
                self.clock,
                connections=plan.connections,
                slots=plan.slots,
            )
            for plan in deployment.groups()
        }

    async def start(self) -> None:
        """Start all stand-ins and adapt the deployment to their addresses."""
        await self.store.listen()
        await self.hostlist.listen()
        for group in self.groups.values():
            await group.start()
            group.set_lag(self.deployment.network.zones)
        members = self.members()
        addresses = {name: member.address for name, member in members.items()}
        self.deployment.adapt(addresses)
        for plan in self.deployment.groups():
            for member, zone in plan.members.items():
                self.hostlist.put(
                    member, zone, addresses[member], kind=ListedKind.TARGET
                )

    async def close(self) -> None:
        """Stop all stand-ins."""
        for group in self.groups.values():
            await group.close()
        await self.hostlist.close()
        await self.store.close()

    def members(self) -> dict[str, MemberStandin]:
        """Return the members of all groups."""
        return {
            name: member
            for group in self.groups.values()
            for name, member in group.members.items()
        }


async def serve(platform: Platform, port_base: int) -> None:
    """Serve at fixed ports until interrupted."""
    control = FaultControl(platform)
    control.port = port_base
    platform.store.port = port_base + 1
    platform.hostlist.port = port_base + 2
    for name, port in base_ports(platform.deployment).items():
        platform.members()[name].port = port
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, ended.set)
    await platform.start()
    await control.listen()
    print(f"{'control':20} {control.address}")
    print(f"{'store':20} {platform.store.address}")
    print(f"{'hostlist':20} {platform.hostlist.address}")
    print(groups_text(platform.groups), flush=True)
    await ended.wait()
    control.hang_up()
    await platform.close()


def base_ports(deployment: Deployment) -> dict[str, int]:
    """Return the port of each member in the base file."""
    return {
        member: int(entry["address"].rpartition(":")[2])
        for service in deployment.base["services"].values()
        for group in service["groups"].values()
        for member, entry in group["members"].items()
    }


def main() -> None:
    """Run the stand-ins of a deployment from the command line."""
    options = docopt(__doc__)
    name = options["--deployment"]
    if name not in NETWORKS:
        names = ", ".join(NETWORKS)
        sys.exit(f"no deployment {name}: choose one of {names}")
    forbid_io_uring()
    uvloop.run(serve(Platform(Deployment(name)), int(options["--port-base"])))


if __name__ == "__main__":
    main()
