"""Measures the load of this relay, and applies the decisions about it.

The decisions are in `scheduling.buffers` and `scheduling.relay_load`.
"""

from __future__ import annotations

import asyncio
import logging
import time
from typing import Final

import anyio

from ..core.routes import RequestKind, Route
from ..errors import Code, Failure
from ..http1.metering import ConnectionMeter
from ..http1.monitor import LOG_INTERVAL_S, REFRESH_INTERVAL_S, BufferMonitor
from ..nodemetrics import RelayMetrics
from ..nodeoptions import NodeOptions
from ..platform.headers import CallerRequest
from ..scheduling.buffers import BufferBudget, BufferLimits, make_buffer_limits
from ..scheduling.relay_load import OverloadReadiness, RelayLoad, Traffic

LAG_INTERVAL_S: Final = 0.05
# Delay before a retry of a new program that was refused; the retry usually reaches
# another relay.
NEW_PROGRAM_RETRY_S: Final = 0.1

log = logging.getLogger(__name__)


class RelayPressure:
    """State of a relay's buffers, event loop and link.

    Parameters
    ----------
    name : str
        Name of the instance.
    limits : BufferLimits
        Limits for the bytes held for connections.
    link_bytes_per_s : float
        Bandwidth of the link; 0 if unknown.
    metrics : RelayMetrics
        Receives the state.

    Attributes
    ----------
    meter : ConnectionMeter
        What connections report to.
    is_ready : bool
        False while this relay reports itself as not ready because of overload.
    """

    def __init__(
        self,
        name: str,
        limits: BufferLimits,
        link_bytes_per_s: float,
        metrics: RelayMetrics,
    ) -> None:
        self.buffers = BufferBudget(limits)
        self.load = RelayLoad(link_bytes_per_s)
        self.meter = ConnectionMeter(self.buffers, Traffic())
        self.is_ready = True
        self._readiness = OverloadReadiness(name)
        self._metrics = metrics
        self._refreshed_at = 0.0
        self._logged_at = 0.0
        self._logged_state = (False, False, True)
        self._monitor = BufferMonitor(self.buffers)

    async def run(self) -> None:
        """Measure until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due_at = loop.time() + LAG_INTERVAL_S
            await anyio.sleep(LAG_INTERVAL_S)
            now = loop.time()
            self.load.record_lag(now - due_at)
            if now - self._refreshed_at >= REFRESH_INTERVAL_S:
                self.refresh(now, time.time())

    def refresh(self, now: float, wall_s: float) -> None:
        """Update everything that is not measured with each request.

        Parameters
        ----------
        now : float
            Time on the loop's clock.
        wall_s : float
            Seconds since 1970.
        """
        self._refreshed_at = now
        self._monitor.refresh(now)
        self.load.record_traffic(self.meter.traffic, now)
        is_overloaded = self.load.is_overloaded or self.buffers.is_refusing
        self.is_ready = self._readiness.is_ready(is_overloaded, now, wall_s)
        self._update_metrics()
        if now - self._logged_at >= LOG_INTERVAL_S:
            self._log_changes(now)

    def refusal(
        self, route: Route, caller_req: CallerRequest, *, is_running: bool = False
    ) -> Failure | None:
        """Return why a request is refused; None if it is accepted.

        A relay that is late, or whose link is full, refuses new programs.

        Parameters
        ----------
        is_running : bool
            Whether the program of the request is known to run.
        """
        if not self.load.is_overloaded or is_running:
            return None
        if not _starts_program(route, caller_req):
            return None
        self._metrics.overload_refusals.labels("new_program").inc()
        detail = (
            f"this relay is overloaded: lag {self.load.lag_s * 1000:.0f} ms, "
            f"link use {self.load.link_use:.2f}"
        )
        return Failure(Code.RELAY_OVERLOADED, detail, "no", NEW_PROGRAM_RETRY_S)

    def _update_metrics(self) -> None:
        gauges = self._metrics.gauges
        gauges["loop_lag_seconds"].set(self.load.lag_s)
        gauges["link_use"].set(self.load.link_use)

    def _log_changes(self, now: float) -> None:
        state = (self.buffers.is_refusing, self.load.is_overloaded, self.is_ready)
        if state == self._logged_state:
            return
        is_refusing, is_overloaded, is_ready = state
        fields: dict[str, float] = {
            "held_bytes": self.buffers.held_bytes,
            "limit_bytes": self.buffers.limits.budget_bytes,
            "refused": self.buffers.refused_count,
            "refuses_requests": is_refusing,
            "refuses_programs": is_overloaded,
            "ready": is_ready,
            "lag_ms": round(self.load.lag_s * 1000, 1),
            "link_use": round(self.load.link_use, 3),
        }
        log.warning("load of the relay changed", extra=fields)
        self._logged_at = now
        self._logged_state = state


def make_relay_pressure(
    cfg: NodeOptions, cache_bytes: int, metrics: RelayMetrics
) -> RelayPressure | None:
    """Make the state for a process; None if nothing is to be limited.

    Parameters
    ----------
    cache_bytes : int
        Maximum size of the caches of the process.
    """
    if not cfg.has_memory_pressure:
        return None
    limits = make_buffer_limits(cfg.memory_bytes, cache_bytes)
    return RelayPressure(cfg.name, limits, cfg.link_bytes_per_s, metrics)


def _starts_program(route: Route, caller_req: CallerRequest) -> bool:
    """Whether a request looks like the first of its program.

    Without a stored history, later turns look like it too and are not refused. With a
    history, only the first turn of a sub-agent does.
    """
    if route.kind is not RequestKind.STREAM or caller_req.previous_id:
        return False
    return route.retains_history or not caller_req.program
