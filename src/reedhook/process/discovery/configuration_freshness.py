"""How old what this host knows of the operators' configuration may be at most."""

import math
from typing import Final

from ...clock import Clock
from ...wire import Json, WireError
from .announcements import Announcements

AGE_FIELD: Final = "a"
MS_PER_SECOND: Final = 1000.0

STORE_SOURCE: Final = "store"


class ConfigurationFreshness:
    """Keep the moment before which all that the store acknowledged is known here.

    A linearizable read of the store proves the moment at which it was asked for,
    and so does another host whose configuration is not newer than this one's. What
    another host states is an age; it is dated from when this one asked, so that
    neither the way nor a pause of either host makes it look younger.

    :ivar as_of: that moment, by `Clock.boottime`.
    :ivar source: where the proof came from.
    :ivar pending: a proof of a version that is not in force here yet, by version.
    """

    def __init__(self, announcements: Announcements, clock: Clock) -> None:
        self.announcements = announcements
        self.clock = clock
        self.as_of = -math.inf
        self.source = ""
        self.pending: dict[int, tuple[float, str]] = {}
        announcements.on_table.append(lambda table: self.apply_pending_proofs())

    def age(self) -> float:
        """Return for how many seconds something may have changed unnoticed."""
        return self.clock.boottime() - self.as_of

    def record_proof(self, as_of: float, source: str = STORE_SOURCE) -> None:
        """Take note that all is known here that was acknowledged before a moment."""
        if as_of > self.as_of:
            self.as_of = as_of
            self.source = source

    def record_version_proof(self, version: int, as_of: float, source: str) -> None:
        """Take note that a version was the newest at a moment.

        A version that this host lacks proves nothing before it is in force here.
        """
        if version <= self.announcements.table.version:
            self.record_proof(as_of, source)
            return
        known = self.pending.get(version)
        if known is None or known[0] < as_of:
            self.pending[version] = (as_of, source)

    def apply_pending_proofs(self) -> None:
        """Use the proofs of versions that are in force now."""
        version = self.announcements.table.version
        for one in [known for known in self.pending if known <= version]:
            self.record_proof(*self.pending.pop(one))

    def add_age(self, answer: Json, received_at: float) -> None:
        """Add the age to an answer that states the version in force.

        It goes with answers only: who asked dates it from the question. So it is
        the age at which the question arrived, below 0 if the answer waited since.

        :param received_at: when the question arrived, by `Clock.boottime`.
        """
        if self.as_of > -math.inf:
            age = received_at - self.as_of
            answer[AGE_FIELD] = math.ceil(age * MS_PER_SECOND)

    def read_age(
        self, answer: Json, version: int, requested_at: float, source: str
    ) -> None:
        """Take over what the answer of another host proves.

        :param version: in force at that host.
        :param requested_at: when it was asked, by `Clock.boottime`.
        :raises WireError: if the age has another form.
        """
        age = answer.get(AGE_FIELD)
        if age is None:
            return
        if type(age) is not int:
            raise WireError("an age in milliseconds is expected")
        at = min(requested_at - age / MS_PER_SECOND, self.clock.boottime())
        self.record_version_proof(version, at, source)
