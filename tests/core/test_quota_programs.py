"""Quotas that fall below demand: programs that end, and permits that are wasted."""

from __future__ import annotations

import random

import pytest

from tests.core.quota_programs import (
    BIG,
    BOUNDS,
    MEMBERS,
    OTHER,
    Outcome,
    Program,
    ProgramSimulation,
    UnplannedHolder,
)
from tests.windows import max_in_a_window
from wisteriastair.core import quotaaccount as account_module
from wisteriastair.core.customers import Customer, Quota
from wisteriastair.core.quota import (
    Permit,
    PermitStatus,
    QuotaHolder,
    holder_quota,
)
from wisteriastair.core.quotaaccount import PROGRAM_IDLE_S
from wisteriastair.core.quotaplan import (
    MAX_DELAY_S,
    MAX_STRETCH,
    ProgramNeed,
    carried_programs,
    is_carried,
)

USUAL = Quota(60.0, 60.0)
NEW_PER_S = 6.0
SEEDS = range(4)
FALL_AT = 20.0
END_S = 50.0
# Time at which programs of the tests of one holder have begun.
STARTED_AT = 15.0


def play(
    seed: int,
    divisor: float,
    *,
    holder_type: type[QuotaHolder] = QuotaHolder,
    is_chained: bool = True,
) -> ProgramSimulation:
    """Run a simulation in which the quota falls while programs run."""
    simulation = ProgramSimulation(
        seed, USUAL, NEW_PER_S, is_chained=is_chained, holder_type=holder_type
    )
    simulation.run_until(FALL_AT)
    assert 12 <= len(simulation.running()) <= 40, "about 20 programs run"
    rate, burst = USUAL
    simulation.set_quota(Quota(rate / divisor, burst / divisor))
    simulation.run_until(END_S + 10.0)
    return simulation


def total(simulations: list[ProgramSimulation]) -> Outcome:
    outcomes = [each.outcome(FALL_AT, END_S) for each in simulations]
    return Outcome(*(sum(field) for field in zip(*outcomes, strict=True)))


def ask(
    holder: QuotaHolder, now: float, program: str, kind: str = "", *, late: bool = False
) -> Permit:
    return holder.request_permit(BIG, program, kind, late, now)


def make_holder(quota: Quota) -> QuotaHolder:
    holder = QuotaHolder(MEMBERS[0], BOUNDS, MEMBERS, 0.0)
    holder.configure({BIG: Customer(BIG, None, quota)}, 0.0)
    return holder


def start_programs(holder: QuotaHolder, requests: list[int]) -> list[str]:
    """Start programs that have been granted some requests by `STARTED_AT`."""
    names = [f"p{number}" for number in range(len(requests))]
    for number, name in enumerate(names):
        first = ask(holder, 10.0 + 0.8 * number, name, "talk")
        assert first.status is PermitStatus.GRANTED
    for turn in range(1, max(requests)):
        for name, count in zip(names, requests, strict=True):
            if turn < count:
                permit = ask(holder, STARTED_AT, name, late=True)
                assert permit.status is PermitStatus.GRANTED
    return names


@pytest.mark.parametrize("is_chained", [True, False])
@pytest.mark.parametrize("divisor", [3.0, 10.0])
def test_programs_end_after_the_quota_has_fallen(
    divisor: float, is_chained: bool
) -> None:
    """The limit falls to a third or a tenth, and the customer sends as before.

    Without plans, running programs get too few permits and fail one after another, and
    so do new ones: most permits are used for programs that never end. Relays cannot
    always tell whether a request is a program's first one.
    """
    before = total(
        [
            play(seed, divisor, is_chained=is_chained, holder_type=UnplannedHolder)
            for seed in SEEDS
        ]
    )
    simulations = [play(seed, divisor, is_chained=is_chained) for seed in SEEDS]
    after = total(simulations)
    # Holders without plans also lose count of the requests that programs need. Where
    # nearly all programs then fail, no more of them end; where a third fails, as many.
    assert after.complete > 0.95 * before.complete
    assert after.failed < 0.4 * before.failed
    assert after.wasted < 0.4 * before.wasted
    assert after.complete > 2.0 * after.failed
    admitted_later = [
        program
        for simulation in simulations
        for program in simulation.programs
        if program.customer == BIG
        and FALL_AT < program.started_at < END_S
        and program.granted
        and program.ended_at is not None
    ]
    ended = sum(program.is_complete for program in admitted_later)
    assert ended >= 0.9 * len(admitted_later), "what is admitted is carried"


