"""Refusals of statements that the home of a target could not run or lost."""

from typing import Final

from ..request.refusal import RefusalError, RefusalReason, may_have_run, not_run

RETRY_MS: Final = 50
"""Retry delay after a connection was lost."""


def home_closed_refusal() -> RefusalError:
    """Return the refusal of a statement that waited at a home when it was closed."""
    return not_run(RefusalReason.TARGET_UNREACHABLE, "the home was closed", RETRY_MS)


def target_stalled_refusal(target: str) -> RefusalError:
    """Return the refusal of a statement that would wait for a stalled target."""
    return not_run(
        RefusalReason.TARGET_UNREACHABLE,
        f"target {target} does not reply",
        RETRY_MS,
    )


def unanswered_write_refusal(target: str) -> RefusalError:
    """Return the refusal of a write or commit that was sent and got no reply."""
    return may_have_run(
        RefusalReason.TARGET_UNREACHABLE,
        f"target {target} did not reply to a write or commit",
    )


def unanswered_read_refusal(target: str) -> RefusalError:
    """Return the refusal of a read that was sent and got no reply.

    A read has no effect, so it counts as not run.
    """
    return not_run(
        RefusalReason.TARGET_LOST,
        f"target {target} did not reply to a read",
        RETRY_MS,
    )


def transaction_lost_refusal() -> RefusalError:
    """Return the refusal of a statement whose transaction lost its connection."""
    return not_run(
        RefusalReason.TRANSACTION_LOST,
        "the connection of the transaction was lost",
        RETRY_MS,
    )
