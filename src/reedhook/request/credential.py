"""Authentication of callers by their team's credential."""

import hashlib
import hmac
from typing import Final

from ..version.catalog import Catalog, Group, Team
from .refusal import Reason, not_run

SCHEME: Final = "bearer"
MAX_CREDENTIAL: Final = 1024


def authenticate(header: str | None, catalog: Catalog) -> Team:
    """Return the team that the header ``Authorization`` proves.

    All teams are compared, each in constant time, so that the time taken
    tells nothing about their credentials.

    :raises Refusal: ``unauthenticated`` if it proves none.
    """
    digest = hashlib.sha256(bearer(header)).hexdigest()
    found = None
    for team in catalog.teams.values():
        if hmac.compare_digest(team.token_sha256, digest):
            found = team
    if found is None:
        raise not_run(Reason.UNAUTHENTICATED, "the credential is not known")
    return found


def bearer(header: str | None) -> bytes:
    """Return the credential of an ``Authorization`` header."""
    if header is None:
        raise not_run(Reason.UNAUTHENTICATED, "the header Authorization is missing")
    scheme, _, credential = header.partition(" ")
    credential = credential.strip()
    if scheme.lower() != SCHEME or not credential:
        raise not_run(
            Reason.UNAUTHENTICATED,
            "the header Authorization must be: Bearer CREDENTIAL",
        )
    if len(credential) > MAX_CREDENTIAL:
        raise not_run(Reason.UNAUTHENTICATED, "the credential is too long")
    return credential.encode("utf-8", "surrogateescape")


def permit(team: Team, group: Group) -> None:
    """Let a team reach the groups of its own services only.

    :raises Refusal: ``forbidden``.
    """
    if group.service not in team.services:
        raise not_run(
            Reason.FORBIDDEN,
            f"the team {team.name} may not use the service {group.service}",
        )
