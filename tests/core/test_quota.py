"""Quotas: buckets of holders, programs before single requests, and the sum of all."""

from __future__ import annotations

import pytest

from tests.core.quota_world import BOUNDS, NAME, QUOTA, QuotaWorld
from wisteriastair.core import quota as quota_module
from wisteriastair.core.customers import Customer, Quota
from wisteriastair.core.membership import Member
from wisteriastair.core.quota import (
    HANDOVER_S,
    MOST_LISTS,
    HolderQuota,
    PermitStatus,
    QuotaBounds,
    QuotaHolder,
    holder_quota,
    query_order,
    quota_holders,
)

MEMBERS = tuple(Member(f"k{n}", f"disk{n}", f"k{n}:1", f"d{n}") for n in range(3))
PLAY_S = 60.0
ROUNDING = 1e-9
# The last ones showed a bucket that filled up each time a list was forgotten.
SEEDS = (*range(6), 122, 141, 148, 149, 155)
ALLOWED = (QUOTA.rate_per_s * BOUNDS.window_s + QUOTA.burst) * (
    1 + BOUNDS.excess_fraction
) + BOUNDS.slack_requests


def holder(quota: Quota | None, me: Member = MEMBERS[0]) -> QuotaHolder:
    held = QuotaHolder(me, BOUNDS, MEMBERS, 0.0)
    held.configure({NAME: Customer(NAME, None, quota)}, 0.0)
    return held


def granted(held: QuotaHolder, now: float, program: str, *, starts: bool) -> bool:
    kind = "talk" if starts else ""
    return held.ask(NAME, program, kind, False, now).answer is PermitStatus.GRANTED


def test_the_parts_of_all_holders_are_the_whole() -> None:
    """Whatever the quota, buckets and their inflow stay within what a window allows."""
    for rate in (0.1, 1.0, 8.0, 40.0, 500.0):
        for burst in (0.0, 1.0, rate, 10 * rate):
            for bounds in (BOUNDS, QuotaBounds(), QuotaBounds(2.0, 0.2, 3.0)):
                share = holder_quota(Quota(rate, burst), bounds)
                window_s = bounds.window_s + quota_module.PERMIT_LIFETIME_S
                most = share.holders * (share.depth + share.rate_per_s * window_s)
                allowed = (rate * bounds.window_s + burst) * (
                    1 + bounds.excess_fraction
                )
                # A bucket that never holds a whole permit would never give one.
                most_allowed = max(
                    allowed + bounds.slack_requests, 1.0 + rate * window_s
                )
                assert most <= most_allowed * (1 + ROUNDING)
                assert share.depth >= 1.0


def test_relays_choose_holders_alike_and_spread_programs_over_them() -> None:
    chosen = quota_holders(MEMBERS, NAME, 2)
    assert chosen == quota_holders(MEMBERS[::-1], NAME, 2)
    first = {query_order(chosen, f"p{number}")[0] for number in range(50)}
    assert first == set(chosen)


def test_a_member_that_is_no_holder_gives_nothing() -> None:
    outsider = Member("other", "disk9", "other:1", "d9")
    answer = holder(QUOTA, outsider).ask(NAME, "p", "", True, 50.0)
    assert answer.answer is PermitStatus.NOT_HOLDER
    assert holder(QUOTA).ask("unknown", "p", "", True, 50.0).answer is (
        PermitStatus.NOT_HOLDER
    )
    assert holder(None).ask(NAME, "p", "", True, 50.0).answer is PermitStatus.GRANTED


def test_a_process_that_has_just_begun_hands_out_no_burst() -> None:
    """All keepers are killed in the middle of a burst and come back at once.

    Nobody remembers what was given out.  A full bucket would hand the burst out twice,
    and servers would get more of the customer than its quota allows.
    """
    held = holder(QUOTA)
    share = holder_quota(QUOTA, BOUNDS)
    given = sum(granted(held, 0.1, f"p{n}", starts=False) for n in range(100))
    assert given <= 0.1 * share.rate_per_s
    rested = holder(QUOTA)
    given = sum(granted(rested, 30.0, f"p{n}", starts=False) for n in range(100))
    assert given == int(share.depth)


def test_a_member_that_becomes_a_holder_waits_for_the_one_before() -> None:
    held = QuotaHolder(MEMBERS[0], BOUNDS, MEMBERS[1:], 0.0)
    held.configure({NAME: Customer(NAME, None, QUOTA)}, 0.0)
    held.update_members(MEMBERS, 20.0)
    early = held.ask(NAME, "p", "", True, 20.0 + HANDOVER_S - 0.1)
    assert early.answer is PermitStatus.NOT_HOLDER
    assert granted(held, 21.0 + HANDOVER_S, "p", starts=False)


