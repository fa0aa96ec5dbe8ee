"""Decides which statements run again at another target, and accounts for them."""

from typing import Final

from ..connection.session_state import SessionState
from ..connection.session_target import SessionTargetReply, StatementFault
from ..decision_log import DecisionLog
from ..metrics import Metrics
from .refusal import RefusalError, RefusalReason
from .retry_budget import RetryBudget
from .session_statement import (
    SessionStatement,
    SessionStatementKind,
    TransactionMode,
)
from .verdict import Verdict

HEDGE: Final = "hedge"
"""Cause of a second attempt while the first has no answer yet."""

REPEATABLE_FAULTS: Final = frozenset({StatementFault.FAILED, StatementFault.TIMEOUT})
"""Errors of a target after which a read may succeed at another one."""

FINAL_REASONS: Final = frozenset(
    {RefusalReason.TRANSACTION_LOST, RefusalReason.RATE_LIMITED}
)
"""Refusals after which no other target may run the statement. The first statement of a
lost transaction was sent and must not run on a second connection; a rate limit covers
all targets."""


class StatementRetries:
    """Decide which statements of one host run again, within its budget."""

    __slots__ = ("budget", "decisions", "metrics")

    def __init__(
        self, budget: RetryBudget, decisions: DecisionLog, metrics: Metrics
    ) -> None:
        self.budget = budget
        self.decisions = decisions
        self.metrics = metrics

    def record_success(self) -> None:
        """Earn the tokens of a successful statement."""
        self.budget.record_success()

    def allows(
        self,
        statement: SessionStatement,
        target: str,
        cause: str,
        reserve: float = 0.0,
    ) -> bool:
        """Spend the budget for one more attempt; return whether there was any.

        :param target: the target that did not serve the statement.
        :param reserve: tokens that this attempt must leave.
        """
        if not self.budget.try_spend(reserve):
            self.metrics.increment("retries.budget_spent")
            return False
        self.metrics.increment(f"retries.{cause}")
        self.decisions.record(
            "retried",
            id=statement.id,
            target=target,
            cause=cause,
            budget=round(self.budget.tokens, 1),
        )
        return True


def is_single_read(statement: SessionStatement) -> bool:
    """Return whether a statement is a read outside transactions."""
    return statement.kind is SessionStatementKind.READ and not statement.transaction


def is_repeatable_read(statement: SessionStatement) -> bool:
    """Return whether a statement may run at another target if it has not run.

    These are reads outside transactions and first statements of read-only
    transactions.
    """
    if statement.kind is not SessionStatementKind.READ:
        return False
    return not statement.transaction or statement.begin is TransactionMode.READ


def may_repeat_after_reply(
    statement: SessionStatement, reply: SessionTargetReply
) -> bool:
    """Return whether a statement that a target answered may run at another one.

    A read that failed has run, and repeating it is safe. The first statement of a
    read-only transaction has not run if the target refused to begin, which leaves its
    connection without a transaction.
    """
    if reply.fault not in REPEATABLE_FAULTS:
        return False
    if is_single_read(statement):
        return True
    return is_repeatable_read(statement) and reply.state is SessionState.IDLE


def may_repeat_after_refusal(
    statement: SessionStatement, refusal: RefusalError
) -> bool:
    """Return whether a refused statement may run at another target."""
    if refusal.verdict is not Verdict.NOT_RUN or refusal.reason in FINAL_REASONS:
        return False
    return is_repeatable_read(statement)
