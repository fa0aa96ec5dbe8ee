"""Authentication of operators."""

import hashlib
import hmac

from ...request.credential import bearer_credential
from ...request.refusal import RefusalReason, not_run


class OperatorAuthenticator:
    """Authenticate operators by the digests of their credentials.

    :param digests: SHA-256 hex digest of each operator's credential, by name.
    """

    __slots__ = ("digests",)

    def __init__(self, digests: dict[str, str]) -> None:
        self.digests = digests

    def authenticate(self, header: str | None) -> str:
        """Return the name of the operator that sent an ``Authorization`` header.

        Compares all digests, each in constant time, to leak nothing by timing.

        :raises RefusalError: ``unauthenticated`` if the credential is unknown.
        """
        digest = hashlib.sha256(bearer_credential(header)).hexdigest()
        operator = None
        for name, known_digest in self.digests.items():
            if hmac.compare_digest(known_digest, digest):
                operator = name
        if operator is None:
            raise not_run(RefusalReason.UNAUTHENTICATED, "unknown credential")
        return operator
