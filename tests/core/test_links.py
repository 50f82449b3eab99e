"""Order and age of messages between processes with different clocks."""

from __future__ import annotations

import math

from wisteriastair.core.ledgerwire import (
    MAX_PACKED,
    LinkTiming,
    ServerLoad,
    pack_loads,
    unpack_loads,
)
from wisteriastair.core.links import Link

# Clocks of the two ends, in seconds.
NEAR = 1000.0
FAR = 77_000.0


def exchange(there_s: float, back_s: float, held_s: float = 0.0) -> float:
    """Return the age that the near end computes for a reply."""
    near, far = Link(), Link()
    asked = near.next_timing(NEAR)
    far.receive(asked, FAR + there_s)
    reply = far.next_timing(FAR + there_s + held_s)
    arrival = near.receive(reply, NEAR + there_s + held_s + back_s)
    assert arrival.is_new and arrival.is_valid
    return arrival.transit_s


def test_the_age_is_an_upper_bound_whatever_the_clocks_show() -> None:
    assert 0.2 <= exchange(0.1, 0.2) <= 0.302
    assert 2.0 <= exchange(0.0, 2.0) <= 2.002


def test_the_time_for_which_the_other_end_waits_is_not_counted() -> None:
    """A keeper replies to the next report, some hundred milliseconds later."""
    assert exchange(0.001, 0.001, held_s=5.0) <= 0.004


def test_the_age_of_a_first_message_is_unknown() -> None:
    """Nothing shows for how long it has been under way."""
    assert Link().receive(Link().next_timing(NEAR), FAR).transit_s == math.inf


def test_duplicates_and_overtaken_messages_are_recognised() -> None:
    near, far = Link(), Link()
    first, second = near.next_timing(NEAR), near.next_timing(NEAR)
    assert far.receive(second, FAR).is_new
    assert not far.receive(first, FAR).is_new
    assert not far.receive(second, FAR).is_new


def test_an_end_that_forgets_the_link_is_understood_again() -> None:
    """With a counter, the other end would take its messages for old ones."""
    far = Link()
    near = Link()
    for n in range(5):
        assert far.receive(near.next_timing(NEAR + n), FAR + n).is_new
    assert far.receive(Link().next_timing(NEAR + 6), FAR + 6).is_new


def test_impossible_times_are_not_valid() -> None:
    """A peer with a fault must not make its reports appear fresh."""
    near = Link()
    now_ms = int(NEAR * 1000)
    wrong = (
        LinkTiming(1, now_ms + 50, 0),
        LinkTiming(2, now_ms - 50, 90),
        LinkTiming(3, now_ms, -1),
        LinkTiming(-4, now_ms, 0),
        LinkTiming(5, -2, 0),
    )
    for timing in wrong:
        arrival = near.receive(timing, NEAR)
        assert not arrival.is_valid and arrival.transit_s == math.inf


def test_packed_loads_are_limited_and_incomplete_ones_ignored() -> None:
    """A sum above the limit must not wrap around to a small one."""
    loads = [ServerLoad(2**32 - 1, 10**9, 10**9, 10**9), ServerLoad(1, 2, 3, 4)]
    data = pack_loads(loads)
    expected = ServerLoad(2**32 - 1, MAX_PACKED, MAX_PACKED, MAX_PACKED)
    assert unpack_loads(data) == [expected, loads[1]]
    assert unpack_loads(data[:-1]) == [expected]
    assert unpack_loads(b"") == []