def test_programs_are_refused_once_and_early() -> None:
    """Programs without permits are refused turn by turn, and some turns run."""
    died = [
        program
        for seed in SEEDS
        for program in play(seed, 10.0).programs
        if program.customer == BIG
        and program.started_at < FALL_AT
        and program.ended_at is not None
        and program.ended_at > FALL_AT
        and not program.is_complete
    ]
    assert len(died) > 20, "the quota cannot carry all programs"
    late = [program for program in died if _turns_after_refusal(program) > 0]
    assert len(late) <= 0.1 * len(died)


def _turns_after_refusal(program: Program) -> int:
    refused_at = min(at for at in program.refused_at if at > FALL_AT)
    return sum(at > refused_at for at in program.granted_at)


def test_other_customers_get_the_same() -> None:
    """The plan of one customer must not change the permits of another one."""
    outcomes = [play(0, divisor).outcome(8.0, END_S, OTHER) for divisor in (1.0, 10.0)]
    before = play(0, 1.0, holder_type=UnplannedHolder).outcome(8.0, END_S, OTHER)
    assert outcomes[0] == outcomes[1]
    assert outcomes[0].complete >= before.complete


@pytest.mark.parametrize("seed", SEEDS)
def test_a_lowered_quota_is_kept_in_every_window(seed: int) -> None:
    """Programs that are carried to their end must not exceed the lowered quota.

    A holder restarts every few seconds, and loses its plan.
    """
    simulation = ProgramSimulation(seed, USUAL, NEW_PER_S)
    simulation.run_until(FALL_AT)
    simulation.set_quota(Quota(20.0, 20.0))
    for step in range(12):
        simulation.restart_holder(f"k{step % 3}")
        simulation.run_until(FALL_AT + 3.0 * step)
    granted_at = sorted(
        at
        for program in simulation.programs
        if program.customer == BIG
        for at in program.granted_at
        if at > FALL_AT + BOUNDS.window_s
    )
    rate, burst = simulation.quota
    allowed = rate * BOUNDS.window_s + burst
    allowed += allowed * BOUNDS.excess_fraction + BOUNDS.slack_requests
    assert max_in_a_window(granted_at, BOUNDS.window_s) <= allowed


def test_programs_nearest_to_their_end_continue() -> None:
    """The limit falls to a tenth while programs are near their start or their end."""
    holder = make_holder(USUAL)
    names = start_programs(holder, [10, 2, 1, 1, 9, 1])
    holder.configure({BIG: Customer(BIG, None, Quota(1.0, 1.0))}, STARTED_AT)
    is_refused = [ask(holder, STARTED_AT, name).is_program_refused for name in names]
    assert is_refused == [False, True, True, True, False, True]
    assert holder.programs_refused == 4


def test_a_refused_program_stays_refused_until_the_quota_covers_it() -> None:
    """A refused program asks again and again, also for tool calls.

    Single permits would be wasted. At the time of its last Retry-After it is admitted
    with a reservation for all that it still needs.
    """
    holder = make_holder(USUAL)
    names = start_programs(holder, [9, 1, 1, 1, 1])
    holder.configure({BIG: Customer(BIG, None, Quota(3.0, 3.0))}, STARTED_AT)
    permit = ask(holder, STARTED_AT, names[1])
    assert permit.is_program_refused and permit.wait_s > 0
    for step in range(1, 10):
        again = ask(holder, STARTED_AT + 0.1 * step * permit.wait_s, names[1])
        assert again.is_program_refused
    due = STARTED_AT + permit.wait_s + 0.01
    for _ in range(4):
        last = ask(holder, due, names[1], late=True)
        if last.status is PermitStatus.GRANTED:
            break
        due += last.wait_s + 0.01
    assert last.status is PermitStatus.GRANTED
    # The other refused programs have to wait until this one is covered.
    assert ask(holder, due, names[2]).is_program_refused


