"""Maps callers' keys to workspaces, with a bound on the delay of a revocation."""

from typing import Final

from ..decision_log import DecisionLog
from ..metrics import Metrics
from ..process.discovery.announcements import Announcements
from ..process.discovery.configuration_freshness import ConfigurationFreshness
from ..version.route_table import Route
from ..version.workspace import MAX_KEY_CHARACTERS, Workspace, key_digest, short_digest
from .refusal import RefusalError, RefusalReason, not_run

REVOCATION_MARGIN_SECONDS: Final = 0.25
"""Safety margin of the key age, larger than the clock drift within the bound."""

RETRY_AFTER_MS: Final = 250


class Authorizer:
    """Authorize callers by key, with proof that the key has not been revoked.

    The configuration known here must be younger than `revocation_seconds` when a
    statement arrives. A key that was revoked more than `revocation_seconds` before
    the statement was sent is therefore rejected. The check on arrival is sufficient,
    since the statement was sent earlier.

    :param revocation_seconds: seconds after which a revoked key must be rejected;
        None if there is no bound.
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
        """Return the digest of a session's key; empty on a public route.

        :raises RefusalError: not run, if the key is not authorized.
        """
        if route.public:
            return ""
        digest = key_digest(key) if 0 < len(key) <= MAX_KEY_CHARACTERS else ""
        self.authorize_statement(route, digest)
        return digest

    def authorize_statement(self, route: Route, digest: str) -> Workspace | None:
        """Return the workspace of a key; None on a public route.

        :raises RefusalError: not run, if the key is unknown or the known keys may be
            outdated.
        """
        if route.public:
            return None
        self.check_key_freshness(route, digest)
        workspace = self.announcements.table.workspaces.find_by_digest(digest)
        if workspace is None:
            raise self.unknown_key_refusal(route, digest)
        return workspace

    def check_key_freshness(self, route: Route, digest: str) -> None:
        """Refuse if the known keys are too old to rule out a revocation.

        :raises RefusalError: not run.
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
            "the keys known to this host are too old to rule out a revocation",
            RETRY_AFTER_MS,
        )

    def unknown_key_refusal(self, route: Route, digest: str) -> RefusalError:
        """Return the refusal of a key that belongs to no workspace."""
        self.metrics.increment("denied")
        self.decisions.record(
            "denied",
            database=route.database,
            key=short_digest(digest),
            age=round(min(self.freshness.age(), 1e6), 3),
            configuration=self.announcements.table.version,
        )
        return not_run(RefusalReason.UNAUTHENTICATED, "the key is not known")
