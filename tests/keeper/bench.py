"""Processor time of a keeper for one request: ``python -m tests.keeper.bench``.

The core, storage and transport of a keeper run in a separate process with a real
folder.  This process sends requests over loopback at a steady rate from the transports
of several relays, as relays that serve callers do: a reservation, then its settlement.
With the argument ``profile`` the functions that took longest are printed as well.
"""

from __future__ import annotations

import cProfile
import pstats
import subprocess
import sys
import tempfile
import time
from typing import Final

import anyio
import anyio.to_thread

from wisteriastair.core.keeper import KeeperCore
from wisteriastair.core.ledger import Attempt, Entry
from wisteriastair.core.ledgerwire import LedgerMessage, Write
from wisteriastair.core.membership import Member, View
from wisteriastair.keeper.log import Log
from wisteriastair.keeper.storage import Storage
from wisteriastair.nodemetrics import KeeperMetrics
from wisteriastair.peers.ledgercodec import (
    LEDGER_ACK_TIMEOUTS,
    LEDGER_BATCH_DELAY_S,
    LEDGER_CODEC,
    LEDGER_DEPLOYMENT,
)
from wisteriastair.peers.transport import Transport
from wisteriastair.standins.deployment import free_address

RELAYS: Final = 6
REQUESTS: Final = 6_000
REQUESTS_PER_S: Final = 600.0
RETENTION_S: Final = 60.0


async def _run_keeper(address: str) -> None:
    """Serve until standard input ends; then print the processor time."""
    with tempfile.TemporaryDirectory() as folder:
        ledger_log = Log(folder)
        ledger_log.load(0.0)
        me = Member("k0", ledger_log.disk_id, address, "d")
        view = View(1, (me,))
        core = KeeperCore(me, 0, view=view, entries=[], now=time.monotonic())
        storage = Storage(ledger_log, core, KeeperMetrics())

        def send() -> None:
            for to, message in core.drain_outbox():
                transport.send(to, message)

        def on_message(sender: str, message: LedgerMessage) -> None:
            core.receive(sender, message, time.monotonic())
            send()
            storage.wake()

        transport = _make_transport(address, on_message)
        async with anyio.create_task_group() as group:
            group.start_soon(transport.run)
            group.start_soon(storage.run, send)
            print("ready", flush=True)
            await anyio.to_thread.run_sync(sys.stdin.readline)
            profile = cProfile.Profile()
            if len(sys.argv) > 2:
                profile.enable()
            started_at = time.process_time()
            await anyio.to_thread.run_sync(sys.stdin.readline)
            print(time.process_time() - started_at, core.batches_synced, flush=True)
            if len(sys.argv) > 2:
                profile.disable()
                pstats.Stats(profile, stream=sys.stderr).sort_stats(
                    "tottime"
                ).print_stats(28)
            group.cancel_scope.cancel()


def _make_transport(address: str, on_message: object) -> Transport[LedgerMessage]:
    return Transport(
        f"{address}#1",
        on_message,  # type: ignore[arg-type]
        deployment=LEDGER_DEPLOYMENT,
        codec=LEDGER_CODEC,
        batch_delay_s=LEDGER_BATCH_DELAY_S,
        ack_timeouts=LEDGER_ACK_TIMEOUTS,
    )


async def _run_relay(to: str, name: str, latencies_s: list[float]) -> None:
    sent_at: dict[int, float] = {}

    def on_message(sender: str, message: LedgerMessage) -> None:
        op = getattr(message, "op", 0)
        if op in sent_at:
            latencies_s.append(time.monotonic() - sent_at.pop(op))

    transport = _make_transport(free_address(), on_message)
    async with anyio.create_task_group() as group:
        group.start_soon(transport.run)
        count = REQUESTS // RELAYS
        started_at = time.monotonic()
        for number in range(count):
            attempt = Attempt(250, number % 2 == 1)
            entry = Entry(
                f"{name}-{number // 8}", RETENTION_S, {f"a{number // 2}": attempt}
            )
            sent_at[number] = time.monotonic()
            transport.send(to, Write(number, 1, entry))
            due_at = started_at + number * RELAYS / REQUESTS_PER_S
            await anyio.sleep(max(0.0, due_at - time.monotonic()))
        await anyio.sleep(0.3)
        group.cancel_scope.cancel()


async def _measure() -> None:
    address = free_address()
    keeper = subprocess.Popen(
        [sys.executable, "-m", "tests.keeper.bench", address, *sys.argv[1:]],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert keeper.stdin is not None and keeper.stdout is not None
    await anyio.to_thread.run_sync(keeper.stdout.readline)
    keeper.stdin.write("\n")
    keeper.stdin.flush()
    latencies_s: list[float] = []
    async with anyio.create_task_group() as group:
        for number in range(RELAYS):
            group.start_soon(_run_relay, address, f"r{number}", latencies_s)
    keeper.stdin.write("\n")
    keeper.stdin.flush()
    cpu_s, batches = (await anyio.to_thread.run_sync(keeper.stdout.readline)).split()
    keeper.stdin.close()
    keeper.wait()
    latencies_s.sort()
    print(f"{len(latencies_s)} of {REQUESTS} requests answered, {batches} batches")
    print(f"median answer: {latencies_s[len(latencies_s) // 2] * 1000:.2f} ms")
    print(f"processor time of the keeper: {float(cpu_s) / REQUESTS * 1000:.3f} ms each")


if __name__ == "__main__":
    if len(sys.argv) > 1 and ":" in sys.argv[1]:
        anyio.run(_run_keeper, sys.argv[1])
    else:
        anyio.run(_measure)
