"""Single requests at the limits, on a relay without load."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.crowds.crowd import (
    KB,
    MIB,
    Crowd,
    CrowdRun,
    chunked,
    lines,
    one_line,
    with_length,
)
from tests.crowds.relays import CONTRACTS, FRONT, crowded_relay, run

FORMS = {
    "length": Crowd(1, with_length(4 * MIB, 0)),
    "length-in-pieces": Crowd(1, with_length(4 * MIB, 0), 1021),
    "chunks": Crowd(1, chunked(64 * KB, 4 * 1000 * KB, ended=True)),
    "small-chunks": Crowd(1, chunked(64, 4 * 1000 * KB, ended=True)),
    "head": Crowd(1, one_line(15 * KB, ended=True)),
    "head-of-lines": Crowd(1, lines(15 * KB, b"a: b\r\n", ended=True)),
}


async def read_status(crowd_run: CrowdRun) -> int:
    """Return the status of the answer to the only client."""
    (sock,) = crowd_run.sockets
    data = await asyncio.get_running_loop().sock_recv(sock, 1 << 16)
    return int(data.split(b" ")[1])


@pytest.mark.parametrize("contract", CONTRACTS)
@pytest.mark.parametrize("memory_mb", [96, 150])
def test_single_requests_at_the_limits_are_served(
    memory_mb: int, contract: str, tmp_path: Path
) -> None:
    """Guards against limits that refuse what the configuration allows."""

    async def scenario() -> None:
        async with crowded_relay(tmp_path, contract, memory_mb=memory_mb) as relay:
            for name, crowd in FORMS.items():
                crowd_run = relay.make_run(crowd, FRONT)
                await crowd_run.run()
                assert await read_status(crowd_run) == 200, name
                crowd_run.close()

    run(scenario)