def test_a_holder_that_is_back_at_once_goes_on_where_it_was() -> None:
    """Three of nine keepers fall out of the list and come back within a second.

    All holders of some customers are then new ones.  If each waited, those customers'
    callers would be refused for seconds, though nobody has acted in between.  What was
    given out before stays given out.
    """
    held = holder(QUOTA)
    while granted(held, 20.0, "p", starts=False):
        pass
    held.update_members(MEMBERS[1:], 20.0)
    assert not granted(held, 20.1, "p", starts=False)
    held.update_members(MEMBERS, 20.5)
    given = sum(granted(held, 21.0, "p", starts=False) for _ in range(100))
    assert given == int(holder_quota(QUOTA, BOUNDS).rate_per_s)
    held.update_members(MEMBERS[1:], 30.0)
    held.update_members(MEMBERS, 32.0)
    assert not granted(held, 33.0, "p", starts=False), "it may have been replaced"


def test_a_list_that_changes_all_the_time_fills_no_bucket() -> None:
    """A member comes and goes, now and then and then many times a second, in a flood.

    A holder remembers only so many lists.  When the one with which it began to hold is
    forgotten it must not take itself for a new holder with a full bucket.
    """
    held = holder(QUOTA)
    other = Member("k9", "disk9", "k9:1", "d0")
    given = 0
    calm = [10.0 + second for second in range(MOST_LISTS)]
    times = [*calm, *(calm[-1] + 3.0 + tick * 0.05 for tick in range(MOST_LISTS))]
    for number, now in enumerate(times):
        held.update_members((*MEMBERS, other) if number % 2 else MEMBERS, now)
        given += sum(granted(held, now, "p", starts=False) for _ in range(100))
    share = holder_quota(QUOTA, BOUNDS)
    assert given <= share.depth + share.rate_per_s * (times[-1] - times[0])


def test_programs_under_way_come_before_new_ones() -> None:
    """A customer begins far more programs than its quota carries, each of ten turns.

    Let in one by one as requests, all of them would starve halfway.  As it is those
    that have begun find a permit for nearly every turn, and the others never begin.
    """
    held = holder(Quota(30.0, 30.0))
    finished = refused_midway = refused_early = 0
    turns: dict[str, int] = {}
    for tick in range(1, 601):
        now = tick * 0.1
        programs = [*turns, f"p{tick}a", f"p{tick}b"]
        for program in programs:
            done = turns.get(program, 0)
            if granted(held, now, program, starts=done == 0):
                turns[program] = done + 1
            elif done:
                refused_midway += 1
            else:
                refused_early += 1
            if turns.get(program) == 10:
                finished += 1
                del turns[program]
    begun = finished + len(turns)
    assert refused_early > begun, "most of what is too much never begins"
    assert (
        finished >= 0.6 * 60.0 * holder_quota(Quota(30.0, 30.0), BOUNDS).rate_per_s / 10
    )
    assert refused_midway <= 0.2 * 10 * finished


def test_a_holder_that_has_just_begun_takes_no_program_for_a_new_one() -> None:
    """All keepers are killed while programs are under way, and come back at once.

    To the new process all programs are unknown.  Taken for new ones they would wait
    until the quota carries whole programs, though most need only a few turns more.
    """
    held = holder(QUOTA)
    given = sum(granted(held, 1.0, f"p{n}", starts=True) for n in range(100))
    assert given == int(holder_quota(QUOTA, BOUNDS).rate_per_s)


def test_a_changed_quota_is_in_force_with_the_next_request() -> None:
    held = holder(QUOTA)
    assert granted(held, 30.0, "p", starts=False)
    held.configure({NAME: Customer(NAME, None, Quota(3.0, 0.0))}, 30.0)
    given = sum(granted(held, 30.0, f"p{n}", starts=False) for n in range(100))
    assert given <= holder_quota(Quota(3.0, 0.0), BOUNDS).depth


@pytest.mark.parametrize("seed", SEEDS)
def test_the_sum_over_all_relays_stays_within_the_quota(seed: int) -> None:
    """Relays flood; keepers are killed, wiped, cut off and frozen, some or all at once.

    Servers would get more of the customer than the operators allow if one part of the
    quota were given out by two, or twice by one that has forgotten.
    """
    world = QuotaWorld(seed)
    world.play(PLAY_S)
    assert len(world.arrivals) > QUOTA.rate_per_s * PLAY_S / 8, (
        "the play is no idle one"
    )
    assert world.max_in_a_window() <= ALLOWED


@pytest.mark.parametrize("broken", ["forgets", "no wait"])
def test_the_play_finds_a_missing_safeguard(
    broken: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Buckets that are full after a restart, or holders that begin full at once."""

    class Full(quota_module._Account):
        def __init__(self, share: HolderQuota, since: float, now: float) -> None:
            super().__init__(share, since, now)
            if broken == "forgets" or since > 0.0:
                self.permits.level = share.depth

    monkeypatch.setattr(quota_module, "_Account", Full)
    if broken == "no wait":
        monkeypatch.setattr(quota_module, "HANDOVER_S", 0.0)

    def finds(seed: int) -> bool:
        world = QuotaWorld(seed)
        world.play(PLAY_S)
        return world.max_in_a_window() > ALLOWED

    assert any(finds(seed) for seed in SEEDS)
