"""Refusals with a verdict that holds, for each way a target can fail."""

from typing import Final

from ..request.deadline import Deadline
from ..request.refusal import Reason, Refusal, may_have_run, not_run
from ..request.statement import Kind, Statement
from .target import TargetRefused, TargetSilent

RETRY_MS: Final = 100
"""When to come back to a target that gave no answer, in milliseconds."""

REASONS: Final[dict[str, Reason]] = {
    "not_primary": Reason.NO_PRIMARY,
    "superseded": Reason.SUPERSEDED,
    "statement_failed": Reason.STATEMENT_FAILED,
    "request_expired": Reason.REQUEST_EXPIRED,
    "request_reused": Reason.REQUEST_REUSED,
    "unknown_transaction": Reason.TRANSACTION_LOST,
    "leaving": Reason.TARGET_LEAVING,
    "busy": Reason.OVERLOADED,
    "term_refused": Reason.SUPERSEDED,
    "bad_request": Reason.BAD_REQUEST,
}

PASSING: Final = frozenset(
    {
        Reason.NO_PRIMARY,
        Reason.SUPERSEDED,
        Reason.TARGET_LEAVING,
        Reason.OVERLOADED,
    }
)
"""Reasons that pass by themselves, so that a retry can help."""

OF_TRANSACTION: Final = frozenset({Kind.STEP, Kind.COMMIT, Kind.ROLLBACK})


def refused(error: TargetRefused) -> Refusal:
    """Return the refusal for a statement that the target did not run."""
    reason = REASONS.get(error.code, Reason.BAD_REQUEST)
    return not_run(reason, error.detail, RETRY_MS if reason in PASSING else None)


def lost(statement: Statement, deadline: Deadline, error: TargetSilent) -> Refusal:
    """Return the refusal for a statement that was sent and not answered.

    A read and a begin have no effect, and an open transaction is rolled back
    with its connection unless the commit arrived.
    """
    reason = Reason.TARGET_LOST
    if statement.kind in OF_TRANSACTION:
        reason = Reason.TRANSACTION_LOST
    elif deadline.remaining() <= 0.0:
        reason = Reason.DEADLINE
    detail = f"The target gave no answer: {error}."
    if statement.kind is Kind.WRITE or statement.kind is Kind.COMMIT:
        return may_have_run(reason, detail, RETRY_MS)
    return not_run(reason, detail, RETRY_MS)


def late() -> Refusal:
    """Return the refusal of a statement whose deadline passed before it was sent."""
    detail = "The deadline passed before the statement was sent."
    return not_run(Reason.DEADLINE, detail, RETRY_MS)


def full() -> Refusal:
    """Return the refusal for want of a connection."""
    detail = "The target has no connection left for this host."
    return not_run(Reason.TARGET_FULL, detail, RETRY_MS)


def unreachable() -> Refusal:
    """Return the refusal for a target that answers nothing."""
    detail = "The target cannot be reached."
    return not_run(Reason.TARGET_UNREACHABLE, detail, RETRY_MS)


def leaving() -> Refusal:
    """Return the refusal for a target that takes no new work."""
    detail = "The target is leaving and takes no new work."
    return not_run(Reason.TARGET_LEAVING, detail, RETRY_MS)


def wrong_home() -> Refusal:
    """Return the refusal of a home that is being closed."""
    detail = "This host is no longer the home of the target."
    return not_run(Reason.WRONG_HOME, detail, RETRY_MS)
