"""Golden sessions: scenarios with the production cores in virtual time."""

from __future__ import annotations

import os
from pathlib import Path

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from tests.core.deployments import all_ended, office, primary_of, rows_of, start
from wisteriastair.core.config import SetServerState
from wisteriastair.core.entry import (
    Accepted,
    CallerEvent,
    Done,
    OutputText,
    Refused,
    RequestSpec,
)
from wisteriastair.core.hashing import program_id
from wisteriastair.core.side import SideCore
from wisteriastair.core.wire import GateCall, Message
from wisteriastair.standins.virtual import VirtualDeployment

GOLDEN = Path(__file__).parent / "golden"
TIMEOUT_S = 120.0

scenarios("sessions.feature")


class Session:
    """A deployment and the transcript of its callers and operators."""

    def __init__(self) -> None:
        self.deployment: VirtualDeployment = office()
        self.requests: dict[str, str] = {}
        self.started_at = self.deployment.now
        self.lines: list[str] = []
        self.gate_processes: list[str] = []

    def log(self, text: str) -> None:
        self.lines.append(f"{self.deployment.now - self.started_at:6.1f}  {text}")

    def send(self, spec: RequestSpec, entry: int, label: str) -> None:
        request = self.deployment.submit(spec, entry)
        self.requests[request] = label
        self.log(f"{label}: {spec.kind} at entry {entry}")

    def finish(self) -> None:
        """Run until all requests have ended, then log the events of each caller."""
        waiting = list(self.requests)
        ended = self.deployment.run_until(
            lambda: all_ended(self.deployment, waiting), TIMEOUT_S
        )
        assert ended, "every request has a final answer"
        for request in waiting:
            label = self.requests.pop(request)
            for line in describe_events(self.deployment.events[request]):
                self.log(f"{label}: {line}")


def describe_events(events: list[CallerEvent]) -> list[str]:
    """Return a line for each event of a caller, with the text of each call joined."""
    lines: list[str] = []
    text: dict[int, str] = {}
    for event in events:
        match event:
            case Accepted():
                lines.append("accepted")
            case OutputText(number, _, piece):
                text[number] = text.get(number, "") + piece
            case Done(outcome):
                lines += [f"call {n}: {words}" for n, words in text.items()]
                lines.append(f"{outcome.status} (ran: {outcome.ran}) {outcome.detail}")
                if outcome.answer:
                    lines.append(f"answer: {outcome.answer}")
                lines.append(f"{outcome.turns} turns, {outcome.spent} tokens")
            case Refused(_, failure):
                lines += [f"call {n}: {words}" for n, words in text.items()]
                again = f"again in {failure.retry_after_s:g} s"
                lines.append(f"{failure.code} (ran: {failure.ran}) {again}")
            case _:
                pass
    return [line.rstrip() for line in lines]


@given("the Office's deployment", target_fixture="session")
def start_deployment() -> Session:
    return Session()


@when(parsers.parse("a citizen starts {key} at entry {entry:d}"))
def start_program(session: Session, key: str, entry: int) -> None:
    session.send(start(key), entry, f"caller of {key}")


@when(parsers.parse("a citizen starts {key} at entry {entry:d} with a budget of {n:d}"))
def start_program_with_budget(session: Session, key: str, entry: int, n: int) -> None:
    session.send(start(key)._replace(budget=n), entry, f"caller of {key}")


@when(parsers.parse("a citizen reconnects to {key} at entry {entry:d}"))
def reconnect(session: Session, key: str, entry: int) -> None:
    request = next(iter(session.requests))
    number = offset = 0
    for event in session.deployment.events[request]:
        if isinstance(event, OutputText):
            number, offset = event.number, event.offset + len(event.text)
    del session.requests[request]
    spec = RequestSpec(
        "attach",
        "citizens",
        program=program_id("citizens", key),
        stream=True,
        number=number,
        offset=offset,
    )
    session.send(spec, entry, f"caller of {key}")


