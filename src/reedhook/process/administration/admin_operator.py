"""Authentication of operators, apart from that of callers."""

import hashlib
import hmac

from ...request.credential import bearer_credential
from ...request.refusal import RefusalReason, not_run


class OperatorAuthenticator:
    """Know the operators by the digests of their credentials.

    :param digests: SHA-256 hex digest of each operator's credential, by name.
    """

    __slots__ = ("digests",)

    def __init__(self, digests: dict[str, str]) -> None:
        self.digests = digests

    def authenticate(self, header: str | None) -> str:
        """Return the operator that the header ``Authorization`` proves.

        All are compared, each in constant time.

        :raises Refusal: ``unauthenticated`` if it proves none.
        """
        digest = hashlib.sha256(bearer_credential(header)).hexdigest()
        found = None
        for name, known in self.digests.items():
            if hmac.compare_digest(known, digest):
                found = name
        if found is None:
            raise not_run(RefusalReason.UNAUTHENTICATED, "the credential is not known")
        return found
