"""Control requests for a change of primary, sent to a local or remote member."""

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
from ...host_directory import HostDirectory
from ...peer import HostRef, PeerClient, PeerError
from ...record import Record
from ...request.refusal import RefusalError, RefusalReason, may_have_run, not_run
from ...version.catalog import Group, Member
from ...wire import Json, string_field, wraps_decode_errors

MAX_CONTROL_HOSTS: Final = 2


class ControlOperation(str, Enum):
    """Operation of a control request."""

    STATE = "state"
    RAISE = "raise"
    PROMOTE = "promote"
    FOLLOW = "follow"


class MemberControlRequest(Record):
    """Control request to one member.

    :param term: the term to raise, promote in or follow; 0 for ``state``.
    :param owner: identifies the coordinator's attempt, for ``raise`` and ``promote``.
    :param primary: the member to follow, for ``follow``.
    """

    __slots__ = ("member", "operation", "term", "owner", "primary")

    def __init__(
        self,
        member: str,
        operation: ControlOperation,
        term: int = 0,
        owner: str = "",
        primary: str = "",
    ) -> None:
        self.member = member
        self.operation = operation
        self.term = term
        self.owner = owner
        self.primary = primary

    def to_json(self) -> Json:
        """Return the body of the peer path ``control``."""
        return {
            "member": self.member,
            "op": self.operation.value,
            "term": self.term,
            "owner": self.owner,
            "primary": self.primary,
        }

    @classmethod
    @wraps_decode_errors
    def from_json(cls, message: Json) -> "MemberControlRequest":
        """Parse the body of the peer path ``control``."""
        return cls(
            string_field(message, "member"),
            ControlOperation(message["op"]),
            int(message["term"]),
            str(message["owner"]),
            str(message["primary"]),
        )


class MemberController(ABC):
    """Send control requests to the members of a group."""

    @abstractmethod
    async def control(
        self, request: MemberControlRequest, timeout: float
    ) -> MemberState:
        """Carry out `request` and return the member's state after it.

        :raises RefusalError: if the member refused or did not answer.
        """


MemberHomeLookup: TypeAlias = Callable[[str], Home | None]


class PeerMemberController(MemberController):
    """Control a member at its home, or at a standby host if the home fails."""

    def __init__(
        self,
        group: Group,
        find_home: MemberHomeLookup,
        directory: HostDirectory,
        peers: PeerClient,
    ) -> None:
        self.zones = {member.member_id: member.zone for member in group.members}
        self.find_home = find_home
        self.directory = directory
        self.peers = peers

    async def control(
        self, request: MemberControlRequest, timeout: float
    ) -> MemberState:
        home = self.find_home(request.member)
        if home is not None:
            return await control_at_home(home, request, timeout)
        body = request.to_json()
        hosts = self.directory.ranked(request.member, self.zones[request.member])
        answer = await call_first_available(
            self.peers, hosts[:MAX_CONTROL_HOSTS], "control", body, timeout
        )
        return MemberState.from_json(answer["state"])


async def call_first_available(
    peers: PeerClient, hosts: list[HostRef], path: str, body: Json, timeout: float
) -> Json:
    """Call `hosts` in order and return the first answer.

    Only for idempotent requests, since one that got no answer may have run.

    :raises RefusalError: ``host_unreachable`` or ``wrong_home`` of the last host, or
        the first refusal with another reason.
    """
    last_refusal = not_run(RefusalReason.HOST_UNREACHABLE, "no live host is known")
    for host in hosts:
        try:
            return await peers.call(host, path, body, timeout)
        except PeerError as error:
            refuse = may_have_run if error.sent else not_run
            last_refusal = refuse(RefusalReason.HOST_UNREACHABLE, str(error))
        except RefusalError as refusal:
            if refusal.reason is not RefusalReason.WRONG_HOME:
                raise
            last_refusal = refusal
    raise last_refusal


async def control_at_home(
    home: Home, request: MemberControlRequest, timeout: float
) -> MemberState:
    """Carry out `request` at the local home of its member."""
    try:
        if request.operation is ControlOperation.RAISE:
            return await home.raise_term(request.term, request.owner, timeout)
        if request.operation is ControlOperation.PROMOTE:
            return await home.promote(request.term, request.owner, timeout)
        if request.operation is ControlOperation.FOLLOW:
            return await home.follow(request.term, request.primary, timeout)
        return await home.fetch_state(timeout)
    except TargetError as error:
        raise refusal_for_target_error(error) from error


async def control_at_target(
    factory: TargetFactory,
    member: Member,
    request: MemberControlRequest,
    timeout: float,
) -> MemberState:
    """Carry out `request` on a new connection, as a standby host does."""
    try:
        target = factory.target(member.member_id, member.address)
        connection = await target.connect(timeout)
        try:
            return await control_on_connection(connection, request, timeout)
        finally:
            await connection.close()
    except TargetError as error:
        raise refusal_for_target_error(error) from error


async def control_on_connection(
    connection: TargetConnection, request: MemberControlRequest, timeout: float
) -> MemberState:
    """Carry out `request` on `connection`."""
    if request.operation is ControlOperation.RAISE:
        return await connection.raise_term(request.term, request.owner, timeout)
    if request.operation is ControlOperation.PROMOTE:
        return await connection.promote(request.term, request.owner, timeout)
    if request.operation is ControlOperation.FOLLOW:
        return await connection.follow(request.term, request.primary, timeout)
    return await connection.state(timeout)


def refusal_for_target_error(error: TargetError) -> RefusalError:
    """Return the refusal that reports `error` to another host."""
    if isinstance(error, TargetRefusedError):
        return not_run(RefusalReason.CONFLICT, error.detail)
    if isinstance(error, TargetNoReplyError):
        return may_have_run(RefusalReason.TARGET_LOST, str(error))
    return not_run(RefusalReason.TARGET_UNREACHABLE, str(error))
