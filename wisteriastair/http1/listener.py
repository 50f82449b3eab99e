"""Listeners for probes and scrapes, whose connections end with the process."""

from __future__ import annotations

import asyncio
from typing import Final

import anyio
from anyio.abc import TaskGroup

from .caller import CallerConnection, Handler
from .metering import ConnectionMeter

TIMEOUT_CHECK_INTERVAL_S: Final = 1.0


async def listen(
    handler: Handler,
    host: str,
    port: int,
    group: TaskGroup,
    meter: ConnectionMeter | None = None,
) -> asyncio.Server:
    """Serve a handler on a port.

    Parameters
    ----------
    group : TaskGroup
        Runs the handler, and enforces the timeouts of the connections.
    meter : ConnectionMeter or None
        Budget of the process for the bytes that connections hold.

    Raises
    ------
    OSError
        If listening on the port fails.
    """
    caller_conns: set[CallerConnection] = set()
    listener = await asyncio.get_running_loop().create_server(
        lambda: CallerConnection(handler, group, caller_conns, meter), host, port
    )
    group.start_soon(_enforce_timeouts, caller_conns)
    return listener


async def _enforce_timeouts(caller_conns: set[CallerConnection]) -> None:
    """Enforce the timeouts of connections until cancelled.

    Otherwise peers that neither close their connections nor read would use up the
    descriptors of the process, which callers and servers need too.
    """
    loop = asyncio.get_running_loop()
    while True:
        await anyio.sleep(TIMEOUT_CHECK_INTERVAL_S)
        for caller_conn in list(caller_conns):
            caller_conn.enforce_timeouts(loop.time())
