"""Overlapping faults of the store, the processes and the network."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable
from functools import partial

import anyio
import pytest

from tests.platform.fleet_of_mirrors import CONTACT_S, Fleet, Process
from tests.platform.test_mirror_watchers import (
    run_scenario,
    virtual_clocks,
    watching_processes,
)

__all__ = ["virtual_clocks"]

MAX_FAULT_S = 6.0
# Time for which the store is unresponsive before it drops its history, in seconds.
COMPACTION_S = 1.0

Fault = Callable[["Faults"], Awaitable[None]]


class Faults:
    """Injects faults, several of which may affect one process at the same time."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.rng = fleet.rng
        self._active: Counter[tuple[str, str]] = Counter()

    def draw_processes(self) -> list[Process]:
        if self.rng.random() < 0.4:
            return watching_processes(self.fleet)[: self.rng.randint(1, 2)]
        return self.rng.sample(self.fleet.processes, self.rng.randint(1, 4))

    async def sleep(self) -> None:
        await anyio.sleep(self.rng.uniform(0.05, MAX_FAULT_S))

    async def apply(self, field: str, interrupts: bool) -> None:
        targets = self.draw_processes()
        for process in targets:
            self._active[process.address, field] += 1
            setattr(process, field, True)
        await self.sleep()
        for process in targets:
            self._active[process.address, field] -= 1
            if self._active[process.address, field] == 0:
                setattr(process, field, False)
                if field == "frozen":
                    process.unfreeze()
            if interrupts:
                process.record_disturbance()

    def end_outage(self) -> None:
        """End an outage with a change of the configuration."""
        for process in self.fleet.processes:
            process.record_disturbance()
        self.fleet.store.change("op/config", b"waited")


async def freeze(faults: Faults) -> None:
    await faults.apply("frozen", interrupts=True)


async def cut_from_store(faults: Faults) -> None:
    await faults.apply("cut_store", interrupts=True)


async def reject_calls(faults: Faults) -> None:
    await faults.apply("busy_store", interrupts=True)


async def drop_received(faults: Faults) -> None:
    await faults.apply("drops_received", interrupts=False)


async def drop_sent(faults: Faults) -> None:
    await faults.apply("drops_sent", interrupts=False)


async def kill(faults: Faults) -> None:
    for process in faults.draw_processes():
        process.kill()


async def kill_all(faults: Faults) -> None:
    for process in faults.fleet.processes:
        process.kill()


async def make_unresponsive(faults: Faults) -> None:
    store = faults.fleet.store
    if store.is_unresponsive:
        return
    store.become_unresponsive()
    await faults.sleep()
    store.is_unresponsive = False
    faults.end_outage()


async def restart_while_unresponsive(faults: Faults) -> None:
    store = faults.fleet.store
    if store.is_unresponsive:
        return
    store.become_unresponsive()
    await kill_all(faults)
    await anyio.sleep(faults.rng.uniform(0.05, 2 * MAX_FAULT_S))
    store.is_unresponsive = False
    faults.end_outage()


async def outage(faults: Faults) -> None:
    store = faults.fleet.store
    if store.down:
        return
    store.down = True
    store.cut_watches()
    await faults.sleep()
    store.down = False
    faults.end_outage()


async def compaction(faults: Faults) -> None:
    store = faults.fleet.store
    if store.is_unresponsive:
        return
    store.become_unresponsive()
    await anyio.sleep(COMPACTION_S)
    store.is_unresponsive = False
    store.drop_history()
    store.cut_watches()
    faults.end_outage()


async def cut_watches(faults: Faults) -> None:
    faults.fleet.store.cut_watches()


FAULTS: list[Fault] = [
    freeze,
    cut_from_store,
    reject_calls,
    drop_received,
    drop_sent,
    kill,
    kill_all,
    make_unresponsive,
    restart_while_unresponsive,
    outage,
    compaction,
    cut_watches,
]


async def _inject_faults(faults: Faults, count: int) -> None:
    for _ in range(count):
        await anyio.sleep(faults.rng.uniform(0.0, 3.0))
        await faults.rng.choice(FAULTS)(faults)


async def _change_keys(fleet: Fleet) -> None:
    rng = fleet.rng
    while True:
        if not (fleet.store.down or fleet.store.is_unresponsive):
            key = rng.choice(["op/config", "servers/1", "servers/2"])
            fleet.store.change(key, rng.choice([b"new", b"newer", None]))
        await anyio.sleep(rng.uniform(0.05, 1.5))


# Seeds 410, 484 and 492 fail if call timeouts are not derived from the bound.
@pytest.mark.parametrize("seed", [*range(400, 412), 484, 492])
def test_no_change_is_late_while_faults_overlap(seed: int) -> None:
    """Guards against waits that are short enough alone but too long in sequence."""

    async def scenario(fleet: Fleet) -> None:
        faults = Faults(fleet)
        async with anyio.create_task_group() as change_group:
            change_group.start_soon(partial(_change_keys, fleet))
            async with anyio.create_task_group() as fault_group:
                for _ in range(3):
                    fault_group.start_soon(_inject_faults, faults, 5)
            await anyio.sleep(CONTACT_S + 2.0)
            change_group.cancel_scope.cancel()
        await anyio.sleep(CONTACT_S)
        for process in fleet.processes:
            assert process.mirror.revision == fleet.store.revision

    run_scenario(scenario, seed=seed)
