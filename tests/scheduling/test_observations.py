"""Own requests at a server and their outcomes."""

from __future__ import annotations

from wisteriastair.scheduling.observations import (
    MIN_SILENT_S,
    SILENT_FACTOR,
    WINDOW_S,
    Observations,
)


def test_tokens_and_requests_are_counted_while_in_flight() -> None:
    seen = Observations()
    first, second = seen.open(100, 0.0), seen.open(-5, 0.0)
    assert (seen.in_flight, seen.reserved_tokens) == (2, 100)
    seen.close(first, 1.0, succeeded=True)
    seen.close(second, 1.0, succeeded=None)
    assert (seen.in_flight, seen.reserved_tokens) == (0, 0)


def test_outcomes_count_for_a_second() -> None:
    seen = Observations()
    for outcome in (True, False, False, None):
        seen.close(seen.open(0, 0.0), 0.0, succeeded=outcome)
    assert (seen.successes(0.5), seen.failures(0.5)) == (1, 2)
    assert (seen.successes(WINDOW_S + 0.1), seen.failures(WINDOW_S + 0.1)) == (0, 0)
    assert seen.is_idle(WINDOW_S + 0.1)


def test_a_request_without_data_becomes_silent() -> None:
    """A server that accepts requests and answers none looks idle otherwise."""
    seen = Observations()
    req = seen.open(0, 0.0)
    assert seen.silent(MIN_SILENT_S) == 0
    assert seen.silent(MIN_SILENT_S + 0.1) == 1
    req.record_data(MIN_SILENT_S + 0.1)
    assert seen.silent(MIN_SILENT_S + 0.2) == 0


def test_a_wait_that_is_usual_is_not_silence() -> None:
    """Under load, requests wait in the queue of the server for their first event."""
    seen = Observations()
    for n in range(60):
        req = seen.open(0, 10.0 * n)
        req.record_data(10.0 * n + 2.0)
        seen.close(req, 10.0 * n + 2.0, succeeded=True)
    seen.open(0, 1000.0)
    assert seen.silent(1000.0 + 0.9 * SILENT_FACTOR * 2.0) == 0
    assert seen.silent(1000.0 + 1.1 * SILENT_FACTOR * 2.0) == 1


def test_a_slow_caller_does_not_make_its_server_look_silent() -> None:
    """While the caller reads slowly, this process reads nothing from the server."""
    seen = Observations()
    req = seen.open(0, 0.0)
    req.record_data(0.1)
    req.pause()
    assert seen.silent(10.0) == 0
    req.resume(10.0)
    assert seen.silent(10.5) == 0
    assert seen.silent(10.1 + MIN_SILENT_S) == 1
