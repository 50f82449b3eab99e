"""Relays exceed their memory limit, although they have one turn at a time.

One caller for each relay sends one turn after the other, each with a body of 1 MB, a
quarter of what the operator's limits allow.  A relay keeps the bodies of the turns that
it has answered until the collector of reference cycles runs, some 190 turns later.  The
platform kills a process above its memory limit and starts it again.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lab2 import Lab, ServerStandin, enforce_memory, main, make_route  # noqa: E402

BODY_BYTES = 1_000_000
SMALL_BODY_BYTES = 10_000
EVENTS = 10
PLAYED_S = 80.0
MEMORY_MB = 150
RETRY_S = 0.2
# Fault: "processes end by themselves three times in the day", on two machines at least.
ENDS, MACHINES = 3, 2


async def run(lab: Lab, is_troubled: bool) -> int:
    """Play the case."""
    lab.memory_mb = {"relay": MEMORY_MB, "keeper": 180}
    engines = [ServerStandin(lab, f"i-m{n}", "models", events=EVENTS) for n in range(4)]
    for engine in engines:
        engine.work_s = 0.003
    for zone in "abc":
        lab.add(f"storage-{zone}-1", "keeper", zone)
    relays = [lab.add(f"front-{zone}-1", "relay", zone) for zone in "ab"]
    lab.choose_ports()
    options = {"retainHistory": False, "resumable": True}
    lab.configure([make_route("turn", "stream", "models", **options)])
    for engine in engines:
        await engine.start("a")
    for name in lab.machines:
        lab.start(name)
    names = [relay.name for relay in relays]
    if not (await lab.wait_members(3, 15) and await lab.wait_ready(names, 10)):
        lab.record("the deployment did not start")
        return 2
    ends: dict[str, int] = {}
    watchers = [
        asyncio.create_task(enforce_memory(lab, relay, MEMORY_MB, ends))
        for relay in relays
    ]
    end = time.monotonic() + PLAYED_S
    size = BODY_BYTES if is_troubled else SMALL_BODY_BYTES
    whole = dict.fromkeys(names, 0)

    async def call(relay: str) -> None:
        while time.monotonic() < end and ends.get(relay, 0) < ENDS:
            text = random.randbytes(size // 2).hex().encode()
            _, answer = await lab.turn(relay, lab.new_id(), text=text, tokens=250)
            if answer.status == 200 and answer.is_whole:
                whole[relay] += 1
            else:
                await asyncio.sleep(RETRY_S)

    await asyncio.gather(*(call(name) for name in names))
    for watcher in watchers:
        watcher.cancel()
    lab.record(f"result  turns answered {whole}, ends by the memory limit: {ends}")
    is_broken = sum(count >= ENDS for count in ends.values()) >= MACHINES
    return 1 if is_broken else 0


main(run, FOLDER, tolerate=1)
