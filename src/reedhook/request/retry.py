"""What may follow a refusal: nothing, another member, or news of a primary."""

from enum import Enum, auto
from typing import Final

from .refusal import Reason, Refusal, may_have_run
from .verdict import Verdict


class Reaction(Enum):
    """Name what a router does after a refusal."""

    FINAL = auto()
    ELSEWHERE = auto()
    NEWS = auto()


MEMBER_FAULTS: Final = frozenset(
    {
        Reason.DRAINING,
        Reason.TARGET_LEAVING,
        Reason.TARGET_LOST,
        Reason.TARGET_FULL,
        Reason.TARGET_UNREACHABLE,
        Reason.HOST_UNREACHABLE,
        Reason.WRONG_HOME,
    }
)
LOST_PRIMARY: Final = MEMBER_FAULTS | {
    Reason.NO_PRIMARY,
    Reason.SUPERSEDED,
    Reason.UNCONFIRMED,
    Reason.AGE_UNPROVED,
    Reason.NOT_COVERED,
}
ELSEWHERE: Final = LOST_PRIMARY | {Reason.OVERLOADED}


def reaction(refusal: Refusal, repeatable: bool, at_primary: bool) -> Reaction:
    """Say what may follow `refusal`.

    :param repeatable: whether a repetition after an attempt that may have run
        is safe.
    :param at_primary: whether the primary refused.
    """
    if refusal.verdict is not Verdict.NOT_RUN and not repeatable:
        return Reaction.FINAL
    if not at_primary and refusal.reason in ELSEWHERE:
        return Reaction.ELSEWHERE
    if at_primary and refusal.reason in LOST_PRIMARY:
        return Reaction.NEWS
    return Reaction.FINAL


def final(refusal: Refusal, doubtful: bool) -> Refusal:
    """Return the refusal for the caller after all attempts.

    Once an attempt may have run, no later refusal can take that back.
    """
    if not doubtful or refusal.verdict is Verdict.MAY_HAVE_RUN:
        return refusal
    detail = f"an earlier attempt may have run; then: {refusal.detail}"
    return may_have_run(refusal.reason, detail, refusal.retry_after_ms)
