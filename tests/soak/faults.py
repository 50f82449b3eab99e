"""Faults of a soak: drawn from a seed, one after another, some concurrently."""

from __future__ import annotations

import random
import signal
from collections.abc import Callable, Coroutine
from typing import Any, Final

import anyio

from tests.soak.world import CATCH_UP_S, KEEPERS, SoakDeployment

Fault = Callable[[SoakDeployment, random.Random], Coroutine[Any, Any, None]]


async def kill_keeper(deployment: SoakDeployment, rng: random.Random) -> None:
    """Kill a keeper; its disk stays."""
    name = rng.choice(KEEPERS)
    await deployment.end_process(name)
    await anyio.sleep(rng.uniform(0.0, 1.5))
    deployment.start(name)
    await anyio.sleep(1.0)


async def freeze_keeper(deployment: SoakDeployment, rng: random.Random) -> None:
    """Freeze a keeper for a while; it resumes with an old view."""
    name = rng.choice(KEEPERS)
    deployment.signal(name, signal.SIGSTOP)
    await anyio.sleep(rng.uniform(0.5, 2.5))
    deployment.signal(name, signal.SIGCONT)
    await anyio.sleep(1.0)


async def wipe_keeper(deployment: SoakDeployment, rng: random.Random) -> None:
    """Delete the disk of a keeper; wait until it has caught up again."""
    name = rng.choice(KEEPERS)
    await deployment.end_process(name)
    deployment.wipe_disk(name)
    deployment.start(name)
    await anyio.sleep(CATCH_UP_S)


async def kill_relay(deployment: SoakDeployment, rng: random.Random) -> None:
    """Kill a relay with its open connections."""
    name = rng.choice(deployment.relay_names)
    async with deployment.relay_lock:
        await deployment.end_process(name)
        deployment.start(name)


async def stop_relay(deployment: SoakDeployment, rng: random.Random) -> None:
    """Stop a relay as planned; it exits when it has no active requests."""
    name = rng.choice(deployment.relay_names)
    async with deployment.relay_lock:
        await deployment.end_process(name, signal.SIGTERM)
        deployment.start(name)


async def reload_all(deployment: SoakDeployment, rng: random.Random) -> None:
    """Send every process SIGHUP, which reloads its settings."""
    for name in deployment.machines:
        deployment.signal(name, signal.SIGHUP)


async def kill_all_processes(deployment: SoakDeployment, rng: random.Random) -> None:
    """Kill all processes at the same time; all disks stay."""
    async with deployment.relay_lock:
        deployment.kill_all()
        for name in deployment.machines:
            deployment.start(name)
    await anyio.sleep(1.0)


async def take_store_down(deployment: SoakDeployment, rng: random.Random) -> None:
    """Have the store reject every call for a while."""
    with deployment.checker.record_unplanned():
        deployment.store.down = True
        await anyio.sleep(rng.uniform(0.5, 2.5))
        deployment.store.down = False


async def drop_store_responses(deployment: SoakDeployment, rng: random.Random) -> None:
    """Have the store drop its response to a few writes."""
    deployment.store.responses_to_drop = rng.randint(1, 3)


async def compact_store(deployment: SoakDeployment, rng: random.Random) -> None:
    """Have the store drop its history and close its watches."""
    with deployment.checker.record_unplanned():
        deployment.store.forget_history()


FAULTS: Final[tuple[Fault, ...]] = (
    kill_keeper,
    freeze_keeper,
    wipe_keeper,
    kill_relay,
    stop_relay,
    reload_all,
    kill_all_processes,
    take_store_down,
    drop_store_responses,
    compact_store,
)
# Faults that may be injected during another one.
CONCURRENT_FAULTS: Final[tuple[Fault, ...]] = (
    kill_relay,
    take_store_down,
    drop_store_responses,
    compact_store,
    reload_all,
)


async def inject_faults(
    deployment: SoakDeployment, rng: random.Random, count: int
) -> list[str]:
    """Inject faults one after another; return their names in order."""
    fault_names: list[str] = []
    for _ in range(count):
        await anyio.sleep(rng.uniform(0.1, 0.6))
        drawn = [rng.choice(FAULTS)]
        if rng.random() < 0.4:
            drawn.append(rng.choice(CONCURRENT_FAULTS))
        fault_names.append("+".join(fault.__name__ for fault in drawn))
        async with anyio.create_task_group() as group:
            for fault in drawn:
                group.start_soon(fault, deployment, rng)
    return fault_names
