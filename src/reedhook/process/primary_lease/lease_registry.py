"""The newest lead records that this host has heard of."""

from collections.abc import Callable

from ...decision_log import DecisionLog
from ...wire import Json, WireError
from ..discovery.announcements import Announcements
from ..discovery.key_value_store import Item
from .lease_record import LEASE_KEY_PREFIX, PrimaryLeaseRecord


class PrimaryLeaseRegistry:
    """Keep the newest record of each service, from the store or other hosts.

    :ivar on_change: called with each record that is news.
    """

    def __init__(self, announcements: Announcements, decisions: DecisionLog) -> None:
        self.records: dict[str, PrimaryLeaseRecord] = {}
        self.decisions = decisions
        self.on_change: list[Callable[[PrimaryLeaseRecord], None]] = []
        announcements.on_host_item.append(self.handle_item)

    def handle_item(self, item: Item) -> None:
        """Take over what the store tells."""
        if not item.key.startswith(LEASE_KEY_PREFIX) or item.value is None:
            return
        try:
            self.update(PrimaryLeaseRecord.from_item(item), "store")
        except WireError as error:
            self.decisions.record("item_malformed", key=item.key, error=str(error))

    def update(self, record: PrimaryLeaseRecord, source: str) -> bool:
        """Keep a record if it is newer; return whether it is."""
        known = self.records.get(record.service)
        if known is not None and known.revision >= record.revision:
            return False
        self.records[record.service] = record
        self.decisions.record(
            "lead",
            service=record.service,
            holder=record.holder.ref.host,
            life=record.holder.incarnation,
            primary=record.primary,
            term=record.term,
            successor=record.successor,
            revision=record.revision,
            source=source,
        )
        for callback in self.on_change:
            callback(record)
        return True

    def get(self, service: str) -> PrimaryLeaseRecord | None:
        """Return the newest record that is known."""
        return self.records.get(service)

    def to_json(self) -> Json:
        """Return all records for another host."""
        return {
            service: [record.revision, record.to_json()]
            for service, record in self.records.items()
        }

    def merge(self, message: Json, source: str) -> None:
        """Take over what another host knows.

        :raises WireError: if it is malformed.
        """
        for service, pair in message.items():
            if not isinstance(pair, list) or len(pair) != 2:
                raise WireError("a revision and a record are expected")
            self.update(
                PrimaryLeaseRecord.from_json(service, pair[1], int(pair[0])), source
            )
