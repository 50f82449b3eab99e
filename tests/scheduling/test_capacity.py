"""Capacity steps from the pace of servers."""

from __future__ import annotations

from wisteriastair.scheduling.capacity import (
    CONFIRMATIONS,
    MAX_STEP,
    MIN_SERVERS,
    MIN_STEP,
    STEP_FACTOR,
    CapacitySteps,
    weight_of_step,
)

SERVICES = dict.fromkeys(range(8), "svc")


def decide(steps: CapacitySteps, paces: dict[int, float], count: int = 1) -> int:
    """Decide several times; return the number of changes."""
    return sum(len(steps.decide(paces, SERVICES)) for _ in range(count))


def paces(**changed: float) -> dict[int, float]:
    values = dict.fromkeys(range(8), 1.0)
    return values | {int(name[1:]): pace for name, pace in changed.items()}


def test_a_slow_server_gets_a_lower_weight() -> None:
    steps = CapacitySteps()
    decide(steps, paces(s0=1.2 / 0.55), CONFIRMATIONS)
    assert steps.steps == {0: -3}
    assert weight_of_step(-3) == STEP_FACTOR**-3


def test_a_short_disturbance_changes_nothing() -> None:
    """A machine is 2.5 times slower for 600 ms, which is less than two decisions."""
    steps = CapacitySteps()
    assert decide(steps, paces(s0=2.5), CONFIRMATIONS - 1) == 0
    assert decide(steps, paces(), 5) == 0
    assert decide(steps, paces(s0=2.5), CONFIRMATIONS - 1) == 0


def test_a_pace_between_two_steps_does_not_alternate() -> None:
    """Each change of a step moves programs away from their cached prompts."""
    steps = CapacitySteps()
    decide(steps, paces(s0=STEP_FACTOR**1.6), CONFIRMATIONS)
    assert steps.steps == {0: -2}
    for n in range(20):
        pace = STEP_FACTOR ** (1.4 if n % 4 < 2 else 1.6)
        assert decide(steps, paces(s0=pace)) == 0


def test_no_weight_without_enough_servers_of_known_pace() -> None:
    steps = CapacitySteps()
    few = {n: 1.0 + n for n in range(MIN_SERVERS - 1)}
    assert decide(steps, few, 5) == 0


def test_a_server_without_news_keeps_its_step_and_a_removed_one_does_not() -> None:
    steps = CapacitySteps()
    decide(steps, paces(s0=2.0), CONFIRMATIONS)
    decide(steps, dict.fromkeys(range(1, 8), 1.0), 5)
    assert steps.steps == {0: -3}
    steps.decide({}, dict.fromkeys(range(1, 8), "svc"))
    assert steps.steps == {}


def test_steps_are_limited() -> None:
    """A pace that is wrong by far must not give a server all programs, or none."""
    steps = CapacitySteps()
    decide(steps, paces(s0=1e9, s1=1e-9), CONFIRMATIONS)
    assert steps.steps == {0: MIN_STEP, 1: MAX_STEP}
    steps.adopt({2: 1000, 3: -1000})
    assert steps.steps == {2: MAX_STEP, 3: MIN_STEP}
