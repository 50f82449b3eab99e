"""HTTP server of the daemons: hypercorn on the event loop of the daemon.

Hypercorn handles each connection.  Connections are accepted here, since its own server
has no limits for what all of them hold together.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import ssl
from typing import Any, Final, cast

import anyio
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config as HypercornConfig
from hypercorn.typing import AppWrapper
from hypercorn.utils import wrap_app
from starlette.applications import Starlette

from ..http1.listener import LISTEN_BACKLOG
from ..options import BYTES_PER_MB, DEFAULT_MEMORY_MB
from ..scheduling.connections import ACCEPTS_PER_ITERATION, RECEIVE_BUFFER_BYTES
from .connections import HttpConnections

GRACEFUL_TIMEOUT_S: Final = 30.0
KEEP_ALIVE_TIMEOUT_S: Final = 75.0
# Connections are counted once their handshake has ended.
HANDSHAKE_TIMEOUT_S: Final = 10.0


class _HttpServer:
    """Accepts connections and has hypercorn handle them.

    Parameters
    ----------
    app : AppWrapper
        The application.
    cfg : HypercornConfig
        Settings of the connections.
    conns : HttpConnections
        Limits of the connections.
    """

    def __init__(
        self, app: AppWrapper, cfg: HypercornConfig, conns: HttpConnections
    ) -> None:
        self._app = app
        self._cfg = cfg
        self._conns = conns
        self._context = WorkerContext(None)
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start(self, sock: socket.socket) -> asyncio.Server:
        """Accept connections on a bound socket."""
        ssl_context: ssl.SSLContext | None = None
        handshake_timeout_s: float | None = None
        if self._cfg.ssl_enabled:
            ssl_context = self._cfg.create_ssl_context()
            handshake_timeout_s = HANDSHAKE_TIMEOUT_S
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener = await asyncio.start_server(
            self._serve_connection,
            sock=sock,
            backlog=ACCEPTS_PER_ITERATION,
            limit=RECEIVE_BUFFER_BYTES,
            ssl=ssl_context,
            ssl_handshake_timeout=handshake_timeout_s,
        )
        sock.listen(LISTEN_BACKLOG)
        return listener

    async def stop(self) -> None:
        """Finish the requests in progress; idle connections are closed at once."""
        await self._context.terminated.set()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=GRACEFUL_TIMEOUT_S)
        for task in self._tasks:
            task.cancel()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        conn = self._conns.open(reader, writer)
        if conn is None:
            return
        task = asyncio.current_task()
        assert task is not None, "connections have tasks of their own"
        self._tasks.add(task)
        loop = asyncio.get_running_loop()
        counted_reader = cast(asyncio.StreamReader, conn)
        try:
            # A connection that was closed for the others' sake ends with cancellation.
            with contextlib.suppress(asyncio.CancelledError):
                await TCPServer(
                    self._app,
                    loop,
                    self._cfg,
                    self._context,
                    cast(Any, {}),
                    counted_reader,
                    writer,
                )
        finally:
            self._tasks.discard(task)
            self._conns.close(conn)
            writer.transport.abort()


async def serve_http(
    app: Starlette,
    address: str,
    stop: anyio.Event,
    *,
    tls_cert: str = "",
    tls_key: str = "",
    conns: HttpConnections | None = None,
) -> None:
    """Serve until ``stop`` is set, then finish the requests in progress.

    Parameters
    ----------
    conns : HttpConnections or None
        Limits of the connections; None for those of the default settings.
    """
    conns = conns or HttpConnections(DEFAULT_MEMORY_MB * BYTES_PER_MB)
    cfg = HypercornConfig()
    cfg.bind = [address]
    cfg.accesslog = None
    cfg.errorlog = None
    cfg.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    if tls_cert:
        cfg.certfile = tls_cert
        cfg.keyfile = tls_key
    application = wrap_app(cast(Any, conns.wrap(app)), cfg.wsgi_max_body_size, "asgi")
    server = _HttpServer(application, cfg, conns)
    sockets = cfg.create_sockets()
    async with anyio.create_task_group() as group:
        group.start_soon(conns.run)
        listeners = [
            await server.start(sock)
            for sock in (*sockets.secure_sockets, *sockets.insecure_sockets)
        ]
        await stop.wait()
        for listener in listeners:
            listener.close()
        await server.stop()
        group.cancel_scope.cancel()
