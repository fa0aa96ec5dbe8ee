"""Upper bound on the age of this host's configuration."""

import math
from typing import Final

from ...clock import Clock
from ...wire import Json, WireError
from .announcements import Announcements
from .store_epoch import StoreEpoch

AGE_FIELD: Final = "a"
MS_PER_SECOND: Final = 1000.0

STORE_SOURCE: Final = "store"

STATEMENT_WAIT_SECONDS: Final = 10.0
"""Time after a host learned of an epoch above 0 in which a proof counts only if another
host has stated its version since: a restored store may hold an older configuration
than hosts do. Longer than the registrations of 740 hosts take, so that a host that
starts meanwhile finds others."""


class ConfigurationFreshness:
    """Track the time up to which all acknowledged writes to the store are known here.

    A linearizable read of the store proves the time at which it was requested. So does
    a response of another host whose configuration is not newer than this one's. Hosts
    report ages, which are subtracted from the time of the request, so that neither
    network delay nor a pause of either host makes a proof look more recent.

    After a restore, earlier proofs prove nothing, and no proof counts for a
    configuration that is older than one which another host has stated: the restored
    store may hold an older one, with keys that were revoked since.

    :ivar as_of: that time, by `Clock.boottime`.
    :ivar source: `STORE_SOURCE` or the ID of the host that gave the proof.
    :ivar pending: proofs of versions that are not in force here yet, by version.
    :ivar newest_version: the newest version that a host has stated.
    :ivar stated: whether another host has stated its version in this epoch.
    :ivar epoch_since: when this host learned of the epoch, by `Clock.boottime`.
    """

    def __init__(
        self, announcements: Announcements, clock: Clock, epoch: StoreEpoch
    ) -> None:
        self.announcements = announcements
        self.clock = clock
        self.epoch = epoch
        self.newest_version = 0
        self.stated = False
        self.epoch_since = -math.inf
        self.outdated_version = 0
        epoch.on_change.append(self.handle_epoch)
        self.as_of = -math.inf
        self.source = ""
        self.pending: dict[int, tuple[float, str]] = {}
        announcements.on_table.append(lambda table: self.apply_pending_proofs())

    def age(self) -> float:
        """Return the seconds in which the configuration may have changed unnoticed."""
        return self.clock.boottime() - self.as_of

    def unproved_seconds(self) -> float:
        """Return the seconds since the last proof, or since the epoch was learned."""
        return self.clock.boottime() - max(self.as_of, self.epoch_since)

    def handle_epoch(self, epoch: int) -> None:
        """Discard all proofs; what they prove was known may be lost."""
        self.as_of = -math.inf
        self.pending.clear()
        self.stated = False
        self.epoch_since = self.clock.boottime()

    def learn_version(self, version: int) -> None:
        """Record that another host has a version of the configuration."""
        self.stated = True
        self.newest_version = max(self.newest_version, version)

    def proofs_count(self) -> bool:
        """Return whether a proof counts for the configuration in force."""
        if not self.epoch.current:
            return True
        version = self.announcements.table.version
        if version < self.newest_version:
            if self.outdated_version != self.newest_version:
                self.outdated_version = self.newest_version
                self.announcements.decisions.record(
                    "configuration_outdated",
                    version=version,
                    known=self.newest_version,
                )
            return False
        waited = self.clock.boottime() - self.epoch_since
        return self.stated or waited >= STATEMENT_WAIT_SECONDS

    def record_proof(self, as_of: float, source: str = STORE_SOURCE) -> None:
        """Record that all writes acknowledged before `as_of` are known here."""
        if as_of > self.as_of and self.proofs_count():
            self.as_of = as_of
            self.source = source

    def record_version_proof(self, version: int, as_of: float, source: str) -> None:
        """Record that a version was the newest one at `as_of`.

        If this host lacks the version, the proof is pending until it is in force.
        """
        if version <= self.announcements.table.version:
            self.record_proof(as_of, source)
            return
        known = self.pending.get(version)
        if known is None or known[0] < as_of:
            self.pending[version] = (as_of, source)

    def apply_pending_proofs(self) -> None:
        """Record the pending proofs of versions that are in force now."""
        version = self.announcements.table.version
        for one in [known for known in self.pending if known <= version]:
            self.record_proof(*self.pending.pop(one))

    def add_age(self, answer: Json, received_at: float) -> None:
        """Add the age to a response that states the version in force.

        Only responses carry it, since the requester subtracts it from the time of its
        request. It is the age when the request arrived, and negative if a proof was
        recorded while the response was held.

        The epoch is stated with it, so that no proof of an earlier epoch counts.

        :param received_at: when the request arrived, by `Clock.boottime`.
        """
        self.epoch.add_to(answer)
        if self.as_of > -math.inf:
            age = received_at - self.as_of
            answer[AGE_FIELD] = math.ceil(age * MS_PER_SECOND)

    def read_age(
        self, answer: Json, version: int, requested_at: float, source: str
    ) -> None:
        """Record what the response of another host proves.

        :param version: version in force at that host.
        :param requested_at: when the request was sent, by `Clock.boottime`.
        :raises WireError: if the age or the epoch is malformed.
        """
        same_epoch = self.epoch.learn_from(answer, source)
        self.learn_version(version)
        age = answer.get(AGE_FIELD)
        if age is None or not same_epoch:
            return
        if type(age) is not int:
            raise WireError("configuration age is not an integer of milliseconds")
        as_of = min(requested_at - age / MS_PER_SECOND, self.clock.boottime())
        self.record_version_proof(version, as_of, source)
