"""A small deployment of relay and keeper processes on loopback addresses."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import subprocess
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any

import anyio
import anyio.to_thread

from tests.platform.settings_file import write_settings
from tests.platform.standin_store import StoreStandin, standin_store
from tests.relay.harness import Caller, Reply, ScriptedServer
from wisteriastair.standins.deployment import free_address

SCENARIO_TIMEOUT_S = 30.0
RELAY_IP = "127.0.0.1"
OTHER_RELAY_IP = "127.0.0.4"
KEEPER_IP = "127.0.0.2"
OTHER_KEEPER_IP = "127.0.0.3"
# Address without a listener, for a process that cannot reach the store.
UNREACHABLE_STORE = "127.0.0.1:1"
CONFIG: dict[str, Any] = {
    "version": 3,
    "routes": [
        {
            "name": "r",
            "host": "h",
            "prefix": "/unsafe/",
            "kind": "unsafe",
            "timeoutMs": 5000,
            "service": "svc",
        },
        {
            "name": "t",
            "host": "h",
            "prefix": "/talk/",
            "kind": "stream",
            "timeoutMs": 5000,
            "service": "svc",
        },
    ],
    "services": [{"name": "svc", "maxConns": 10}],
    "limits": {},
}


def free_port() -> int:
    return int(free_address().rpartition(":")[2])


class Deployment:
    """Settings files and processes of a small deployment."""

    def __init__(self, folder: Path, store: StoreStandin) -> None:
        self.front = free_port()
        self.ready = free_port()
        self.contracts: tuple[str, ...] = ()
        self.grace_s = 8
        self.seeds = (f"{KEEPER_IP}:1", f"{OTHER_KEEPER_IP}:1")
        # Limits of each process that differ from those of `write_settings`.
        self.limits: dict[str, int] = {}
        self._internal = free_port()
        self._folder = folder
        self._store = store
        self._running: list[subprocess.Popen[bytes]] = []

    def _settings(self, role: str, ip: str, store: str) -> Path:
        name = f"{role}-{ip}"
        return write_settings(
            self._folder / f"{name}.toml",
            name=name,
            ip=ip,
            zone="z1",
            internal_port=self._internal,
            store=store or self._store.address,
            data_dir=self._folder / name,
            seeds=self.seeds,
            front=f"{ip}:{self.front}",
            ready=f"{ip}:{self.ready}",
            contracts=self.contracts,
            grace_s=self.grace_s,
            **self.limits,
        )

    def _limit_descriptors(self) -> None:
        """Apply the limit that the platform sets for each process."""
        limit = self.limits.get("max_fds")
        if limit is not None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))

    @asynccontextmanager
    async def run(
        self, role: str, ip: str, store: str = ""
    ) -> AsyncIterator[subprocess.Popen[bytes]]:
        """Run a relay or a keeper; `store` overrides the address of the store."""
        boot = str(self._settings(role, ip, store))
        process = subprocess.Popen(
            [sys.executable, "-m", "wisteriastair", role],
            env=os.environ | {"WISTERIASTAIR_BOOT": boot},
            stdout=subprocess.DEVNULL,
            preexec_fn=self._limit_descriptors,
        )
        self._running.append(process)
        try:
            yield process
        finally:
            self._running.remove(process)
            process.kill()
            await anyio.to_thread.run_sync(process.wait)

    async def open(self, port: int, ip: str = RELAY_IP) -> Caller:
        """Connect to a relay as soon as it listens."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(ip, port)
            except OSError:
                codes = [process.poll() for process in self._running]
                assert 1 not in codes, "a process failed to start"
                await anyio.sleep(0.05)
                continue
            return Caller(reader, writer)

    async def request(self, request_id: str, path: str = "unsafe") -> Reply:
        caller = await self.open(self.front)
        await caller.send(path, request_id)
        return await caller.read()

    async def run_turn(self, ip: str, program: str, turn: str) -> Reply:
        """Request a turn of 200 tokens with a budget of 300, until one is accepted.

        Relays that cannot reach the ledger answer 503.
        """
        number = 0
        while True:
            number += 1
            caller = await self.open(self.front, ip)
            await caller.send(
                "talk",
                f"{turn}-{number}",
                X_Deadline_Ms="5000",
                X_Program_Id=program,
                X_Token_Usage="10,200",
                X_Token_Budget="300",
            )
            reply = await caller.read()
            caller.writer.close()
            if reply.status != 503:
                return reply
            await anyio.sleep(0.05)

    async def request_ready(self) -> int:
        caller = await self.open(self.ready)
        await caller.send_raw("GET /v1/ready HTTP/1.1\r\nHost: r\r\n\r\n")
        return (await caller.read()).status

    async def wait_until_served(self) -> None:
        number = 0
        while (await self.request(f"first-{number}")).status != 200:
            number += 1
            await anyio.sleep(0.05)


def server_entry(server: ScriptedServer, **more: object) -> bytes:
    entry = {"service": "svc", "address": server.address, "zone": "z1"}
    return json.dumps(entry | {"slots": 8, "state": "ready"} | more).encode()


def run_scenario(
    server: ScriptedServer,
    folder: Path,
    scenario: Callable[[Deployment, StoreStandin, AsyncExitStack], Awaitable[None]],
) -> None:
    async def main() -> None:
        async with standin_store() as store, AsyncExitStack() as stack:
            await server.start()
            store.put("op/config", json.dumps(CONFIG).encode())
            store.put(f"servers/{server.id}", server_entry(server))
            with anyio.fail_after(SCENARIO_TIMEOUT_S):
                await scenario(Deployment(folder, store), store, stack)
            server.stop()

    anyio.run(main)
