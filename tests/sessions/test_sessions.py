"""Golden sessions: scenarios over the shipped cores in virtual time."""

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
LIMIT_S = 120.0

scenarios("sessions.feature")


class Session:
    """A deployment and what callers and operators saw of it."""

    def __init__(self) -> None:
        self.deployment: VirtualDeployment = office()
        self.requests: dict[str, str] = {}
        self.began = self.deployment.now
        self.lines: list[str] = []
        self.dispatched: list[str] = []

    def say(self, text: str) -> None:
        self.lines.append(f"{self.deployment.now - self.began:6.1f}  {text}")

    def ask(self, ask: RequestSpec, entry: int, what: str) -> None:
        request = self.deployment.ask(ask, entry)
        self.requests[request] = what
        self.say(f"{what}: {ask.kind} at entry {entry}")

    def finish(self) -> None:
        """Run until all requests have ended, then note what each caller saw."""
        waiting = list(self.requests)
        ended = self.deployment.run_until(
            lambda: all_ended(self.deployment, waiting), LIMIT_S
        )
        assert ended, "every request has a final answer"
        for request in waiting:
            what = self.requests.pop(request)
            for line in transcript(self.deployment.events[request]):
                self.say(f"{what}: {line}")


def transcript(events: list[CallerEvent]) -> list[str]:
    """Tell what a caller saw, the text of each call joined."""
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
def deployed() -> Session:
    return Session()


@when(parsers.parse("a citizen starts {key} at entry {entry:d}"))
def starts(session: Session, key: str, entry: int) -> None:
    session.ask(start(key), entry, f"caller of {key}")


@when(parsers.parse("a citizen starts {key} at entry {entry:d} with a budget of {n:d}"))
def starts_with_budget(session: Session, key: str, entry: int, n: int) -> None:
    session.ask(start(key)._replace(budget=n), entry, f"caller of {key}")


@when(parsers.parse("a citizen reconnects to {key} at entry {entry:d}"))
def reconnects(session: Session, key: str, entry: int) -> None:
    request = next(iter(session.requests))
    number = offset = 0
    for event in session.deployment.events[request]:
        if isinstance(event, OutputText):
            number, offset = event.number, event.offset + len(event.text)
    del session.requests[request]
    ask = RequestSpec(
        "attach",
        "citizens",
        program=program_id("citizens", key),
        stream=True,
        number=number,
        offset=offset,
    )
    session.ask(ask, entry, f"caller of {key}")


@when(parsers.parse("a citizen cancels {key} at entry {entry:d}"))
def cancels(session: Session, key: str, entry: int) -> None:
    ask = RequestSpec("cancel", "citizens", program=program_id("citizens", key))
    session.ask(ask, entry, f"canceller of {key}")


@when(parsers.parse("{seconds:g} seconds pass"))
def passes(session: Session, seconds: float) -> None:
    session.deployment.run(seconds)


@when("everything has ended")
def ends(session: Session) -> None:
    session.finish()


@when(parsers.parse("the carrier of {key} is killed"))
def carrier_dies(session: Session, key: str) -> None:
    victim = primary_of(session.deployment, program_id("citizens", key))
    session.deployment.kill(victim)
    session.say(f"{victim}, the carrier of {key}, is killed")


@when(parsers.parse("entry {number:d} is killed"))
def entry_dies(session: Session, number: int) -> None:
    session.deployment.kill(f"entry-{number}")
    session.say(f"entry {number} is killed")


@when("the key-value service goes down")
def platform_down(session: Session) -> None:
    session.deployment.kv.up = False
    session.say("the key-value service is down")


@when("the key-value service comes back")
def platform_up(session: Session) -> None:
    session.deployment.kv.up = True
    session.say("the key-value service is back")


@when(parsers.parse("the reservation of {key} is dispatched"))
def reservation_dispatched(session: Session, key: str) -> None:
    deployment = session.deployment

    def watch(sender: str, to: str, message: Message) -> tuple[float, ...]:
        if isinstance(message, GateCall) and message.name == "swaps/reserve":
            session.dispatched.append(to)
        return (0.0,)

    deployment.disturb = watch
    assert deployment.run_until(lambda: bool(session.dispatched), LIMIT_S)
    deployment.run(0.02)


@when("the process before its server is killed")
def gate_dies(session: Session) -> None:
    session.deployment.kill(session.dispatched[0])
    session.say(f"{session.dispatched[0]} is killed")


@when("the plain servers hang")
def servers_hang(session: Session) -> None:
    session.deployment.hanging_servers |= {"p1", "p2"}
    session.say("the plain servers hang")


@when(parsers.parse("an operator says server {name} leaves"))
def server_leaves(session: Session, name: str) -> None:
    session.deployment.change(SetServerState("leave", name, "leaving"))


@when(parsers.parse("{count:d} programs are started"))
def many_start(session: Session, count: int) -> None:
    for number in range(count):
        session.ask(start(f"n{number}"), 1 + number % 2, f"caller {number}")


@when("an operator looks at the slots")
def operator_looks(session: Session) -> None:
    for row in sorted(rows_of(session.deployment).values()):
        if row.epoch > 1:
            session.say(
                f"slot {row.slot}: carrier {row.primary} standby {row.standby} "
                f"epoch {row.epoch}"
            )


@then("no engine holds memory")
def nothing_held(session: Session) -> None:
    for name, engine in session.deployment.engines.items():
        assert engine.programs() == [], name


@then(parsers.parse("no program used server {name}"))
def unused(session: Session, name: str) -> None:
    for node in session.deployment.nodes.values():
        if isinstance(node.core, SideCore):
            for run in node.core.programs.by_name.values():
                assert name not in run.program.servers


@then(parsers.parse("the session reads as in {name}"))
def reads_as(session: Session, name: str) -> None:
    path = GOLDEN / f"{name}.txt"
    found = "\n".join(session.lines) + "\n"
    if os.environ.get("UPDATE_GOLDEN") == "1":
        path.write_text(found, "utf-8")
        return
    if not path.exists():
        pytest.fail(f"{path.name} is missing; make it with UPDATE_GOLDEN=1")
    assert found == path.read_text("utf-8")
