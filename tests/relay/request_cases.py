"""Seeded cases of a request under which each server ends that reads it.

A case combines how a server ends, what it answers before, the delay of messages between
relays and keepers, how attempts reach relays, and what happens to keepers meanwhile.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import NamedTuple

import anyio

from tests.relay.crash_network import CrashNetwork
from tests.relay.harness import Exchange, RelayHarness, ScriptedServer, answer_ok
from tests.relay.test_crashshare import run_relays

SERVERS = 30
RELAYS = 8
ATTEMPTS = 8
FATAL_BODY = "fatal"
DEADLINE_MS = 1500
Action = Callable[[Exchange], Awaitable[None]]


async def _answer_error(exchange: Exchange) -> None:
    await exchange.answer("", status="500 Internal Server Error")


async def _answer_unavailable(exchange: Exchange) -> None:
    await exchange.answer("", status="503 Service Unavailable")


async def _answer_conflict(exchange: Exchange) -> None:
    await exchange.answer("", status="409 Conflict")


async def _reject(exchange: Exchange) -> None:
    head = "X-Not-Executed: 1\n"
    await exchange.answer("", status="503 Service Unavailable", extra_head=head)


async def _reject_too_many(exchange: Exchange) -> None:
    head = "X-Not-Executed: 1\n"
    await exchange.answer("", status="429 Too Many Requests", extra_head=head)


async def _answer_success(exchange: Exchange) -> None:
    if exchange.head.startswith(("POST /long", "POST /talk")):
        await exchange.stream("id: 1\ndata: x\n\n")
    else:
        await answer_ok(exchange)


async def _begin_stream(exchange: Exchange) -> None:
    await exchange.send_event("id: 1\ndata: x\n\n")


async def _reset(exchange: Exchange) -> None:
    exchange.reset()


async def _say_nothing(exchange: Exchange) -> None:
    """Leave the request without an answer."""


ANSWERS: dict[str, Action] = {
    "nothing": _say_nothing,
    "reset": _reset,
    "500": _answer_error,
    "503": _answer_unavailable,
    "409": _answer_conflict,
    "503, not run": _reject,
    "429, not run": _reject_too_many,
    "success": _answer_success,
    "begun": _begin_stream,
}
# How a server ends, and how long after its answer, in seconds.
ENDS = ("crash", "silence", "reset first")
END_DELAYS_S = (0.0, 0.1, 0.2)
MESSAGE_DELAYS_S = (0.0, 0.005, 0.03, 0.08, 0.3, 1.0)
# In turn at one or at all relays, all at once, or in turn at relays that end.
RELAY_ORDERS = ("one", "in turn", "at once", "killed")
KEEPER_FAULTS = ("none", "one paused", "paused", "killed", "silent later", "resumed")
# Seconds after which callers leave; 0 if they wait for the answer.
LEAVE_AFTER_S = (0.0, 0.0, 0.05, 0.4)
GAPS_S = (0.0, 0.1, 0.4)
ROUTES = ("safe", "unsafe", "long", "talk")
HEADERS = ("same", "same", "traceparent", "other")


class Case(NamedTuple):
    """One combination."""

    route: str
    has_program: bool
    end: str
    end_delay_s: float
    answer: str
    message_delay_s: float
    relay_order: str
    keeper_fault: str
    leave_after_s: float
    gap_s: float
    header: str


def make_case(seed: int) -> Case:
    rng = random.Random(seed)
    return Case(
        ROUTES[seed % len(ROUTES)],
        rng.random() < 0.7,
        rng.choice(ENDS),
        rng.choice(END_DELAYS_S),
        rng.choice(tuple(ANSWERS)),
        rng.choice(MESSAGE_DELAYS_S),
        rng.choice(RELAY_ORDERS),
        rng.choice(KEEPER_FAULTS),
        rng.choice(LEAVE_AFTER_S),
        rng.choice(GAPS_S),
        rng.choice(HEADERS),
    )


class RequestWorld:
    """Servers, relays and keepers of one case.

    Attributes
    ----------
    readers : list of str
        Servers that have read the request, in order.
    """

    def __init__(self, case: Case) -> None:
        self.case = case
        self.readers: list[str] = []
        self._ends: set[asyncio.Task[None]] = set()
        self.servers = [
            ScriptedServer(f"s{number}", self._make_script(number))
            for number in range(SERVERS)
        ]

    def _make_script(self, number: int) -> Callable[[Exchange], Awaitable[None]]:
        async def serve(exchange: Exchange) -> None:
            server = self.servers[number]
            self.readers.append(server.id)
            with suppress(ConnectionError):
                await ANSWERS[self.case.answer](exchange)
            if self.case.end == "reset first":
                exchange.reset()
            task = asyncio.create_task(self._end(server))
            self._ends.add(task)
            if self.case.end == "silence":
                await asyncio.sleep(10.0)

        return serve

    async def _end(self, server: ScriptedServer) -> None:
        await asyncio.sleep(self.case.end_delay_s)
        if self.case.end == "silence":
            server.has_crashed = True
            server.stop()
        else:
            server.crash()

    async def run(self) -> None:
        network = CrashNetwork()
        async with run_relays(network, self.servers, RELAYS) as relays:
            with anyio.fail_after(40):
                # Until relays have heard keepers.
                await anyio.sleep(0.1)
                network.delay_s = self.case.message_delay_s
                await self._send_all(network, relays)

    async def _send_all(
        self, network: CrashNetwork, relays: list[RelayHarness]
    ) -> None:
        case = self.case
        if case.relay_order == "at once":
            self._disturb(network, 0)
            async with anyio.create_task_group() as group:
                for attempt in range(ATTEMPTS):
                    group.start_soon(self._send, relays[attempt], attempt)
            return
        for attempt in range(ATTEMPTS):
            self._disturb(network, attempt)
            number = 0 if case.relay_order == "one" else attempt % RELAYS
            await self._send(relays[number], attempt)
            if case.relay_order == "killed":
                network.unreachable.add(f"r{number}")
                relays[number].handler.stopped_accepting = True
            await anyio.sleep(case.gap_s)

    def _disturb(self, network: CrashNetwork, attempt: int) -> None:
        addresses = network.addresses()
        match self.case.keeper_fault:
            case "one paused":
                network.resume()
                network.paused = {addresses[attempt % len(addresses)]}
            case "paused":
                network.paused = set(addresses)
            case "killed":
                network.restart_keeper(addresses[attempt % len(addresses)])
            case "silent later" if attempt == 1:
                network.unreachable |= set(addresses)
            case "resumed":
                network.paused = set(addresses)
                if attempt % 3 == 2:
                    network.resume()

    async def _send(self, relay: RelayHarness, attempt: int) -> None:
        case = self.case
        headers = {"X_Deadline_Ms": str(DEADLINE_MS)}
        if case.has_program:
            headers |= {"X_Program_Id": "p1", "X_Session_Id": "l1"}
        if case.header == "traceparent":
            headers["Traceparent"] = f"00-{attempt:032x}-{attempt:016x}-01"
        elif case.header == "other":
            headers["X_Retry_Count"] = str(attempt)
        caller = await relay.open()
        body = "" if case.route == "safe" else FATAL_BODY
        await caller.send(case.route, f"q{attempt}", body, **headers)
        with anyio.move_on_after(case.leave_after_s or None):
            await caller.read()
        caller.writer.close()
