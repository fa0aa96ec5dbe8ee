"""Whose work a caller's statements are, by its key."""

from typing import Final

from ..decision_log import DecisionLog
from ..metrics import Metrics
from ..process.discovery.announcements import Announcements
from ..process.discovery.configuration_freshness import ConfigurationFreshness
from ..version.route_table import Route
from ..version.workspace import MAX_KEY_CHARACTERS, Workspace, key_digest, short_digest
from .refusal import RefusalError, RefusalReason, not_run

REVOCATION_MARGIN_SECONDS: Final = 0.25
"""Seconds by which a host knows the keys younger than it has to: far more than two
clocks that count the same seconds drift apart in between."""

RETRY_AFTER_MS: Final = 250
"""When to come back to a host that cannot prove its keys, in milliseconds."""


class Authorizer:
    """Find the workspace of a caller, on proof that its key was not taken away.

    A request that arrives was sent earlier, so that a key which was taken away more
    than `revoke` seconds before it was sent was so before the moment that a proof
    younger than `revoke` covers. The look at a statement's arrival decides: whatever
    happens to it later, it was sent before.

    :param revocation_seconds: seconds after which a key that was taken away opens
        nothing; None
        where that is not bounded.
    """

    def __init__(
        self,
        announcements: Announcements,
        freshness: ConfigurationFreshness,
        revocation_seconds: float | None,
        decisions: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self.announcements = announcements
        self.freshness = freshness
        self.revocation_seconds = revocation_seconds
        self.decisions = decisions
        self.metrics = metrics

    def authorize_session(self, route: Route, key: str) -> str:
        """Return the digest of the key with which a session is opened.

        :raises Refusal: not run, if it opens nothing.
        """
        if route.public:
            return ""
        digest = key_digest(key) if 0 < len(key) <= MAX_KEY_CHARACTERS else ""
        self.authorize_statement(route, digest)
        return digest

    def authorize_statement(self, route: Route, digest: str) -> Workspace | None:
        """Return the workspace whose work a statement is; None where none is named.

        :raises Refusal: not run, if the key is not known, or this host cannot prove
            that it knows the keys.
        """
        if route.public:
            return None
        self.check_key_freshness(route, digest)
        found = self.announcements.table.workspaces.find_by_digest(digest)
        if found is None:
            raise self.unknown_key_refusal(route, digest)
        return found

    def check_key_freshness(self, route: Route, digest: str) -> None:
        """Refuse where a key may have been taken away unnoticed.

        :raises Refusal: not run.
        """
        if self.revocation_seconds is None:
            return
        age = self.freshness.age()
        self.metrics.timing("keys.age", age)
        if age < self.revocation_seconds - REVOCATION_MARGIN_SECONDS:
            return
        self.metrics.increment("keys_unproved")
        self.decisions.record(
            "keys_unproved",
            database=route.database,
            key=short_digest(digest),
            age=round(min(age, 1e6), 3),
            source=self.freshness.source,
            configuration=self.announcements.table.version,
        )
        raise not_run(
            RefusalReason.KEYS_UNPROVED,
            "this host has not heard of the keys for too long",
            RETRY_AFTER_MS,
        )

    def unknown_key_refusal(self, route: Route, digest: str) -> RefusalError:
        """Return the refusal of a caller whose key nobody holds."""
        self.metrics.increment("denied")
        self.decisions.record(
            "denied",
            database=route.database,
            key=short_digest(digest),
            age=round(min(self.freshness.age(), 1e6), 3),
            configuration=self.announcements.table.version,
        )
        return not_run(RefusalReason.UNAUTHENTICATED, "the key is not known")
