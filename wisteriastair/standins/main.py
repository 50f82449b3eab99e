"""Subcommands that run the stand-ins."""

from __future__ import annotations

import anyio
from starlette.applications import Starlette

from ..daemons.web import serve_http
from ..logs import set_up_logs
from .engine import EngineStandin
from .engine_model import EngineSpeed
from .platform import PlatformStandin
from .service import ServiceStandin


def standin_platform(
    *, http: str, lag_s: float = 0.5, reads_s: int = 2_000, writes_s: int = 300
) -> int:
    """Run the stand-in platform (demonstrations and tests only).

    Parameters
    ----------
    http : str
        IP:PORT to serve on.
    lag_s : float
        Seconds until a change of the instance list is visible.
    reads_s : int
        Reads per second; 0 for no limit.
    writes_s : int
        Writes per second; 0 for no limit.
    """
    set_up_logs("warning")
    standin = PlatformStandin(lag_s, reads_s, writes_s)
    anyio.run(_serve, standin.app(), http)
    return 0


def standin_engine(
    *,
    http: str,
    models: list[str],
    prefill_tokens_s: float = 8_000.0,
    decode_tokens_s: float = 40.0,
    cache_tokens: int = 200_000,
    batch: int = 8,
    ignore_fence: bool = False,
) -> int:
    """Run a stand-in model engine (demonstrations and tests only).

    Parameters
    ----------
    http : str
        IP:PORT to serve on.
    models : list[str]
        Model versions that are loaded.
    prefill_tokens_s : float
        Prompt tokens computed per second.
    decode_tokens_s : float
        Output tokens per second of a request that runs alone.
    cache_tokens : int
        Capacity of the prefix cache.
    batch : int
        Maximum number of concurrent requests.
    ignore_fence : bool
        Accept orders with an old fencing number.
    """
    set_up_logs("warning")
    speed = EngineSpeed(prefill_tokens_s, decode_tokens_s, cache_tokens, batch)
    standin = EngineStandin(tuple(models), speed, not ignore_fence)
    anyio.run(_serve_engine, standin, http)
    return 0


def standin_service(*, http: str, delay_s: float = 0.05) -> int:
    """Run a stand-in plain service (demonstrations and tests only).

    Parameters
    ----------
    http : str
        IP:PORT to serve on.
    delay_s : float
        Duration of a call in seconds.
    """
    set_up_logs("warning")
    anyio.run(_serve, ServiceStandin(delay_s).app(), http)
    return 0


async def _serve(app: Starlette, http: str) -> None:
    await serve_http(app, http, anyio.Event())


async def _serve_engine(standin: EngineStandin, http: str) -> None:
    async with anyio.create_task_group() as group:
        group.start_soon(standin.run)
        await serve_http(standin.app(), http, anyio.Event())
