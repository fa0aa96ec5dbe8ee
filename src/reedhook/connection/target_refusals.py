"""Refusals for the ways in which a target can fail."""

from typing import Final

from ..request.deadline import Deadline
from ..request.refusal import RefusalError, RefusalReason, may_have_run, not_run
from ..request.statement import Statement, StatementKind
from .target import TargetNoReplyError, TargetRefusedError

RETRY_MS: Final = 100
"""Retry delay of refusals that may be retried."""

REASONS: Final[dict[str, RefusalReason]] = {
    "not_primary": RefusalReason.NO_PRIMARY,
    "superseded": RefusalReason.SUPERSEDED,
    "statement_failed": RefusalReason.STATEMENT_FAILED,
    "request_expired": RefusalReason.REQUEST_EXPIRED,
    "request_reused": RefusalReason.REQUEST_REUSED,
    "unknown_transaction": RefusalReason.TRANSACTION_LOST,
    "leaving": RefusalReason.TARGET_LEAVING,
    "busy": RefusalReason.OVERLOADED,
    "term_refused": RefusalReason.SUPERSEDED,
    "bad_request": RefusalReason.BAD_REQUEST,
}

RETRYABLE_REASONS: Final = frozenset(
    {
        RefusalReason.NO_PRIMARY,
        RefusalReason.SUPERSEDED,
        RefusalReason.TARGET_LEAVING,
        RefusalReason.OVERLOADED,
    }
)
"""Transient reasons, for which a retry can help."""

TRANSACTION_KINDS: Final = frozenset(
    {StatementKind.STEP, StatementKind.COMMIT, StatementKind.ROLLBACK}
)


def target_refused_refusal(error: TargetRefusedError) -> RefusalError:
    """Return the refusal for a statement that the target did not run."""
    reason = REASONS.get(error.code, RefusalReason.BAD_REQUEST)
    return not_run(
        reason, error.detail, RETRY_MS if reason in RETRYABLE_REASONS else None
    )


def no_reply_refusal(
    statement: Statement, deadline: Deadline, error: TargetNoReplyError
) -> RefusalError:
    """Return the refusal for a statement that was sent and got no reply.

    Only a write or a commit may have run. A read and a begin have no effect, and an
    open transaction is rolled back with its connection.
    """
    reason = RefusalReason.TARGET_LOST
    if statement.kind in TRANSACTION_KINDS:
        reason = RefusalReason.TRANSACTION_LOST
    elif deadline.remaining() <= 0.0:
        reason = RefusalReason.DEADLINE
    detail = f"The target did not reply: {error}."
    if statement.kind is StatementKind.WRITE or statement.kind is StatementKind.COMMIT:
        return may_have_run(reason, detail, RETRY_MS)
    return not_run(reason, detail, RETRY_MS)


def deadline_refusal() -> RefusalError:
    """Return the refusal of a statement whose deadline passed before it was sent."""
    detail = "The deadline passed before the statement was sent."
    return not_run(RefusalReason.DEADLINE, detail, RETRY_MS)


def target_full_refusal() -> RefusalError:
    """Return the refusal of a statement for which no connection is available."""
    detail = "The target has no free connection for this host."
    return not_run(RefusalReason.TARGET_FULL, detail, RETRY_MS)


def target_unreachable_refusal() -> RefusalError:
    """Return the refusal for a target that is unreachable."""
    detail = "The target cannot be reached."
    return not_run(RefusalReason.TARGET_UNREACHABLE, detail, RETRY_MS)


def target_leaving_refusal() -> RefusalError:
    """Return the refusal for a target that accepts no new work."""
    detail = "The target is leaving and accepts no new work."
    return not_run(RefusalReason.TARGET_LEAVING, detail, RETRY_MS)


def wrong_home_refusal() -> RefusalError:
    """Return the refusal by a home that is closing."""
    detail = "This host is no longer the home of the target."
    return not_run(RefusalReason.WRONG_HOME, detail, RETRY_MS)
