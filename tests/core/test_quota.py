"""Quotas: token buckets of holders, precedence of programs, and the total rate."""

from __future__ import annotations

import pytest

from tests.core.quota_world import BOUNDS, NAME, QUOTA, QuotaSimulation
from wisteriastair.core import quota as quota_module
from wisteriastair.core.customers import Customer, Quota
from wisteriastair.core.membership import Member
from wisteriastair.core.quota import (
    HANDOVER_S,
    MAX_MEMBER_LISTS,
    PermitStatus,
    QuotaBounds,
    QuotaHolder,
    holder_quota,
    query_order,
    quota_holders,
)
from wisteriastair.core.quotaaccount import CustomerAccount, HolderQuota

MEMBERS = tuple(Member(f"k{n}", f"disk{n}", f"k{n}:1", f"d{n}") for n in range(3))
SIMULATION_S = 60.0
ROUNDING = 1e-9
# The last five detect a bucket that fills up whenever a member list is dropped.
SEEDS = (*range(6), 122, 141, 148, 149, 155)
ALLOWED = (QUOTA.rate_per_s * BOUNDS.window_s + QUOTA.burst) * (
    1 + BOUNDS.excess_fraction
) + BOUNDS.slack_requests


def make_holder(quota: Quota | None, me: Member = MEMBERS[0]) -> QuotaHolder:
    holder = QuotaHolder(me, BOUNDS, MEMBERS, 0.0)
    holder.configure({NAME: Customer(NAME, None, quota)}, 0.0)
    return holder


def is_granted(
    holder: QuotaHolder, now: float, program: str, *, is_first: bool
) -> bool:
    kind = "talk" if is_first else ""
    return (
        holder.request_permit(NAME, program, kind, False, now).status
        is PermitStatus.GRANTED
    )


def test_buckets_of_all_holders_add_up_to_the_quota() -> None:
    """For any quota, buckets and their inflow stay within the limit of a window."""
    for rate in (0.1, 1.0, 8.0, 40.0, 500.0):
        for burst in (0.0, 1.0, rate, 10 * rate):
            for bounds in (BOUNDS, QuotaBounds(), QuotaBounds(2.0, 0.2, 3.0)):
                bucket = holder_quota(Quota(rate, burst), bounds)
                window_s = bounds.window_s + quota_module.PERMIT_LIFETIME_S
                max_granted = bucket.holders * (
                    bucket.depth + bucket.rate_per_s * window_s
                )
                allowed = (rate * bounds.window_s + burst) * (
                    1 + bounds.excess_fraction
                )
                # A bucket that holds less than one permit would never grant any.
                max_allowed = max(
                    allowed + bounds.slack_requests, 1.0 + rate * window_s
                )
                assert max_granted <= max_allowed * (1 + ROUNDING)
                assert bucket.depth >= 1.0


def test_relays_agree_on_holders_and_spread_programs_over_them() -> None:
    chosen = quota_holders(MEMBERS, NAME, 2)
    assert chosen == quota_holders(MEMBERS[::-1], NAME, 2)
    first = {query_order(chosen, f"p{number}")[0] for number in range(50)}
    assert first == set(chosen)


def test_only_holders_grant_permits() -> None:
    outsider = Member("other", "disk9", "other:1", "d9")
    permit = make_holder(QUOTA, outsider).request_permit(NAME, "p", "", True, 50.0)
    assert permit.status is PermitStatus.NOT_HOLDER
    assert make_holder(QUOTA).request_permit("unknown", "p", "", True, 50.0).status is (
        PermitStatus.NOT_HOLDER
    )
    assert (
        make_holder(None).request_permit(NAME, "p", "", True, 50.0).status
        is PermitStatus.GRANTED
    )


def test_a_restarted_holder_grants_no_burst() -> None:
    """All keepers are killed during a burst and restart at once.

    They have no record of the granted permits. With full buckets they would grant the
    burst twice, and servers would get more requests than the quota allows.
    """
    holder = make_holder(QUOTA)
    bucket = holder_quota(QUOTA, BOUNDS)
    granted_count = sum(
        is_granted(holder, 0.1, f"p{n}", is_first=False) for n in range(100)
    )
    assert granted_count <= 0.1 * bucket.rate_per_s
    rested_holder = make_holder(QUOTA)
    granted_count = sum(
        is_granted(rested_holder, 30.0, f"p{n}", is_first=False) for n in range(100)
    )
    assert granted_count == int(bucket.depth)


def test_a_new_holder_waits_for_its_predecessor() -> None:
    holder = QuotaHolder(MEMBERS[0], BOUNDS, MEMBERS[1:], 0.0)
    holder.configure({NAME: Customer(NAME, None, QUOTA)}, 0.0)
    holder.update_members(MEMBERS, 20.0)
    early = holder.request_permit(NAME, "p", "", True, 20.0 + HANDOVER_S - 0.1)
    assert early.status is PermitStatus.NOT_HOLDER
    assert is_granted(holder, 21.0 + HANDOVER_S, "p", is_first=False)


def test_a_holder_continues_after_a_short_absence() -> None:
    """Three of nine keepers drop out of the member list and come back within a second.

    For some customers all holders are then new. If each of them waited, the customers'
    callers would be rejected for seconds, although no other member has granted permits.
    Permits granted before the gap still count.
    """
    holder = make_holder(QUOTA)
    while is_granted(holder, 20.0, "p", is_first=False):
        pass
    holder.update_members(MEMBERS[1:], 20.0)
    assert not is_granted(holder, 20.1, "p", is_first=False)
    holder.update_members(MEMBERS, 20.5)
    granted_count = sum(
        is_granted(holder, 21.0, "p", is_first=False) for _ in range(100)
    )
    assert granted_count == int(holder_quota(QUOTA, BOUNDS).rate_per_s)
    holder.update_members(MEMBERS[1:], 30.0)
    holder.update_members(MEMBERS, 32.0)
    assert not is_granted(holder, 33.0, "p", is_first=False), (
        "it may have been replaced"
    )


