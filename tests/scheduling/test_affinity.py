"""Prefix affinity, simulated with engines that have little memory."""

from __future__ import annotations

import heapq
import random
from collections import OrderedDict
from typing import Final, NamedTuple

from wisteriastair.scheduling.affinity import ACTIVE_WINDOW_S, PrefixAffinity
from wisteriastair.scheduling.choice import SelectionContext, select_server
from wisteriastair.scheduling.fleet import Fleet, Load, Server

RELAYS: Final = 8
DOMAINS: Final = 2
SERVERS: Final = 10
SLOTS: Final = 8
PREFIX_TOKENS: Final = 12_600
PREFIXES: Final = 16
MEMORY_TOKENS: Final = 240_000
# Tokens of shared prefixes that an engine caches; the rest is for running requests.
PREFIX_CACHE_TOKENS: Final = 100_000


class SimulationResult(NamedTuple):
    """Fraction of prefixes computed again, and the highest relative load."""

    recomputed_fraction: float
    max_relative_load: float


def make_fleet() -> Fleet:
    fleet = Fleet()
    for number in range(SERVERS):
        domain = f"d{number % DOMAINS}"
        fleet.put(Server(f"s{number}", "svc", "a:1", domain, SLOTS, False, 0.0))
    return fleet


def simulate(
    memory_tokens: int, *, requests_per_s: float = 150.0, service_time_s: float = 0.25
) -> SimulationResult:
    """Simulate 20 s of turns with an uneven popularity of prefixes."""
    rng = random.Random(3)
    fleets = [make_fleet() for _ in range(RELAYS)]
    affinities = [PrefixAffinity(memory_tokens) for _ in range(RELAYS)]
    all_servers = frozenset(f"s{n}" for n in range(SERVERS))
    caches: dict[str, OrderedDict[str, None]] = {n: OrderedDict() for n in all_servers}
    running = dict.fromkeys(all_servers, 0)
    served = dict.fromkeys(all_servers, 0)
    weights = [1 / (index + 1) ** 0.84 for index in range(PREFIXES)]
    ends: list[tuple[float, int, str]] = []
    hits = misses = 0
    now = 0.0
    while now < 20.0:
        now += rng.expovariate(requests_per_s)
        while ends and ends[0][0] <= now:
            end, relay, name = heapq.heappop(ends)
            running[name] -= 1
            state = fleets[relay].get(name)
            assert state is not None
            state.in_flight -= 1
            state.record_load(Load(running[name], 0, SLOTS), end)
        relay = rng.randrange(RELAYS)
        prefix = f"b{rng.choices(range(PREFIXES), weights)[0]}"
        affinities[relay].record_use(prefix, PREFIX_TOKENS, now)
        servers = fleets[relay].eligible_servers("svc", now)
        affinity_servers = affinities[relay].affinity_servers(prefix, servers)
        context = SelectionContext(
            f"d{relay % DOMAINS}", (), frozenset(), 20.0, all_servers, affinity_servers
        )
        chosen = select_server(servers, context, rng.randrange, now)
        assert chosen is not None
        name = chosen.server.id
        chosen.in_flight += 1
        running[name] += 1
        served[name] += 1
        cache = caches[name]
        if prefix in cache:
            hits += 1
            cache.move_to_end(prefix)
        else:
            misses += 1
            cache[prefix] = None
            if len(cache) * PREFIX_TOKENS > PREFIX_CACHE_TOKENS:
                cache.popitem(last=False)
        heapq.heappush(
            ends, (now + service_time_s * rng.uniform(0.5, 1.5), relay, name)
        )
    mean = sum(served.values()) / SERVERS
    return SimulationResult(misses / (hits + misses), max(served.values()) / mean)


def test_affinity_avoids_recomputing_prefixes_that_do_not_fit_together() -> None:
    """Sixteen prefixes are in use, and a server can cache seven of them.

    If each server gets each prefix, it evicts the one that the next request needs, and
    prefixes of 12,600 tokens are computed again and again. With affinity they stay
    cached, and the servers remain about equally loaded.
    """
    with_affinity = simulate(MEMORY_TOKENS)
    without_affinity = simulate(0)
    assert without_affinity.recomputed_fraction > 0.25
    assert with_affinity.recomputed_fraction < without_affinity.recomputed_fraction / 3
    assert with_affinity.max_relative_load < 1.35


def test_prefixes_that_fit_are_not_restricted() -> None:
    affinities = PrefixAffinity(520_000)
    servers = make_fleet().eligible_servers("svc", 0.0)
    for number in range(6):
        affinities.record_use(f"b{number}", PREFIX_TOKENS, 0.0)
    assert affinities.affinity_servers("b0", servers) == frozenset()


def test_unused_prefixes_expire() -> None:
    affinities = PrefixAffinity(MEMORY_TOKENS)
    servers = make_fleet().eligible_servers("svc", 0.0)
    for number in range(PREFIXES):
        affinities.record_use(f"b{number}", PREFIX_TOKENS, 0.0)
    assert affinities.affinity_servers("b0", servers)
    affinities.record_use("b0", PREFIX_TOKENS, ACTIVE_WINDOW_S + 1.0)
    assert affinities.affinity_servers("b0", servers) == frozenset()


def test_relays_agree_and_a_removed_server_moves_only_its_own_prefixes() -> None:
    fleet = make_fleet()
    before = fleet.eligible_servers("svc", 0.0)
    after = [state for state in before if state.server.id != "s0"]
    first, second = PrefixAffinity(MEMORY_TOKENS), PrefixAffinity(MEMORY_TOKENS)
    for number in range(PREFIXES):
        first.record_use(f"b{number}", PREFIX_TOKENS, 0.0)
        second.record_use(f"b{PREFIXES - 1 - number}", PREFIX_TOKENS, 0.0)
    for number in range(PREFIXES):
        affinity_servers = first.affinity_servers(f"b{number}", before)
        assert affinity_servers == second.affinity_servers(f"b{number}", before)
        assert {s.server.domain for s in before if s.server.id in affinity_servers} == {
            "d0",
            "d1",
        }
        assert affinity_servers - {"s0"} <= first.affinity_servers(f"b{number}", after)
