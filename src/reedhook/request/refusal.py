"""Typed refusals: the reason, and whether the request may have run."""

from enum import Enum
from typing import Final

from ..wire import Json
from .verdict import Verdict


class RefusalReason(str, Enum):
    """Enumerate the reasons for refusals."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    KEYS_UNPROVED = "keys_unproved"
    UNKNOWN_GROUP = "unknown_group"
    UNKNOWN_TRANSACTION = "unknown_transaction"
    UNKNOWN_NAME = "unknown_name"
    TOO_LARGE = "too_large"
    RATE_LIMITED = "rate_limited"
    RATE_UNKNOWN = "rate_unknown"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    NO_PRIMARY = "no_primary"
    NOT_COVERED = "not_covered"
    AGE_UNPROVED = "age_unproved"
    UNCONFIRMED = "unconfirmed"
    NOT_DURABLE = "not_durable"
    SUPERSEDED = "superseded"
    REQUEST_EXPIRED = "request_expired"
    REQUEST_REUSED = "request_reused"
    TOKEN_INVALID = "token_invalid"
    TRANSACTION_LOST = "transaction_lost"
    DRAINING = "draining"
    TARGET_LEAVING = "target_leaving"
    TARGET_LOST = "target_lost"
    TARGET_FULL = "target_full"
    TARGET_UNREACHABLE = "target_unreachable"
    HOST_UNREACHABLE = "host_unreachable"
    STATEMENT_FAILED = "statement_failed"
    WRONG_HOME = "wrong_home"
    NO_CONFIGURATION = "no_configuration"
    CONFLICT = "conflict"
    STORE_UNAVAILABLE = "store_unavailable"
    CALLER_GONE = "caller_gone"
    INTERNAL = "internal"


STATUS_BY_REASON: Final[dict[RefusalReason, int]] = {
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.TOKEN_INVALID: 400,
    RefusalReason.STATEMENT_FAILED: 422,
    RefusalReason.UNAUTHENTICATED: 401,
    RefusalReason.FORBIDDEN: 403,
    RefusalReason.UNKNOWN_GROUP: 404,
    RefusalReason.UNKNOWN_TRANSACTION: 404,
    RefusalReason.CONFLICT: 409,
    RefusalReason.REQUEST_REUSED: 409,
    RefusalReason.REQUEST_EXPIRED: 410,
    RefusalReason.TOO_LARGE: 413,
    RefusalReason.RATE_LIMITED: 429,
    RefusalReason.DEADLINE: 504,
}
DEFAULT_HTTP_STATUS: Final = 503


class RefusalError(Exception):
    """Signal that a request was refused.

    :param verdict: whether the request may have run.
    :param detail: a human-readable explanation.
    :param retry_after_ms: the retry delay in milliseconds; None if a retry cannot
        succeed.
    """

    def __init__(
        self,
        reason: RefusalReason,
        verdict: Verdict,
        detail: str,
        retry_after_ms: int | None = None,
    ) -> None:
        super().__init__(detail)
        self.reason = reason
        self.verdict = verdict
        self.detail = detail
        self.retry_after_ms = retry_after_ms

    @property
    def status(self) -> int:
        """Return the HTTP status for the reason."""
        return STATUS_BY_REASON.get(self.reason, DEFAULT_HTTP_STATUS)

    def to_json(self) -> Json:
        """Return the refusal in its wire format."""
        return {
            "verdict": self.verdict.value,
            "reason": self.reason.value,
            "detail": self.detail,
            "retry_after_ms": self.retry_after_ms,
        }

    @classmethod
    def from_json(cls, message: Json) -> "RefusalError":
        """Decode a refusal from its wire format."""
        return cls(
            RefusalReason(message["reason"]),
            Verdict(message["verdict"]),
            str(message["detail"]),
            message.get("retry_after_ms"),
        )


def not_run(
    reason: RefusalReason, detail: str, retry_after_ms: int | None = None
) -> RefusalError:
    """Return a refusal of a request that had no effect."""
    return RefusalError(reason, Verdict.NOT_RUN, detail, retry_after_ms)


def may_have_run(
    reason: RefusalReason, detail: str, retry_after_ms: int | None = None
) -> RefusalError:
    """Return a refusal of a request whose effect is unknown."""
    return RefusalError(reason, Verdict.MAY_HAVE_RUN, detail, retry_after_ms)
