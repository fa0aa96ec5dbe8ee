"""Table of known hosts with incrementally updated digests."""

from collections.abc import Callable, Iterator
from typing import Final

from ...peer import HostRef
from .membership_record import HostRecord, MembershipState
from .rendezvous import score

BUCKETS: Final = 32
BUCKET_KEY: Final = "bucket"
MAX_RECORDS: Final = 4096


class RecordChange:
    """Describe the replacement or removal of a record.

    :ivar before: the previous record; None for a new host.
    :ivar after: the current record; None if the host was forgotten.
    """

    __slots__ = ("before", "after")

    def __init__(self, before: HostRecord | None, after: HostRecord | None) -> None:
        self.before = before
        self.after = after


class MembershipTable:
    """Store the current record of each known host.

    The digest of a bucket is the XOR of its records' digests, so an update takes
    constant time.

    :ivar since: monotonic time in seconds of the last change of each host.
    :ivar not_live_hosts: hosts in any state other than `MembershipState.LIVE`.
    :ivar epoch: incremented on each change of the table.
    :ivar known_epoch: incremented when a host is added, moved or forgotten.
    """

    def __init__(self) -> None:
        self.records: dict[str, HostRecord] = {}
        self.since: dict[str, float] = {}
        self.by_address: dict[str, str] = {}
        self.not_live_hosts: set[str] = set()
        self.zones: dict[str, dict[str, None]] = {}
        self.buckets: list[int] = [0] * BUCKETS
        self.whole_digest = 0
        self.epoch = 0
        self.known_epoch = 0
        self.changed_at = 0.0
        self.listeners: list[Callable[[RecordChange], None]] = []

    def apply(self, record: HostRecord, now: float) -> bool:
        """Store `record` if it overrides the known one; return whether it did."""
        host = record.ref.host
        before = self.records.get(host)
        if before is not None and not record.overrides(before):
            return False
        if before is None and len(self.records) >= MAX_RECORDS:
            return False
        if before is None and record.state >= MembershipState.DEAD:
            return False
        self.put(record, before, now)
        self.retire_previous_at_address(record, now)
        return True

    def put(self, record: HostRecord, before: HostRecord | None, now: float) -> None:
        """Store `record` and notify the listeners."""
        host = record.ref.host
        if before is None or before.ref != record.ref:
            self.unlink(before)
            self.link(record)
        self.update_digest(host, record.digest() ^ (before.digest() if before else 0))
        self.records[host] = record
        self.since[host] = now
        if record.state is MembershipState.LIVE:
            self.not_live_hosts.discard(host)
        else:
            self.not_live_hosts.add(host)
        self.notify(RecordChange(before, record), now)

    def retire_previous_at_address(self, record: HostRecord, now: float) -> None:
        """Mark the previous host at this address as gone."""
        previous = self.by_address.get(record.ref.address)
        if not record.live or previous is None:
            return
        if previous == record.ref.host:
            return
        other = self.records[previous]
        if other.incarnation > record.incarnation:
            return
        self.by_address[record.ref.address] = record.ref.host
        if other.state < MembershipState.GONE:
            self.put(other.in_state(MembershipState.GONE), other, now)

    def forget(self, host: str, now: float) -> None:
        """Remove the record of `host`."""
        record = self.records.pop(host, None)
        if record is None:
            return
        self.update_digest(host, record.digest())
        self.not_live_hosts.discard(host)
        del self.since[host]
        self.unlink(record)
        self.notify(RecordChange(record, None), now)

    def link(self, record: HostRecord) -> None:
        """Index a host by zone and address."""
        self.zones.setdefault(record.ref.zone, {})[record.ref.host] = None
        self.by_address.setdefault(record.ref.address, record.ref.host)
        self.known_epoch += 1

    def unlink(self, record: HostRecord | None) -> None:
        """Remove a host from the indexes by zone and address."""
        if record is None:
            return
        zone = self.zones[record.ref.zone]
        zone.pop(record.ref.host, None)
        if not zone:
            del self.zones[record.ref.zone]
        if self.by_address.get(record.ref.address) == record.ref.host:
            del self.by_address[record.ref.address]
        self.known_epoch += 1

    def notify(self, change: RecordChange, now: float) -> None:
        """Increment the epoch and notify the listeners."""
        self.epoch += 1
        self.changed_at = now
        for listener in self.listeners:
            listener(change)

    def digest(self) -> int:
        """Return the digest of the whole table."""
        return self.whole_digest

    def update_digest(self, host: str, difference: int) -> None:
        """Apply a change of the digest of `host` to its bucket and the whole table."""
        self.buckets[bucket_of(host)] ^= difference
        self.whole_digest ^= difference

    def get(self, host: str) -> HostRecord | None:
        """Return the record of `host`, or None."""
        return self.records.get(host)

    def live(self, host: str) -> bool:
        """Return whether `host` accepts work."""
        record = self.records.get(host)
        return record is not None and record.live

    def refs(self, zone: str | None = None) -> list[HostRef]:
        """Return the live hosts of `zone`, or of all zones for None."""
        return [record.ref for record in self.in_zone(zone) if record.live]

    def sees_majority(self) -> bool:
        """Return whether more than half of the known hosts are live."""
        return 2 * len(self.not_live_hosts) < len(self.records)

    def in_zone(self, zone: str | None) -> Iterator[HostRecord]:
        """Iterate over the records of a zone, or over all for None."""
        if zone is None:
            yield from self.records.values()
            return
        for host in self.zones.get(zone, ()):
            yield self.records[host]

    def in_buckets(self, indexes: set[int]) -> list[HostRecord]:
        """Return the records in the given buckets."""
        return [
            record
            for host, record in self.records.items()
            if bucket_of(host) in indexes
        ]


def bucket_of(host: str) -> int:
    """Return the bucket index of `host`."""
    return score(BUCKET_KEY, host) % BUCKETS
