"""Seeded random faults; and broken variants that the checker must catch."""

from __future__ import annotations

from functools import partial
from typing import Any

import pytest

from tests.core.chaos import FAULT_COLUMNS, Report, run_chaos
from tests.core.deployments import office, start
from wisteriastair.core.config import CONFIG_KEY, EMPTY_CONFIG, encode_config
from wisteriastair.core.docs import Doc, Docs
from wisteriastair.core.events import Received
from wisteriastair.core.gate import Gate
from wisteriastair.core.primary import RETAIN_S
from wisteriastair.core.program import Program
from wisteriastair.core.records import CallIntended
from wisteriastair.core.side import SideCore
from wisteriastair.core.wire import DocPush, GateCall, Message

SEEDS = range(1, 7)
BROKEN_SEEDS = range(1, 21)


def faults_of(report: Report) -> dict[str, int]:
    return {name: getattr(report, name) for name in FAULT_COLUMNS}


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold_under_random_faults(seed: int) -> None:
    report, chaos = run_chaos(seed)
    assert not any(faults_of(report).values()), (report, chaos.log)


def repeat_unknown_outcomes(self: Program, call: CallIntended, record: Any) -> None:
    return None


def refuse_without_memory(
    self: Gate, to: str, call: Any, retry_after_s: float, now: float
) -> None:
    self._answer(to, self._result(call, "refused", "no", retry_after_s))


def hold_for_ever(self: Gate, programs: tuple[str, ...]) -> None:
    return None


def take_any_revision(self: Docs, key: str, revision: int, value: bytes) -> bool:
    self.held[key] = Doc(revision, value)
    return False


def fails_on_some_seed(column: str) -> bool:
    return any(getattr(run_chaos(seed)[0], column) for seed in BROKEN_SEEDS)


def test_checker_sees_a_repeated_unknown_outcome(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Program, "_fatal", repeat_unknown_outcomes)
    assert fails_on_some_seed("ran_twice")


def test_checker_sees_memory_left_behind(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Gate, "release", hold_for_ever)
    monkeypatch.setattr(Gate, "reconcile", hold_for_ever)
    assert fails_on_some_seed("held_left")


def late_call_of_a_refused_id() -> int:
    """Run the scenario; return how often the reservation was executed.

    The call to the gate is delayed on its way.  The carrier hears nothing, asks, and
    is told "not run"; it makes a second attempt.  Then the delayed call arrives.
    """
    deployment = office()
    # Let the slots come to rest: a hand-over in between would fence the late call off.
    deployment.run(30.0)
    delayed: list[str] = []

    def disturb(sender: str, to: str, message: Message) -> tuple[float, ...]:
        if isinstance(message, GateCall) and message.name == "swaps/reserve":
            delayed.append(to)
            return (3.0,) if len(delayed) == 1 else (0.0,)
        return (0.0,)

    deployment.disturb = disturb
    request = deployment.ask(start("k"))
    assert deployment.run_until(lambda: deployment.last(request) is not None, 30.0)
    deployment.run(10.0)
    assert len(delayed) >= 2, "a second attempt was made"
    done = [e for e in deployment.executions if e.operation == "swaps/reserve"]
    return len(done)


def test_late_call_of_a_refused_id_does_not_run() -> None:
    """The caller's reservation runs once although its first call arrives late.

    By saying "not run" the gate has remembered the id, so the copy that arrives
    after the second attempt is refused.
    """
    assert late_call_of_a_refused_id() == 1


def test_gate_that_forgets_what_it_refused_runs_twice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Gate, "_refuse", refuse_without_memory)
    assert late_call_of_a_refused_id() == 2


def revision_change_of_a_stale_push(*, broken: bool) -> int:
    """Push an old document to a daemon; return how its revision changes."""
    deployment = office()
    core = deployment.side("m1")
    if broken:
        patched = partial(take_any_revision, core.docs)
        setattr(core.docs, "offer", patched)  # noqa: B010
    held = core.docs.held[CONFIG_KEY]
    old = DocPush(CONFIG_KEY, held.revision - 1, encode_config(EMPTY_CONFIG))
    core.step(Received("side-m2:1#2", old), deployment.now)
    return core.docs.held[CONFIG_KEY].revision - held.revision


def test_configuration_never_reverts() -> None:
    """A stale peer pushes an older configuration; the daemon refuses it."""
    assert revision_change_of_a_stale_push(broken=False) == 0


def test_docs_that_take_any_revision_revert() -> None:
    assert revision_change_of_a_stale_push(broken=True) < 0


def test_nothing_is_kept_for_ever() -> None:
    """After all that has gone wrong, every daemon forgets what has ended."""
    report, chaos = run_chaos(4)
    assert not any(faults_of(report).values())
    chaos.deployment.run(RETAIN_S + 200.0)
    for node in chaos.deployment.nodes.values():
        if isinstance(node.core, SideCore) and node.alive and not node.drained:
            assert not node.core.programs.by_name
            assert all(not gate.leased_programs() for gate in node.core.gates.values())
            assert all(gate.remembered == 0 for gate in node.core.gates.values())
