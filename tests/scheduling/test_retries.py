"""Attempt timeouts and the retry budget for unresponsive servers."""

from __future__ import annotations

from wisteriastair.scheduling.retries import (
    MAX_RETRY_BUDGET,
    MIN_TIMEOUT_S,
    RETRY_FRACTION,
    TIMEOUT_FACTOR,
    RetryPolicy,
    TurnRetryBudget,
)


def test_an_attempt_times_out_after_a_multiple_of_the_mean_response_time() -> None:
    policy = RetryPolicy()
    assert policy.attempt_timeout_s("svc") is None, "no response time is known yet"
    policy.record_response("svc", 0.01)
    assert policy.attempt_timeout_s("svc") == MIN_TIMEOUT_S
    for _ in range(300):
        policy.record_response("svc", 0.2)
    timeout_s = policy.attempt_timeout_s("svc")
    assert timeout_s is not None and timeout_s > 0.9 * TIMEOUT_FACTOR * 0.2
    assert policy.attempt_timeout_s("other") is None


def test_retries_to_an_overloaded_service_are_limited() -> None:
    """All servers of a service are unresponsive at once, as under overload.

    If each request were retried on a second server, the load would double when the
    service can handle it least. Only a tenth of the requests may be retried.
    """
    policy = RetryPolicy()
    policy.record_response("svc", 0.01)
    retries = 0
    for _ in range(1_000):
        policy.record_request()
        if policy.attempt_timeout_s("svc") is not None:
            policy.record_retry()
            retries += 1
    assert retries <= 1_000 * RETRY_FRACTION + MAX_RETRY_BUDGET


def test_rejected_turns_are_retried_only_within_their_budget() -> None:
    """All servers of a service are full and reject each turn.

    If each turn were sent to three servers, an overload would triple itself.
    """
    budget = TurnRetryBudget()
    retries = 0
    for _ in range(1_000):
        budget.record_turn("svc")
        retries += budget.take("svc", is_new_program=False)
    assert retries <= 1_000 * RETRY_FRACTION + MAX_RETRY_BUDGET
    budget.record_turn("other")
    assert budget.take("other", is_new_program=True), "services are independent"


def test_running_programs_have_retries_left_when_new_ones_have_none() -> None:
    """The work done for a running program is lost if its turn finds no server."""
    budget = TurnRetryBudget()
    while budget.take("svc", is_new_program=True):
        pass
    assert budget.take("svc", is_new_program=False)
