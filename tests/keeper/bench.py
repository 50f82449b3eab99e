"""Processor time of a keeper for one request: ``python -m tests.keeper.bench``.

A keeper's core, storage and transport run in a process of their own, with a real
folder; requests come over loopback at a steady rate from several relays' transports
here, as they do from relays that serve callers: a reservation, then its settlement.
With ``profile`` as argument the functions that took longest are listed too.
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
PER_S: Final = 600.0
KEEP_S: Final = 60.0


async def _keeper(address: str) -> None:
    """Serve until standard input ends; then print the processor time."""
    with tempfile.TemporaryDirectory() as folder:
        disk = Log(folder)
        disk.load(0.0)
        me = Member("k0", disk.disk, address, "d")
        view = View(1, (me,))
        core = KeeperCore(me, 0, view=view, entries=[], now=time.monotonic())
        storage = Storage(disk, core, KeeperMetrics())

        def send() -> None:
            for to, message in core.drain_outbox():
                transport.send(to, message)

        def take(sender: str, message: LedgerMessage) -> None:
            core.receive(sender, message, time.monotonic())
            send()
            storage.wake()

        transport = _transport(address, take)
        async with anyio.create_task_group() as group:
            group.start_soon(transport.run)
            group.start_soon(storage.run, send)
            print("ready", flush=True)
            await anyio.to_thread.run_sync(sys.stdin.readline)
            profile = cProfile.Profile()
            if len(sys.argv) > 2:
                profile.enable()
            began = time.process_time()
            await anyio.to_thread.run_sync(sys.stdin.readline)
            print(time.process_time() - began, core.batches_synced, flush=True)
            if len(sys.argv) > 2:
                profile.disable()
                pstats.Stats(profile, stream=sys.stderr).sort_stats(
                    "tottime"
                ).print_stats(28)
            group.cancel_scope.cancel()


def _transport(address: str, take: object) -> Transport[LedgerMessage]:
    return Transport(
        f"{address}#1",
        take,  # type: ignore[arg-type]
        deployment=LEDGER_DEPLOYMENT,
        codec=LEDGER_CODEC,
        batch_delay_s=LEDGER_BATCH_DELAY_S,
        ack_timeouts=LEDGER_ACK_TIMEOUTS,
    )


async def _relay(to: str, name: str, answered: list[float]) -> None:
    sent_at: dict[int, float] = {}

    def take(sender: str, message: LedgerMessage) -> None:
        op = getattr(message, "op", 0)
        if op in sent_at:
            answered.append(time.monotonic() - sent_at.pop(op))

    transport = _transport(free_address(), take)
    async with anyio.create_task_group() as group:
        group.start_soon(transport.run)
        count = REQUESTS // RELAYS
        began = time.monotonic()
        for number in range(count):
            attempt = Attempt(250, number % 2 == 1)
            entry = Entry(f"{name}-{number // 8}", KEEP_S, {f"a{number // 2}": attempt})
            sent_at[number] = time.monotonic()
            transport.send(to, Write(number, 1, entry))
            due = began + number * RELAYS / PER_S
            await anyio.sleep(max(0.0, due - time.monotonic()))
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
    answered: list[float] = []
    async with anyio.create_task_group() as group:
        for number in range(RELAYS):
            group.start_soon(_relay, address, f"r{number}", answered)
    keeper.stdin.write("\n")
    keeper.stdin.flush()
    used, batches = (await anyio.to_thread.run_sync(keeper.stdout.readline)).split()
    keeper.stdin.close()
    keeper.wait()
    answered.sort()
    print(f"{len(answered)} of {REQUESTS} requests answered, {batches} batches")
    print(f"median answer: {answered[len(answered) // 2] * 1000:.2f} ms")
    print(f"processor time of the keeper: {float(used) / REQUESTS * 1000:.3f} ms each")


if __name__ == "__main__":
    if len(sys.argv) > 1 and ":" in sys.argv[1]:
        anyio.run(_keeper, sys.argv[1])
    else:
        anyio.run(_measure)
