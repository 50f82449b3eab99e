"""Relays and keepers that share a picture of servers, under failures."""

from __future__ import annotations

import logging
import math
import random

import msgspec
import pytest

from tests.relay.picture_world import RelayProcess, World, server
from tests.scheduling.fixed_pace import FixedPace
from wisteriastair.core.hashing import address_of
from wisteriastair.core.ledgerwire import (
    MAX_PACKED,
    LinkTiming,
    PictureBlock,
    PictureUpdate,
    RelayDigest,
    ServerLoad,
    ServerObservation,
    decode_ledger,
    encode_ledger,
    pack_loads,
)
from wisteriastair.relay.loglimit import LOG_INTERVAL_S, MAX_LOGGED
from wisteriastair.relay.picture import ANSWER_TIMEOUT_S, PictureClient
from wisteriastair.scheduling.capacity import (
    CONFIRMATIONS,
    DECISION_INTERVAL_S,
    STEP_FACTOR,
)
from wisteriastair.scheduling.digest import server_key
from wisteriastair.scheduling.fleet import Fleet
from wisteriastair.scheduling.peer_sums import HEARD_TTL_S
from wisteriastair.scheduling.picture import MAX_AGE_S
from wisteriastair.scheduling.sums import CONTRIBUTION_TTL_S
from wisteriastair.scheduling.weight_decision import WARMUP_S

SETTLE_S = 3.0
# Time until a changed pace has changed a weight everywhere.
DECIDE_S = WARMUP_S + (CONFIRMATIONS + 1) * DECISION_INTERVAL_S + 2.0
# From a change at one relay until another one knows it: one interval each of reports,
# of sums between domains and of replies, and some refreshes.
SPREAD_S = 1.5


def busy_world(**options: int) -> World:
    """Make a world in which relay N has N + 1 requests at server 0."""
    world = World(**options)
    for number, relay in enumerate(world.relays):
        relay.set_in_flight(0, number + 1)
    return world


def others_of(world: World) -> list[int | None]:
    return [relay.others(0) for relay in world.relays]


def all_but_own(world: World) -> list[int]:
    counts = [relay.history[0][-1][1] for relay in world.relays]
    return [sum(counts) - count for count in counts]


def receivers(world: World) -> set[str]:
    """Return the keepers to which the relays report."""
    return {
        other
        for (one, other), size in world.bytes_sent.items()
        if one.startswith("r") and size > 0
    }


def set_pace(relay: RelayProcess, number: int, pace_ms: float) -> None:
    state = relay.state(number)
    state.pace = FixedPace(pace_ms)


def uneven_world(**options: int) -> World:
    """Make a world in which server 0 needs twice the time per token."""
    world = World(**options)
    for relay in world.relays:
        for number in range(world.server_count):
            relay.set_in_flight(number, 1)
            set_pace(relay, number, 2.0 if number == 0 else 1.0)
    return world


def test_relays_know_the_requests_of_all_others() -> None:
    world = busy_world()
    world.run(SETTLE_S)
    assert others_of(world) == all_but_own(world)


def test_traffic_between_domains_is_only_the_sums_of_keepers() -> None:
    """Bytes between failure domains are expensive."""
    world = busy_world(domains=4, keepers=8, relays=24)
    world.run(SETTLE_S)
    cross = [
        (one, other)
        for one, other in world.bytes_sent
        if world.domain_of(one) != world.domain_of(other)
    ]
    assert cross and all(one[0] == "k" and other[0] == "k" for one, other in cross)
    assert world.cross_domain_bytes() < sum(world.bytes_sent.values()) / 4


def test_nothing_is_sent_without_pace_and_memory_pressure() -> None:
    """Other deployments are served exactly as before, without one byte more."""
    world = World(relays=0)
    fleet = Fleet()
    fleet.put(server(0))
    client = PictureClient(fleet, "d0", 2, lambda: world.view)
    state = fleet.get("s0")
    assert state is not None
    state.observations.open(10, 0.0)
    assert [client.tick(n * 0.25) for n in range(20)] == [[]] * 20
    assert client.picture.others(state.incarnation, 5.0) is None
    assert client.picture.weight(state.incarnation) == 1.0


