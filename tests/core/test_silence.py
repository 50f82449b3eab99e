"""Attempt timeouts and the retry budget for unresponsive servers."""

from __future__ import annotations

from wisteriastair.core.silence import (
    MAX_RETRY_BUDGET,
    MIN_TIMEOUT_S,
    RETRY_FRACTION,
    TIMEOUT_FACTOR,
    Silence,
)


def test_an_attempt_times_out_after_a_multiple_of_the_mean_response_time() -> None:
    policy = Silence()
    assert policy.limit_s("svc") is None, "no response time is known yet"
    policy.answered("svc", 0.01)
    assert policy.limit_s("svc") == MIN_TIMEOUT_S
    for _ in range(300):
        policy.answered("svc", 0.2)
    limit_s = policy.limit_s("svc")
    assert limit_s is not None and limit_s > 0.9 * TIMEOUT_FACTOR * 0.2
    assert policy.limit_s("other") is None


def test_retries_to_an_overloaded_service_are_limited() -> None:
    """All servers of a service are unresponsive at once, as under overload.

    If each request were retried on a second server, the load would double when the
    service can handle it least. Only a tenth of the requests may be retried.
    """
    policy = Silence()
    policy.answered("svc", 0.01)
    retries = 0
    for _ in range(1_000):
        policy.asked()
        if policy.limit_s("svc") is not None:
            policy.repeated()
            retries += 1
    assert retries <= 1_000 * RETRY_FRACTION + MAX_RETRY_BUDGET
