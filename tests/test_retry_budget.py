"""The retry budget: retries that feed an overload, a budget that never recovers."""

from reedhook.request.retry_budget import (
    EXHAUSTED_SECONDS,
    MAX_TOKENS,
    MIN_TOKENS,
    TOKENS_PER_SUCCESS,
    RetryBudget,
)

from .timeline_fakes import HandClock


def spend_all(budget: RetryBudget) -> int:
    """Return how many retries the budget allows now."""
    retries = 0
    while budget.try_spend():
        retries += 1
    return retries


def test_retries_are_a_fifth_of_the_successes_in_an_overload() -> None:
    budget = RetryBudget(HandClock(0.0))
    retries = 0
    for _ in range(1000):
        budget.record_success()
        retries += budget.try_spend()
    assert retries <= MIN_TOKENS + 1000 * TOKENS_PER_SUCCESS + 1
    assert budget.tokens >= 0.0


def test_tokens_are_bounded() -> None:
    budget = RetryBudget(HandClock(0.0))
    assert spend_all(budget) == MIN_TOKENS
    for _ in range(10_000):
        budget.record_success()
    assert spend_all(budget) == MAX_TOKENS


def test_exhausted_budget_gets_tokens_again_after_ten_seconds() -> None:
    clock = HandClock(0.0)
    budget = RetryBudget(clock)
    spend_all(budget)
    clock.now += EXHAUSTED_SECONDS - 0.1
    assert not budget.try_spend()
    clock.now += 0.2
    assert spend_all(budget) == MIN_TOKENS
    clock.now += 0.5 * EXHAUSTED_SECONDS
    assert not budget.try_spend()


def test_budget_that_has_earned_a_token_is_not_refilled() -> None:
    clock = HandClock(0.0)
    budget = RetryBudget(clock)
    spend_all(budget)
    for _ in range(6):
        budget.record_success()
    clock.now += 2 * EXHAUSTED_SECONDS
    assert spend_all(budget) == 1