def test_a_reported_pace_switches_the_reports_on() -> None:
    world = World(relays=0)
    fleet = Fleet()
    fleet.put(server(0))
    client = PictureClient(fleet, "d0", 2, lambda: world.view)
    state = fleet.get("s0")
    assert state is not None
    assert client.tick(0.0) == []

    class LoadWithPace:
        running, waiting, slots, pace = 1, 0, 8, 100.0

    state.record_load(LoadWithPace(), 0.0)  # type: ignore[arg-type]
    assert len(client.tick(0.1)) == 1


def test_failure_the_keeper_is_killed() -> None:
    """Its relays work on without it, and report to another one soon."""
    world = busy_world()
    world.run(SETTLE_S)
    killed = next(k for k in receivers(world) if world.domain_of(k) == "d0")
    world.kill_keeper(killed)
    world.bytes_sent.clear()
    world.run(ANSWER_TIMEOUT_S + MAX_AGE_S + SETTLE_S)
    assert others_of(world) == all_but_own(world)
    new = {k for k in receivers(world) if world.domain_of(k) == "d0"} - {killed}
    assert new, "the second keeper of the same domain takes over"


def test_failure_all_keepers_are_killed() -> None:
    """Relays forget what others reported and judge servers by their own requests."""
    world = busy_world()
    world.run(SETTLE_S)
    for address in list(world.keepers):
        world.kill_keeper(address)
    world.run(MAX_AGE_S)
    assert others_of(world) == [None] * len(world.relays)
    relay = world.relays[0]
    relay.end_requests(1, succeeded=False, count=3)
    world.run(0.3)
    assert relay.is_suspect(1) and not world.relays[1].is_suspect(1)


def test_failure_a_relay_is_killed() -> None:
    """Its requests no longer count after its reports have expired."""
    world = busy_world()
    world.run(SETTLE_S)
    world.kill_relay(world.relays[5])
    world.run(CONTRIBUTION_TTL_S + SPREAD_S)
    assert others_of(world) == all_but_own(world)


def test_failure_a_relay_restarts() -> None:
    """The requests of its previous incarnation do not count twice."""
    world = busy_world()
    world.run(SETTLE_S)
    world.kill_relay(world.relays[0])
    restarted = world.start_relay(0, "d0")
    restarted.set_in_flight(0, 9)
    world.run(SETTLE_S)
    assert others_of(world) == all_but_own(world)


def test_failure_a_link_between_two_keepers_is_cut() -> None:
    """Only the share of the other domain is missing, and it returns afterwards."""
    world = busy_world()
    world.run(SETTLE_S)
    keepers = sorted(receivers(world))
    one = next(k for k in keepers if world.domain_of(k) == "d0")
    other = next(k for k in keepers if world.domain_of(k) == "d1")
    world.cut_between(one, other)
    world.run(SETTLE_S)
    for relay, expected in zip(world.relays, all_but_own(world), strict=True):
        missing_domain = {"d0": "d1", "d1": "d0"}.get(relay.domain)
        missing = sum(
            r.history[0][-1][1] for r in world.relays if r.domain == missing_domain
        )
        assert relay.others(0) == expected - missing
    world.cut.clear()
    world.run(SETTLE_S)
    assert others_of(world) == all_but_own(world)


def test_failure_a_cut_link_leaves_one_keeper_to_decide_weights() -> None:
    """Keepers that do not hear each other must not give relays different weights."""
    world = uneven_world()
    world.run(DECIDE_S)
    keepers = sorted(receivers(world))
    for relay in world.relays:
        set_pace(relay, 1, 3.0)
    world.cut_between(keepers[0], keepers[1])
    world.run(HEARD_TTL_S + DECIDE_S)
    assert len({relay.weight(1) for relay in world.relays}) == 1
    assert world.relays[0].weight(1) < 0.5


