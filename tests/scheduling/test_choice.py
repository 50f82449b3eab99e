"""Server selection, simulated with several relays and delayed load reports."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from typing import NamedTuple

from wisteriastair.scheduling.choice import SelectionContext, select_server
from wisteriastair.scheduling.fleet import Fleet, Load, Server, ServerState
from wisteriastair.scheduling.reuse import PromptSegment

RELAYS = 5
SERVERS = 6
SLOTS = 16


class SimulationResult(NamedTuple):
    """Load of each server relative to the mean, and the longest queue."""

    relative_loads: dict[str, float]
    max_waiting: int


def make_fleet() -> Fleet:
    fleet = Fleet()
    for number in range(SERVERS):
        domain = f"d{number % 3}"
        server = Server(f"s{number}", "svc", "a:1", domain, SLOTS, False, 0.0)
        fleet.put(server)
    return fleet


def simulate(
    *,
    requests_per_s: float,
    service_time_s: float,
    slow_server: str = "",
    size_kb: float = 0.0,
) -> SimulationResult:
    """Simulate 20 s of requests to servers that report load in each response."""
    rng = random.Random(7)
    fleets = [make_fleet() for _ in range(RELAYS)]
    all_servers = frozenset(f"s{n}" for n in range(SERVERS))
    running = dict.fromkeys(all_servers, 0)
    served = dict.fromkeys(all_servers, 0)
    ends: list[tuple[float, int, str]] = []
    max_waiting = 0
    now = 0.0
    while now < 20.0:
        now += rng.expovariate(requests_per_s)
        while ends and ends[0][0] <= now:
            end, relay, name = heapq.heappop(ends)
            running[name] -= 1
            state = server_state(fleets[relay], name)
            state.in_flight -= 1
            state.record_load(Load(running[name], 0, SLOTS), end)
            state.record_success(service_time_s * (3 if name == slow_server else 1))
        relay = rng.randrange(RELAYS)
        context = SelectionContext(
            f"d{relay % 3}", (), frozenset(), size_kb, all_servers
        )
        selected = select_server(
            fleets[relay].eligible_servers("svc", now), context, rng.randrange, now
        )
        assert selected is not None
        name = selected.server.id
        selected.in_flight += 1
        running[name] += 1
        served[name] += 1
        max_waiting = max(max_waiting, running[name] - SLOTS)
        factor = 3 if name == slow_server else 1
        duration_s = service_time_s * factor * rng.uniform(0.5, 1.5)
        heapq.heappush(ends, (now + duration_s, relay, name))
    mean = sum(served.values()) / SERVERS
    return SimulationResult({n: c / mean for n, c in served.items()}, max_waiting)


def server_state(fleet: Fleet, name: str) -> ServerState:
    state = fleet.get(name)
    assert state is not None
    return state


def test_independent_relays_spread_a_high_load() -> None:
    """Five relays send 250 requests per second to six servers at two-thirds load.

    Each relay knows its own requests, and reports as old as its last response from a
    server. If all selected the server with the lowest reported load, it would be
    overloaded while others idle.
    """
    result = simulate(requests_per_s=250, service_time_s=0.25)
    assert max(result.relative_loads.values()) < 1.15
    assert result.max_waiting <= 6


def test_a_slow_server_gets_fewer_requests() -> None:
    result = simulate(requests_per_s=120, service_time_s=0.25, slow_server="s2")
    assert 0.2 < result.relative_loads["s2"] < 0.6
    assert result.max_waiting <= 0


def test_large_requests_stay_in_their_domain_while_it_has_capacity() -> None:
    """At low load, requests of 20 kB leave a domain only if it is loaded."""
    fleet = make_fleet()
    rng = random.Random(1)
    all_servers = frozenset(f"s{n}" for n in range(SERVERS))
    context = SelectionContext("d1", (), frozenset(), 20.0, all_servers)
    for _ in range(50):
        chosen = select_server(
            fleet.eligible_servers("svc", 0.0), context, rng.randrange, 0.0
        )
        assert chosen is not None and chosen.server.domain == "d1"
    for name in ("s1", "s4"):
        server_state(fleet, name).in_flight = 4
    chosen = select_server(
        fleet.eligible_servers("svc", 0.0), context, rng.randrange, 0.0
    )
    assert chosen is not None and chosen.server.domain != "d1"


def many_servers(count: int) -> Fleet:
    fleet = Fleet()
    for number in range(count):
        domain = f"d{number % 5}"
        fleet.put(Server(f"s{number}", "svc", "a:1", domain, 6, False, 0.0))
    return fleet


def test_preferred_servers_are_compared_among_many() -> None:
    """Comparing all of 1,500 servers took 8 ms of CPU time per selection.

    The server that has the prompt cached and the rendezvous server must be among those
    compared, and an idle connection must be used if nothing else differs.
    """
    rng = random.Random(3)
    fleet = many_servers(1_500)
    servers = fleet.eligible_servers("svc", 0.0)
    segments = (PromptSegment("shared", 12_600), PromptSegment("line", 1_000))
    rendezvous_id = "s701"
    for _ in range(50):
        context = SelectionContext(
            "d1", segments, frozenset(), 17.0, frozenset(), rendezvous_id=rendezvous_id
        )
        chosen = select_server(servers, context, rng.randrange, 0.0)
        assert chosen is not None and chosen.server.id == rendezvous_id
    server_state(fleet, "s702").cached_segments.add(segments)
    for _ in range(50):
        context = SelectionContext(
            "d1", segments, frozenset(), 17.0, frozenset(), rendezvous_id=rendezvous_id
        )
        chosen = select_server(servers, context, rng.randrange, 0.0)
        assert chosen is not None and chosen.server.id == "s702"
    connected = frozenset(f"s{n}.0" for n in range(1, 200, 5))
    for _ in range(50):
        context = SelectionContext("d1", (), frozenset(), 1.0, connected)
        chosen = select_server(servers, context, rng.randrange, 0.0)
        assert chosen is not None and chosen.incarnation in connected


def test_many_servers_share_a_load_evenly() -> None:
    """60 relays send 4,000 requests at once to 1,000 servers."""
    rng = random.Random(5)
    fleets = [many_servers(1_000) for _ in range(60)]
    counts: Counter[str] = Counter()
    for number in range(4_000):
        fleet = fleets[number % 60]
        context = SelectionContext(f"d{number % 5}", (), frozenset(), 1.0, frozenset())
        chosen = select_server(
            fleet.eligible_servers("svc", 0.0), context, rng.randrange, 0.0
        )
        assert chosen is not None
        chosen.in_flight += 1
        counts[chosen.server.id] += 1
    # Twice the maximum of a fair draw (mean 4, maximum 13 of 1,000 servers).
    assert max(counts.values()) <= 26


def test_servers_that_rejected_a_request_are_not_selected_again() -> None:
    fleet = make_fleet()
    tried = frozenset(f"s{n}" for n in range(SERVERS))
    context = SelectionContext("d1", (), tried, 0.0, frozenset())
    servers = fleet.eligible_servers("svc", 0.0)
    assert select_server(servers, context, random.Random(1).randrange, 0.0) is None
