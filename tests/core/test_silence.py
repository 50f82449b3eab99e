"""A server that takes requests and answers none, alone and when all do so."""

from __future__ import annotations

from wisteriastair.core.silence import (
    MAX_RETRY_BUDGET,
    MIN_TIMEOUT_S,
    RETRY_FRACTION,
    TIMEOUT_FACTOR,
    Silence,
)


def test_a_server_is_silent_after_several_times_the_usual_answer() -> None:
    silence = Silence()
    assert silence.limit_s("svc") is None, "nothing is usual yet"
    silence.answered("svc", 0.01)
    assert silence.limit_s("svc") == MIN_TIMEOUT_S
    for _ in range(300):
        silence.answered("svc", 0.2)
    limit_s = silence.limit_s("svc")
    assert limit_s is not None and limit_s > 0.9 * TIMEOUT_FACTOR * 0.2
    assert silence.limit_s("other") is None


def test_an_overloaded_service_is_spared_repeats() -> None:
    """All servers of a service are silent at once, as in the worst of a burst.

    If each request went to a second server the service would have twice the load when
    it can bear least.  Only a tenth of the requests are sent again.
    """
    silence = Silence()
    silence.answered("svc", 0.01)
    repeated = 0
    for _ in range(1_000):
        silence.asked()
        if silence.limit_s("svc") is not None:
            silence.repeated()
            repeated += 1
    assert repeated <= 1_000 * RETRY_FRACTION + MAX_RETRY_BUDGET
