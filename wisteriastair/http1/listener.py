"""Listening sockets, and listeners for probes and scrapes."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Final

import anyio
from anyio.abc import TaskGroup

from ..scheduling.connections import (
    ACCEPTS_PER_ITERATION,
    MAX_PROBE_CONNECTIONS,
    RECEIVE_BUFFER_BYTES,
)
from .caller import CallerConnection, Handler
from .metering import ConnectionMeter

TIMEOUT_CHECK_INTERVAL_S: Final = 1.0
# Maximum number of connections that wait to be accepted.
LISTEN_BACKLOG: Final = 512


async def serve_socket(
    make_connection: Callable[[], asyncio.BaseProtocol], host: str, port: int
) -> asyncio.Server:
    """Accept connections on a port.

    What arrives on a connection before it is read is limited.  The event loop accepts
    up to its backlog in one iteration, so that it gets a small one, and the system the
    larger one.

    Raises
    ------
    OSError
        If listening on the port fails.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.setblocking(False)
        sock.bind((host, port))
        listener = await asyncio.get_running_loop().create_server(
            make_connection, sock=sock, backlog=ACCEPTS_PER_ITERATION
        )
        sock.listen(LISTEN_BACKLOG)
    except OSError:
        sock.close()
        raise
    return listener


async def listen(
    handler: Handler,
    host: str,
    port: int,
    group: TaskGroup,
    meter: ConnectionMeter | None = None,
) -> asyncio.Server:
    """Serve probes or scrapes on a port; their connections end with the process.

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
    listener = await serve_socket(
        lambda: CallerConnection(
            handler, group, caller_conns, meter, MAX_PROBE_CONNECTIONS
        ),
        host,
        port,
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
