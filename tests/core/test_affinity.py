"""Prompts with shared beginnings, replayed before engines with little memory."""

from __future__ import annotations

import heapq
import random
from collections import OrderedDict
from typing import Final, NamedTuple

from wisteriastair.core.affinity import WINDOW_S, PrefixAffinity
from wisteriastair.core.choice import SelectionContext, select_server
from wisteriastair.core.fleet import Fleet, Load, Server

RELAYS: Final = 8
DOMAINS: Final = 2
SERVERS: Final = 10
SLOTS: Final = 8
TOKENS: Final = 12_600
BEGINNINGS: Final = 16
MEMORY: Final = 240_000
# What the engine keeps free of beginnings for requests that run and their own parts.
FOR_BEGINNINGS: Final = 100_000


class Replay(NamedTuple):
    """Beginnings read again for each that was not, and the busiest server's share."""

    read_again: float
    busiest: float


def make_fleet() -> Fleet:
    fleet = Fleet()
    for number in range(SERVERS):
        domain = f"d{number % DOMAINS}"
        fleet.put(Server(f"s{number}", "svc", "a:1", domain, SLOTS, False, 0.0))
    return fleet


def replay(memory: int, *, per_s: float = 150.0, work_s: float = 0.25) -> Replay:
    """Play 20 s of turns; beginnings are asked for as unevenly as subjects are."""
    draw = random.Random(3)
    fleets = [make_fleet() for _ in range(RELAYS)]
    beginnings = [PrefixAffinity(memory) for _ in range(RELAYS)]
    everyone = frozenset(f"s{n}" for n in range(SERVERS))
    caches: dict[str, OrderedDict[str, None]] = {n: OrderedDict() for n in everyone}
    running = dict.fromkeys(everyone, 0)
    served = dict.fromkeys(everyone, 0)
    weights = [1 / (place + 1) ** 0.84 for place in range(BEGINNINGS)]
    ends: list[tuple[float, int, str]] = []
    hits = misses = 0
    now = 0.0
    while now < 20.0:
        now += draw.expovariate(per_s)
        while ends and ends[0][0] <= now:
            end, relay, name = heapq.heappop(ends)
            running[name] -= 1
            state = fleets[relay].get(name)
            assert state is not None
            state.in_flight -= 1
            state.record_load(Load(running[name], 0, SLOTS), end)
        relay = draw.randrange(RELAYS)
        beginning = f"b{draw.choices(range(BEGINNINGS), weights)[0]}"
        beginnings[relay].record_use(beginning, TOKENS, now)
        servers = fleets[relay].eligible_servers("svc", now)
        affinity_servers = beginnings[relay].affinity_servers(beginning, servers)
        want = SelectionContext(
            f"d{relay % DOMAINS}", (), frozenset(), 20.0, everyone, affinity_servers
        )
        chosen = select_server(servers, want, draw.randrange, now)
        assert chosen is not None
        name = chosen.server.id
        chosen.in_flight += 1
        running[name] += 1
        served[name] += 1
        cache = caches[name]
        if beginning in cache:
            hits += 1
            cache.move_to_end(beginning)
        else:
            misses += 1
            cache[beginning] = None
            if len(cache) * TOKENS > FOR_BEGINNINGS:
                cache.popitem(last=False)
        heapq.heappush(ends, (now + work_s * draw.uniform(0.5, 1.5), relay, name))
    mean = sum(served.values()) / SERVERS
    return Replay(misses / (hits + misses), max(served.values()) / mean)


def test_beginnings_that_do_not_fit_together_are_led_apart() -> None:
    """Sixteen beginnings are asked for, and a server can keep seven of them.

    If each server gets each beginning it evicts what the next request needs, and
    prompts of 12,600 tokens are read again and again.  Led to some servers each they
    stay, and the servers are still about equally busy.
    """
    led = replay(MEMORY)
    anywhere = replay(0)
    assert anywhere.read_again > 0.25
    assert led.read_again < anywhere.read_again / 3
    assert led.busiest < 1.35


def test_beginnings_that_fit_are_not_restricted() -> None:
    beginnings = PrefixAffinity(520_000)
    servers = make_fleet().eligible_servers("svc", 0.0)
    for number in range(6):
        beginnings.record_use(f"b{number}", TOKENS, 0.0)
    assert beginnings.affinity_servers("b0", servers) == frozenset()


def test_beginnings_that_nobody_asks_for_any_more_do_not_count() -> None:
    beginnings = PrefixAffinity(MEMORY)
    servers = make_fleet().eligible_servers("svc", 0.0)
    for number in range(BEGINNINGS):
        beginnings.record_use(f"b{number}", TOKENS, 0.0)
    assert beginnings.affinity_servers("b0", servers)
    beginnings.record_use("b0", TOKENS, WINDOW_S + 1.0)
    assert beginnings.affinity_servers("b0", servers) == frozenset()


def test_relays_agree_and_a_server_that_goes_moves_only_its_own() -> None:
    fleet = make_fleet()
    before = fleet.eligible_servers("svc", 0.0)
    after = [state for state in before if state.server.id != "s0"]
    ours, theirs = PrefixAffinity(MEMORY), PrefixAffinity(MEMORY)
    for number in range(BEGINNINGS):
        ours.record_use(f"b{number}", TOKENS, 0.0)
        theirs.record_use(f"b{BEGINNINGS - 1 - number}", TOKENS, 0.0)
    for number in range(BEGINNINGS):
        affinity_servers = ours.affinity_servers(f"b{number}", before)
        assert affinity_servers == theirs.affinity_servers(f"b{number}", before)
        assert {s.server.domain for s in before if s.server.id in affinity_servers} == {
            "d0",
            "d1",
        }
        assert affinity_servers - {"s0"} <= ours.affinity_servers(f"b{number}", after)