@pytest.mark.parametrize("loss", [0.05, 0.2])
def test_failure_messages_are_lost(loss: float) -> None:
    """A lost report is repeated before the previous one expires."""
    world = busy_world()
    world.loss = loss
    world.run(SETTLE_S)
    counts = []
    for _ in range(40):
        world.run(0.25)
        for relay, expected in zip(world.relays, all_but_own(world), strict=True):
            load = relay.others(0)
            counts.append(0.0 if load is None else load / expected)
    assert max(counts) <= 21 / 15
    assert sum(counts) / len(counts) > 1.0 - 2 * loss


def test_failure_messages_are_doubled() -> None:
    """A duplicate counts neither a request nor a failure twice."""
    world = busy_world()
    world.duplication = 1.0
    world.run(SETTLE_S)
    assert others_of(world) == all_but_own(world)
    outdated = [k.picture.merger.counters.outdated for k in world.keepers.values()]
    assert sum(outdated) > 0


def test_failure_messages_overtake_each_other() -> None:
    """An older report that arrives later must not replace a newer one."""
    world = busy_world()
    world.max_delay_s = 0.4
    for _ in range(20):
        world.run(0.2)
        world.relays[0].set_in_flight(0, 0)
        world.run(0.2)
        world.relays[0].set_in_flight(0, 50)
    outdated = [k.picture.merger.counters.outdated for k in world.keepers.values()]
    assert sum(outdated) > 0
    world.max_delay_s = 0.002
    world.relays[0].set_in_flight(0, 0)
    world.run(SETTLE_S)
    assert [relay.others(0) for relay in world.relays[1:]] == all_but_own(world)[1:]


def test_failure_a_report_of_a_newer_build() -> None:
    """Further fields are ignored; an unknown message does not decode."""
    digest = RelayDigest(LinkTiming(5), [ServerObservation(7, 1, 2, 3, 4, 5, 6)], 9)
    parts = msgspec.msgpack.decode(encode_ledger(digest))
    parts[2][0].append("new")
    parts.append({"more": 1})
    assert decode_ledger(msgspec.msgpack.encode(parts)) == digest
    parts[0] = 99
    with pytest.raises(msgspec.DecodeError):
        decode_ledger(msgspec.msgpack.encode(parts))


@pytest.mark.parametrize("value", [math.nan, math.inf, 1e300, "1", None, 2**64 - 1])
def test_failure_a_number_that_is_none(value: object) -> None:
    """It does not decode, or is an integer that the receiver clips."""
    parts: list[object] = [14, [5], [[7, value, 1]]]
    try:
        digest = decode_ledger(msgspec.msgpack.encode(parts))
    except msgspec.DecodeError:
        assert value != 2**64 - 1
        return
    assert isinstance(digest, RelayDigest)
    assert isinstance(digest.observations[0].in_flight, int)


def test_failure_a_keeper_restarts_with_an_empty_memory() -> None:
    """Sums come back, and weights stay as they were."""
    world = uneven_world()
    world.run(DECIDE_S)
    before = [relay.weight(0) for relay in world.relays]
    assert set(before) == {STEP_FACTOR**-3}
    for address in sorted(receivers(world)):
        world.kill_keeper(address)
        world.start_keeper(address)
        for _ in range(30):
            world.run(0.2)
            assert [relay.weight(0) for relay in world.relays] == before
        assert others_of(world) == all_but_own(world)


def test_failure_all_keepers_restart_with_an_empty_memory() -> None:
    """Relays keep their weights until the keepers have decided again."""
    world = uneven_world()
    world.run(DECIDE_S)
    for address in list(world.keepers):
        world.kill_keeper(address)
        world.start_keeper(address)
    for relay in world.relays:
        set_pace(relay, 0, 1.0)
    world.run(WARMUP_S)
    assert {relay.weight(0) for relay in world.relays} == {STEP_FACTOR**-3}
    world.run(DECIDE_S)
    assert {relay.weight(0) for relay in world.relays} == {1.0}


