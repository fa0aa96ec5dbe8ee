"""Membership state of this host, merged from heartbeats."""

import math
import random
from collections import deque
from collections.abc import Callable, Collection
from typing import Any, Final

import logbook

from ...clock import Clock
from ...peer import HostRef
from ...wire import Json, WireError
from ..events.timeline import EventKind, Timeline
from .gossip_queue import GossipQueue
from .membership_record import HostRecord, MembershipState
from .membership_table import BUCKETS, MembershipTable, RecordChange

MAX_PULLED_RECORDS: Final = 64
FLAP_WINDOW_SECONDS: Final = 60.0
MIN_FLAP_DEATHS: Final = 2
MIN_PENALTY_SECONDS: Final = 5.0
MAX_PENALTY: Final = 6
# A refutation raises the incarnation by 1; a restart sets it from the wall clock.
MIN_RESTART_INCARNATION_STEP_MS: Final = 500
UNLISTED_RETENTION_SECONDS: Final = 30.0

log = logbook.Logger("membership")


class Membership:
    """Maintain this host's view of all hosts.

    This class only builds and merges messages; `Heartbeats` sends them.

    :param me: this host.
    :ivar configuration_version: the configuration version active on this host.
    :ivar configuration_versions: the configuration version last reported by each host.
    :ivar initial_incarnation: the incarnation at process start.
    :ivar last_dead_incarnation: the last own incarnation that was declared dead.
    :ivar last_contact_at: monotonic time in seconds of each host's last heartbeat.
    :ivar repairing: whether the records being merged come from a pull.
    :ivar unlisted: when each dead host was first missing from the platform's list.
    :ivar on_newer_configuration: called with a peer that has a newer version.
    :ivar on_answer: adds fields that only a heartbeat response carries.
    :ivar on_request: adds fields that the request asks for; called with the request
        and the response.
    :ivar on_urgent: called when an update should be gossiped immediately.
    :ivar on_declared_dead: called when other hosts declared this host dead.
    :ivar on_refuted: called when this host refutes a suspicion.
    :ivar on_leave_requested: called when the platform asks this host to leave.
    :ivar on_mismatch: called with a peer whose table digest differs.
    """

    def __init__(
        self, me: HostRef, clock: Clock, rng: random.Random, timeline: Timeline
    ) -> None:
        self.me = me
        self.clock = clock
        self.rng = rng
        self.timeline = timeline
        self.table = MembershipTable()
        self.gossip_queue = GossipQueue()
        self.configuration_version = 0
        self.configuration_versions: dict[str, int] = {}
        self.last_contact_at: dict[str, float] = {}
        self.unlisted: dict[str, float] = {}
        self.death_times: deque[float] = deque(maxlen=MIN_FLAP_DEATHS)
        self.steady_at = math.inf
        self.repairing = False
        self.on_newer_configuration: Callable[[HostRef, int], None] = (
            lambda peer, version: None
        )
        self.on_answer: Callable[[Json], None] = lambda answer: None
        self.on_request: Callable[[Json, Json], None] = lambda request, answer: None
        self.on_urgent: Callable[[], None] = lambda: None
        self.on_declared_dead: Callable[[], None] = lambda: None
        self.on_refuted: Callable[[], None] = lambda: None
        self.on_leave_requested: Callable[[], None] = lambda: None
        self.on_mismatch: Callable[[HostRef], None] = lambda peer: None
        self.initial_incarnation = int(clock.wall() * 1000)
        self.last_dead_incarnation = 0
        self.own_record = HostRecord(me, self.initial_incarnation)
        self.table.listeners.append(self.handle_record_change)
        self.table.apply(self.own_record, clock.monotonic())

    def set_configuration_version(self, version: int) -> None:
        """Set the active configuration version and gossip it.

        All later heartbeats carry it too, so hosts that gossip misses still get it.
        """
        if version > self.configuration_version:
            self.configuration_version = version
            self.on_urgent()

    def message(self) -> Json:
        """Return the body of a heartbeat request or response."""
        updates = [
            self.table.records[host].to_json()
            for host in self.gossip_queue.next_batch()
            if host in self.table.records
        ]
        message: Json = {
            "me": self.own_record.to_json(),
            "v": self.configuration_version,
            "d": self.table.digest(),
        }
        if updates:
            message["u"] = updates
        return message

    def message_to(self, host: str) -> Json:
        """Return a heartbeat for `host`, including a suspicion it can refute."""
        message = self.message()
        record = self.table.get(host)
        if record is not None and record.state in (
            MembershipState.SUSPECTED,
            MembershipState.DEAD,
        ):
            message.setdefault("u", []).append(record.to_json())
        return message

    def handle_heartbeat(self, message: Json) -> Json:
        """Merge a heartbeat and return the response.

        :raises WireError: if the message is malformed.
        """
        sender = HostRecord.from_json(message.get("me"))
        known = self.table.get(sender.ref.host)
        self.merge(message)
        answer = self.message()
        if known is not None and ended_unplanned(known, sender):
            answer["died"] = [known.incarnation, known.penalty]
        current = self.table.get(sender.ref.host)
        if current is not None and current.overrides(sender):
            answer.setdefault("u", []).append(current.to_json())
        self.on_answer(answer)
        self.on_request(message, answer)
        return answer

    def merge(self, message: Json) -> HostRecord:
        """Merge a heartbeat request or response; return the sender's record.

        :raises WireError: if the message is malformed.
        """
        sender = HostRecord.from_json(message.get("me"))
        updates = [HostRecord.from_json(item) for item in read_list_field(message, "u")]
        version, digest = message.get("v"), message.get("d")
        if type(version) is not int or type(digest) is not int:
            raise WireError("heartbeat version and digest must be integers")
        now = self.clock.monotonic()
        self.merge_record(sender, now)
        self.record_contact(sender.ref, now)
        for record in updates:
            self.merge_record(record, now)
        self.configuration_versions[sender.ref.host] = version
        if version > self.configuration_version:
            self.on_newer_configuration(sender.ref, version)
        if digest != self.table.digest():
            self.on_mismatch(sender.ref)
        return sender

    def record_contact(self, ref: HostRef, now: float) -> None:
        """Record the time of a heartbeat from a known host."""
        if ref.host in self.table.records:
            self.last_contact_at[ref.host] = now

    def merge_record(self, record: HostRecord, now: float) -> bool:
        """Apply a record if it overrides the known one; return whether it did."""
        if record.ref.host == self.me.host:
            return self.merge_own_record(record, now)
        return self.table.apply(record, now)

    def merge_own_record(self, record: HostRecord, now: float) -> bool:
        """Refute a record of this host, or leave if the record says so."""
        if not record.overrides(self.own_record):
            return False
        if record.state is MembershipState.LEAVING:
            self.leave()
            self.on_leave_requested()
            return True
        if record.state >= MembershipState.DEAD:
            self.record_death(record.incarnation, now)
        self.on_refuted()
        self.announce(record.incarnation + 1, self.own_record.state)
        return True

    def handle_death_report(self, died: Any) -> None:
        """Handle a peer's report that an incarnation of this host died.

        :raises WireError: if the report is malformed.
        """
        if not isinstance(died, list) or not all(
            type(number) is int for number in died
        ):
            raise WireError("death report must be a list of integers")
        incarnation, penalty = died
        if incarnation < self.initial_incarnation:
            self.inherit_penalty(penalty)
        elif self.record_death(incarnation, self.clock.monotonic()):
            self.announce(self.own_record.incarnation + 1, self.own_record.state)

    def record_death(self, incarnation: int, now: float) -> bool:
        """Record a death report; return whether it added a flapping penalty."""
        if incarnation <= self.last_dead_incarnation:
            return False
        self.last_dead_incarnation = incarnation
        self.on_declared_dead()
        self.death_times.append(now)
        if (
            len(self.death_times) < MIN_FLAP_DEATHS
            or now - self.death_times[0] > FLAP_WINDOW_SECONDS
        ):
            return False
        self.penalize(self.own_record.penalty + 1, now)
        return True

    def penalize(self, penalty: int, now: float) -> None:
        """Rank this host after others until it has been stable long enough."""
        penalty = min(penalty, MAX_PENALTY)
        self.own_record = HostRecord(
            self.me, self.own_record.incarnation, self.own_record.state, penalty
        )
        self.steady_at = now + MIN_PENALTY_SECONDS * 2 ** (penalty - 1)

    def inherit_penalty(self, penalty: int) -> None:
        """Continue the penalty of a previous incarnation that crashed."""
        if self.own_record.penalty > penalty:
            return
        self.penalize(penalty + 1, self.clock.monotonic())
        self.announce(self.own_record.incarnation + 1, self.own_record.state)

    def expire_penalty(self, now: float) -> None:
        """Clear the penalty once this host has been stable long enough."""
        if now < self.steady_at:
            return
        self.steady_at = math.inf
        self.own_record = HostRecord(
            self.me, self.own_record.incarnation, self.own_record.state, 0
        )
        self.announce(self.own_record.incarnation + 1, self.own_record.state)

    def announce(self, incarnation: int, state: MembershipState) -> None:
        """Apply a new record of this host, which queues it for gossip."""
        penalty = self.own_record.penalty
        self.own_record = HostRecord(self.me, incarnation, state, penalty)
        self.table.apply(self.own_record, self.clock.monotonic())

    def leaving_record(self) -> HostRecord:
        """Return the record that announces that this host leaves."""
        if self.own_record.state is MembershipState.LEAVING:
            return self.own_record
        return HostRecord(
            self.me,
            self.own_record.incarnation + 1,
            MembershipState.LEAVING,
            self.own_record.penalty,
        )

    def leave(self) -> None:
        """Announce that this host is leaving and takes no new work."""
        farewell = self.leaving_record()
        if farewell.overrides(self.own_record):
            self.announce(farewell.incarnation, farewell.state)

    def suspect(self, record: HostRecord) -> None:
        """Mark an unresponsive host as suspected, or as gone if it was leaving."""
        current = self.table.get(record.ref.host)
        if current is None or current.incarnation != record.incarnation:
            return
        state = MembershipState.SUSPECTED
        if current.state is MembershipState.LEAVING:
            state = MembershipState.GONE
        self.table.apply(current.in_state(state), self.clock.monotonic())

    def retire_unlisted(self, listed: Collection[str]) -> None:
        """Mark dead hosts as gone once the platform has stopped listing them.

        :param listed: the ids of all hosts currently listed.
        """
        now = self.clock.monotonic()
        dead = {
            host
            for host in self.table.not_live_hosts
            if self.table.records[host].state is MembershipState.DEAD
        }
        missing = dead.difference(listed)
        self.unlisted = {host: self.unlisted.get(host, now) for host in missing}
        for host, since in self.unlisted.items():
            if now - since >= UNLISTED_RETENTION_SECONDS:
                self.table.apply(
                    self.table.records[host].in_state(MembershipState.GONE), now
                )

    def handle_record_change(self, change: RecordChange) -> None:
        """Record a change in the timeline and queue it for gossip."""
        after = change.after
        if after is None:
            return
        if after.ref.host == self.me.host:
            self.on_urgent()
            return
        self.record_event(change.before, after)
        joins = change.before is None
        if joins and self.repairing:
            # Joins learned by a pull are already being gossiped by other hosts.
            return
        self.gossip_queue.add(after.ref.host, len(self.table.records), joins)
        self.on_urgent()

    def record_event(self, before: HostRecord | None, after: HostRecord) -> None:
        """Record a join, suspicion or departure in the timeline."""
        host = after.ref.host
        was_live = before is not None and before.live
        if after.state is MembershipState.SUSPECTED:
            self.timeline.record(EventKind.MEMBER_SUSPECTED, host)
        elif after.live and not was_live:
            self.timeline.record(EventKind.MEMBER_JOINED, host, zone=after.ref.zone)
        elif was_live and not after.live:
            state = after.state.name.lower()
            self.timeline.record(EventKind.MEMBER_LEFT, host, state=state)

    def pull_request(self) -> Json:
        """Return a pull request with the bucket digests of this host's table."""
        return {"me": self.own_record.to_json(), "b": list(self.table.buckets)}

    def pull_answer(self, message: Json) -> Json:
        """Return up to `MAX_PULLED_RECORDS` records of the buckets that differ.

        :raises WireError: if the message is malformed.
        """
        self.merge_record(
            HostRecord.from_json(message.get("me")), self.clock.monotonic()
        )
        buckets = read_buckets(message)
        records = self.table.in_buckets(differing(buckets, self.table.buckets))
        self.rng.shuffle(records)
        return {
            "b": list(self.table.buckets),
            "r": [record.to_json() for record in records[:MAX_PULLED_RECORDS]],
            "all": len(records) <= MAX_PULLED_RECORDS,
        }

    def merge_pulled(self, message: Json) -> int:
        """Merge a pull response; return how many records were applied.

        Records that are newer here are queued for gossip to the peer.

        :raises WireError: if the message is malformed.
        """
        buckets = differing(read_buckets(message), self.table.buckets)
        now = self.clock.monotonic()
        theirs = {
            record.ref.host: record
            for record in map(HostRecord.from_json, read_list_field(message, "r"))
        }
        self.repairing = True
        new = sum(self.merge_record(record, now) for record in theirs.values())
        self.repairing = False
        for record in self.table.in_buckets(buckets)[:MAX_PULLED_RECORDS]:
            other = theirs.get(record.ref.host)
            unknown = other is None and message.get("all") is True
            if record.ref.host == self.me.host:
                continue
            if unknown or (other is not None and record.overrides(other)):
                self.gossip_queue.add(record.ref.host, len(self.table.records))
        return new


def ended_unplanned(known: HostRecord, sender: HostRecord) -> bool:
    """Return whether a host was declared dead, or restarted without leaving first."""
    if sender.incarnation <= known.incarnation:
        return False
    restarted = (
        sender.incarnation >= known.incarnation + MIN_RESTART_INCARNATION_STEP_MS
    )
    return known.state is MembershipState.DEAD or (known.live and restarted)


def differing(theirs: list[int], ours: list[int]) -> set[int]:
    """Return the indexes of buckets whose digests differ."""
    return {index for index in range(BUCKETS) if theirs[index] != ours[index]}


def read_buckets(message: Json) -> list[int]:
    """Read bucket digests from a message."""
    buckets = read_list_field(message, "b")
    if len(buckets) != BUCKETS or not all(type(bucket) is int for bucket in buckets):
        raise WireError("bucket digests are malformed")
    return buckets


def read_list_field(message: Json, name: str) -> list[Any]:
    """Return a list field of a message; an absent field is empty."""
    value = message.get(name, [])
    if not isinstance(value, list):
        raise WireError(f"field {name} is not a list")
    return value
