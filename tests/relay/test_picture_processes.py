"""Shared picture between real relay and keeper processes."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from pathlib import Path

import anyio
import pytest

from tests.platform.standin_store import StoreStandin
from tests.relay.harness import Exchange, ScriptedServer
from tests.relay.machines import Deployment, run_scenario
from wisteriastair.nodemetrics import METRICS_PATH, METRICS_PORT

# The port of the metrics is fixed, and tests may run at the same time.
ADDRESSES = {
    ("pressure",): ("127.0.0.41", "127.0.0.42", "127.0.0.43"),
    (): ("127.0.0.51", "127.0.0.52", "127.0.0.53"),
}
POLL_S = 0.1


async def metric(ip: str, name: str) -> float:
    """Return a metric of a process; -2 while it cannot be read."""
    try:
        reader, writer = await asyncio.open_connection(ip, METRICS_PORT)
    except OSError:
        return -2.0
    writer.write(f"GET {METRICS_PATH} HTTP/1.1\r\nHost: m\r\n\r\n".encode())
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    length = int(head.split("content-length: ")[1].split("\r\n")[0])
    body = (await reader.readexactly(length)).decode()
    writer.close()
    for line in body.splitlines():
        if line.startswith(f"wisteriastair_{name} "):
            return float(line.rpartition(" ")[2])
    return -2.0


async def answer_late(exchange: Exchange) -> None:
    await asyncio.sleep(1.0)
    await exchange.answer("fine")


@pytest.mark.parametrize("contracts", ADDRESSES)
def test_relays_share_a_picture_only_under_memory_pressure(
    tmp_path: Path, contracts: tuple[str, ...]
) -> None:
    """Without the contract, no process sends one byte of it."""
    relay, other_relay, keeper = ADDRESSES[contracts]

    async def scenario(
        deployment: Deployment, store: StoreStandin, stack: AsyncExitStack
    ) -> None:
        deployment.contracts = contracts
        for role, ip in (("keeper", keeper), ("relay", relay), ("relay", other_relay)):
            await stack.enter_async_context(deployment.run(role, ip))
        while await metric(other_relay, "servers_known") < 1:
            await anyio.sleep(POLL_S)
        while contracts and await metric(keeper, "picture_bytes_sent") <= 0:
            await anyio.sleep(POLL_S)
        while contracts and not 0 <= await metric(relay, "picture_age_seconds") < 2:
            await anyio.sleep(POLL_S)
        if not contracts:
            await anyio.sleep(2.0)
            assert await metric(relay, "picture_age_seconds") == -1
            assert await metric(relay, "picture_bytes_sent") == 0
            assert await metric(keeper, "picture_bytes_sent") == 0

    run_scenario(ScriptedServer("s1", answer_late), tmp_path, scenario)
