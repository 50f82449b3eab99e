"""Pace of servers: learning from streams, reported figures, and silence."""

from __future__ import annotations

import pytest

from wisteriastair.scheduling.fleet import Fleet, Server
from wisteriastair.scheduling.pace import (
    MAX_SILENCE_BACKOFF_S,
    SAMPLE_HALF_LIFE_S,
    SILENCE_BACKOFF_S,
    ServerPace,
    ServicePace,
)

TOKENS = 44


def stream(
    pace: ServerPace,
    service: ServicePace,
    token_ms: float,
    *,
    at: float = 0.0,
    figure: float | None = 100.0,
) -> None:
    """Run a stream of six events alone on a server."""
    timer = pace.start(at, 1)
    pace.record_figure(figure)
    timer.correction = 1.0 + pace.figure_excess
    now = at
    for _ in range(6):
        now += token_ms * TOKENS / 1000
        pace.record_events(timer, 1, now)
    pace.record_stream(timer, service, now, tokens_per_event=TOKENS, missing_tokens=0.0)
    pace.end(timer, now)


def make_service(token_ms: float = 1.0) -> ServicePace:
    """Return a service with enough samples that one server does not change it."""
    service = ServicePace()
    for _ in range(31):
        service.record_token_ms(token_ms)
    return service


def refreshed(pace: ServerPace, service: ServicePace, now: float) -> float:
    pace.refresh(service, now, 1.0, 0.0)
    return pace.token_ms


def test_a_disturbance_does_not_change_the_estimate() -> None:
    """Two of seven streams met a disturbance of which the server reported nothing.

    With a moving average the server would count as slow long after the disturbance.
    """
    pace, service = ServerPace(), make_service()
    for number in range(7):
        token_ms = 2.5 if number in (3, 6) else 1.0
        stream(pace, service, token_ms, at=number, figure=None)
    assert refreshed(pace, service, 7.0) == pytest.approx(1.0, rel=0.02)


def test_a_slow_server_is_known_after_a_few_streams() -> None:
    pace, service = ServerPace(), make_service()
    for number in range(3):
        stream(pace, service, 1 / 0.46, at=number)
    assert refreshed(pace, service, 3.0) > 1.7


def test_a_reported_disturbance_explains_a_slow_stream() -> None:
    """The only stream on a server met a disturbance that the server reported.

    Otherwise a relay would avoid the server for minutes, as it never measures it again.
    """
    pace, service = ServerPace(), make_service()
    stream(pace, service, 2.5, figure=250.0)
    assert refreshed(pace, service, 1.0) == pytest.approx(1.0, rel=0.02)


@pytest.mark.parametrize("figure", [1.0, 10.0, 400.0, 10_000.0])
def test_a_server_that_always_reports_a_wrong_figure_gains_nothing(
    figure: float,
) -> None:
    """A slow server reports that it is fast, or that it is disturbed.

    Neither may make it look faster than the service.
    """
    pace, service = ServerPace(), make_service()
    for number in range(10):
        stream(pace, service, 1 / 0.46, at=number, figure=figure)
    assert refreshed(pace, service, 10.0) > 1.7
    assert pace.figure_excess == pytest.approx(0.0)


def test_a_false_disturbance_does_not_make_a_server_look_fast() -> None:
    """A usual server reports a disturbance in every second response."""
    pace, service = ServerPace(), make_service()
    for number in range(10):
        stream(pace, service, 1.0, at=number, figure=400.0 if number % 2 else 100.0)
    assert refreshed(pace, service, 10.0) >= 0.99


def test_old_samples_lose_their_weight() -> None:
    """A server that was slow is usual now, and got no requests since.

    If the estimate stayed, it would never get one again.
    """
    pace, service = ServerPace(), make_service()
    for number in range(3):
        stream(pace, service, 2.2, at=number)
    assert refreshed(pace, service, 5 * SAMPLE_HALF_LIFE_S) < 1.2


def test_a_restarted_server_has_no_pace() -> None:
    """A slow server restarts on another machine under the same id."""
    fleet, service = Fleet(), make_service()
    server = Server("s1", "svc", "a:1", "d", 6, False, 0.0, born=1)
    fleet.put(server)
    before = fleet.get("s1")
    assert before is not None
    for number in range(5):
        stream(before.pace, service, 3.0, at=number)
    fleet.put(server._replace(born=2))
    after = fleet.get("s1")
    assert after is not None
    assert refreshed(after.pace, service, 5.0) == pytest.approx(1.0)


def test_a_cold_server_is_assumed_slow_and_not_measured() -> None:
    """Streams on a server that is warming up say nothing about its pace."""
    pace, service = ServerPace(), make_service()
    pace.refresh(service, 0.0, 1.0, 3.0)
    assert pace.token_ms == pytest.approx(2.0)
    stream(pace, service, 3.0, at=0.5)
    pace.refresh(service, 4.0, 1.0, 3.0)
    assert pace.token_ms == pytest.approx(1.0)