@when(parsers.parse("a citizen cancels {key} at entry {entry:d}"))
def cancel(session: Session, key: str, entry: int) -> None:
    spec = RequestSpec("cancel", "citizens", program=program_id("citizens", key))
    session.send(spec, entry, f"canceller of {key}")


@when(parsers.parse("{seconds:g} seconds pass"))
def advance_time(session: Session, seconds: float) -> None:
    session.deployment.run(seconds)


@when("everything has ended")
def finish_session(session: Session) -> None:
    session.finish()


@when(parsers.parse("the carrier of {key} is killed"))
def kill_primary(session: Session, key: str) -> None:
    victim = primary_of(session.deployment, program_id("citizens", key))
    session.deployment.kill(victim)
    session.log(f"{victim}, the carrier of {key}, is killed")


@when(parsers.parse("entry {number:d} is killed"))
def kill_entry(session: Session, number: int) -> None:
    session.deployment.kill(f"entry-{number}")
    session.log(f"entry {number} is killed")


@when("the key-value service goes down")
def take_platform_down(session: Session) -> None:
    session.deployment.kv.up = False
    session.log("the key-value service is down")


@when("the key-value service comes back")
def bring_platform_up(session: Session) -> None:
    session.deployment.kv.up = True
    session.log("the key-value service is back")


@when(parsers.parse("the reservation of {key} is dispatched"))
def wait_reservation_dispatched(session: Session, key: str) -> None:
    deployment = session.deployment

    def record_dispatch(sender: str, to: str, message: Message) -> tuple[float, ...]:
        if isinstance(message, GateCall) and message.name == "swaps/reserve":
            session.gate_processes.append(to)
        return (0.0,)

    deployment.delivery_delays = record_dispatch
    assert deployment.run_until(lambda: bool(session.gate_processes), TIMEOUT_S)
    deployment.run(0.02)


@when("the process before its server is killed")
def kill_gate(session: Session) -> None:
    session.deployment.kill(session.gate_processes[0])
    session.log(f"{session.gate_processes[0]} is killed")


@when("the plain servers hang")
def hang_servers(session: Session) -> None:
    session.deployment.hanging_servers |= {"p1", "p2"}
    session.log("the plain servers hang")


@when(parsers.parse("an operator says server {name} leaves"))
def set_server_leaving(session: Session, name: str) -> None:
    session.deployment.change(SetServerState("leave", name, "leaving"))


@when(parsers.parse("{count:d} programs are started"))
def start_programs(session: Session, count: int) -> None:
    for number in range(count):
        session.send(start(f"n{number}"), 1 + number % 2, f"caller {number}")


@when("an operator looks at the slots")
def log_changed_slots(session: Session) -> None:
    for row in sorted(rows_of(session.deployment).values()):
        if row.epoch > 1:
            session.log(
                f"slot {row.slot}: carrier {row.primary} standby {row.standby} "
                f"epoch {row.epoch}"
            )


@then("no engine holds memory")
def check_no_cached_programs(session: Session) -> None:
    for name, engine in session.deployment.engines.items():
        assert engine.programs() == [], name


@then(parsers.parse("no program used server {name}"))
def check_server_unused(session: Session, name: str) -> None:
    for node in session.deployment.nodes.values():
        if isinstance(node.core, SideCore):
            for run in node.core.programs.by_name.values():
                assert name not in run.program.servers


@then(parsers.parse("the session reads as in {name}"))
def check_transcript(session: Session, name: str) -> None:
    path = GOLDEN / f"{name}.txt"
    transcript = "\n".join(session.lines) + "\n"
    if os.environ.get("UPDATE_GOLDEN") == "1":
        path.write_text(transcript, "utf-8")
        return
    if not path.exists():
        pytest.fail(f"{path.name} is missing; make it with UPDATE_GOLDEN=1")
    assert transcript == path.read_text("utf-8")
