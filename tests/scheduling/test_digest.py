"""What a relay reports of each server."""

from __future__ import annotations

import math

import pytest

from tests.scheduling.fixed_pace import FixedPace
from wisteriastair.scheduling.digest import (
    MAX_PACE,
    MAX_REPORTED,
    PACE_REFRESH_S,
    REFRESH_S,
    TOKENS_PER_UNIT,
    DigestSource,
    server_key,
)
from wisteriastair.scheduling.fleet import Fleet, Server, ServerState


def state(number: int) -> ServerState:
    return ServerState(Server(f"s{number}", "svc", "a:1", "d", 8, False, 0.0, 3))


def test_idle_servers_are_not_reported() -> None:
    servers = Fleet()
    for n in range(3):
        servers.put(state(n).server)
    busy = servers.get("s1")
    assert busy is not None
    assert servers.active_states(0.0) == []
    req = busy.observations.open(1, 0.0)
    assert servers.active_states(0.0) == [busy]
    busy.observations.close(req, 0.0, succeeded=True)
    assert servers.active_states(0.5) == [busy]
    assert servers.active_states(2.0) == []
    assert DigestSource().next_observations(servers.active_states(2.0), 2.0) == []


def test_an_unchanged_server_is_reported_again_after_the_refresh_time() -> None:
    source, server = DigestSource(), state(0)
    server.observations.open(3 * TOKENS_PER_UNIT, 0.0)
    (seen,) = source.next_observations([server], 0.0)
    assert (seen.server, seen.in_flight) == (server_key("s0.3"), 1)
    assert seen.token_units == 3
    assert source.next_observations([server], REFRESH_S / 2) == []
    assert source.next_observations([server], REFRESH_S) == [seen]


def test_the_end_of_the_last_request_is_reported_once() -> None:
    source, server = DigestSource(), state(0)
    req = server.observations.open(10, 0.0)
    source.next_observations([server], 0.0)
    server.observations.close(req, 0.1, succeeded=None)
    (seen,) = source.next_observations([], 0.2)
    assert (seen.server, seen.in_flight) == (server_key("s0.3"), 0)
    assert source.next_observations([], 0.4) == []


def test_changed_servers_come_first_and_the_rest_later() -> None:
    """A report is bounded, and no server may be left out for ever."""
    source = DigestSource()
    servers = [state(n) for n in range(MAX_REPORTED + 10)]
    for server in servers:
        server.observations.open(10, 0.0)
    first = source.next_observations(servers, 0.0)
    assert len(first) == MAX_REPORTED
    reported = {seen.server for seen in first}
    left = {server_key(s.incarnation) for s in servers} - reported
    second = source.next_observations(servers, REFRESH_S)
    assert left <= {seen.server for seen in second}


@pytest.mark.parametrize(
    ("pace", "expected"),
    [(0.935, 94), (0.0, 0), (-1.0, 0), (math.nan, 0), (math.inf, 0), (1e30, MAX_PACE)],
)
def test_pace_is_limited_and_repeated_rarely(pace: float, expected: int) -> None:
    source, server = DigestSource(), state(0)
    server.pace = FixedPace(pace)
    server.observations.open(10, 0.0)
    paces = [
        source.next_observations([server], 0.25 * n)[0].pace
        for n in range(round(PACE_REFRESH_S / 0.25))
    ]
    assert paces[0] == expected
    if expected:
        assert set(paces[1:]) == {0}
