"""How long the next holder of a lease has to wait for former holders."""

from typing import Final

from ...record import Record
from ...wire import Json, WireError
from ..discovery.store_revision import NO_REVISION, StoreRevision
from .lease_validity import EXPIRY_MARGIN_SECONDS, LEASE_VALIDITY_SECONDS

MAX_WAIT_SECONDS: Final = LEASE_VALIDITY_SECONDS + EXPIRY_MARGIN_SECONDS
"""Time after which a host that is named no more can use the primary no longer."""


class FormerHolderWait(Record):
    """State when no former holder of a record can use the primary any more.

    It counts for this record only: any later one may name another host.

    :param order: order of the record.
    :param seconds: from when the statement is made; 0 if none can use it now.
    """

    __slots__ = ("order", "seconds")

    def __init__(self, order: StoreRevision, seconds: float) -> None:
        self.order = order
        self.seconds = seconds

    def to_json(self) -> Json:
        """Return the fields of a request to claim the lease.

        Hosts of earlier versions read ``alone`` only, which states that none is left.
        """
        if self.seconds > 0.0:
            return {"former": {"order": self.order.to_json(), "left": self.seconds}}
        return {"alone": self.order.to_json()}

    @classmethod
    def from_json(cls, body: Json) -> "FormerHolderWait":
        """Decode a request to claim the lease; without a statement, nothing is known.

        :raises WireError: if it is malformed.
        """
        if "alone" in body:
            return cls(StoreRevision.from_json(body["alone"]), 0.0)
        former = body.get("former")
        if former is None:
            return UNKNOWN_WAIT
        if not isinstance(former, dict):
            raise WireError("the wait for former holders is malformed")
        left = former.get("left")
        if isinstance(left, bool) or not isinstance(left, float | int):
            raise WireError("the wait for former holders is malformed")
        if not 0.0 <= left <= MAX_WAIT_SECONDS:
            raise WireError("the wait for former holders is malformed")
        return cls(StoreRevision.from_json(former.get("order")), float(left))


UNKNOWN_WAIT: Final = FormerHolderWait(NO_REVISION, MAX_WAIT_SECONDS)
"""For a claim without a statement of the holder."""
