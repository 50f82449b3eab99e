"""Failures of processes, connections and the platform with the production cores."""

from __future__ import annotations

import pytest

from tests.core.deployments import (
    ANSWER,
    MODEL,
    SERVERS,
    all_ended,
    all_paired,
    answers,
    office,
    primary_of,
    rows_of,
    start,
    streamed,
)
from wisteriastair.core.entry import Done, RequestSpec
from wisteriastair.core.hashing import program_id
from wisteriastair.core.primary import ENDED_RETENTION_S
from wisteriastair.core.side import SideCore
from wisteriastair.core.wire import GateCall
from wisteriastair.standins.script import final_answer
from wisteriastair.standins.virtual import VirtualDeployment
from wisteriastair.standins.virtual_parts import Node, VirtualOptions, VirtualServer


def run_until_ended(deployment: VirtualDeployment, requests: list[str]) -> None:
    ended = deployment.run_until(lambda: all_ended(deployment, requests), 90.0)
    assert ended, "every request has a final answer"


def reservation_count(deployment: VirtualDeployment) -> int:
    return sum(1 for e in deployment.executions if e.operation == "swaps/reserve")


def test_programs_complete_without_failures() -> None:
    deployment = office()
    requests = [deployment.submit(start(f"k{n}"), 1 + n % 2) for n in range(12)]
    run_until_ended(deployment, requests)
    assert answers(deployment, requests) == [ANSWER] * 12
    assert reservation_count(deployment) == 12
    texts = streamed(deployment, requests[0])
    assert texts[max(texts)] == ANSWER


@pytest.mark.parametrize("moment_s", [0.05, 0.3, 0.6, 0.9, 1.2, 1.5, 2.0])
def test_primary_killed_at_any_time(moment_s: float) -> None:
    """A caller gets the whole answer although the primary is killed.

    The primary of the program is killed ``moment_s`` after the start, in a model call,
    a tool call or between them.  Its standby suspects it, becomes primary by one
    compare-and-swap, asks the gate for the state of the open call and continues.  The
    reservation must not run twice.
    """
    deployment = office()
    request = deployment.submit(start("k"))
    deployment.run(moment_s)
    killed_process = primary_of(deployment, program_id("citizens", "k"))
    assert killed_process.startswith("side")
    deployment.kill(killed_process)
    run_until_ended(deployment, [request])
    last = deployment.final_event(request)
    assert isinstance(last, Done)
    gate_died_with_call = last.outcome.status == "outcome_unknown"
    if gate_died_with_call:
        assert killed_process in ("side-p1", "side-p2")
        assert last.outcome.ran == "unknown"
    else:
        assert last.outcome.answer == ANSWER
        assert reservation_count(deployment) == 1
    streamed(deployment, request)
    assert deployment.run_until(lambda: all_paired(deployment), 30.0)


def test_rolling_kill_and_restart() -> None:
    """Programs survive a rolling kill and restart of side processes.

    One side process after another is killed and restarted without state.  Each time,
    its slots move to their standbys and get a new copy before the next kill, so no log
    exists in a single process only.
    """
    deployment = office()
    requests = [deployment.submit(start(f"k{n}"), 1 + n % 2) for n in range(8)]
    for server in deployment.cfg.servers[:3]:
        deployment.kill(f"side-{server.name}", listed=True)
        deployment.run(0.5)
        deployment.start_side(server)
        assert deployment.run_until(lambda: all_paired(deployment), 30.0)
    run_until_ended(deployment, requests)
    assert answers(deployment, requests) == [ANSWER] * 8
    assert reservation_count(deployment) == 8


def test_resumed_primary_has_no_effect() -> None:
    """A primary that was replaced while frozen has no effect when it resumes.

    It is frozen while programs run; its standbys take over and finish them.  When it
    resumes, it still acts as primary and sends pending messages.  Gates and callers
    ignore the old epoch, and it drops the slots.
    """
    deployment = office()
    requests = [deployment.submit(start(f"k{n}")) for n in range(6)]
    deployment.run(0.5)
    killed_process = primary_of(deployment, program_id("citizens", "k0"))
    deployment.freeze(killed_process)
    deployment.run(8.0)
    deployment.resume(killed_process)
    run_until_ended(deployment, requests)
    assert answers(deployment, requests) == [ANSWER] * 6
    assert reservation_count(deployment) == 6
    assert deployment.run_until(lambda: all_paired(deployment), 30.0)


