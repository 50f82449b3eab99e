"""A kept turn is lost with two disks, though three hold it when it is answered.

Five keepers in five zones, of which two may lose their disks at once.  A program's
first turn comes through one zone and its second through another, 40 s later.  Then two
keepers lose their disks, and the third turn comes while the second is still kept.
"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lab2 import Lab, ServerStandin, main, make_route  # noqa: E402

RETENTION_S = 60.0
PROGRAMS = 16
TRIES = 5
# Seconds from the first turn to the second one, the loss and the third one.
SECOND_S, LOSS_S, THIRD_S = 40.0, 73.0, 86.0
# Time in which a program should be finished.
AIM_S = 150.0
FIRST_ZONE, SECOND_ZONE, THIRD_ZONE = "c", "e", "d"
LOST = ("storage-e-1", "storage-b-1")


async def run(lab: Lab, is_troubled: bool) -> int:
    """Play the case."""
    engines = [ServerStandin(lab, f"i-m{n}", "models", events=4) for n in range(3)]
    for zone in "abcde":
        lab.add(f"storage-{zone}-1", "keeper", zone)
    relays = [f"front-{z}-1" for z in (FIRST_ZONE, SECOND_ZONE, THIRD_ZONE)]
    for relay in relays:
        lab.add(relay, "relay", relay[6])
    lab.choose_ports()
    options = {"retainHistory": True, "retentionS": RETENTION_S, "resumable": False}
    lab.configure([make_route("turn", "stream", "models", **options)])
    for engine, zone in zip(engines, "abc", strict=True):
        await engine.start(zone)
    for name in lab.machines:
        lab.start(name)
    if not (await lab.wait_members(5, 15) and await lab.wait_ready(relays, 10)):
        lab.record("the deployment did not start")
        return 2
    await asyncio.sleep(1.0)
    start = time.monotonic()

    async def wait_until(seconds: float) -> None:
        await asyncio.sleep(max(0.0, start + seconds - time.monotonic()))

    def left_ms() -> int:
        return int(1000 * (AIM_S - (time.monotonic() - start)))

    programs = [lab.new_id() for _ in range(PROGRAMS)]
    firsts = [await lab.turn(relays[0], program) for program in programs]
    await wait_until(SECOND_S)
    seconds = [
        await lab.turn(relays[1], program, first, finish_ms=left_ms())
        for program, (first, _) in zip(programs, firsts, strict=True)
    ]
    answered_at = time.monotonic()
    answers = [answer for _, answer in (*firsts, *seconds)]
    if not all(a.status == 200 and a.is_whole for a in answers):
        lab.record("a turn before the disruption was not answered")
        return 2
    await wait_until(LOSS_S)
    if is_troubled:
        lab.record(f"trouble {' and '.join(LOST)} lose their disks")
        await asyncio.gather(*(lab.kill(name) for name in LOST))
        for name in LOST:
            lab.wipe(name)
        await asyncio.sleep(0.5)
        for name in LOST:
            lab.start(name)
        await asyncio.sleep(3.0)
        if not await lab.wait_members(5, 8):
            lab.record("the keepers did not come together again")
            return 2
    await wait_until(THIRD_S)

    controls = [await lab.turn(relays[2], lab.new_id()) for _ in range(10)]
    served = sum(answer.status == 200 for _, answer in controls)
    lab.record(f"control {served} of 10 first turns were served")
    if served < 9:
        return 2
    lost = 0
    for program, (second, _) in zip(programs, seconds, strict=True):
        tries = [
            await lab.turn(relays[2], program, second, finish_ms=left_ms())
            for _ in range(TRIES)
        ]
        reached = {request for engine in engines for request, _ in engine.runs}
        if not any(request in reached for request, _ in tries):
            lost += 1
            statuses = [answer.status for _, answer in tries]
            age = time.monotonic() - answered_at
            lab.record(
                f"LOST    turn {second}, answered whole {age:.1f} s ago and kept for "
                f"{RETENTION_S:.0f} s, reached no server in {TRIES} tries: {statuses}"
            )
    lab.record(f"result  {lost} of {PROGRAMS} programs lost; ended: {lab.ended()}")
    return 1 if lost else 0


main(run, FOLDER, tolerate=2)