def test_frequent_member_list_changes_fill_no_bucket() -> None:
    """A member joins and leaves in a flood, first slowly, then many times per second.

    A holder stores a limited number of member lists. When the list that started its
    term is dropped, it must not start a new term with a full bucket.
    """
    holder = make_holder(QUOTA)
    other = Member("k9", "disk9", "k9:1", "d0")
    granted_count = 0
    slow_times = [10.0 + second for second in range(MAX_MEMBER_LISTS)]
    times = [
        *slow_times,
        *(slow_times[-1] + 3.0 + tick * 0.05 for tick in range(MAX_MEMBER_LISTS)),
    ]
    for number, now in enumerate(times):
        holder.update_members((*MEMBERS, other) if number % 2 else MEMBERS, now)
        granted_count += sum(
            is_granted(holder, now, "p", is_first=False) for _ in range(100)
        )
    bucket = holder_quota(QUOTA, BOUNDS)
    assert granted_count <= bucket.depth + bucket.rate_per_s * (times[-1] - times[0])


def test_running_programs_have_precedence_over_new_ones() -> None:
    """A customer starts far more programs of ten turns than its quota covers.

    If single requests were admitted without regard to programs, all programs would
    stall halfway. Running programs must get a permit for nearly every turn, and the
    excess programs must be rejected before their first turn.
    """
    holder = make_holder(Quota(30.0, 30.0))
    finished = refused_midway = refused_early = 0
    turns: dict[str, int] = {}
    for tick in range(1, 601):
        now = tick * 0.1
        programs = [*turns, f"p{tick}a", f"p{tick}b"]
        for program in programs:
            done = turns.get(program, 0)
            if is_granted(holder, now, program, is_first=done == 0):
                turns[program] = done + 1
            elif done:
                refused_midway += 1
            else:
                refused_early += 1
            if turns.get(program) == 10:
                finished += 1
                del turns[program]
    admitted = finished + len(turns)
    assert refused_early > admitted, "most excess programs never start"
    assert (
        finished >= 0.6 * 60.0 * holder_quota(Quota(30.0, 30.0), BOUNDS).rate_per_s / 10
    )
    assert refused_midway <= 0.2 * 10 * finished


def test_a_new_holder_treats_no_program_as_new() -> None:
    """All keepers are killed while programs are running, and restart at once.

    The new processes know no programs. If they treated running programs as new, these
    would wait until the quota covers whole programs, though most need only a few more
    turns.
    """
    holder = make_holder(QUOTA)
    granted_count = sum(
        is_granted(holder, 1.0, f"p{n}", is_first=True) for n in range(100)
    )
    assert granted_count == int(holder_quota(QUOTA, BOUNDS).rate_per_s)


def test_a_changed_quota_applies_to_the_next_request() -> None:
    holder = make_holder(QUOTA)
    assert is_granted(holder, 30.0, "p", is_first=False)
    holder.configure({NAME: Customer(NAME, None, Quota(3.0, 0.0))}, 30.0)
    granted_count = sum(
        is_granted(holder, 30.0, f"p{n}", is_first=False) for n in range(100)
    )
    assert granted_count <= holder_quota(Quota(3.0, 0.0), BOUNDS).depth


def test_a_customer_that_is_removed_and_comes_back_gets_no_second_burst() -> None:
    """A wrong configuration without the customer is in force for a moment."""
    holder = make_holder(QUOTA)
    while is_granted(holder, 20.0, "p", is_first=False):
        pass
    holder.configure({}, 20.1)
    holder.configure({NAME: Customer(NAME, None, QUOTA)}, 20.2)
    granted_count = sum(
        is_granted(holder, 20.3, f"q{n}", is_first=False) for n in range(100)
    )
    assert granted_count <= holder_quota(QUOTA, BOUNDS).rate_per_s * 0.3


@pytest.mark.parametrize("seed", SEEDS)
def test_the_sum_over_all_relays_stays_within_the_quota(seed: int) -> None:
    """Relays flood, while keepers are killed, wiped, partitioned and frozen.

    Servers would get more requests than the quota allows if two holders granted the
    same part of the quota, or one holder granted it twice after losing its state.
    """
    simulation = QuotaSimulation(seed)
    simulation.run(SIMULATION_S)
    assert len(simulation.arrivals) > QUOTA.rate_per_s * SIMULATION_S / 8, (
        "the relays have sent a considerable load"
    )
    assert simulation.max_arrivals_in_window() <= ALLOWED


@pytest.mark.parametrize("broken", ["forgets", "no wait"])
def test_the_simulation_detects_a_missing_safeguard(
    broken: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Buckets are full after a restart, or new holders start at once with full ones."""

    class FullBucketAccount(CustomerAccount):
        def __init__(self, bucket: HolderQuota, term_start: float, now: float) -> None:
            super().__init__(bucket, term_start, now)
            if broken == "forgets" or term_start > 0.0:
                self.permits.level = bucket.depth

    monkeypatch.setattr(quota_module, "CustomerAccount", FullBucketAccount)
    if broken == "no wait":
        monkeypatch.setattr(quota_module, "HANDOVER_S", 0.0)

    def detects_excess(seed: int) -> bool:
        simulation = QuotaSimulation(seed)
        simulation.run(SIMULATION_S)
        return simulation.max_arrivals_in_window() > ALLOWED

    assert any(detects_excess(seed) for seed in SEEDS)
