"""Serving HTTP by hypercorn on the daemon's own loop."""

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
    """Serve until ``stop`` is set; requests in progress are then finished."""
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
    # A task of its own: at its end the server leaves a cancellation pending in the task
    # that it runs in, which would make a planned stop of the daemon look like a crash.
    async with anyio.create_task_group() as group:
        group.start_soon(partial(serve, application, cfg, shutdown_trigger=stop.wait))