def test_tool_calls_of_carried_programs_have_precedence() -> None:
    """New programs arrive many times a second while a carried one calls tools."""
    holder = make_holder(USUAL)
    (name, *_) = start_programs(holder, [8, 1, 1, 1, 1])
    holder.configure({BIG: Customer(BIG, None, Quota(12.0, 12.0))}, STARTED_AT)
    for step in range(1, 5):
        now = STARTED_AT + 0.3 * step
        for number in range(5):
            assert ask(holder, now, f"new{step}-{number}", "talk").is_program_refused
        assert ask(holder, now, name).status is PermitStatus.GRANTED


def test_a_restarted_holder_serves_unknown_programs_as_far_as_the_rate_covers() -> None:
    """A holder restarts just after the limit has fallen, and knows no programs.

    It serves all programs in the order of their requests. As soon as permits are late,
    it keeps the ones that it has given most permits, and refuses the others.
    """
    holder = QuotaHolder(MEMBERS[0], BOUNDS, MEMBERS, 0.0)
    holder.configure({BIG: Customer(BIG, None, Quota(12.0, 12.0))}, 0.0)
    refused: set[str] = set()
    granted = dict.fromkeys((f"p{number}" for number in range(12)), 0)
    for step in range(40):
        now = 1.0 + 0.1 * step
        for name in granted:
            permit = ask(holder, now, name, late=True)
            assert not (name in refused and permit.status is PermitStatus.GRANTED)
            granted[name] += permit.status is PermitStatus.GRANTED
            if permit.is_program_refused:
                refused.add(name)
    assert refused, "not all can be carried"
    kept = granted.keys() - refused
    assert kept and sum(granted[name] for name in kept) > 0.5 * sum(granted.values())
    rate_per_s = holder_quota(Quota(12.0, 12.0), BOUNDS).rate_per_s
    assert sum(granted.values()) <= rate_per_s * (5.0 + MAX_DELAY_S)


@pytest.mark.parametrize("divisor", [1.0, 3.0])
def test_programs_end_although_all_holders_restart(divisor: float) -> None:
    """All keepers are killed just after the limit has fallen."""
    results = []
    for holder_type in (UnplannedHolder, QuotaHolder):
        complete = wasted = 0
        for seed in SEEDS:
            simulation = ProgramSimulation(
                seed, USUAL, NEW_PER_S, holder_type=holder_type
            )
            simulation.run_until(FALL_AT)
            simulation.set_quota(Quota(60.0 / divisor, 60.0 / divisor))
            for name in list(simulation.holders):
                simulation.restart_holder(name)
            simulation.run_until(END_S)
            outcome = simulation.outcome(FALL_AT, END_S)
            complete += outcome.complete
            wasted += outcome.wasted
        results.append((complete, wasted))
    assert results[1][0] >= 0.97 * results[0][0]
    assert results[1][1] <= 1.03 * results[0][1]


def test_programs_of_a_lost_holder_continue_at_the_others() -> None:
    """A holder is lost. The others do not know its programs.

    Two thirds of the quota remain, which cover the load of this test.
    """
    simulation = ProgramSimulation(1, USUAL, 0.4 * NEW_PER_S)
    simulation.run_until(FALL_AT)
    simulation.unreachable = {"k1"}
    simulation.run_until(END_S)
    outcome = simulation.outcome(FALL_AT, END_S)
    assert outcome.complete >= 60
    assert outcome.failed <= 0.03 * outcome.complete


def test_programs_from_another_holder_take_no_reserved_permits() -> None:
    """A program admitted elsewhere asks a holder whose permits are all reserved.

    The relay must get an answer that makes it ask the other holders first, and a permit
    if none of them knows the program.
    """
    holder = make_holder(USUAL)
    for number in range(3):
        first = ask(holder, 10.0, f"p{number}", "talk")
        assert first.status is PermitStatus.GRANTED
    elsewhere = ask(holder, 10.0, "elsewhere")
    assert elsewhere.status is PermitStatus.EXHAUSTED
    assert not elsewhere.is_program_refused
    assert ask(holder, 10.0, "elsewhere", late=True).status is PermitStatus.GRANTED


