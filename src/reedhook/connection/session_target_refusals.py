"""Why the home of a target does not run, or loses, a statement."""

from typing import Final

from ..request.refusal import RefusalError, RefusalReason, may_have_run, not_run

RETRY_MS: Final = 50
"""When to come back after a connection was lost, in milliseconds."""


def home_closed_refusal() -> RefusalError:
    """Return the refusal of a statement that waited at a home which is closed."""
    return not_run(RefusalReason.TARGET_UNREACHABLE, "the home was closed", RETRY_MS)


def target_stalled_refusal(target: str) -> RefusalError:
    """Return the refusal of a statement that would wait for a silent target."""
    return not_run(
        RefusalReason.TARGET_UNREACHABLE,
        f"the target {target} answers nothing",
        RETRY_MS,
    )


def unanswered_write_refusal(target: str) -> RefusalError:
    """Return the refusal of a write or commit that was sent and not answered."""
    return may_have_run(
        RefusalReason.TARGET_UNREACHABLE,
        f"the target {target} was asked and gave no answer",
    )


def unanswered_read_refusal(target: str) -> RefusalError:
    """Return the refusal of a read that was sent and not answered.

    It has no effect, so that nothing of it is kept.
    """
    return not_run(
        RefusalReason.TARGET_LOST,
        f"the target {target} gave no answer to a read",
        RETRY_MS,
    )


def transaction_lost_refusal() -> RefusalError:
    """Return the refusal of a statement whose transaction lost its connection."""
    return not_run(
        RefusalReason.TRANSACTION_LOST,
        "the connection of the transaction was lost",
        RETRY_MS,
    )