def test_programs_complete_during_platform_outage() -> None:
    """An outage of the key-value service does not affect callers.

    The service goes down before the programs start.  Programs of placed slots run,
    because no turn depends on the service.
    """
    deployment = office()
    deployment.kv.up = False
    requests = [deployment.submit(start(f"k{n}"), 1 + n % 2) for n in range(8)]
    run_until_ended(deployment, requests)
    assert answers(deployment, requests) == [ANSWER] * 8


def test_primary_killed_during_platform_outage() -> None:
    """A program waits for the key-value service and then completes.

    The key-value service is down when the primary is killed, so its standby cannot
    take over.  The standby retains the log.  When the service is available again, the
    takeover succeeds and a repeated request gets the whole answer.
    """
    deployment = office()
    first = deployment.submit(start("k"))
    deployment.run(0.4)
    deployment.kv.up = False
    killed_process = primary_of(deployment, program_id("citizens", "k"))
    deployment.kill(killed_process)
    deployment.run(25.0)
    assert deployment.final_event(first) is not None, (
        "the request was given up with an answer"
    )
    again = deployment.submit(start("k"), 2)
    deployment.kv.up = True
    run_until_ended(deployment, [again])
    assert answers(deployment, [again]) == [ANSWER]
    assert reservation_count(deployment) == 1


def test_lost_answer_to_takeover_write() -> None:
    """A takeover whose answer is lost is detected by reading the table.

    The compare-and-swap takes effect but its answer never arrives.  The standby reads
    the table, finds its own row and continues; it does not propose a second row.
    """
    deployment = office()
    request = deployment.submit(start("k"))
    deployment.run(0.4)
    deployment.kv.responses_to_drop = 3
    killed_process = primary_of(deployment, program_id("citizens", "k"))
    deployment.kill(killed_process)
    run_until_ended(deployment, [request])
    assert answers(deployment, [request]) == [ANSWER]
    assert deployment.run_until(lambda: all_paired(deployment), 30.0)


def test_partition_between_primary_and_standby() -> None:
    """A partition between the two members moves the slot but loses nothing.

    Both are alive and each suspects the other; the compare-and-swap lets one succeed.
    The other sees the new row, and the program continues on one primary only.  The
    other member waits for the repair instead of taking over again.
    """
    deployment = office()
    request = deployment.submit(start("k"))
    deployment.run(0.4)
    program = program_id("citizens", "k")
    primary = primary_of(deployment, program)
    rows = rows_of(deployment)
    row = next(r for r in rows.values() if r.slot == _program_slot(deployment, program))
    deployment.partition(primary, row.standby.split(":")[0])
    run_until_ended(deployment, [request])
    assert answers(deployment, [request]) == [ANSWER]
    assert reservation_count(deployment) == 1
    assert rows_of(deployment)[row.slot].epoch <= row.epoch + 3, (
        "the members took over from each other repeatedly"
    )


def _program_slot(deployment: VirtualDeployment, program: str) -> int:
    from wisteriastair.core.hashing import slot_of

    return slot_of(program, deployment.cfg.slots)


def test_planned_stop_interrupts_no_program() -> None:
    """A planned stop of a side process does not affect running programs.

    The process refuses new calls, hands its slots over while both members are alive,
    waits for the calls in its gate, reports that it is drained and only then exits.
    """
    deployment = office()
    requests = [deployment.submit(start(f"k{n}"), 1 + n % 2) for n in range(8)]
    deployment.run(0.3)
    deployment.stop_side("side-m1")
    drained = deployment.run_until(lambda: deployment.nodes["side-m1"].drained, 60.0)
    assert drained
    run_until_ended(deployment, requests)
    assert answers(deployment, requests) == [ANSWER] * 8
    assert reservation_count(deployment) == 8


@pytest.mark.parametrize(
    "name, moment_s", [("side-p1", 0.98), ("side-p1", 2.03), ("side-p2", 0.35)]
)
def test_no_calls_to_stopped_gate(name: str, moment_s: float) -> None:
    """No call is sent to a gate that has stopped as planned.

    A stopping side process refused new calls, finished the running ones and exited.
    If its peers do not know of the stop, a call sent to it afterwards is lost, and a
    call that must not be repeated ends with an unknown outcome.
    """
    deployment = office()
    requests = [deployment.submit(start(f"k{n}"), 1 + n % 2) for n in range(8)]
    deployment.run(moment_s)
    deployment.stop_side(name)
    assert deployment.run_until(lambda: deployment.nodes[name].drained, 60.0)
    run_until_ended(deployment, requests)
    assert answers(deployment, requests) == [ANSWER] * 8
    assert reservation_count(deployment) == 8