def send_wrong_digests(world: World, seen: list[ServerObservation]) -> None:
    """Send reports with these numbers as another relay of domain 0."""
    keeper = next(k for k in receivers(world) if world.domain_of(k) == "d0")
    member = "r99:1#wrong"
    process = world.keepers[keeper]
    for sequence in range(1, 9):
        now = world.now + process.clock
        timing = LinkTiming(sequence, int(now * 1000) - 1, 0)
        data = encode_ledger(RelayDigest(timing, seen))
        world._deliver(member, keeper, data)
        world.run(0.25)


def test_failure_a_relay_reports_huge_and_negative_numbers() -> None:
    """Its numbers are clipped and counted; only its own share is wrong."""
    world = busy_world()
    world.run(SETTLE_S)
    key = server_key(server(0).incarnation)
    other = server_key(server(1).incarnation)
    huge, low = 2**63, -(2**63)
    wrong = [
        ServerObservation(key, huge, huge, huge, huge, huge, huge),
        ServerObservation(other, low, low, low, low, low, low),
        ServerObservation(12345, 1, 1),
    ]
    send_wrong_digests(world, wrong)
    # Sums in messages are at most 255, of which a relay subtracts its own requests.
    own = [relay.history[0][-1][1] for relay in world.relays]
    expected = [MAX_PACKED - count for count in own]
    assert others_of(world) == expected
    assert all(relay.others(1) in (None, 0) for relay in world.relays)
    counters = [k.picture.merger.counters for k in world.keepers.values()]
    assert sum(c.clipped for c in counters) >= 16
    assert sum(c.unknown_servers for c in counters) >= 8


def test_failure_a_relay_accuses_all_servers() -> None:
    """At most a third of a service may be suspect, so it never looks empty."""
    world = World(servers=9)
    world.run(SETTLE_S)
    wrong = [
        ServerObservation(server_key(server(n).incarnation), 1, 1, 99) for n in range(9)
    ]
    send_wrong_digests(world, wrong)
    for relay in world.relays:
        assert sum(relay.is_suspect(n) for n in range(9)) == 3


def test_failure_a_relay_accuses_a_server_that_serves_all_others() -> None:
    """The successes of the other relays outweigh what one relay says."""
    world = World(servers=9)
    world.run(SETTLE_S)
    for relay in world.relays:
        relay.set_in_flight(0, 1)
        relay.end_requests(0, succeeded=True, count=20)
    key = server_key(server(0).incarnation)
    for _ in range(12):
        for relay in world.relays:
            relay.end_requests(0, succeeded=True, count=5)
        world.run(0.25)
    send = [ServerObservation(key, 1, 1, 2)]
    keeper = next(k for k in receivers(world) if world.domain_of(k) == "d0")
    process = world.keepers[keeper]
    seen_suspect = 0
    for sequence in range(1, 13):
        timing = LinkTiming(sequence, int((world.now + process.clock) * 1000) - 1, 0)
        world._deliver("r99:1#wrong", keeper, encode_ledger(RelayDigest(timing, send)))
        for relay in world.relays:
            relay.end_requests(0, succeeded=True, count=5)
        world.run(0.25)
        seen_suspect += sum(relay.is_suspect(0) for relay in world.relays)
    assert seen_suspect == 0


def test_failure_a_peer_states_a_wrong_age() -> None:
    """A report from the future, or held for a negative time, is not used."""
    world = busy_world()
    world.run(SETTLE_S)
    keeper = next(k for k in receivers(world) if world.domain_of(k) == "d0")
    process = world.keepers[keeper]
    key = server_key(server(0).incarnation)
    now_ms = int((world.now + process.clock) * 1000)
    for sequence, (echo, held) in enumerate(
        [(now_ms + 10_000, 0), (now_ms, 10_000), (now_ms, -5), (-7, 0)], 1
    ):
        timing = LinkTiming(sequence, echo, held)
        digest = RelayDigest(timing, [ServerObservation(key, 200, 1)])
        world._deliver("r99:1#wrong", keeper, encode_ledger(digest))
    world.run(SPREAD_S)
    assert others_of(world) == all_but_own(world)
    assert process.picture.merger.counters.invalid_times > 0


