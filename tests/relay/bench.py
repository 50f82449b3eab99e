"""Processor time of a relay for one streamed turn: ``python -m tests.relay.bench``.

The relay's handler runs in a process of its own with loopback sockets towards a caller
and a server here, and keepers in memory.  Printed is the processor time of that process
for one turn of 17 kB in and 10 events of 160 bytes out, kept in the ledger; what the
in-memory keepers take is included.  Events come one by one, as engines produce them:
sent at once they would be passed on together, for half of the time.
"""

from __future__ import annotations

import asyncio
import subprocess
import sys
import time
from typing import Final

import anyio
import anyio.to_thread

from tests.relay.harness import Caller, Exchange, ScriptedServer, stand
from wisteriastair.core.fleet import Server

TURNS: Final = 800
AT_ONCE: Final = 8
EVENT_GAP_S: Final = 0.01
BODY: Final = "x" * 17_000
EVENTS: Final = [f"id: {n}\ndata: {'y' * 140}\n\n" for n in range(1, 11)]


async def _relay(server_address: str) -> None:
    """Serve until standard input ends; then print the processor time."""
    async with stand() as under_test:
        server = Server("s1", "svc", server_address, "d", 100, False, 0.0)
        under_test.fleet.put(server)
        print(under_test.port, flush=True)
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(None, sys.stdin.readline)
        began = time.process_time()
        await loop.run_in_executor(None, sys.stdin.readline)
        print(time.process_time() - began, flush=True)


async def _streams(exchange: Exchange) -> None:
    await exchange.stream(*EVENTS, gap_s=EVENT_GAP_S)


async def _turns(port: int, name: str, count: int) -> None:
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


async def _measure() -> None:
    server = ScriptedServer("s1", _streams)
    await server.start()
    relay = subprocess.Popen(
        [sys.executable, "-m", "tests.relay.bench", server.address],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert relay.stdin is not None and relay.stdout is not None
    port = int(await anyio.to_thread.run_sync(relay.stdout.readline))
    await _turns(port, "warm", 100)
    relay.stdin.write("\n")
    relay.stdin.flush()
    began = time.monotonic()
    async with anyio.create_task_group() as group:
        for number in range(AT_ONCE):
            group.start_soon(_turns, port, f"c{number}", TURNS // AT_ONCE)
    took_s = time.monotonic() - began
    relay.stdin.write("\n")
    relay.stdin.flush()
    used_s = float(await anyio.to_thread.run_sync(relay.stdout.readline))
    relay.wait()
    turns = TURNS // AT_ONCE * AT_ONCE
    print(f"{turns} turns in {took_s:.2f} s")
    print(f"processor time of the relay: {used_s / turns * 1000:.2f} ms a turn")


if __name__ == "__main__":
    if len(sys.argv) > 1:
        anyio.run(_relay, sys.argv[1])
    else:
        anyio.run(_measure)
