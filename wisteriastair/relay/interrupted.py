"""Requests that ended at a server without success, and wait for evidence of a crash."""

from __future__ import annotations

from typing import Final

import anyio

from ..scheduling.exposure import EXPOSURE_S, Suspicion
from ..scheduling.fleet import Server, ServerState
from .crashlog import Risk
from .job import Job

# Seconds after which a response to a later request shows that a server lives on, if it
# has sent something or reset the connection: one that ends may still answer others.
SURVIVAL_S: Final = 0.5
LATE_RISKS: Final = (Risk.BROKEN_OFF, Risk.FAILED, Risk.SPOILED)
# Ends of requests that do not show a crash, even if the server ends soon after.
EXCUSED_RISKS: Final = (Risk.SPOILED, Risk.ABANDONED)
# Interrupted requests that wait for evidence.
MAX_INTERRUPTED: Final = 4096


def suspicion_of(state: ServerState, risk: Risk) -> Suspicion:
    """Return what the end of a server would say of a request that it had.

    A server that is leaving ends anyway.
    """
    is_excused = risk in EXCUSED_RISKS or not state.accepts_requests()
    return Suspicion.EXCUSED if is_excused else Suspicion.OPEN


def risk_variant(job: Job) -> bytes:
    """Return the digest of a request's headers, if its key does not include it."""
    return job.variant if job.caller_req.program else b""


class Interrupted:
    """A request whose server may have crashed.

    Attributes
    ----------
    suspicion : Suspicion
        What the end of the server would say of the request.
    survival_s : float
        Seconds after which a response shows that the server has survived.
    decided : anyio.Event
        Set when the server is known to have crashed or to listen.
    shared : anyio.Event or None
        Set when the crash has been shared with other relays.
    """

    def __init__(self, job: Job, state: ServerState, risk: Risk) -> None:
        server = state.server
        self.suspicion = suspicion_of(state, risk)
        self.survival_s = SURVIVAL_S if risk in LATE_RISKS else 0.0
        self.key = job.identity.key()
        self.variant = risk_variant(job)
        self.identity = job.envelope
        self.request = job.caller_req.id
        self.program = job.caller_req.program
        self.server = server
        self.at = job.now()
        self.expires_at = self.at + EXPOSURE_S
        self.has_crashed = False
        self.decided = anyio.Event()
        self.shared: anyio.Event | None = None


class InterruptedRequests:
    """The interrupted requests of each server, by its incarnation."""

    def __init__(self) -> None:
        self._waiting: dict[str, list[Interrupted]] = {}
        self._count = 0

    def __contains__(self, incarnation: object) -> bool:
        return incarnation in self._waiting

    def at(self, incarnation: str) -> list[Interrupted]:
        """Return the requests of a server."""
        return list(self._waiting.get(incarnation, ()))

    def servers(self) -> list[Server]:
        """Return the servers that have requests."""
        return [waiting[0].server for waiting in self._waiting.values()]

    def add(self, interrupted: Interrupted) -> None:
        """Add a request, unless there are too many, or replace its last end."""
        incarnation = interrupted.server.incarnation
        others = [
            one for one in self.at(incarnation) if one.request != interrupted.request
        ]
        is_known = len(others) < len(self.at(incarnation))
        if is_known or self._count < MAX_INTERRUPTED:
            self.keep(incarnation, [*others, interrupted])

    def drop(self, job: Job) -> None:
        """Drop a request that was remembered while it was running, and has ended."""
        if job.sent_to is not None:
            incarnation = job.sent_to.incarnation
            waiting = self.at(incarnation)
            kept = [one for one in waiting if one.request != job.caller_req.id]
            self.keep(incarnation, kept)

    def keep(self, incarnation: str, kept: list[Interrupted]) -> None:
        """Replace the requests of a server."""
        self._count += len(kept) - len(self._waiting.pop(incarnation, ()))
        if kept:
            self._waiting[incarnation] = kept

    def expire(self, now: float) -> list[Interrupted]:
        """Drop what is too old to matter, and return it."""
        expired = []
        for incarnation in list(self._waiting):
            waiting = self.at(incarnation)
            expired += [one for one in waiting if one.expires_at < now]
            self.keep(incarnation, [one for one in waiting if one.expires_at >= now])
        return expired
