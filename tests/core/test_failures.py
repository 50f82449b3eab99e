"""Failures of processes, connections and the platform against the shipped cores."""

from __future__ import annotations

import pytest

from tests.core.deployments import (
    ANSWER,
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
from wisteriastair.core.primary import RETAIN_S
from wisteriastair.core.side import SideCore
from wisteriastair.standins.script import final_answer
from wisteriastair.standins.virtual import VirtualDeployment
from wisteriastair.standins.virtual_parts import VirtualOptions


def run_all(deployment: VirtualDeployment, requests: list[str]) -> None:
    ended = deployment.run_until(lambda: all_ended(deployment, requests), 90.0)
    assert ended, "every request has a final answer"


def reserved(deployment: VirtualDeployment) -> int:
    return sum(1 for e in deployment.executions if e.operation == "swaps/reserve")


def test_programs_finish_whole_without_failures() -> None:
    deployment = office()
    requests = [deployment.ask(start(f"k{n}"), 1 + n % 2) for n in range(12)]
    run_all(deployment, requests)
    assert answers(deployment, requests) == [ANSWER] * 12
    assert reserved(deployment) == 12
    texts = streamed(deployment, requests[0])
    assert texts[max(texts)] == ANSWER


@pytest.mark.parametrize("moment_s", [0.05, 0.3, 0.6, 0.9, 1.2, 1.5, 2.0])
def test_carrier_killed_at_any_moment(moment_s: float) -> None:
    """A caller gets its whole answer although the carrier dies.

    The process that carries the program is killed ``moment_s`` after the start, in a
    model call, a tool call or between them.  Its standby notices the silence, becomes
    carrier by one compare-and-swap, asks the gates what became of the open call and
    goes on.  The reservation must not run twice.
    """
    deployment = office()
    request = deployment.ask(start("k"))
    deployment.run(moment_s)
    victim = primary_of(deployment, program_id("citizens", "k"))
    assert victim.startswith("side")
    deployment.kill(victim)
    run_all(deployment, [request])
    last = deployment.last(request)
    assert isinstance(last, Done)
    gate_died_with_call = last.outcome.status == "outcome_unknown"
    if gate_died_with_call:
        assert victim in ("side-p1", "side-p2")
        assert last.outcome.ran == "unknown"
    else:
        assert last.outcome.answer == ANSWER
        assert reserved(deployment) == 1
    streamed(deployment, request)
    assert deployment.run_until(lambda: all_paired(deployment), 30.0)


def test_every_carrier_in_turn_dies_and_comes_back() -> None:
    """Programs survive a rolling replacement by kill and restart.

    One side process after another is killed and started again with nothing in
    memory.  Each time its slots move to their standbys and get a new copy elsewhere
    before the next one dies, so no history is ever held by a single process only.
    """
    deployment = office()
    requests = [deployment.ask(start(f"k{n}"), 1 + n % 2) for n in range(8)]
    for server in deployment.cfg.servers[:3]:
        deployment.kill(f"side-{server.name}", listed=True)
        deployment.run(0.5)
        deployment.start_side(server)
        assert deployment.run_until(lambda: all_paired(deployment), 30.0)
    run_all(deployment, requests)
    assert answers(deployment, requests) == [ANSWER] * 8
    assert reserved(deployment) == 8


def test_frozen_carrier_wakes_and_does_no_harm() -> None:
    """A carrier that sleeps through its own replacement changes nothing on waking.

    It is frozen in the middle of programs; its standbys take over and finish them.
    When it wakes it still believes that it carries the slots and sends what it had
    decided; gates and callers ignore the old epoch, and it drops the slots.
    """
    deployment = office()
    requests = [deployment.ask(start(f"k{n}")) for n in range(6)]
    deployment.run(0.5)
    victim = primary_of(deployment, program_id("citizens", "k0"))
    deployment.freeze(victim)
    deployment.run(8.0)
    deployment.thaw(victim)
    run_all(deployment, requests)
    assert answers(deployment, requests) == [ANSWER] * 6
    assert reserved(deployment) == 6
    assert deployment.run_until(lambda: all_paired(deployment), 30.0)


def test_platform_outage_stops_no_placed_program() -> None:
    """Callers notice nothing of an outage of the key-value service.

    The service goes down before the programs start.  Everything placed goes on,
    because nothing of a turn goes through it.
    """
    deployment = office()
    deployment.kv.up = False
    requests = [deployment.ask(start(f"k{n}"), 1 + n % 2) for n in range(8)]
    run_all(deployment, requests)
    assert answers(deployment, requests) == [ANSWER] * 8


def test_carrier_dies_during_platform_outage() -> None:
    """The program waits for the service and then finishes whole.

    The key-value service is down when the carrier dies, so its standby cannot be
    named.  The history stays with the standby; when the service is back the takeover
    happens and the caller, who has asked again meanwhile, gets the whole answer.
    """
    deployment = office()
    first = deployment.ask(start("k"))
    deployment.run(0.4)
    deployment.kv.up = False
    victim = primary_of(deployment, program_id("citizens", "k"))
    deployment.kill(victim)
    deployment.run(25.0)
    assert deployment.last(first) is not None, "given up truthfully, not held"
    again = deployment.ask(start("k"), 2)
    deployment.kv.up = True
    run_all(deployment, [again])
    assert answers(deployment, [again]) == [ANSWER]
    assert reserved(deployment) == 1


def test_lost_answer_of_the_takeover_write() -> None:
    """A takeover whose answer is lost is recognised by reading back.

    The compare-and-swap takes effect but its answer never arrives.  The standby reads
    the table, finds its own row and goes on; nothing is proposed twice.
    """
    deployment = office()
    request = deployment.ask(start("k"))
    deployment.run(0.4)
    deployment.kv.lose_answers = 3
    victim = primary_of(deployment, program_id("citizens", "k"))
    deployment.kill(victim)
    run_all(deployment, [request])
    assert answers(deployment, [request]) == [ANSWER]
    assert deployment.run_until(lambda: all_paired(deployment), 30.0)


def test_cut_between_carrier_and_standby() -> None:
    """A cut between the two members costs a move and loses nothing.

    Both live and each suspects the other; the compare-and-swap lets one win.  The
    other hears of the new row, and the program goes on under one carrier only.  The
    loser waits for the winner's repair instead of deposing it in turn.
    """
    deployment = office()
    request = deployment.ask(start("k"))
    deployment.run(0.4)
    program = program_id("citizens", "k")
    primary = primary_of(deployment, program)
    rows = rows_of(deployment)
    row = next(r for r in rows.values() if r.slot == _slot(deployment, program))
    deployment.cut(primary, row.standby.split(":")[0])
    run_all(deployment, [request])
    assert answers(deployment, [request]) == [ANSWER]
    assert reserved(deployment) == 1
    assert rows_of(deployment)[row.slot].epoch <= row.epoch + 3, "no duel"


def _slot(deployment: VirtualDeployment, program: str) -> int:
    from wisteriastair.core.hashing import slot_of

    return slot_of(program, deployment.cfg.slots)


def test_planned_stop_cuts_nothing() -> None:
    """A side process leaves while programs run, and no caller notices.

    It stops admitting, hands its slots over while both members live, waits for the
    calls in its gate, reports that it is drained and only then exits.
    """
    deployment = office()
    requests = [deployment.ask(start(f"k{n}"), 1 + n % 2) for n in range(8)]
    deployment.run(0.3)
    deployment.stop_side("side-m1")
    drained = deployment.run_until(lambda: deployment.nodes["side-m1"].drained, 60.0)
    assert drained
    run_all(deployment, requests)
    assert answers(deployment, requests) == [ANSWER] * 8
    assert reserved(deployment) == 8


@pytest.mark.parametrize(
    "name, moment_s", [("side-p1", 0.98), ("side-p1", 2.03), ("side-p2", 0.35)]
)
def test_calls_are_not_sent_to_a_gate_that_has_left(name: str, moment_s: float) -> None:
    """A program fails with an unknown outcome, since a side process was stopped.

    Its process refused new calls, ended those under way and left as planned.  Other
    processes did not know: a call that was sent there a moment later reached nobody,
    and one that must not be repeated had to be given up.
    """
    deployment = office()
    requests = [deployment.ask(start(f"k{n}"), 1 + n % 2) for n in range(8)]
    deployment.run(moment_s)
    deployment.stop_side(name)
    assert deployment.run_until(lambda: deployment.nodes[name].drained, 60.0)
    run_all(deployment, requests)
    assert answers(deployment, requests) == [ANSWER] * 8
    assert reserved(deployment) == 8


def test_lost_messages_are_repeated_or_looked_up() -> None:
    """One message in ten is lost on the way, and every answer is still whole."""
    deployment = office()
    counter = iter(range(10_000_000))
    deployment.disturb = lambda sender, to, message: (
        () if next(counter) % 10 == 9 else (0.0,)
    )
    requests = [deployment.ask(start(f"k{n}"), 1 + n % 2) for n in range(8)]
    run_all(deployment, requests)
    assert answers(deployment, requests) == [ANSWER] * 8
    assert reserved(deployment) <= 8
    for request in requests:
        streamed(deployment, request)


def test_stop_that_cannot_hand_over_ends_at_its_limit() -> None:
    """The platform is down, so no slot can move; the stop ends at its bound.

    Without a bound the process would wait for ever, and its operator would kill it
    without knowing what it held.
    """
    deployment = office(VirtualOptions(SERVERS, stop_s=20.0))
    deployment.kv.up = False
    deployment.stop_side("side-m1")
    deployment.run(15.0)
    assert not deployment.nodes["side-m1"].drained
    deployment.run(10.0)
    assert deployment.nodes["side-m1"].drained
    assert any("stop limit reached" in note for note in deployment.notes)


def test_ended_program_is_dropped_after_its_time() -> None:
    """Ten minutes after its end a program's id is unknown, and nothing else changes.

    Carrier and standby both drop it from their logs; asking for it is answered
    "unknown program, may have run", and new programs go on as before.
    """
    deployment = office()
    request = deployment.ask(start("k"))
    run_all(deployment, [request])
    deployment.run(RETAIN_S + 30.0)
    program = program_id("citizens", "k")
    for node in deployment.nodes.values():
        if isinstance(node.core, SideCore):
            assert program not in node.core.programs.by_name
            assert not node.core.slots.holds(program)
    late = deployment.ask(RequestSpec("attach", "citizens", program=program))
    run_all(deployment, [late])
    last = deployment.last(late)
    assert isinstance(last, Done)
    assert (last.outcome.status, last.outcome.ran) == ("unknown_program", "unknown")
    again = deployment.ask(start("other"))
    run_all(deployment, [again])
    assert answers(deployment, [again]) == [ANSWER]


def test_both_members_lost_together_is_told_as_unknown() -> None:
    """The caller is told "unknown", never "not run", when carrier and standby die.

    Both go at the same moment, so nobody has the history.  The slot is placed anew and
    marked as lost; asking again with the same key is answered the same, because what
    ran under it cannot be known.  Other keys go on.
    """
    deployment = office()
    request = deployment.ask(start("k"))
    deployment.run(0.6)
    program = program_id("citizens", "k")
    row = rows_of(deployment)[_slot(deployment, program)]
    for member in (row.primary, row.standby):
        deployment.kill(member.split(":")[0])
    run_all(deployment, [request])
    again = deployment.ask(start("k"), 2)
    run_all(deployment, [again])
    for asked in (request, again):
        last = deployment.last(asked)
        assert isinstance(last, Done)
        assert (last.outcome.status, last.outcome.ran) == ("outcome_unknown", "unknown")
    assert reserved(deployment) <= 1
    assert rows_of(deployment)[row.slot].lost
    prompt = "Is it complete? words=9"
    others = [deployment.ask(start(f"n{n}", prompt=prompt)) for n in range(6)]
    run_all(deployment, others)
    assert answers(deployment, others).count(final_answer(prompt)) >= 4
