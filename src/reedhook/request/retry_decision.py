"""Decides how a router proceeds after a refusal."""

from enum import Enum, auto
from typing import Final

from .refusal import RefusalError, RefusalReason, may_have_run
from .verdict import Verdict


class RetryDecision(Enum):
    """Enumerate the actions of a router after a refusal."""

    GIVE_UP = auto()
    TRY_OTHER_MEMBER = auto()
    WAIT_FOR_PRIMARY = auto()


MEMBER_FAULT_REASONS: Final = frozenset(
    {
        RefusalReason.DRAINING,
        RefusalReason.TARGET_LEAVING,
        RefusalReason.TARGET_LOST,
        RefusalReason.TARGET_FULL,
        RefusalReason.TARGET_UNREACHABLE,
        RefusalReason.HOST_UNREACHABLE,
        RefusalReason.WRONG_HOME,
    }
)
PRIMARY_RETRY_REASONS: Final = MEMBER_FAULT_REASONS | {
    RefusalReason.NO_PRIMARY,
    RefusalReason.SUPERSEDED,
    RefusalReason.UNCONFIRMED,
    RefusalReason.AGE_UNPROVED,
    RefusalReason.NOT_COVERED,
}
REPLICA_RETRY_REASONS: Final = PRIMARY_RETRY_REASONS | {RefusalReason.OVERLOADED}


def decide_retry(
    refusal: RefusalError, repeatable: bool, at_primary: bool
) -> RetryDecision:
    """Return how to proceed after `refusal`.

    :param repeatable: whether a retry is safe after an attempt that may have run.
    :param at_primary: whether the primary refused.
    """
    if refusal.verdict is not Verdict.NOT_RUN and not repeatable:
        return RetryDecision.GIVE_UP
    if not at_primary and refusal.reason in REPLICA_RETRY_REASONS:
        return RetryDecision.TRY_OTHER_MEMBER
    if at_primary and refusal.reason in PRIMARY_RETRY_REASONS:
        return RetryDecision.WAIT_FOR_PRIMARY
    return RetryDecision.GIVE_UP


def final_refusal(refusal: RefusalError, effect_unknown: bool) -> RefusalError:
    """Return the refusal for the caller after all attempts.

    If any attempt may have run, so may the request, whatever the last refusal.
    """
    if not effect_unknown or refusal.verdict is Verdict.MAY_HAVE_RUN:
        return refusal
    detail = f"an earlier attempt may have run; then: {refusal.detail}"
    return may_have_run(refusal.reason, detail, refusal.retry_after_ms)
