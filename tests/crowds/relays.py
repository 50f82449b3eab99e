"""A relay and a keeper as processes, with lowered limits, for crowds of clients."""

from __future__ import annotations

import asyncio
import json
import subprocess
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import ExitStack, asynccontextmanager
from pathlib import Path
from typing import Any, Final

import anyio

from tests.crowds.crowd import MIB, Crowd, CrowdRun
from tests.crowds.watch import Watch
from tests.platform.standin_store import standin_store
from tests.relay.harness import Exchange, ScriptedServer
from tests.relay.machines import CONFIG, Deployment, server_entry
from wisteriastair.nodemetrics import METRICS_PORT

# Addresses that no other test uses, as the port for metrics is the same for all.
RELAY_IP: Final = "127.0.0.21"
KEEPER_IP: Final = "127.0.0.22"
OTHER_KEEPER_IP: Final = "127.0.0.23"
# A relay above this memory is killed by the platform.
MEMORY_MB: Final = 96
MAX_FDS: Final = 400
MANY_FDS: Final = 4100
# Descriptors that the platform reserves for files outside of the disk folder.
RESERVED_FDS: Final = 200
# A second crowd starts from what the first one left behind.
REPEATS: Final = 2
TEST_TIMEOUT_S: Final = 120.0
ANSWER_TIMEOUT_S: Final = 5.0
RETRY_S: Final = 0.1
# Nothing ends by itself while a test runs.
NO_TIMEOUT_MS: Final = 600_000
SLOW: Final = "slow"
LARGE: Final = "large"
LARGE_BYTES: Final = 7 * MIB
CONTRACTS: Final = {"plain": (), "pressure": ("pressure",)}
FRONT: Final = "front"
READY: Final = "ready"
RELAY_METRICS: Final = "relay-metrics"
KEEPER_METRICS: Final = "keeper-metrics"


async def answer(exchange: Exchange) -> None:
    """Answer at once, never, or with a large body, as the request says."""
    kind = exchange.header("X-Kind")
    if kind == SLOW:
        await anyio.sleep_forever()
    await exchange.answer("y" * LARGE_BYTES if kind == LARGE else "fine")


class CrowdedRelay:
    """A relay and a keeper, of which one is crowded."""

    def __init__(
        self,
        deployment: Deployment,
        relay: subprocess.Popen[bytes],
        keeper: subprocess.Popen[bytes],
    ) -> None:
        self.processes = {"relay": relay, "keeper": keeper}
        self.deployment = deployment
        self.addresses = {
            FRONT: (RELAY_IP, deployment.front),
            READY: (RELAY_IP, deployment.ready),
            RELAY_METRICS: (RELAY_IP, METRICS_PORT),
            KEEPER_METRICS: (KEEPER_IP, METRICS_PORT),
        }
        self._request_count = 0

    def process_at(self, port: str) -> subprocess.Popen[bytes]:
        """Return the process that listens on a port."""
        return self.processes["keeper" if port == KEEPER_METRICS else "relay"]

    def watch(self, port: str) -> Watch:
        """Sample the process that listens on a port."""
        ports = {number for _, number in self.addresses.values()}
        return Watch(self.process_at(port).pid, ports)

    async def be_served(self, port: str) -> None:
        """Ask on new connections until an ordinary request is answered with 200."""
        while await self._ask(port) != 200:
            assert self.process_at(port).poll() is None, "the process has ended"
            await anyio.sleep(RETRY_S)

    async def _ask(self, port: str) -> int:
        """Return the status of an ordinary request; 0 without an answer."""
        self._request_count += 1
        lines = {
            FRONT: f"POST /unsafe/x HTTP/1.1\r\nX-Request-Id: o{self._request_count}",
            READY: "GET /v1/ready HTTP/1.1",
        }
        start = lines.get(port, "GET /metrics HTTP/1.1")
        data = f"{start}\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
        try:
            with anyio.fail_after(ANSWER_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self.addresses[port])
                try:
                    writer.write(data.encode())
                    return int((await reader.readline()).split(b" ")[1])
                finally:
                    writer.transport.abort()
        except (OSError, TimeoutError, IndexError):
            return 0

    async def bear(self, crowds: Sequence[Crowd], port: str) -> None:
        """Be served while crowds come to a port, while they stay and afterwards."""
        ports = sorted({FRONT, READY, port})
        for _ in range(REPEATS):
            with ExitStack() as stack:
                crowd_runs = [self.make_run(crowd, port) for crowd in crowds]
                for crowd_run in crowd_runs:
                    stack.callback(crowd_run.close)
                async with anyio.create_task_group() as group:
                    for crowd_run in crowd_runs:
                        group.start_soon(crowd_run.run)
                    await self._be_served_at(ports)
                await self._be_served_at(ports)
            await self._be_served_at(ports)

    async def _be_served_at(self, ports: Sequence[str]) -> None:
        for port in ports:
            await self.be_served(port)

    def make_run(self, crowd: Crowd, port: str) -> CrowdRun:
        """Prepare a crowd at a port."""
        return CrowdRun(crowd, self.addresses[port])


@asynccontextmanager
async def crowded_relay(
    folder: Path, contract: str, **settings: Any
) -> AsyncIterator[CrowdedRelay]:
    """Start a store, a server, two keepers and a relay that serves."""
    limits = {"idleTimeoutMs": NO_TIMEOUT_MS, "headerTimeoutMs": NO_TIMEOUT_MS}
    routes = [r | {"timeoutMs": NO_TIMEOUT_MS} for r in CONFIG["routes"]]
    server = ScriptedServer("s1", answer)
    await server.start()
    async with standin_store() as store:
        config = CONFIG | {"limits": limits, "routes": routes}
        store.put("op/config", json.dumps(config).encode())
        store.put(f"servers/{server.id}", server_entry(server, slots=10_000))
        deployment = Deployment(folder, store)
        deployment.seeds = (f"{KEEPER_IP}:1", f"{OTHER_KEEPER_IP}:1")
        deployment.contracts = CONTRACTS[contract]
        deployment.limits = {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS} | settings
        async with (
            deployment.run("keeper", KEEPER_IP) as keeper,
            deployment.run("keeper", OTHER_KEEPER_IP),
            deployment.run("relay", RELAY_IP) as relay,
        ):
            crowded = CrowdedRelay(deployment, relay, keeper)
            await crowded.be_served(READY)
            await crowded.be_served(FRONT)
            yield crowded
    server.stop()


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a scenario, which fails if it takes far too long."""

    async def main() -> None:
        with anyio.fail_after(TEST_TIMEOUT_S):
            await scenario()

    anyio.run(main)


def check_crowds(
    crowds: Sequence[Crowd],
    port: str,
    folder: Path,
    *,
    contract: str = "plain",
    max_fds: int = MANY_FDS,
) -> None:
    """Check a process that bears crowds at one of its ports.

    Its memory with unread data, and its descriptors, stay within its settings.
    """

    async def scenario() -> None:
        async with crowded_relay(folder, contract, max_fds=max_fds) as relay:
            with relay.watch(port) as watch:
                await relay.bear(crowds, port)
            assert watch.peak().memory_bytes <= MEMORY_MB * MIB
            assert watch.peak().descriptors <= max_fds - RESERVED_FDS

    run(scenario)
