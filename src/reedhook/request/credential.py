"""Authentication of callers by their workspace's credential."""

import hashlib
from typing import Final

from ..version.catalog import Catalog, Group
from ..version.workspace import Workspace
from .refusal import RefusalReason, not_run

SCHEME: Final = "bearer"
MAX_CREDENTIAL_CHARACTERS: Final = 1024


def authenticate(header: str | None, catalog: Catalog) -> Workspace:
    """Return the workspace that the header ``Authorization`` proves.

    Digests are looked up: how alike two are tells nothing about their credentials.

    :raises Refusal: ``unauthenticated`` if it proves none.
    """
    digest = hashlib.sha256(bearer_credential(header)).hexdigest()
    found = catalog.workspaces.find_by_digest(digest)
    if found is None:
        raise not_run(RefusalReason.UNAUTHENTICATED, "the credential is not known")
    return found


def bearer_credential(header: str | None) -> bytes:
    """Return the credential of an ``Authorization`` header."""
    if header is None:
        raise not_run(
            RefusalReason.UNAUTHENTICATED, "the header Authorization is missing"
        )
    scheme, _, credential = header.partition(" ")
    credential = credential.strip()
    if scheme.lower() != SCHEME or not credential:
        raise not_run(
            RefusalReason.UNAUTHENTICATED,
            "the header Authorization must be: Bearer CREDENTIAL",
        )
    if len(credential) > MAX_CREDENTIAL_CHARACTERS:
        raise not_run(RefusalReason.UNAUTHENTICATED, "the credential is too long")
    return credential.encode("utf-8", "surrogateescape")


def check_service_access(workspace: Workspace, group: Group) -> None:
    """Let a workspace reach the groups of its own services only.

    :raises Refusal: ``forbidden``.
    """
    if not workspace.may_use(group.service):
        raise not_run(
            RefusalReason.FORBIDDEN,
            f"the workspace {workspace.name} may not use the service {group.service}",
        )