def test_lost_messages_are_repeated_or_looked_up() -> None:
    """Every answer is whole although one message in ten is lost."""
    deployment = office()
    counter = iter(range(10_000_000))
    deployment.delivery_delays = lambda sender, to, message: (
        () if next(counter) % 10 == 9 else (0.0,)
    )
    requests = [deployment.submit(start(f"k{n}"), 1 + n % 2) for n in range(8)]
    run_until_ended(deployment, requests)
    assert answers(deployment, requests) == [ANSWER] * 8
    assert reservation_count(deployment) <= 8
    for request in requests:
        streamed(deployment, request)


def test_stop_without_handover_ends_at_limit() -> None:
    """A planned stop ends at its limit if the platform is down and no slot can move.

    Without a limit the process would never exit, and its operator would kill it
    without knowing which slots it still had.
    """
    deployment = office(VirtualOptions(SERVERS, stop_s=20.0))
    deployment.kv.up = False
    deployment.stop_side("side-m1")
    deployment.run(15.0)
    assert not deployment.nodes["side-m1"].drained
    deployment.run(10.0)
    assert deployment.nodes["side-m1"].drained
    assert any("stop limit reached" in message for message in deployment.log_messages)


def test_ended_program_is_dropped_after_retention() -> None:
    """Ten minutes after its end, the id of a program is unknown.

    Primary and standby drop the program from their logs.  A request for it is answered
    with "unknown program, may have run", and new programs still run.
    """
    deployment = office()
    request = deployment.submit(start("k"))
    run_until_ended(deployment, [request])
    deployment.run(ENDED_RETENTION_S + 30.0)
    program = program_id("citizens", "k")
    for node in deployment.nodes.values():
        if isinstance(node.core, SideCore):
            assert program not in node.core.programs.by_name
            assert not node.core.slots.has_entries(program)
    late = deployment.submit(RequestSpec("attach", "citizens", program=program))
    run_until_ended(deployment, [late])
    last = deployment.final_event(late)
    assert isinstance(last, Done)
    assert (last.outcome.status, last.outcome.ran) == ("unknown_program", "unknown")
    again = deployment.submit(start("other"))
    run_until_ended(deployment, [again])
    assert answers(deployment, [again]) == [ANSWER]


def test_loss_of_both_members_reports_unknown() -> None:
    """The caller gets "unknown", never "not run", if primary and standby both fail.

    Both are killed at the same time, so no process has the log.  The slot is placed
    again and marked as lost.  A repeated request with the same key gets the same
    answer, because its earlier calls are unknown.  Requests with other keys succeed.
    """
    deployment = office()
    request = deployment.submit(start("k"))
    deployment.run(0.6)
    program = program_id("citizens", "k")
    row = rows_of(deployment)[_program_slot(deployment, program)]
    for member in (row.primary, row.standby):
        deployment.kill(member.split(":")[0])
    run_until_ended(deployment, [request])
    again = deployment.submit(start("k"), 2)
    run_until_ended(deployment, [again])
    for request_id in (request, again):
        last = deployment.final_event(request_id)
        assert isinstance(last, Done)
        assert (last.outcome.status, last.outcome.ran) == ("outcome_unknown", "unknown")
    assert reservation_count(deployment) <= 1
    assert rows_of(deployment)[row.slot].lost
    prompt = "Is it complete? words=9"
    others = [deployment.submit(start(f"n{n}", prompt=prompt)) for n in range(6)]
    run_until_ended(deployment, others)
    assert answers(deployment, others).count(final_answer(prompt)) >= 4


def test_call_that_crashes_its_servers_reaches_three_of_them() -> None:
    """A model call of one program ends each engine that runs it.

    Six attempts of the call reached six engines, each of which was lost.
    """
    servers = (
        *(VirtualServer(f"m{n}", "model", (MODEL,), f"d{n % 3}") for n in range(8)),
        *(server for server in SERVERS if server.kind == "plain"),
    )
    deployment = office(VirtualOptions(servers))
    ran_on: list[str] = []

    def fail(node: Node, call: GateCall) -> None:
        ran_on.append(call.server)
        deployment.after(0.01, lambda: deployment.kill(node.name, listed=True))

    deployment._call_engine = fail  # type: ignore[method-assign]
    request = deployment.submit(start("k"))
    run_until_ended(deployment, [request])
    assert len(set(ran_on)) <= 3
