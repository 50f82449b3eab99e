"""Relays exceed their memory limit, although they have one turn at a time.

One caller for each relay runs one program after the other, each of 18 turns whose input
has 80,000 bytes: less than the site's sheet allows.  A relay keeps the conversation of
each turn that it has answered until the collector of reference cycles runs, some 200
turns later.  The platform kills a process above its memory limit and starts it again.
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

# Of the site file: `req_bytes` has max = 100000, `turns` has max = 18, `keep_s` is 60.
INPUT_BYTES = 80_000
SMALL_INPUT_BYTES = 2_000
TURNS = 18
RETENTION_S = 60.0
# Of the smallest `front` machines, and of the `storage` machines.
MEMORY_MB = 128
KEEPER_MEMORY_MB = 170
EVENTS = 8
PLAYED_S = 70.0
RETRY_S = 0.3
# Fault: "processes end by themselves three times in the day", on two machines at least.
ENDS, MACHINES = 3, 2


async def run(lab: Lab, is_troubled: bool) -> int:
    """Play the case."""
    lab.memory_mb = {"relay": MEMORY_MB, "keeper": KEEPER_MEMORY_MB}
    lab.contracts.append("pressure")
    engines = [ServerStandin(lab, f"i-m{n}", "models", events=EVENTS) for n in range(4)]
    for engine in engines:
        engine.work_s = 0.005
    for zone in "abc":
        lab.add(f"storage-{zone}-1", "keeper", zone)
    relays = [lab.add(f"front-{zone}-1", "relay", zone) for zone in "ab"]
    lab.choose_ports()
    options = {"retainHistory": True, "retentionS": RETENTION_S, "resumable": False}
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
    size = INPUT_BYTES if is_troubled else SMALL_INPUT_BYTES
    whole = dict.fromkeys(names, 0)

    async def call(relay: str) -> None:
        program, previous, turns = lab.new_id(), "", 0
        while time.monotonic() < end and ends.get(relay, 0) < ENDS:
            text = random.randbytes(size // 2).hex().encode()
            turn, answer = await lab.turn(
                relay, program, previous, text=text, tokens=200
            )
            if answer.status != 200 or not answer.is_whole:
                await asyncio.sleep(RETRY_S)
                continue
            whole[relay] += 1
            previous, turns = turn, turns + 1
            if turns == TURNS:
                program, previous, turns = lab.new_id(), "", 0

    await asyncio.gather(*(call(name) for name in names))
    for watcher in watchers:
        watcher.cancel()
    lab.record(f"result  turns answered {whole}, ends by the memory limit: {ends}")
    is_broken = sum(count >= ENDS for count in ends.values()) >= MACHINES
    return 1 if is_broken else 0


main(run, FOLDER, tolerate=1)
