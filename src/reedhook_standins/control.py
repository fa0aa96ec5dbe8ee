"""Control service that injects faults when the stand-ins run as their own process."""

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Final, TypeAlias

from reedhook.process.fleet.hostlist import ListedState
from reedhook.wire import Json

from .group import GroupStandin
from .member import MemberStandin
from .service import Service, ServiceConnection, ServiceRefusal

if TYPE_CHECKING:
    from .platform import Platform

Call: TypeAlias = Callable[[Json], Awaitable[None]]

STORE_FAULTS: Final[dict[str, type]] = {
    "down": bool,
    "slow": float,
    "lose_answers": int,
    "lose_chance": float,
    "stale_reads": int,
}


class FaultControl(Service):
    """Inject one fault per call and return the state of the groups."""

    def __init__(self, platform: "Platform") -> None:
        super().__init__()
        self.platform = platform
        self.calls: dict[str, Call] = {
            "kill": self.kill,
            "revive": self.revive,
            "pause": self.pause,
            "resume": self.resume,
            "silence": self.silence,
            "leave": self.leave,
            "lag": self.lag,
            "partition": self.partition,
            "heal": self.heal,
            "store": self.store,
            "list": self.list_host,
            "status": self.status,
        }

    async def serve(
        self, connection: ServiceConnection, name: str, message: Json
    ) -> Json:
        call = self.calls.get(name)
        if call is None:
            call_names = ", ".join(self.calls)
            raise ServiceRefusal("bad_request", f"the calls are {call_names}", 404)
        await call(message)
        members = self.platform.members().values()
        return {
            "members": [member.report().to_json() for member in members],
            "store_calls": dict(self.platform.store.calls),
        }

    async def kill(self, message: Json) -> None:
        """Kill a member."""
        await self.member(message).kill()

    async def revive(self, message: Json) -> None:
        """Restart a dead member."""
        member = self.member(message)
        if not member.dead:
            raise ServiceRefusal("bad_request", f"{member.name} runs", 400)
        await member.revive()

    async def pause(self, message: Json) -> None:
        """Pause a member, as SIGSTOP pauses a process."""
        self.member(message).pause()

    async def resume(self, message: Json) -> None:
        """Resume a paused member."""
        self.member(message).resume()

    async def silence(self, message: Json) -> None:
        """Make the open connections of a member stop answering."""
        self.member(message).silence_connections()

    async def leave(self, message: Json) -> None:
        """Make a member leave its group, and list it as leaving."""
        member = self.member(message)
        member.leave()
        self.platform.hostlist.leave(member.name)

    async def lag(self, message: Json) -> None:
        """Set the replication lags of a member, in seconds."""
        member = self.member(message)
        member.ship_lag = float(message.get("ship", 0.0))
        member.apply_lag = float(message.get("apply", 0.0))

    async def partition(self, message: Json) -> None:
        """Cut replication between the named members of a group and the others."""
        names = [str(name) for name in message["members"]]
        for group in self.platform.groups.values():
            group.partition(*(name for name in names if name in group.members))

    async def heal(self, message: Json) -> None:
        """Remove all partitions."""
        for group in self.platform.groups.values():
            group.heal()

    async def store(self, message: Json) -> None:
        """Set faults of the store."""
        for name, value in message.items():
            if name not in STORE_FAULTS:
                fault_names = ", ".join(STORE_FAULTS)
                raise ServiceRefusal(
                    "bad_request", f"the faults are {fault_names}", 400
                )
            setattr(self.platform.store, name, STORE_FAULTS[name](value))

    async def list_host(self, message: Json) -> None:
        """Add an entry host to the host list, or remove it if its state is null."""
        host = str(message["host"])
        if message["state"] is None:
            self.platform.hostlist.remove(host)
            return
        state = ListedState(message["state"])
        self.platform.hostlist.put(
            host, str(message["zone"]), str(message["address"]), state
        )

    async def status(self, message: Json) -> None:
        """Return the state without a change."""

    def member(self, message: Json) -> MemberStandin:
        """Return the member that a call names."""
        name = message["member"]
        member = self.platform.members().get(name)
        if member is None:
            raise ServiceRefusal("bad_request", f"no member {name}", 404)
        return member


def groups_text(groups: dict[str, GroupStandin]) -> str:
    """Return one line per member, with its address."""
    return "\n".join(
        f"{member.name:20} {member.address}"
        for group in groups.values()
        for member in group.members.values()
    )