def test_old_messages_are_never_used_as_new() -> None:
    """Messages wait for seconds in the queue of a suspended process."""
    world = busy_world()
    world.run(SETTLE_S)
    world.max_delay_s = 6.0
    for relay in world.relays:
        relay.set_in_flight(0, 0)
    world.run(CONTRIBUTION_TTL_S + SPREAD_S)
    for _ in range(40):
        world.run(0.2)
        assert all(count in (None, 0) for count in others_of(world))


def test_a_reply_of_unknown_age_is_not_used() -> None:
    """A keeper that does not return a stamp could send anything old as new."""
    world = World(relays=1)
    world.run(SETTLE_S)
    relay = world.relays[0]
    block = PictureBlock(
        pack_loads([ServerLoad(server_key(server(0).incarnation), 5, 5)])
    )
    sender = next(
        k.member for k in world.keepers.values() if k.address in receivers(world)
    )
    update = PictureUpdate(LinkTiming(2**40), [0], [0], [block])
    relay.client.receive(sender, update, world.now + relay.clock)
    assert relay.others(0) is None


def test_weights_are_the_same_at_all_relays_and_follow_the_pace() -> None:
    world = uneven_world(domains=4, keepers=8, relays=12)
    world.run(DECIDE_S)
    assert {relay.weight(0) for relay in world.relays} == {STEP_FACTOR**-3}
    assert {relay.weight(1) for relay in world.relays} == {1.0}


def test_failure_the_keeper_that_decides_is_killed() -> None:
    """Another one decides on, from the same weights."""
    world = uneven_world()
    world.run(DECIDE_S)
    decider = world.keepers["k0:1"].picture.merger
    order = decider._order or next(
        k.picture.merger._order
        for k in world.keepers.values()
        if k.picture.merger._order
    )
    world.kill_keeper(order[0])
    for relay in world.relays:
        set_pace(relay, 1, 2.0)
    world.run(2 * DECIDE_S)
    assert {relay.weight(0) for relay in world.relays} == {STEP_FACTOR**-3}
    assert {relay.weight(1) for relay in world.relays} == {STEP_FACTOR**-3}


@pytest.mark.parametrize("seed", range(12))
def test_a_picture_never_reports_more_than_there_was(seed: int) -> None:
    """Whatever is lost, no request counts twice or longer than 1.5 s.

    A sum that is too large would leave the slots of servers empty, and one that stays
    too large would do so for ever.  Messages, relays and keepers are lost in any order.
    """
    rng = random.Random(seed)
    world = World(
        domains=rng.choice((1, 3, 4)),
        keepers=rng.choice((4, 8)),
        relays=rng.choice((3, 8)),
        servers=3,
        seed=seed,
    )

    def check() -> None:
        for number in range(world.server_count):
            limit = world.real_maximum(number)
            for relay in world.relays:
                reported = relay.others(number)
                assert reported is None or reported <= limit

    world.on_check = check
    for _ in range(60):
        _disturb(world, rng)
        world.run(rng.uniform(0.05, 0.4))
    world.loss = world.duplication = 0.0
    world.max_delay_s = 0.002
    world.cut.clear()
    for member in world.view.members:
        if member.address not in world.keepers:
            world.start_keeper(member.address)
    for relay in world.relays:
        for number in range(world.server_count):
            relay.set_in_flight(number, 2)
    world.run(12.0)
    expected = 2 * (len(world.relays) - 1)
    assert {relay.others(0) for relay in world.relays} <= {expected}


def _disturb(world: World, rng: random.Random) -> None:
    """Change load, network or processes at random."""
    for relay in world.relays:
        relay.set_in_flight(rng.randrange(world.server_count), rng.choice((0, 1, 5)))
    match rng.randrange(8):
        case 0:
            world.loss = rng.choice((0.0, 0.2, 0.7))
        case 1:
            world.duplication = rng.choice((0.0, 0.5))
        case 2:
            world.max_delay_s = rng.choice((0.002, 0.3, 1.5))
        case 3:
            addresses = [m.address for m in world.view.members]
            addresses += [address_of(relay.member) for relay in world.relays]
            world.cut.add((rng.choice(addresses), rng.choice(addresses)))
        case 4:
            world.cut.clear()
        case 5 if len(world.keepers) > 1:
            world.kill_keeper(rng.choice(sorted(world.keepers)))
        case 6:
            for member in world.view.members:
                if member.address not in world.keepers:
                    world.start_keeper(member.address)
        case 7 if len(world.relays) > 1:
            relay = rng.choice(world.relays)
            world.kill_relay(relay)
            world.start_relay(int(relay.address[1:-2]), relay.domain)


