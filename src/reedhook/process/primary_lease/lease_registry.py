"""Latest known lease record of each service."""

from collections.abc import Callable

from ...decision_log import DecisionLog
from ...wire import Json, WireError
from ..discovery.announcements import Announcements
from ..discovery.key_value_store import Item
from ..discovery.store_revision import StoreRevision
from .lease_record import LEASE_KEY_PREFIX, PrimaryLeaseRecord


class PrimaryLeaseRegistry:
    """Keep the latest record of each service, from the store or other hosts.

    :ivar on_change: callbacks that receive each new or newer record.
    """

    def __init__(self, announcements: Announcements, decisions: DecisionLog) -> None:
        self.records: dict[str, PrimaryLeaseRecord] = {}
        self.decisions = decisions
        self.on_change: list[Callable[[PrimaryLeaseRecord], None]] = []
        announcements.on_host_item.append(self.handle_item)

    def handle_item(self, item: Item) -> None:
        """Process a changed item of the store; ignore other keys."""
        if not item.key.startswith(LEASE_KEY_PREFIX) or item.value is None:
            return
        try:
            self.update(PrimaryLeaseRecord.from_item(item), "store")
        except WireError as error:
            self.decisions.record("item_malformed", key=item.key, error=str(error))

    def update(self, record: PrimaryLeaseRecord, source: str) -> bool:
        """Keep a record if it is newer than the known one; return whether it is."""
        known = self.records.get(record.service)
        if known is not None and not supersedes(record, known):
            return False
        self.records[record.service] = record
        self.decisions.record(
            "lease_record",
            service=record.service,
            holder=record.holder.ref.host,
            life=record.holder.incarnation,
            primary=record.primary,
            term=record.term,
            successor=record.successor,
            revision=record.revision.to_json(),
            source=source,
        )
        for callback in self.on_change:
            callback(record)
        return True

    def get(self, service: str) -> PrimaryLeaseRecord | None:
        """Return the latest known record of a service, or None."""
        return self.records.get(service)

    def to_json(self, service: str = "") -> Json:
        """Return all records, or that of one service, as sent to other hosts."""
        return {
            name: [record.revision.to_json(), record.to_json()]
            for name, record in self.records.items()
            if service in ("", name)
        }

    def merge(self, message: Json, source: str) -> None:
        """Merge the records received from another host.

        :raises WireError: if it is malformed.
        """
        for service, pair in message.items():
            if not isinstance(pair, list) or len(pair) != 2:
                raise WireError("lease entry is not a [revision, record] pair")
            revision = StoreRevision.from_json(pair[0])
            self.update(
                PrimaryLeaseRecord.from_json(service, pair[1], revision), source
            )


def supersedes(record: PrimaryLeaseRecord, known: PrimaryLeaseRecord) -> bool:
    """Return whether a record replaces the known one.

    An unconfirmed record does not replace a confirmed one, which was read before the
    restore and may be newer than the restored copy; a confirmed one of the same epoch
    replaces an unconfirmed one.
    """
    if record.confirmed is not known.confirmed:
        return record.confirmed and record.epoch >= known.epoch
    return record.order > known.order
