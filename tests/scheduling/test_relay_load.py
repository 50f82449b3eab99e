"""Overload of a relay by its event loop or link, and what it reports about it."""

from __future__ import annotations

import random

from wisteriastair.scheduling.relay_load import (
    MAX_LAG_S,
    READY_SLOT_S,
    OverloadReadiness,
    RelayLoad,
    Traffic,
    may_be_unready,
)

LINK = 15e6 / 8


def test_a_busy_event_loop_refuses_and_recovers() -> None:
    """A relay with too little processor time must refuse within about a second."""
    load = RelayLoad(0.0)
    for _ in range(20):
        load.record_lag(0.08)
    assert load.is_overloaded
    for _ in range(40):
        load.record_lag(0.001)
    assert not load.is_overloaded


def test_one_long_pause_is_not_overload() -> None:
    """A process that was suspended for 2 s has capacity afterwards."""
    load = RelayLoad(0.0)
    for lag_s in (0.001, 2.0, 0.001, 0.002):
        load.record_lag(lag_s)
        assert not load.is_overloaded


def test_lag_around_the_limit_does_not_flap() -> None:
    """The lag varies around its limit for a minute.

    Without hysteresis, the state would change many times.
    """
    rng = random.Random(1)
    load = RelayLoad(0.0)
    changes = 0
    for _ in range(1_200):
        before = load.is_overloaded
        load.record_lag(rng.uniform(0.0, 2 * MAX_LAG_S))
        changes += load.is_overloaded != before
    assert changes <= 1


def send_at(load: RelayLoad, traffic: Traffic, use: float, start: float) -> float:
    """Send at a fraction of the link for 3 s; return the time at the end."""
    now = start
    while now < start + 3.0:
        now += 0.25
        traffic.sent_bytes += int(use * LINK * 0.25)
        load.record_traffic(traffic, now)
    return now


def test_a_narrow_link_refuses_near_its_bandwidth() -> None:
    """A relay with 15 Mbit/s must refuse new programs before its link is full."""
    load, traffic = RelayLoad(LINK), Traffic()
    now = send_at(load, traffic, 0.8, 0.0)
    assert not load.is_overloaded
    now = send_at(load, traffic, 0.95, now)
    assert load.is_overloaded
    assert abs(load.link_use - 0.95) < 0.05
    now = send_at(load, traffic, 0.8, now)
    assert load.is_overloaded
    send_at(load, traffic, 0.5, now)
    assert not load.is_overloaded


def test_a_short_burst_after_the_start_is_not_overload() -> None:
    """A burst of 100 ms must be averaged over a second from the first sample on."""
    load, traffic = RelayLoad(LINK), Traffic()
    load.record_traffic(traffic, 0.0)
    traffic.received_bytes += int(LINK * 0.2)
    load.record_traffic(traffic, 0.1)
    assert not load.is_overloaded


def test_an_unknown_link_limits_nothing() -> None:
    """A settings file without a bandwidth must not stop the relay."""
    load, traffic = RelayLoad(0.0), Traffic()
    send_at(load, traffic, 100.0, 0.0)
    assert not load.is_overloaded


def test_few_relays_are_unready_at_once_and_each_for_a_bounded_time() -> None:
    """All nine relays of a domain are overloaded for a long time.

    If all reported it, the domain would have no ready relay.  The platform uses all
    relays while fewer than half are ready, so more than half unready is of no use.
    """
    names = [f"relay-{number}" for number in range(9)]
    relays = [OverloadReadiness(name) for name in names]
    longest = dict.fromkeys(names, 0.0)
    lasting = dict.fromkeys(names, 0.0)
    counts = []
    for step in range(4 * 3_600):
        now = step * 0.25
        ready = [relay.is_ready(True, now, 1e9 + now) for relay in relays]
        counts.append(ready.count(False))
        for name, is_ready in zip(names, ready, strict=True):
            lasting[name] = 0.0 if is_ready else lasting[name] + 0.25
            longest[name] = max(longest[name], lasting[name])
    assert max(counts) < 9
    assert sum(counts) / len(counts) <= 3.0
    assert max(longest.values()) <= READY_SLOT_S
    assert sum(counts) > 0


def test_a_short_overload_does_not_change_the_readiness() -> None:
    """The platform needs seconds to react; by then a short overload has passed."""
    slot = next(n for n in range(100) if may_be_unready("r", n))
    wall_s = slot * READY_SLOT_S
    readiness = OverloadReadiness("r")
    for step in range(8):
        assert readiness.is_ready(True, step * 0.25, wall_s + step * 0.25)
    assert readiness.is_ready(False, 2.0, wall_s + 2.0)
    for step in range(8):
        assert readiness.is_ready(True, 2.25 + step * 0.25, wall_s + 2.25)


def test_a_relay_is_ready_again_when_its_overload_ends() -> None:
    """A relay that stayed unready without overload would waste its capacity."""
    slot = next(n for n in range(100) if may_be_unready("r", n))
    wall_s = slot * READY_SLOT_S
    readiness = OverloadReadiness("r")
    readiness.is_ready(True, 0.0, wall_s)
    assert not readiness.is_ready(True, 4.0, wall_s + 4.0)
    assert readiness.is_ready(False, 5.0, wall_s + 5.0)
