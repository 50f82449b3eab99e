"""A server that takes requests and answers none, alone and when all do so."""

from __future__ import annotations

from wisteriastair.core.retries import (
    REPEAT_SHARE,
    REPEATS_MOST,
    SILENT_LEAST_S,
    SILENT_TIMES,
    RetryPolicy,
)


def test_a_server_is_silent_after_several_times_the_usual_answer() -> None:
    retry_policy = RetryPolicy()
    assert retry_policy.attempt_timeout_s("svc") is None, "nothing is usual yet"
    retry_policy.record_response("svc", 0.01)
    assert retry_policy.attempt_timeout_s("svc") == SILENT_LEAST_S
    for _ in range(300):
        retry_policy.record_response("svc", 0.2)
    attempt_timeout_s = retry_policy.attempt_timeout_s("svc")
    assert (
        attempt_timeout_s is not None and attempt_timeout_s > 0.9 * SILENT_TIMES * 0.2
    )
    assert retry_policy.attempt_timeout_s("other") is None


def test_an_overloaded_service_is_spared_repeats() -> None:
    """All servers of a service are silent at once, as in the worst of a burst.

    If each request went to a second server the service would have twice the load when
    it can bear least.  Only a tenth of the requests are sent again.
    """
    retry_policy = RetryPolicy()
    retry_policy.record_response("svc", 0.01)
    record_retry = 0
    for _ in range(1_000):
        retry_policy.record_request()
        if retry_policy.attempt_timeout_s("svc") is not None:
            retry_policy.record_retry()
            record_retry += 1
    assert record_retry <= 1_000 * REPEAT_SHARE + REPEATS_MOST
