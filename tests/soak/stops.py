"""Planned stops of a soak, in series and overlapping, with concurrent faults."""

from __future__ import annotations

import random
import signal
from typing import Final

import anyio

from tests.soak.faults import Fault, compact_store, take_store_down
from tests.soak.world import CATCH_UP_S, KEEPERS, SoakDeployment

# Relays are stopped one after another with gaps up to this, so that all are stopping at
# the same time.  The range includes 0.25 s, a gap at which requests have been lost.
MAX_GAP_S: Final = 0.6
# Concurrent faults start up to this long after the first signal, which includes the
# end of the grace period and the start of the next process.
MAX_START_DELAY_S: Final = 8.0
MAX_CONCURRENT: Final = 3
# Time-outs of the routes: none is shorter than the time that callers wait, and the
# longest is nearly the grace period, so that a stopping relay rejects requests early.
TIMEOUTS_MS: Final = (2000, 3000, 6000)


async def stop_one(deployment: SoakDeployment, rng: random.Random) -> None:
    """Stop one relay."""
    running = deployment.running_relays()
    if running:
        await deployment.stop(rng.choice(running))


async def stop_all(deployment: SoakDeployment, rng: random.Random) -> None:
    """Stop all relays, each while the others are still stopping."""
    names = rng.sample(deployment.relay_names, len(deployment.relay_names))
    async with anyio.create_task_group() as group:
        for name in names:
            group.start_soon(deployment.stop, name)
            await anyio.sleep(rng.uniform(0.0, MAX_GAP_S))


async def signal_twice(deployment: SoakDeployment, rng: random.Random) -> None:
    """Send SIGTERM again to all processes that are stopping."""
    for name in list(deployment.stopping):
        deployment.signal(name, signal.SIGTERM)


async def reload_meanwhile(deployment: SoakDeployment, rng: random.Random) -> None:
    """Send SIGHUP to every process a few times."""
    for _ in range(rng.randint(1, 3)):
        for name in deployment.machines:
            deployment.signal(name, signal.SIGHUP)
        await anyio.sleep(rng.uniform(0.0, 2.0))


async def stop_keeper(deployment: SoakDeployment, rng: random.Random) -> None:
    """Stop a keeper as planned; no other is stopped until it has caught up."""
    async with deployment.keeper_lock:
        await deployment.stop(rng.choice(KEEPERS))
        await anyio.sleep(CATCH_UP_S)


async def reconfigure(deployment: SoakDeployment, rng: random.Random) -> None:
    """Change the configuration a few times."""
    for _ in range(rng.randint(1, 3)):
        deployment.configure(rng.choice(TIMEOUTS_MS))
        await anyio.sleep(rng.uniform(0.0, 2.0))


async def kill_another(deployment: SoakDeployment, rng: random.Random) -> None:
    """Kill a relay that is not stopping."""
    running = deployment.running_relays()
    if running:
        name = rng.choice(running)
        with deployment.checker.record_unplanned():
            await deployment.end_process(name)
            deployment.start(name)


STOPS: Final[tuple[Fault, ...]] = (stop_one, stop_all, stop_all)
CONCURRENT_FAULTS: Final[tuple[Fault, ...]] = (
    stop_one,
    signal_twice,
    reload_meanwhile,
    stop_keeper,
    reconfigure,
    kill_another,
    take_store_down,
    compact_store,
)


async def inject_stops(
    deployment: SoakDeployment, rng: random.Random, count: int
) -> list[str]:
    """Run planned stops with concurrent faults; return the names of the faults."""
    fault_names: list[str] = []
    for _ in range(count):
        concurrent = rng.sample(CONCURRENT_FAULTS, rng.randint(0, MAX_CONCURRENT))
        planned = [(rng.uniform(0.0, 0.5), rng.choice(STOPS))]
        planned += [
            (rng.uniform(0.0, MAX_START_DELAY_S), fault) for fault in concurrent
        ]
        fault_names.append("+".join(fault.__name__ for _, fault in planned))
        async with anyio.create_task_group() as group:
            for wait_s, fault in planned:
                # A separate generator makes the draws independent of timing.
                fault_rng = random.Random(rng.random())
                group.start_soon(_run_later, wait_s, fault, deployment, fault_rng)
    return fault_names


async def _run_later(
    wait_s: float, fault: Fault, deployment: SoakDeployment, rng: random.Random
) -> None:
    await anyio.sleep(wait_s)
    await fault(deployment, rng)
