"""Counts the servers that crash under a request, and quarantines such requests.

A connection that breaks off does not show a crash: servers and middleboxes also reset
connections, and links are cut.  The server has crashed if its port refuses connections
afterwards, if another incarnation takes its place, or if the platform removes its entry
and its machine does not answer.  A server that is leaving does not count.
"""

from __future__ import annotations

import asyncio
import logging
from enum import StrEnum
from typing import Final

import anyio
from anyio.abc import TaskGroup

from ..errors import Code, Failure
from ..nodemetrics import RelayMetrics
from ..scheduling.crashes import AnsweredRequests
from ..scheduling.digest import server_key
from ..scheduling.fleet import Server, ServerState
from .crashshare import CrashShare
from .job import Job
from .loglimit import LineLimit
from .pool import ConnectionPool, ProbeResult

# Longest wait of a request for the probe of its server, in seconds.  A port that is
# closed refuses within a round trip.
MAX_PROBE_WAIT_S: Final = 0.1
# Longest wait of a request for a keeper that tells the other relays of its crash, in
# seconds.  If its caller had the answer first, the next attempt could overtake that.
MAX_SHARE_WAIT_S: Final = 0.1
# Seconds for which an interrupted request waits for evidence of a crash: longer than
# the platform keeps the entry of a silent server.
EVIDENCE_WAIT_S: Final = 10.0
# The same for a server that listens: time for the entry of its next incarnation.
RESTART_WAIT_S: Final = 1.0
# Seconds for which answers of a server may still arrive after it has crashed.
LAST_ANSWERS_S: Final = 0.2
# Interrupted requests that wait for evidence.
MAX_INTERRUPTED: Final = 4096

log = logging.getLogger(__name__)


class Evidence(StrEnum):
    """Why a server counts as crashed."""

    REFUSED = "refused"
    REPLACED = "replaced"
    REMOVED = "removed"


class _Interrupted:
    """A request whose server broke off or did not answer.

    Attributes
    ----------
    decided : anyio.Event
        Set when the server is known to have crashed or to listen.
    shared : anyio.Event or None
        Set when the crash has been shared with other relays.
    """

    def __init__(self, job: Job, server: Server) -> None:
        identity = job.identity
        self.key = identity.key()
        # A body may be large.
        self.identity = identity._replace(body=b"")
        self.request = job.caller_req.id
        self.program = job.caller_req.program
        self.server = server
        self.at = job.now()
        self.expires_at = self.at + EVIDENCE_WAIT_S
        self.has_crashed = False
        self.decided = anyio.Event()
        self.shared: anyio.Event | None = None


