"""Choice by predicted finish: a replay of uneven servers, and single predictions."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from tests.scheduling.replay import SLOW_SPEED, World, replay, share_of
from wisteriastair.core.hashing import rendezvous_order, weighted_rendezvous_order
from wisteriastair.scheduling.affinity import PrefixAffinity
from wisteriastair.scheduling.choice import SelectionContext
from wisteriastair.scheduling.finish import FinishChooser, NoPicture
from wisteriastair.scheduling.fleet import Fleet, Server, ServerState
from wisteriastair.scheduling.pace import ServicePace
from wisteriastair.scheduling.reuse import PromptSegment, rendezvous_server

SLOW = [number for number in range(25) if number % 4 == 0]
FAST = [number for number in range(25) if number % 4]
TOKENS = 264


def make_fleet(count: int, *, slots: int = 6, domains: int = 1) -> Fleet:
    fleet = Fleet()
    for number in range(count):
        domain = f"d{number % domains}"
        fleet.put(Server(f"s{number}", "svc", "a:1", domain, slots, False, 0.0))
    return fleet


def make_context(
    *segments: PromptSegment, tried: frozenset[str] = frozenset(), rendezvous: str = ""
) -> SelectionContext:
    connected = frozenset(f"s{n}.0" for n in range(400))
    return SelectionContext(
        "d0", segments, tried, 20.0, connected, rendezvous_id=rendezvous
    )


def make_chooser(seed: int = 1, domain: str = "d0") -> FinishChooser:
    service = ServicePace()
    service.record_response(100.0, 300.0, TOKENS)
    return FinishChooser(service, domain, NoPicture(), random.Random(seed).randrange)


def choose(
    chooser: FinishChooser,
    fleet: Fleet,
    context: SelectionContext | None = None,
    now: float = 0.0,
) -> ServerState:
    servers = fleet.eligible_servers("svc", now)
    state = chooser.choose(servers, context or make_context(), TOKENS, now)
    assert state is not None
    return state


def state_of(fleet: Fleet, name: str) -> ServerState:
    state = fleet.get(name)
    assert state is not None
    return state


@pytest.mark.parametrize("programs_per_s", [20.0, 45.0, 75.0])
def test_callers_are_better_off_than_with_least_load(programs_per_s: float) -> None:
    """Twelve relays, 25 engines; a quarter run at 0.46 of the speed of the others.

    Each machine is 2.5 times slower for 15% of the time, in disturbances of 600 ms. At
    75 programs (310 turns) per second the fast servers alone cannot serve the load. All
    responses that were too late for the caller count in the mean with the time waited.
    """
    world = World(programs_per_s, seconds=18.0)
    before = replay(world, by_finish=False)
    after = replay(world, by_finish=True)
    assert after.in_time > before.in_time + 0.03
    assert after.mean_ms < 0.9 * before.mean_ms


@pytest.mark.parametrize("programs_per_s", [20.0, 45.0, 75.0])
def test_a_slow_server_gets_no_more_than_its_share(programs_per_s: float) -> None:
    """A server at 0.46 of the speed gets at most that share of work.

    While fast servers are idle, only the first streams, by which each relay learns the
    pace, and those that test old estimates go to a slow one.
    """
    result = replay(World(programs_per_s, seconds=18.0), by_finish=True)
    assert share_of(result, SLOW, FAST) <= SLOW_SPEED
    assert result.on_slow_while_fast_idle < 0.06


def test_a_hanging_server_costs_each_relay_a_few_turns() -> None:
    """A server accepts requests for 16 s and answers none; connections stay open."""
    world = World(30.0, seconds=24.0, hangs=lambda n, now: n == 5 and now > 8.0)
    result = replay(world, by_finish=True)
    assert result.hung, "the server was not used at all"
    assert max(result.hung.values()) <= 5
    assert result.in_time > replay(world, by_finish=False).in_time


def test_servers_that_are_all_slow_share_the_load() -> None:
    """No server may be avoided for a slowness that is common to all."""
    world = World(20.0, seconds=18.0, slow=lambda n: SLOW_SPEED)
    after = replay(world, by_finish=True)
    assert max(after.served.values()) < 1.6 * sum(after.served.values()) / 25
    assert after.mean_ms < 1.03 * replay(world, by_finish=False).mean_ms


@pytest.mark.parametrize("figure", [1.0, 10.0, 10_000.0])
def test_a_slow_server_gains_nothing_by_a_wrong_figure(figure: float) -> None:
    """One slow server reports a constant figure that is far from the truth."""
    world = World(
        45.0,
        seconds=18.0,
        reports_figure=lambda n, slowness: figure if n == 4 else 100.0 * slowness,
    )
    result = replay(world, by_finish=True)
    assert share_of(result, [4], FAST) <= SLOW_SPEED


def test_old_reports_do_not_draw_all_relays_to_one_server() -> None:
    """24 relays heard half a second ago that one server is idle and the others busy.

    If they trusted the report, they would all choose that server at the same time: it
    would get 24 of 48 requests, four times its slots.
    """
    counts: Counter[str] = Counter()
    for relay in range(24):
        fleet, chooser = make_fleet(25), make_chooser(relay)
        for _ in range(10):
            chooser.service.record_others(3)
        choose(chooser, fleet)
        for number in random.Random(relay).sample(range(25), 25):
            others = 0 if number == 3 else 4
            pace = state_of(fleet, f"s{number}").pace
            pace.record_others(others, 0.1, chooser.service)
        for _ in range(2):
            state = choose(chooser, fleet, now=0.6)
            state.in_flight += 1
            counts[state.server.id] += 1
    assert counts["s3"] <= 14
    assert max(counts.values()) <= 14
    assert len(counts) >= 12


def test_own_requests_since_the_report_count() -> None:
    """A relay sends several requests before any response arrives."""
    fleet, chooser = make_fleet(4), make_chooser()
    counts: Counter[str] = Counter()
    for _ in range(16):
        state = choose(chooser, fleet)
        state.in_flight += 1
        counts[state.server.id] += 1
    assert set(counts.values()) == {4}


def test_a_program_stays_with_its_cached_conversation() -> None:
    """An idle server is no reason to compute 20,000 tokens of a conversation again."""
    fleet, chooser = make_fleet(4), make_chooser()
    segments = (PromptSegment("shared", 12_600), PromptSegment("line", 8_000))
    state = state_of(fleet, "s2")
    state.cached_segments.add(segments)
    state.in_flight = 1
    for _ in range(20):
        assert choose(chooser, fleet, make_context(*segments)) is state
    state.in_flight = 6
    assert choose(chooser, fleet, make_context(*segments)) is not state


def test_a_relay_that_does_not_know_a_program_uses_its_rendezvous_server() -> None:
    fleet, chooser = make_fleet(8), make_chooser()
    segments = (PromptSegment("shared", 12_600), PromptSegment("line", 8_000))
    context = make_context(*segments, rendezvous="s5")
    for _ in range(20):
        assert choose(chooser, fleet, context).server.id == "s5"


def test_a_silent_server_gets_nothing_while_others_are_left() -> None:
    """Two of three servers hang; the third is the only one that may answer.

    If all are silent, a wrong suspicion must not stop the service.
    """
    fleet, chooser = make_fleet(3), make_chooser()
    choose(chooser, fleet)
    for name in ("s0", "s1"):
        state_of(fleet, name).pace.start(0.0, 1)
        state_of(fleet, name).in_flight = 1
    state_of(fleet, "s2").in_flight = 5
    for _ in range(20):
        assert choose(chooser, fleet, now=1.5).server.id == "s2"
    state_of(fleet, "s2").pace.start(0.0, 1)
    assert choose(chooser, fleet, now=1.5) is not None


def test_servers_that_rejected_a_request_are_not_chosen_again() -> None:
    fleet, chooser = make_fleet(3), make_chooser()
    tried = frozenset(("s0", "s2"))
    assert choose(chooser, fleet, make_context(tried=tried)).server.id == "s1"
    servers = fleet.eligible_servers("svc", 0.0)
    tried = frozenset(("s0", "s1", "s2"))
    context = make_context(tried=tried)
    assert chooser.choose(servers, context, TOKENS, 0.0) is None


def test_other_domains_are_used_if_the_own_one_is_loaded() -> None:
    fleet, chooser = make_fleet(8, domains=2), make_chooser()
    for _ in range(20):
        assert choose(chooser, fleet).server.domain == "d0"
    for number in range(0, 8, 2):
        state_of(fleet, f"s{number}").in_flight = 3
    assert choose(chooser, fleet).server.domain == "d1"


def test_preferred_servers_are_compared_among_many() -> None:
    """A service with 300 servers is sampled, except for those with the prompt."""
    fleet, chooser = make_fleet(300), make_chooser()
    segments = (PromptSegment("shared", 12_600), PromptSegment("line", 8_000))
    for _ in range(20):
        context = make_context(*segments, rendezvous="s250")
        assert choose(chooser, fleet, context).server.id == "s250"
    state_of(fleet, "s77").cached_segments.add(segments)
    for _ in range(20):
        context = make_context(*segments, rendezvous="s250")
        assert choose(chooser, fleet, context).server.id == "s77"
    context = make_context(*segments, tried=frozenset(["s77"]), rendezvous="s250")
    assert choose(chooser, fleet, context).server.id != "s77"


def test_programs_are_spread_by_weight_and_move_only_with_a_weight() -> None:
    """All relays compute the same server from the same weights."""
    names = tuple(f"s{n}" for n in range(10))
    weights = (0.5,) + (1.0,) * 9
    programs = [
        (PromptSegment("shared", 1), PromptSegment(f"line-{n}", 1)) for n in range(4000)
    ]
    before = [rendezvous_server(prompt, names, weights) for prompt in programs]
    share = before.count("s0") / 4000
    assert share == pytest.approx(0.5 / 9.5, rel=0.2)
    equal = [rendezvous_server(prompt, names) for prompt in programs]
    moved = [new for old, new in zip(before, equal, strict=True) if old != new]
    assert moved and set(moved) == {"s0"}


def test_equal_weights_give_the_order_without_weights() -> None:
    names = [f"s{n}" for n in range(50)]
    for item in ("a", "b", "c"):
        weighted = weighted_rendezvous_order(item, dict.fromkeys(names, 1.0))
        assert weighted == rendezvous_order(item, names)


def test_affinity_servers_are_chosen_by_weight() -> None:
    """A slow server holds fewer shared prefixes than the others of its domain."""
    servers = make_fleet(10).eligible_servers("svc", 0.0)
    affinity = PrefixAffinity(100_000)
    for number in range(200):
        affinity.record_use(f"b{number}", 12_600, 0.0)
    weights = (0.25,) + (1.0,) * 9
    counts = Counter(
        server_id
        for number in range(200)
        for server_id in affinity.affinity_servers(f"b{number}", servers, weights)
    )
    assert counts["s0"] < 0.5 * (sum(counts.values()) - counts["s0"]) / 9
