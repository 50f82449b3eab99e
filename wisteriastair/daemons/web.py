"""HTTP server of the daemons: hypercorn on the event loop of the daemon."""

from __future__ import annotations

from functools import partial
from typing import Any

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config as HypercornConfig
from starlette.applications import Starlette


async def serve_http(
    app: Starlette,
    address: str,
    stop: anyio.Event,
    *,
    tls_cert: str = "",
    tls_key: str = "",
) -> None:
    """Serve until ``stop`` is set, then finish the requests in progress."""
    cfg = HypercornConfig()
    cfg.bind = [address]
    cfg.graceful_timeout = 30.0
    cfg.accesslog = None
    cfg.errorlog = None
    cfg.keep_alive_timeout = 75.0
    if tls_cert:
        cfg.certfile = tls_cert
        cfg.keyfile = tls_key
    application: Any = app
    # The server runs in a separate task, since it leaves a cancellation pending in its
    # task when it ends.  In the daemon's task, this would make a planned stop look like
    # a crash.
    async with anyio.create_task_group() as group:
        group.start_soon(partial(serve, application, cfg, shutdown_trigger=stop.wait))