class CrashMonitor:
    """Counts the servers that crashed under each request.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to the servers.
    metrics : RelayMetrics
        Counts crashes.
    share : CrashShare
        The counts, shared with other relays.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        metrics: RelayMetrics,
        share: CrashShare,
    ) -> None:
        self.table = share.table
        self._share = share
        self._pool = pool
        self._metrics = metrics
        self._interrupted: dict[str, list[_Interrupted]] = {}
        self._interrupted_count = 0
        self._probing: set[str] = set()
        self._answered = AnsweredRequests()
        self._lines = LineLimit()
        self._group: TaskGroup
        pool.on_refused = self._on_refused
        share.on_suspect = self._on_suspect

    def start(self, group: TaskGroup) -> None:
        """Set the task group for probes."""
        self._group = group

    # Requests

    def refusal(self, job: Job) -> Failure | None:
        """Return why a request must not be sent to a server; None if it may be."""
        key = self.table.find(job.identity)
        if key is None or not self.table.is_quarantined(key):
            return None
        count = self.table.count(key)
        detail = f"quarantined: {count} servers crashed under {key.hex()}"
        # Not run this time, and waiting is of no use.
        return Failure(Code.QUARANTINED, detail, "no")

    async def examine(self, job: Job, state: ServerState) -> bool:
        """Find out whether a server crashed that broke off the response to a request.

        Returns
        -------
        bool
            Whether the server has crashed; False if that is not known yet.
        """
        job.sent_to = None
        interrupted = self._add_interrupted(job, state)
        if interrupted is None:
            return False
        incarnation = state.incarnation
        if incarnation not in self._probing:
            self._probing.add(incarnation)
            self._group.start_soon(self._probe, state.server)
        with anyio.move_on_after(MAX_PROBE_WAIT_S):
            await interrupted.decided.wait()
        if interrupted.shared is not None:
            with anyio.move_on_after(MAX_SHARE_WAIT_S):
                await interrupted.shared.wait()
        return interrupted.has_crashed

    def record_end(self, job: Job) -> None:
        """Record the end of a request, which a server may have left unanswered."""
        if job.sent_to is not None:
            self.record_silence(job, job.sent_to)

    def record_silence(self, job: Job, state: ServerState) -> None:
        """Record that a server did not answer a request in time."""
        job.sent_to = None
        self._add_interrupted(job, state)

    def record_answer(self, job: Job) -> None:
        """Forget a request that a server has answered completely."""
        now = job.now()
        if job.sent_to is not None:
            self._record_alive(job.sent_to.incarnation, now)
            job.sent_to = None
        self._answered.add(job.identity, now)
        key = self.table.find(job.identity)
        if key is not None:
            self._forget(key)

    def _forget(self, key: bytes) -> None:
        self.table.forget(key)
        self._share.report_answer(key)

    def _on_suspect(self, key: bytes, now: float) -> None:
        if self._answered.is_recent(key, now):
            self._forget(key)

    def _add_interrupted(self, job: Job, state: ServerState) -> _Interrupted | None:
        """Remember an interrupted request; None if its server is leaving."""
        waiting = self._interrupted.get(state.incarnation, [])
        for interrupted in waiting:
            if interrupted.request == job.caller_req.id:
                return interrupted
        if not state.accepts_requests() or self._interrupted_count >= MAX_INTERRUPTED:
            return None
        interrupted = _Interrupted(job, state.server)
        self._interrupted.setdefault(state.incarnation, []).append(interrupted)
        self._interrupted_count += 1
        return interrupted

    # Evidence

    async def _probe(self, server: Server) -> None:
        try:
            result = await self._pool.probe(server)
        finally:
            self._probing.discard(server.incarnation)
        if result is ProbeResult.LISTENS:
            self._record_listening(server.incarnation)

    async def _probe_removed(self, server: Server) -> None:
        if await self._pool.probe(server) is ProbeResult.LISTENS:
            self._record_listening(server.incarnation)
        else:
            self._record_crash(server.incarnation, Evidence.REMOVED)

    def _on_refused(self, incarnation: str) -> None:
        self._record_crash(incarnation, Evidence.REFUSED)

    def record_server(self, server: Server) -> None:
        """Record the entry of a server, which may take the place of a crashed one."""
        for waiting in list(self._interrupted.values()):
            known = waiting[0].server
            is_same_place = server.id == known.id or server.address == known.address
            if is_same_place and server.incarnation != known.incarnation:
                self._record_crash(known.incarnation, Evidence.REPLACED)

    def record_removed(self, server: Server) -> None:
        """Record that the platform removed the entry of a server that was in service.

        Its lease has expired, or the server leaves without notice; then it listens.
        """
        if server.incarnation in self._interrupted:
            self._group.start_soon(self._probe_removed, server)

    def _record_alive(self, incarnation: str, now: float) -> None:
        """Drop requests that ended before a server answered another one."""
        waiting = self._interrupted.get(incarnation)
        if waiting is None:
            return
        kept = [one for one in waiting if now - one.at <= LAST_ANSWERS_S]
        self._interrupted_count -= len(waiting) - len(kept)
        if kept:
            self._interrupted[incarnation] = kept
        else:
            del self._interrupted[incarnation]

    def _record_listening(self, incarnation: str) -> None:
        now = asyncio.get_running_loop().time()
        for interrupted in self._interrupted.get(incarnation, ()):
            expires_at = min(interrupted.expires_at, now + RESTART_WAIT_S)
            interrupted.expires_at = expires_at
            interrupted.decided.set()

    def _record_crash(self, incarnation: str, evidence: Evidence) -> None:
        now = asyncio.get_running_loop().time()
        waiting = self._interrupted.pop(incarnation, [])
        self._interrupted_count -= len(waiting)
        for interrupted in waiting:
            if interrupted.expires_at < now:
                continue
            interrupted.has_crashed = True
            if not self._answered.is_recent(interrupted.key, now):
                self._count_crash(interrupted, evidence, now)
            interrupted.decided.set()

    def _count_crash(
        self, interrupted: _Interrupted, evidence: Evidence, now: float
    ) -> None:
        servers = [server_key(interrupted.server.incarnation)]
        identity = interrupted.identity
        expires_at = now + self.table.limits.duration_s(identity)
        description = identity.description()
        if self.table.add(interrupted.key, servers, expires_at, description):
            interrupted.shared = self._share.report_crash(interrupted.key)
            self._metrics.server_crashes.labels(evidence.value).inc()
            self._log_crash(interrupted, evidence, now)

    def _log_crash(
        self, interrupted: _Interrupted, evidence: Evidence, now: float
    ) -> None:
        if not self._lines.allows(now):
            return
        log.warning(
            "server crashed under a request",
            extra={
                "request": interrupted.request,
                "program": interrupted.program,
                "key": interrupted.key.hex(),
                "server": interrupted.server.id,
                "evidence": evidence.value,
                "after_ms": round((now - interrupted.at) * 1000),
                "crashes": self.table.count(interrupted.key),
            },
        )

    def sweep(self, now: float) -> None:
        """Drop what is too old to matter."""
        self.table.expire(now)
        self._share.sweep(now)
        for incarnation, waiting in list(self._interrupted.items()):
            kept = [one for one in waiting if one.expires_at >= now]
            self._interrupted_count -= len(waiting) - len(kept)
            if kept:
                self._interrupted[incarnation] = kept
            else:
                del self._interrupted[incarnation]
