"""Refusals of new programs by a relay, and what they leave behind."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Awaitable, Callable

import pytest

from tests.relay.harness import (
    Exchange,
    RelayHarness,
    ScriptedServer,
    run_scenario,
)
from tests.relay.test_customers import bearer, configure, customers
from wisteriastair.core.customers import Quota
from wisteriastair.core.routes import RouteTable
from wisteriastair.errors import Failure
from wisteriastair.relay.admission import (
    AdmissionCheck,
    AdmissionGate,
    NoAdmissionCheck,
)
from wisteriastair.relay.handler import RelayHandler
from wisteriastair.relay.job import Job
from wisteriastair.scheduling.fleet import Load
from wisteriastair.scheduling.retries import MAX_RETRY_BUDGET

EVENTS = ("id: 1\ndata: one\n\n", "id: 2\ndata: two\n\n")
SERVERS = ("s1", "s2", "s3")


async def stream_events(exchange: Exchange) -> None:
    await exchange.stream(*EVENTS)


async def report_full(exchange: Exchange) -> None:
    await exchange.write_text(
        "HTTP/1.1 503 Service Unavailable\nX-Not-Executed: 1\nContent-Length: 0\n\n"
    )


async def report_wrong_instance(exchange: Exchange) -> None:
    await exchange.write_text("HTTP/1.1 421 Misdirected Request\nContent-Length: 0\n\n")


def turn(program: str, **more: str) -> dict[str, str]:
    return {
        "X_Program_Id": program,
        "X_Token_Usage": "10,200",
        "X_Token_Budget": "1000",
        "X_Finish_Ms": "1500",
        **more,
    }


def switch_on(handler: RelayHandler, harness: RelayHarness) -> AdmissionGate:
    gate = AdmissionGate(
        harness.fleet, handler._metrics, is_paced=lambda service: service == "svc"
    )
    handler._admission = gate
    return gate


def fill_servers(harness: RelayHarness, waiting: int = 40) -> None:
    """Let all servers report that many requests wait."""
    now = asyncio.get_running_loop().time()
    for server_id in SERVERS:
        state = harness.fleet.get(server_id)
        assert state is not None
        state.record_load(Load(8, waiting, 8), now)


def run_admission(
    servers: list[ScriptedServer], scenario: Callable[[RelayHarness], Awaitable[None]]
) -> None:
    async def with_admission(harness: RelayHarness) -> None:
        switch_on(harness.handler, harness)
        await scenario(harness)

    run_scenario(servers, with_admission)


def make_servers() -> list[ScriptedServer]:
    return [ScriptedServer(server_id, stream_events) for server_id in SERVERS]


def admissions(harness: RelayHarness, verdict: str) -> float:
    counter = harness.handler._metrics.admissions
    return float(counter.labels("svc", verdict)._value.get())


def test_refused_program_leaves_nothing_behind(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """All servers queue and the program cannot end in time.

    It must be true that it has not run: no server has seen it and no token of its
    budget is reserved.
    """
    caplog.set_level(logging.INFO)
    servers = make_servers()

    async def scenario(harness: RelayHarness) -> None:
        fill_servers(harness)
        reply = await harness.request("turn", "a", **turn("p"))
        assert reply.status == 503
        assert json.loads(reply.body)["ran"] == "no"
        delay_s = float(reply.head.split("Retry-After: ")[1].split("\r\n")[0])
        assert 0 < delay_s <= 0.5, "at most a third of the remaining 1.5 s"
        assert not any(server.exchanges for server in servers)
        keepers = harness.keepers.cores.values()
        assert not any(core.ledger.accounts for core in keepers)
        assert admissions(harness, "refused") == 1

    run_admission(servers, scenario)
    ended = [r for r in caplog.records if r.getMessage() == "request ended"]
    assert [vars(record)["admission"] for record in ended] == ["refused"]
    changed = [r for r in caplog.records if "refuses new programs" in r.getMessage()]
    assert len(changed) == 1


def test_refused_program_takes_no_permit() -> None:
    """Otherwise callers that come back would use up the quota of their customer."""
    servers = make_servers()

    async def scenario(harness: RelayHarness) -> None:
        configure(harness, customers(Quota(1.0, 1.0)))
        for number in range(30):
            fill_servers(harness)
            more = bearer("one", **turn(f"p{number}"))
            assert (await harness.request("turn", f"r{number}", **more)).status == 503
        fill_servers(harness, 0)
        more = bearer("one", **turn("p"))
        assert (await harness.request("turn", "a", **more)).status == 200

    run_admission(servers, scenario)


def test_a_program_that_its_quota_refuses_is_no_start() -> None:
    """A customer far above its quota asks for many programs, and few of them run.

    Counted as starts, the others would make the wait for a server look longer, so that
    programs of other customers would be refused.
    """

    async def scenario(harness: RelayHarness) -> None:
        gate = switch_on(harness.handler, harness)
        configure(harness, customers(Quota(0.01, 1.0)))
        statuses = []
        for number in range(80):
            more = bearer("one", **turn(f"p{number}"))
            reply = await harness.request("turn", f"r{number}", **more)
            statuses.append(reply.status)
        started = statuses.count(200)
        assert started + statuses.count(429) == 80 and started < 40
        service = gate.decisions._service("svc")
        assert len(service.starts) == started
        assert service.fair_shares._counts["one"].starts <= started
        assert len(gate.decisions._programs) == started

    run_scenario(make_servers(), scenario)


class SlowCheck(NoAdmissionCheck):
    """Starts every request after a wait."""

    async def wait_for_start(self) -> Failure | None:
        await asyncio.sleep(0.7)
        self.waited_s = 0.7
        return None


class SlowGate(AdmissionGate):
    def make_check(self, job: Job, table: RouteTable) -> AdmissionCheck:
        return SlowCheck()


def test_a_wait_for_admission_leaves_time_for_keepers() -> None:
    """Admission takes longer than the limits for a permit and for a reservation.

    Both are requested only after it, and no keeper could answer in no time.
    """
    servers = make_servers()

    async def scenario(harness: RelayHarness) -> None:
        harness.handler._admission = SlowGate(harness.fleet, harness.handler._metrics)
        configure(harness, customers(Quota(50.0, 50.0)))
        more = bearer("one", **turn("p"))
        reply = await harness.request("long", "a", **more)
        assert reply.status == 200, reply.body

    run_scenario(servers, scenario)


def test_turns_of_running_programs_are_served_in_an_overload() -> None:
    """A program has begun here; a refusal would waste the work done for it."""
    servers = make_servers()

    async def scenario(harness: RelayHarness) -> None:
        assert (await harness.request("turn", "a", **turn("p"))).status == 200
        fill_servers(harness)
        more = turn("p", X_Previous_Turn="a")
        assert (await harness.request("turn", "b", **more)).status == 200
        assert (await harness.request("turn", "c", **turn("p"))).status == 200
        fill_servers(harness)
        assert (await harness.request("turn", "d", **turn("new"))).status == 503

    run_admission(servers, scenario)


def test_a_turn_that_may_continue_a_program_is_served() -> None:
    """The program runs through another relay, on a route without stored history.

    Its turns name no previous turn. Without prompt segments, its later turns look like
    its first.
    """
    servers = make_servers()
    later = {"X_Prompt_Prefix": "shared:9,own:9,conversation:9"}
    first = {"X_Prompt_Prefix": "shared:9,own:9"}

    async def scenario(harness: RelayHarness) -> None:
        fill_servers(harness)
        assert (await harness.request("talk", "a", **turn("p", **later))).status == 200
        fill_servers(harness)
        assert (await harness.request("talk", "b", **turn("q"))).status == 200
        fill_servers(harness)
        assert (await harness.request("talk", "c", **turn("r", **first))).status == 503

    run_admission(servers, scenario)


def test_tool_call_makes_its_program_known() -> None:
    """A program's tool call came through this relay, its turns through another."""
    servers = make_servers()

    async def scenario(harness: RelayHarness) -> None:
        servers[0].script = servers[1].script = servers[2].script = answer
        reply = await harness.request("unsafe", "a", X_Program_Id="p")
        assert reply.status == 200
        for server in servers:
            server.script = stream_events
        fill_servers(harness)
        assert (await harness.request("turn", "b", **turn("p"))).status == 200

    async def answer(exchange: Exchange) -> None:
        await exchange.answer("fine")

    run_admission(servers, scenario)