def test_refused_callers_are_not_worse_off_than_new_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A customer sends a little more than its quota covers.

    Refused callers return at the given time. Without places, newer programs that arrive
    just before them take the permits.
    """

    def admitted_returning() -> float:
        returned = admitted = 0
        for seed in SEEDS:
            simulation = ProgramSimulation(seed, Quota(40.0, 40.0), NEW_PER_S)
            simulation.run_until(END_S)
            for program in simulation.programs:
                if program.customer == BIG and len(program.refused_at) > 0:
                    is_back = len(program.refused_at) > 1 or program.granted
                    returned += bool(is_back)
                    admitted += bool(is_back and program.granted)
        return admitted / returned

    with_places = admitted_returning()
    monkeypatch.setattr(account_module, "MAX_PLACE_WAIT_S", -1.0)
    without = admitted_returning()
    assert with_places > without + 0.05


def test_places_of_callers_that_do_not_return_lapse() -> None:
    """Refused callers go away for good; new ones must not wait for them."""
    holder = make_holder(USUAL)
    start_programs(holder, [1, 1, 1, 1, 1, 1])
    for number in range(20):
        ask(holder, STARTED_AT, f"gone{number}", "talk")
    later = STARTED_AT + 1.7 * account_module.MAX_PLACE_WAIT_S
    admitted = 0
    for step in range(20):
        permit = ask(holder, later + 0.2 * step, f"new{step}", "talk")
        admitted += permit.status is PermitStatus.GRANTED
    assert admitted >= 3


def test_a_small_quota_admits_one_program_at_a_time() -> None:
    """The rate is far below the pace of a single program.

    A program that starts with a nearly empty bucket would fail after a few requests;
    none must be admitted then, but the quota must not stay unused either.
    """
    holder = make_holder(Quota(3.0, 30.0))
    bucket = holder_quota(Quota(3.0, 30.0), BOUNDS)
    assert bucket.rate_per_s <= 1.0
    ended = []
    for round_number in range(12):
        now = 10.0 + 13.0 * round_number
        name = f"p{round_number}"
        first = ask(holder, now, name, "talk")
        if first.status is not PermitStatus.GRANTED:
            continue
        turns = [ask(holder, now + 0.3 * turn, name, late=True) for turn in range(9)]
        ended.append(all(t.status is PermitStatus.GRANTED for t in turns))
    assert len(ended) >= 9 and all(ended)


def test_programs_that_failed_do_not_lower_the_estimates() -> None:
    """Programs fail after two requests for lack of permits.

    If they counted as short programs, more programs would be admitted than the quota
    can carry.
    """
    holder = make_holder(USUAL)
    names = start_programs(holder, [2] * 5)
    holder.configure({BIG: Customer(BIG, None, Quota(0.5, 0.5))}, STARTED_AT)
    for name in names:
        ask(holder, STARTED_AT, name)
    ask(holder, STARTED_AT + 1.0 + PROGRAM_IDLE_S, "later", "talk")
    assert (
        holder._estimates.estimate("talk").requests
        >= account_module.INITIAL_ESTIMATE - 2
    )


def test_carried_programs_get_their_permits_in_time() -> None:
    """Programs that the plan keeps are played request by request against the bucket."""
    rng = random.Random(3)
    for _ in range(300):
        level, rate_per_s = rng.uniform(0.0, 10.0), rng.uniform(0.5, 20.0)
        needs = [
            ProgramNeed(str(n), rng.randint(1, 12), rng.uniform(0.5, 4.0))
            for n in range(rng.randint(1, 25))
        ]
        kept = carried_programs(needs, level, rate_per_s)
        assert kept, "a quota serves at least one program"
        assert max(n.requests for n in kept) <= min(
            (n.requests for n in needs if n not in kept), default=99
        )
        if not is_carried(kept, level, rate_per_s):
            assert len(kept) == 1
            continue
        sent_at = sorted(
            (turn + 1) / need.pace_per_s
            for need in kept
            for turn in range(int(need.requests))
        )
        for number, at in enumerate(sent_at, 1):
            # One request of each program may be early by a fraction of its interval.
            supply = level + rate_per_s * (MAX_STRETCH * at + MAX_DELAY_S)
            assert number <= supply + 1e-9
