"""Authentication of callers by the credential of their workspace."""

import hashlib
from typing import Final

from ..version.catalog import Catalog, Group
from ..version.workspace import Workspace
from .refusal import RefusalReason, not_run

SCHEME: Final = "bearer"
MAX_CREDENTIAL_CHARACTERS: Final = 1024


def authenticate(header: str | None, catalog: Catalog) -> Workspace:
    """Return the workspace whose credential the ``Authorization`` header contains.

    The lookup is by digest, so that its timing reveals nothing of the credentials.

    :raises RefusalError: ``unauthenticated`` if the credential is missing or unknown.
    """
    digest = hashlib.sha256(bearer_credential(header)).hexdigest()
    workspace = catalog.workspaces.find_by_digest(digest)
    if workspace is None:
        raise not_run(RefusalReason.UNAUTHENTICATED, "the credential is not known")
    return workspace


def bearer_credential(header: str | None) -> bytes:
    """Return the credential of an ``Authorization`` header.

    :raises RefusalError: ``unauthenticated`` if the header is missing or malformed.
    """
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
    """Check that a workspace may use the service of a group.

    :raises RefusalError: ``forbidden`` if it may not.
    """
    if not workspace.may_use(group.service):
        raise not_run(
            RefusalReason.FORBIDDEN,
            f"the workspace {workspace.name} may not use the service {group.service}",
        )
