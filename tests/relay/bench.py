"""Processor time of a relay for one streamed turn: ``python -m tests.relay.bench``.

The relay's handler and in-memory keepers run in a child process, connected over
loopback to a caller and a server in this process.  The benchmark prints the processor
time of the child for one turn with 17 kB of input and 10 events of 160 bytes, stored in
the ledger.  Events are sent one by one, as engines produce them; events that arrive
together would be forwarded together, which takes half of the processor time.  With
``--pressure`` the budget for held bytes is on.
"""

from __future__ import annotations

import asyncio
import subprocess
import sys
import time
from typing import Final

import anyio
import anyio.to_thread

from tests.relay.harness import Caller, Exchange, ScriptedServer, run_harness
from wisteriastair.scheduling.buffers import make_buffer_limits
from wisteriastair.scheduling.fleet import Server

TURNS: Final = 800
CONCURRENT_CALLERS: Final = 8
EVENT_GAP_S: Final = 0.01
MEMORY_BYTES: Final = 256 * 1024 * 1024
PRESSURE_OPTION: Final = "--pressure"
BODY: Final = "x" * 17_000
EVENTS: Final = [f"id: {n}\ndata: {'y' * 140}\n\n" for n in range(1, 11)]


async def _run_relay(server_address: str, has_pressure: bool) -> None:
    """Serve; print the processor time used between two lines on standard input."""
    limits = make_buffer_limits(MEMORY_BYTES, 0) if has_pressure else None
    async with run_harness(limits=limits) as harness:
        server = Server("s1", "svc", server_address, "d", 100, False, 0.0)
        harness.fleet.put(server)
        print(harness.port, flush=True)
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(None, sys.stdin.readline)
        started_at = time.process_time()
        await loop.run_in_executor(None, sys.stdin.readline)
        print(time.process_time() - started_at, flush=True)


async def _stream_events(exchange: Exchange) -> None:
    await exchange.stream(*EVENTS, gap_s=EVENT_GAP_S)


async def _run_turns(port: int, name: str, count: int) -> None:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    caller = Caller(reader, writer)
    for number in range(count):
        await caller.send(
            "turn",
            f"{name}-{number}",
            body=BODY,
            X_Program_Id=f"{name}-{number // 4}",
            X_Token_Usage="14000,250",
            X_Token_Budget="100000",
        )
        reply = await caller.read()
        assert reply.whole, reply.status


async def _measure(options: list[str]) -> None:
    server = ScriptedServer("s1", _stream_events)
    await server.start()
    relay = subprocess.Popen(
        [sys.executable, "-m", "tests.relay.bench", server.address, *options],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert relay.stdin is not None and relay.stdout is not None
    port = int(await anyio.to_thread.run_sync(relay.stdout.readline))
    await _run_turns(port, "warm", 100)
    relay.stdin.write("\n")
    relay.stdin.flush()
    started_at = time.monotonic()
    async with anyio.create_task_group() as group:
        for number in range(CONCURRENT_CALLERS):
            group.start_soon(
                _run_turns, port, f"c{number}", TURNS // CONCURRENT_CALLERS
            )
    took_s = time.monotonic() - started_at
    relay.stdin.write("\n")
    relay.stdin.flush()
    used_s = float(await anyio.to_thread.run_sync(relay.stdout.readline))
    relay.wait()
    turns = TURNS // CONCURRENT_CALLERS * CONCURRENT_CALLERS
    print(f"{turns} turns in {took_s:.2f} s")
    print(f"processor time of the relay: {used_s / turns * 1000:.2f} ms a turn")


if __name__ == "__main__":
    arguments = [argument for argument in sys.argv[1:] if argument != PRESSURE_OPTION]
    options = [PRESSURE_OPTION] if PRESSURE_OPTION in sys.argv else []
    if arguments:
        anyio.run(_run_relay, arguments[0], bool(options))
    else:
        anyio.run(_measure, options)