def test_running_requests_do_not_count_as_a_slow_server() -> None:
    """A full server decodes more slowly, which is not its pace."""
    pace, service = ServerPace(), make_service()
    for number in range(7):
        timer = pace.start(number, 1)
        timer.running = 6
        now = float(number)
        for _ in range(6):
            now += 1.25 * TOKENS / 1000
            pace.record_events(timer, 1, now)
        pace.record_stream(
            timer, service, now, tokens_per_event=TOKENS, missing_tokens=0.0
        )
        pace.end(timer, now)
    assert refreshed(pace, service, 7.0) == pytest.approx(1.0, rel=0.02)


def test_a_slow_caller_does_not_make_a_server_slow_or_silent() -> None:
    """The caller does not read for two seconds in the middle of a stream."""
    pace, service = ServerPace(), make_service()
    timer = pace.start(0.0, 1)
    pace.record_events(timer, 1, 0.05)
    pace.record_events(timer, 1, 0.1)
    timer.is_paused = True
    assert not pace.is_avoided(2.0)
    timer.resume(2.1)
    pace.record_events(timer, 1, 2.1)
    pace.record_events(timer, 1, 2.15)
    assert timer.gaps_ms == pytest.approx([50.0, 50.0])
    timer.is_paused = True
    assert not pace.end(timer, 4.0)
    assert refreshed(pace, service, 4.0) == pytest.approx(1.0)


def test_a_plain_server_is_measured_by_its_response_time() -> None:
    service = ServicePace()
    usual, slow = ServerPace(), ServerPace()
    for number in range(10):
        for pace, seconds in ((usual, 0.05), (usual, 0.05), (slow, 0.11)):
            timer = pace.start(number, 1)
            pace.record_response(timer, service, number + seconds)
            pace.end(timer, number + seconds)
    assert refreshed(slow, service, 10.0) > 1.7 * refreshed(usual, service, 10.0)


def test_a_server_with_a_silent_stream_is_avoided() -> None:
    """A server accepts requests and sends nothing."""
    pace, service = ServerPace(), make_service()
    pace.refresh(service, 0.0, 1.0, 0.0)
    pace.start(0.0, 1)
    assert not pace.is_avoided(0.2)
    assert 0.25 <= pace.check_at <= 1.0
    assert pace.is_avoided(1.0)


def test_a_stream_that_stops_after_some_events_is_silent() -> None:
    pace = ServerPace()
    timer = pace.start(0.0, 1)
    pace.record_events(timer, 1, 0.1)
    assert not pace.is_avoided(0.55)
    assert pace.is_avoided(1.2)


def test_a_hanging_server_is_probed_with_single_requests() -> None:
    """A server hangs for a long time; callers leave, so nothing is in flight there.

    Without a pause it would look idle and draw requests again and again.
    """
    pace = ServerPace()
    now, probes = 0.0, 0
    while now < 60.0:
        if pace.is_avoided(now):
            now += 0.1
            continue
        timer = pace.start(now, 1)
        probes += 1
        assert probes == 1 or pace.is_avoided(now), "one probe at a time"
        now += 2.0
        assert pace.end(timer, now)
        assert pace.silent_until <= now + MAX_SILENCE_BACKOFF_S
    assert probes <= 9
    timer = pace.start(now, 1)
    pace.record_events(timer, 1, now + 0.1)
    assert not pace.is_avoided(now + 0.1)
    assert pace.silent_ends == 0


def test_a_stuck_stream_beside_working_ones_does_not_stop_a_server() -> None:
    """One stream breaks off in silence while another on the server gets its events."""
    pace = ServerPace()
    stuck, working = pace.start(0.0, 1), pace.start(0.0, 2)
    pace.record_events(working, 1, 1.9)
    assert not pace.end(stuck, 2.0)
    assert not pace.is_avoided(2.0)


def test_the_first_pause_is_short() -> None:
    """A single silent end may be the network's; the server is back after a second."""
    pace = ServerPace()
    pace.end(pace.start(0.0, 1), 2.0)
    assert pace.is_avoided(2.0 + SILENCE_BACKOFF_S / 2)
    assert not pace.is_avoided(2.0 + SILENCE_BACKOFF_S)


def test_failure_a_configuration_without_tokens_per_event() -> None:
    """The end of each stream would raise an exception, and its turn would fail."""
    pace, service = ServerPace(), make_service()
    timer = pace.start(0.0, 1)
    for number in range(1, 4):
        pace.record_events(timer, 1, number * 0.05)
    pace.record_stream(timer, service, 0.15, tokens_per_event=0, missing_tokens=0.0)
    pace.end(timer, 0.15)
    assert pace.sampled_ms == 0.0
    assert service.output_tokens > 0.0
