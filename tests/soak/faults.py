"""The faults of a soak: drawn from a seed, one after another, some at once."""

from __future__ import annotations

import random
import signal
from collections.abc import Callable, Coroutine
from typing import Any, Final

import anyio

from tests.soak.world import CATCH_UP_S, KEEPERS, World

Fault = Callable[[World, random.Random], Coroutine[Any, Any, None]]


async def kill_keeper(world: World, draw: random.Random) -> None:
    """Kill a keeper; its disk stays."""
    name = draw.choice(KEEPERS)
    await world.end(name)
    await anyio.sleep(draw.uniform(0.0, 1.5))
    world.start(name)
    await anyio.sleep(1.0)


async def freeze_keeper(world: World, draw: random.Random) -> None:
    """Let a keeper stand still; it wakes with an old view."""
    name = draw.choice(KEEPERS)
    world.signal(name, signal.SIGSTOP)
    await anyio.sleep(draw.uniform(0.5, 2.5))
    world.signal(name, signal.SIGCONT)
    await anyio.sleep(1.0)


async def wipe_keeper(world: World, draw: random.Random) -> None:
    """Take a keeper's disk away; the next loss waits until it has caught up."""
    name = draw.choice(KEEPERS)
    await world.end(name)
    world.wipe(name)
    world.start(name)
    await anyio.sleep(CATCH_UP_S)


async def kill_relay(world: World, draw: random.Random) -> None:
    """Kill a relay with all that is open on it."""
    name = draw.choice(world.relay_names)
    async with world.relays:
        await world.end(name)
        world.start(name)


async def stop_relay(world: World, draw: random.Random) -> None:
    """Stop a relay as planned; it ends by itself once it has nothing to do."""
    name = draw.choice(world.relay_names)
    async with world.relays:
        await world.end(name, signal.SIGTERM)
        world.start(name)


async def reload_all(world: World, draw: random.Random) -> None:
    """Tell every process that its settings have changed."""
    for name in world.machines:
        world.signal(name, signal.SIGHUP)


async def kill_everything(world: World, draw: random.Random) -> None:
    """Kill all processes at the same moment; all disks stay."""
    async with world.relays:
        world.kill_all()
        for name in world.machines:
            world.start(name)
    await anyio.sleep(1.0)


async def store_away(world: World, draw: random.Random) -> None:
    """Have the store refuse every call for a while."""
    with world.witness.unplanned():
        world.store.down = True
        await anyio.sleep(draw.uniform(0.5, 2.5))
        world.store.down = False


async def store_loses_answers(world: World, draw: random.Random) -> None:
    """Have the store write and not answer, a few times."""
    world.store.responses_to_drop = draw.randint(1, 3)


async def store_forgets(world: World, draw: random.Random) -> None:
    """Have the store drop its history and cut its watches."""
    with world.witness.unplanned():
        world.store.forget_history()


FAULTS: Final[tuple[Fault, ...]] = (
    kill_keeper,
    freeze_keeper,
    wipe_keeper,
    kill_relay,
    stop_relay,
    reload_all,
    kill_everything,
    store_away,
    store_loses_answers,
    store_forgets,
)
# Faults that may strike while another one lasts.
BESIDE: Final[tuple[Fault, ...]] = (
    kill_relay,
    store_away,
    store_loses_answers,
    store_forgets,
    reload_all,
)


async def strike(world: World, draw: random.Random, count: int) -> list[str]:
    """Let faults strike; return their names in order."""
    names: list[str] = []
    for _ in range(count):
        await anyio.sleep(draw.uniform(0.1, 0.6))
        together = [draw.choice(FAULTS)]
        if draw.random() < 0.4:
            together.append(draw.choice(BESIDE))
        names.append("+".join(fault.__name__ for fault in together))
        async with anyio.create_task_group() as group:
            for fault in together:
                group.start_soon(fault, world, draw)
    return names
