"""Planned work of a soak, in series and overlapping, and what may strike beside it."""

from __future__ import annotations

import random
import signal
from typing import Final

import anyio

from tests.soak.faults import Fault, store_away, store_forgets
from tests.soak.world import CATCH_UP_S, KEEPERS, World

# Relays of a zone are told to stop one after another with gaps up to this, in seconds,
# so that all are stopping at once; in the incident it was a quarter of a second.
MAX_GAP_S: Final = 0.6
# What strikes beside a stop does so up to this long after the first signal, in seconds:
# into the last of the grace period, and beside the start of the next process.
SPREAD_S: Final = 8.0
MOST_BESIDE: Final = 3
# Routes' time-outs, in milliseconds: from what callers wait, so that none is shorter,
# to nearly all of the grace period, where a relay takes its last request early.
TIMEOUTS_MS: Final = (2000, 3000, 6000)


async def stop_one(world: World, draw: random.Random) -> None:
    """Stop a relay."""
    running = world.running_relays()
    if running:
        await world.stop(draw.choice(running))


async def stop_all(world: World, draw: random.Random) -> None:
    """Tell all relays to stop, one after another while the others are stopping."""
    names = draw.sample(world.relay_names, len(world.relay_names))
    async with anyio.create_task_group() as group:
        for name in names:
            group.start_soon(world.stop, name)
            await anyio.sleep(draw.uniform(0.0, MAX_GAP_S))


async def signal_twice(world: World, draw: random.Random) -> None:
    """Send SIGTERM again to whatever is stopping."""
    for name in list(world.stopping):
        world.signal(name, signal.SIGTERM)


async def reload_meanwhile(world: World, draw: random.Random) -> None:
    """Tell every process a few times that its settings have changed."""
    for _ in range(draw.randint(1, 3)):
        for name in world.machines:
            world.signal(name, signal.SIGHUP)
        await anyio.sleep(draw.uniform(0.0, 2.0))


async def stop_keeper(world: World, draw: random.Random) -> None:
    """Stop a keeper as planned; the next one waits until it has caught up."""
    async with world.keepers:
        await world.stop(draw.choice(KEEPERS))
        await anyio.sleep(CATCH_UP_S)


async def reconfigure(world: World, draw: random.Random) -> None:
    """Change the configuration a few times."""
    for _ in range(draw.randint(1, 3)):
        world.configure(draw.choice(TIMEOUTS_MS))
        await anyio.sleep(draw.uniform(0.0, 2.0))


async def kill_another(world: World, draw: random.Random) -> None:
    """Kill a relay that was not told to stop."""
    running = world.running_relays()
    if running:
        name = draw.choice(running)
        with world.witness.unplanned():
            await world.end(name)
            world.start(name)


STOPS: Final[tuple[Fault, ...]] = (stop_one, stop_all, stop_all)
BESIDE_STOPS: Final[tuple[Fault, ...]] = (
    stop_one,
    signal_twice,
    reload_meanwhile,
    stop_keeper,
    reconfigure,
    kill_another,
    store_away,
    store_forgets,
)


async def strike_with_stops(world: World, draw: random.Random, count: int) -> list[str]:
    """Let planned work strike, with other things beside it; return the names."""
    names: list[str] = []
    for _ in range(count):
        beside = draw.sample(BESIDE_STOPS, draw.randint(0, MOST_BESIDE))
        planned = [(draw.uniform(0.0, 0.5), draw.choice(STOPS))]
        planned += [(draw.uniform(0.0, SPREAD_S), fault) for fault in beside]
        names.append("+".join(fault.__name__ for _, fault in planned))
        async with anyio.create_task_group() as group:
            for wait_s, fault in planned:
                # A generator of its own: which draws first does not depend on timing.
                own = random.Random(draw.random())
                group.start_soon(_later, wait_s, fault, world, own)
    return names


async def _later(
    wait_s: float, fault: Fault, world: World, draw: random.Random
) -> None:
    await anyio.sleep(wait_s)
    await fault(world, draw)
