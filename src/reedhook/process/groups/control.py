"""Steps of a change of primary at one member, here or at another host."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from enum import Enum
from typing import Final, TypeAlias

from ...connection.home import Home
from ...connection.target import (
    MemberState,
    TargetConnection,
    TargetError,
    TargetFactory,
    TargetNoReplyError,
    TargetRefusedError,
)
from ...directory import Directory
from ...peer import HostRef, PeerError, Peers
from ...record import Record
from ...request.refusal import RefusalError, RefusalReason, may_have_run, not_run
from ...version.catalog import Group, Member
from ...wire import Json, reader, text

STANDBYS: Final = 2


class Op(str, Enum):
    """Name what is asked of a member."""

    STATE = "state"
    RAISE = "raise"
    PROMOTE = "promote"
    FOLLOW = "follow"


class Control(Record):
    """Carry one question or order to a member.

    :param term: the term it is about; 0 for ``state``.
    :param owner: the coordinator's attempt, for ``raise`` and ``promote``.
    :param primary: the member to follow, for ``follow``.
    """

    __slots__ = ("member", "op", "term", "owner", "primary")

    def __init__(
        self, member: str, op: Op, term: int = 0, owner: str = "", primary: str = ""
    ) -> None:
        self.member = member
        self.op = op
        self.term = term
        self.owner = owner
        self.primary = primary

    def to_json(self) -> Json:
        """Return the body of the peer path ``control``."""
        return {
            "member": self.member,
            "op": self.op.value,
            "term": self.term,
            "owner": self.owner,
            "primary": self.primary,
        }

    @classmethod
    @reader
    def from_json(cls, message: Json) -> "Control":
        """Read the body of the peer path ``control``."""
        return cls(
            text(message, "member"),
            Op(message["op"]),
            int(message["term"]),
            str(message["owner"]),
            str(message["primary"]),
        )


class Controller(ABC):
    """Reach the members of a group for the steps of a promotion."""

    @abstractmethod
    async def control(self, order: Control, timeout: float) -> MemberState:
        """Carry out `order` and return the member's state after it.

        :raises Refusal: if the member refused or gave no answer.
        """


HomeOf: TypeAlias = Callable[[str], Home | None]


class PeerController(Controller):
    """Reach a member at its home, or at a standby if the home gives no answer."""

    def __init__(
        self, group: Group, homes: HomeOf, directory: Directory, peers: Peers
    ) -> None:
        self.zones = {member.member: member.zone for member in group.members}
        self.homes = homes
        self.directory = directory
        self.peers = peers

    async def control(self, order: Control, timeout: float) -> MemberState:
        home = self.homes(order.member)
        if home is not None:
            return await at_home(home, order, timeout)
        body = order.to_json()
        hosts = self.directory.ranked(order.member, self.zones[order.member])
        answer = await first_answer(
            self.peers, hosts[:STANDBYS], "control", body, timeout
        )
        return MemberState.from_json(answer["state"])


async def first_answer(
    peers: Peers, hosts: list[HostRef], path: str, body: Json, timeout: float
) -> Json:
    """Return the answer of the first of `hosts` that gives one.

    Only for questions and orders that are idempotent.

    :raises Refusal: the last one, or ``host_unreachable``.
    """
    last = not_run(RefusalReason.HOST_UNREACHABLE, "no live host is known")
    for host in hosts:
        try:
            return await peers.call(host, path, body, timeout)
        except PeerError as error:
            make = may_have_run if error.sent else not_run
            last = make(RefusalReason.HOST_UNREACHABLE, str(error))
        except RefusalError as refusal:
            if refusal.reason is not RefusalReason.WRONG_HOME:
                raise
            last = refusal
    raise last


async def at_home(home: Home, order: Control, timeout: float) -> MemberState:
    """Carry out `order` through the local home of its member."""
    try:
        if order.op is Op.RAISE:
            return await home.raise_term(order.term, order.owner, timeout)
        if order.op is Op.PROMOTE:
            return await home.promote(order.term, order.owner, timeout)
        if order.op is Op.FOLLOW:
            return await home.follow(order.term, order.primary, timeout)
        return await home.fetch_state(timeout)
    except TargetError as error:
        raise refusal_of(error) from error


async def at_target(
    factory: TargetFactory, member: Member, order: Control, timeout: float
) -> MemberState:
    """Carry out `order` on a connection of its own, as a standby does."""
    try:
        target = factory.target(member.member, member.address)
        connection = await target.connect(timeout)
        try:
            return await on_connection(connection, order, timeout)
        finally:
            await connection.close()
    except TargetError as error:
        raise refusal_of(error) from error


async def on_connection(
    connection: TargetConnection, order: Control, timeout: float
) -> MemberState:
    """Carry out `order` on `connection`."""
    if order.op is Op.RAISE:
        return await connection.raise_term(order.term, order.owner, timeout)
    if order.op is Op.PROMOTE:
        return await connection.promote(order.term, order.owner, timeout)
    if order.op is Op.FOLLOW:
        return await connection.follow(order.term, order.primary, timeout)
    return await connection.state(timeout)


def refusal_of(error: TargetError) -> RefusalError:
    """Return the refusal that tells another host of `error`."""
    if isinstance(error, TargetRefusedError):
        return not_run(RefusalReason.CONFLICT, error.detail)
    if isinstance(error, TargetNoReplyError):
        return may_have_run(RefusalReason.TARGET_LOST, str(error))
    return not_run(RefusalReason.TARGET_UNREACHABLE, str(error))
