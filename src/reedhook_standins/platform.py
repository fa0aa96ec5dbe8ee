"""The platform's part of a deployment: store, host list, database groups."""

from reedhook.clock import Clock, SystemClock
from reedhook.process.hostlist import ListedKind

from .deployment import Deployment
from .group import GroupStandin
from .hostlist import HostListStandin
from .member import MemberStandin
from .store import StoreStandin


class Platform:
    """Run the stand-ins of a deployment in the present process.

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
