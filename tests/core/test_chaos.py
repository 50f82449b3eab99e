"""Seeded random faults, and broken variants that the checker must detect."""

from __future__ import annotations

from functools import partial
from typing import Any

import pytest

from tests.core.chaos import FAULT_COLUMNS, Report, run_chaos
from tests.core.deployments import office, start
from wisteriastair.core.config import CONFIG_KEY, EMPTY_CONFIG, encode_config
from wisteriastair.core.docs import Docs, Document
from wisteriastair.core.events import Received
from wisteriastair.core.gate import Gate
from wisteriastair.core.primary import ENDED_RETENTION_S
from wisteriastair.core.program import Program
from wisteriastair.core.records import CallIntended
from wisteriastair.core.side import SideCore
from wisteriastair.core.wire import DocPush, GateCall, Message

SEEDS = range(1, 7)
BROKEN_SEEDS = range(1, 21)


def faults_of(report: Report) -> dict[str, int]:
    return {name: getattr(report, name) for name in FAULT_COLUMNS}


@pytest.mark.parametrize("seed", SEEDS)
def test_guarantees_hold_under_random_faults(seed: int) -> None:
    report, chaos = run_chaos(seed)
    assert not any(faults_of(report).values()), (report, chaos.log)


def ignore_unknown_outcomes(self: Program, call: CallIntended, record: Any) -> None:
    return None


def refuse_without_tombstone(
    self: Gate, to: str, call: Any, retry_after_s: float, now: float
) -> None:
    self._send_result(to, self._result(call, "refused", "no", retry_after_s))


def never_release(self: Gate, programs: tuple[str, ...]) -> None:
    return None


def accept_any_revision(self: Docs, key: str, revision: int, value: bytes) -> bool:
    self.stored[key] = Document(revision, value)
    return False


def fails_on_some_seed(column: str) -> bool:
    return any(getattr(run_chaos(seed)[0], column) for seed in BROKEN_SEEDS)


def test_checker_detects_repeated_unknown_outcome(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Program, "_fatal_failure", ignore_unknown_outcomes)
    assert fails_on_some_seed("ran_twice")


def test_checker_detects_leaked_cache(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Gate, "release", never_release)
    monkeypatch.setattr(Gate, "reconcile", never_release)
    assert fails_on_some_seed("leaked_cache")


def executions_with_late_call() -> int:
    """Run the scenario; return how often the reservation was executed.

    The call to the gate is delayed.  The primary receives no answer, looks the call
    up, gets "not run" and makes a second attempt.  Then the delayed call arrives.
    """
    deployment = office()
    # Wait until the slots no longer move: a hand-over would fence off the late call.
    deployment.run(30.0)
    delayed: list[str] = []

    def delivery_delays(sender: str, to: str, message: Message) -> tuple[float, ...]:
        if isinstance(message, GateCall) and message.name == "swaps/reserve":
            delayed.append(to)
            return (3.0,) if len(delayed) == 1 else (0.0,)
        return (0.0,)

    deployment.delivery_delays = delivery_delays
    request = deployment.submit(start("k"))
    assert deployment.run_until(
        lambda: deployment.final_event(request) is not None, 30.0
    )
    deployment.run(10.0)
    assert len(delayed) >= 2, "a second attempt was made"
    done = [e for e in deployment.executions if e.operation == "swaps/reserve"]
    return len(done)


def test_late_call_of_refused_id_does_not_run() -> None:
    """A reservation runs once although its first call arrives late.

    With its answer "not run" the gate stores a tombstone for the id, so it refuses the
    call that arrives after the second attempt.
    """
    assert executions_with_late_call() == 1


def test_gate_without_tombstone_runs_call_twice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Gate, "_refuse", refuse_without_tombstone)
    assert executions_with_late_call() == 2


def revision_change_after_stale_push(*, broken: bool) -> int:
    """Push an old document to a daemon; return the change of its revision."""
    deployment = office()
    core = deployment.side("m1")
    if broken:
        patched = partial(accept_any_revision, core.docs)
        setattr(core.docs, "store_if_newer", patched)  # noqa: B010
    stored = core.docs.stored[CONFIG_KEY]
    old = DocPush(CONFIG_KEY, stored.revision - 1, encode_config(EMPTY_CONFIG))
    core.step(Received("side-m2:1#2", old), deployment.now)
    return core.docs.stored[CONFIG_KEY].revision - stored.revision


def test_configuration_never_reverts() -> None:
    """A daemon refuses an older configuration from a stale peer."""
    assert revision_change_after_stale_push(broken=False) == 0


def test_accepting_any_revision_reverts_configuration() -> None:
    assert revision_change_after_stale_push(broken=True) < 0


def test_ended_state_is_dropped() -> None:
    """After random faults, every daemon drops ended programs, leases and calls."""
    report, chaos = run_chaos(4)
    assert not any(faults_of(report).values())
    chaos.deployment.run(ENDED_RETENTION_S + 200.0)
    for node in chaos.deployment.nodes.values():
        if isinstance(node.core, SideCore) and node.alive and not node.drained:
            assert not node.core.programs.by_name
            assert all(not gate.leased_programs() for gate in node.core.gates.values())
            assert all(gate.call_count == 0 for gate in node.core.gates.values())