def test_switched_off_relay_refuses_nothing(caplog: pytest.LogCaptureFixture) -> None:
    """Servers report no fourth figure and there is no memory pressure."""
    caplog.set_level(logging.INFO)
    servers = make_servers()

    async def scenario(harness: RelayHarness) -> None:
        for number in range(5):
            fill_servers(harness)
            more = turn(f"p{number}")
            assert (await harness.request("turn", f"r{number}", **more)).status == 200

    run_scenario(servers, scenario)
    ended = [r for r in caplog.records if r.getMessage() == "request ended"]
    assert {vars(record)["admission"] for record in ended} == {""}


def test_rejected_turns_have_a_retry_budget() -> None:
    """All servers are full: three attempts for each turn would triple the load."""
    servers = [ScriptedServer(server_id, report_full) for server_id in SERVERS]

    async def scenario(harness: RelayHarness) -> None:
        for number in range(40):
            more = turn(f"p{number}", X_Previous_Turn="none")
            reply = await harness.request("talk", f"r{number}", **more)
            assert reply.status == 503
        attempts = sum(len(server.exchanges) for server in servers)
        assert attempts <= 40 + MAX_RETRY_BUDGET + 0.1 * 40

    run_admission(servers, scenario)


def test_turn_is_sent_to_another_server_within_the_budget() -> None:
    servers = [ScriptedServer("s1", report_full), ScriptedServer("s2", stream_events)]

    async def scenario(harness: RelayHarness) -> None:
        for number in range(4):
            reply = await harness.request("talk", f"r{number}", **turn(f"p{number}"))
            assert reply.status == 200

    run_admission(servers, scenario)


def test_a_replaced_server_does_not_use_up_the_budget() -> None:
    """Another process listens at a server's address; no server is full."""
    servers = [
        ScriptedServer("s1", report_wrong_instance),
        ScriptedServer("s2", stream_events),
    ]

    async def scenario(harness: RelayHarness) -> None:
        for number in range(40):
            reply = await harness.request("talk", f"r{number}", **turn(f"p{number}"))
            assert reply.status == 200

    run_admission(servers, scenario)


def test_service_that_stops_refusing_is_logged_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)

    async def scenario(harness: RelayHarness) -> None:
        gate = switch_on(harness.handler, harness)
        for number in range(3):
            fill_servers(harness)
            await harness.request("turn", f"r{number}", **turn(f"p{number}"))
        now = asyncio.get_running_loop().time()
        for later_s in (0.0, 10.0, 20.0):
            gate.log_recovered(now + later_s)

    run_scenario(make_servers(), scenario)
    texts = [record.getMessage() for record in caplog.records]
    assert texts.count("service refuses new programs") == 1
    assert texts.count("service starts new programs again") == 1
