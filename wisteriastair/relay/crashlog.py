"""Log lines and metrics of servers that may have crashed under a request.

Each place of a request that is taken or given back has a line with the reason, so that
logs show whether a server that ended was counted, and if not, what cleared it.
"""

from __future__ import annotations

import logging
from enum import StrEnum
from typing import Final

from ..nodemetrics import RelayMetrics
from .loglimit import LineLimit

log: Final = logging.getLogger(__name__)


class Risk(StrEnum):
    """Why a server may have crashed under a request, or may yet do so."""

    BROKEN_OFF = "broken off"
    SILENT = "silent"
    FAILED = "failed"
    # A response that cannot be used, and one that this process broke off.
    SPOILED = "spoiled"
    ABANDONED = "abandoned"
    REMOVED = "removed"
    RUNNING = "running"


class Clearance(StrEnum):
    """Why a server does not take a place of a request any more."""

    NOT_RUN = "not run"
    ANSWERED = "answered"
    LEFT = "left by plan"
    EXPIRED = "expired"


class CrashLog:
    """Logs and counts which servers take places of requests.

    Parameters
    ----------
    metrics : RelayMetrics
        Counts places by reason.
    """

    def __init__(self, metrics: RelayMetrics) -> None:
        self._metrics = metrics
        self._lines = LineLimit()

    def record_exposed(
        self, key: bytes, server: str, request: str, risk: Risk, now: float
    ) -> None:
        """Record that a server takes a place of a request."""
        self._metrics.servers_exposed.labels(risk.value).inc()
        if self._lines.allows(now):
            log.info(
                "server may have crashed under a request",
                extra={
                    "key": key.hex(),
                    "server": server,
                    "request": request,
                    "risk": risk.value,
                },
            )

    def record_survival(self, key: bytes, server: str, now: float) -> None:
        """Record that a server lives on after a request, and keeps its place."""
        if self._lines.allows(now):
            extra = {"key": key.hex(), "server": server}
            log.info("server lives on after a request", extra=extra)

    def record_cleared(
        self, key: bytes, server: str, clearance: Clearance, now: float
    ) -> None:
        """Record that a server, or all with an empty id, takes no place any more."""
        self._metrics.servers_cleared.labels(clearance.value).inc()
        if self._lines.allows(now):
            log.info(
                "server cleared of a request",
                extra={
                    "key": key.hex(),
                    "server": server,
                    "evidence": clearance.value,
                },
            )

    def record_unshared(self, key: bytes, request: str, now: float) -> None:
        """Record that no keeper is known to have an end when its caller is answered."""
        self._metrics.crash_share_timeouts.inc()
        if self._lines.allows(now):
            extra = {"key": key.hex(), "request": request}
            log.warning("other relays may not know of a request", extra=extra)

    def record_ended_after(
        self, server: str, request: str, clearance: Clearance, now: float
    ) -> None:
        """Record that a server ended shortly after what it said of a request."""
        self._metrics.ends_after_response.labels(clearance.value).inc()
        if self._lines.allows(now):
            log.info(
                "server ended after a request",
                extra={
                    "server": server,
                    "request": request,
                    "response": clearance.value,
                },
            )

    def record_claim(
        self,
        key: bytes,
        request: str,
        server: int,
        *,
        is_new: bool,
        took_s: float,
        now: float,
    ) -> None:
        """Record that a request has asked keepers for a server."""
        outcome = ("granted" if is_new else "known") if server else "none"
        self._metrics.server_claims.labels(outcome).inc()
        if self._lines.allows(now):
            log.info(
                "server claimed for a request",
                extra={
                    "key": key.hex(),
                    "request": request,
                    "server": server,
                    "outcome": outcome,
                    "took_ms": round(took_s * 1000, 1),
                },
            )