@pytest.mark.parametrize("shared", [False, True])
def test_requests_sent_to_a_server_that_answers_none(shared: bool) -> None:
    """Replay of 24 relays and 12 servers, one of which accepts requests in silence.

    With the picture, two silent requests anywhere are enough for all relays to avoid
    the server.  Without it, each relay waits for two of its own.
    """
    world = World(relays=24, servers=12)
    world.run(SETTLE_S)
    if not shared:
        addresses = [m.address for m in world.view.members]
        world.cut = {(r.address, k) for r in world.relays for k in addresses}
    sent = 0
    for _ in range(40):
        for relay in world.relays:
            target = world.rng.randrange(12)
            if relay.is_suspect(target):
                continue
            if target == 0:
                sent += 1
                count = len(relay._open.get(0, [])) + 1
                relay.set_in_flight(0, count, is_silent=True)
            else:
                relay.end_requests(target, succeeded=True)
        world.run(0.1)
    assert sent < 40 if shared else sent > 55


def _wrong_messages(rng: random.Random) -> list[bytes]:
    """Return messages with the right types and drawn numbers."""
    extremes = (-(2**63), -1, 0, 1, 7, 2**31, 2**63, 2**64 - 1)

    def number() -> int:
        return rng.choice(extremes)

    def numbers(count: int) -> list[int]:
        return [number() for _ in range(count)]

    def block() -> list[object]:
        return [rng.randbytes(rng.randrange(30)), [numbers(6)]]

    weights = [number(), [numbers(2), numbers(2)]]
    blocks = [block(), block()]
    return [
        msgspec.msgpack.encode([14, numbers(3), [numbers(7)], number()]),
        msgspec.msgpack.encode(
            [15, numbers(3), numbers(2), numbers(2), blocks, weights]
        ),
        msgspec.msgpack.encode(
            [16, numbers(3), number(), numbers(2), blocks, [numbers(3)], weights]
        ),
    ]


@pytest.mark.parametrize("seed", range(4))
def test_failure_drawn_numbers_in_all_messages(seed: int) -> None:
    """An exception in a handler would end the process that receives the message."""
    rng = random.Random(seed)
    world = busy_world()
    world.run(SETTLE_S)
    keepers = sorted(world.keepers)
    decoded = 0
    for _ in range(300):
        for data in _wrong_messages(rng):
            for target in (*keepers, *(relay.member for relay in world.relays)):
                try:
                    decode_ledger(data)
                except msgspec.DecodeError:
                    continue
                decoded += 1
                sender = rng.choice([f"{k}#wrong" for k in keepers] + ["r9:1#wrong"])
                world._deliver(sender, target, data)
        world.run(0.02)
    assert decoded > 1000
    world.run(12.0)
    assert others_of(world) == all_but_own(world)


def test_log_lines_are_bounded(caplog: pytest.LogCaptureFixture) -> None:
    """All keepers are away and all servers fail, for a long time."""
    caplog.set_level(logging.INFO)
    world = World(relays=1, servers=90)
    for address in list(world.keepers):
        world.kill_keeper(address)
    relay = world.relays[0]
    seconds = 20.0
    for _ in range(10):
        for number in range(90):
            relay.end_requests(number, succeeded=False, count=2)
        world.run(seconds / 10)
    assert any(r.message == "server suspect" for r in caplog.records)
    assert any(r.message.startswith("reporting servers") for r in caplog.records)
    assert len(caplog.records) <= MAX_LOGGED * (seconds / LOG_INTERVAL_S + 1)
