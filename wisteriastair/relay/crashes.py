"""Counts the servers that crash under a request, and quarantines such requests.

A connection that breaks off does not show a crash: servers and middleboxes also reset
connections, and links are cut.  The server has crashed if its port refuses connections
afterwards, if another incarnation takes its place, or if the platform removes its entry
and its machine does not answer.  A server that is leaving ends anyway, so its end does
not count as a crash.

Until then the server may have crashed, whatever it has sent: it lived when it did, not
after.  Only a request that was answered with success or did not run has done no harm.
Such servers are bounded together with the crashed ones (`scheduling.exposure`).  Signs
of life only decide whether a later end counts as a crash: a listener at the address may
be another server, and one that lives may still end.
"""

from __future__ import annotations

import asyncio
import logging
import math
from enum import StrEnum
from typing import Final

import anyio
from anyio.abc import TaskGroup

from ..errors import Code, Failure
from ..nodemetrics import RelayMetrics
from ..scheduling.crashes import (
    SINGLE_QUARANTINE_S,
    AnsweredRequests,
)
from ..scheduling.digest import server_key
from ..scheduling.exposure import EXPOSURE_S, MAX_ECHO_S, Suspicion
from ..scheduling.fleet import Fleet, Server, ServerState
from .crashlog import Clearance, CrashLog, Risk
from .crashshare import CrashShare
from .interrupted import (
    SURVIVAL_S,
    Interrupted,
    InterruptedRequests,
    risk_variant,
    suspicion_of,
)
from .job import Job
from .lastrequests import LastRequest, LastRequests
from .loglimit import LineLimit
from .pool import ConnectionPool, ProbeResult
from .requestservers import RequestServers
from .running import RunningRequests

# Longest wait of a request for the probe of its server, in seconds.  A port that is
# closed refuses within a round trip.
MAX_PROBE_WAIT_S: Final = 0.1
# Longest wait of a request for a keeper that tells the other relays of its crash, in
# seconds.  If its caller had the answer first, the next attempt could overtake that.
MAX_SHARE_WAIT_S: Final = 0.1
# Seconds after which the end of a server that still listens is no crash any more:
# time for a process to end, to start again at the same address, and for the entry of
# its next incarnation.
RESTART_WAIT_S: Final = 1.5
# Seconds after the end of a request at a server after which the word that it is
# leaving has nothing to do with the request: the word arrives some time after it was
# given.
PLANNED_STOP_S: Final = 1.0
# Seconds without a response after which keepers are told of a request: shorter than the
# patience of callers, whose next attempt may overtake the report of their leaving.
OVERDUE_S: Final = 1.0
log = logging.getLogger(__name__)


class Evidence(StrEnum):
    """Why a server counts as crashed."""

    REFUSED = "refused"
    REPLACED = "replaced"
    REMOVED = "removed"


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

    Attributes
    ----------
    servers : RequestServers
        Chooses which servers a request may be sent to.
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
        self._interrupted = InterruptedRequests()
        self._probing: set[str] = set()
        # Incarnations whose survival is being checked.
        self._checking: set[str] = set()
        self._running = RunningRequests()
        self._answered = AnsweredRequests()
        self._last_requests = LastRequests()
        self._lines = LineLimit()
        self._log = CrashLog(metrics)
        self.servers = RequestServers(share, self._running, self._log)
        self._group: TaskGroup
        self._fleet: Fleet
        pool.on_refused = self._on_refused
        share.on_suspect = self._on_suspect

    def start(self, group: TaskGroup) -> None:
        """Set the task group for probes."""
        self._group = group

    def attach(self, fleet: Fleet) -> None:
        """Hear of servers that leave."""
        self._fleet = fleet
        self.servers.attach(fleet)
        fleet.on_leaving = self._on_leaving

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

    def allowed_servers(self, job: Job) -> frozenset[int] | None:
        """Return the keys of the only servers that may get a request; None for all."""
        key = self.table.find(job.identity) or b""
        left = self.table.exposures.have_left(key)
        self._release(key, left, Clearance.LEFT, job.now())
        return self.servers.allowed(job)

    def may_send(self, job: Job, state: ServerState) -> bool:
        """Return whether a request may be sent to a server."""
        allowed = self.allowed_servers(job)
        return allowed is None or server_key(state.incarnation) in allowed

    def record_sent(self, job: Job, state: ServerState) -> None:
        """Record that a request is about to be sent to a server."""
        job.sent_to = state
        job.sent_at = job.now()
        job.is_reported = job.has_place = False
        job.places.record_sent(server_key(state.incarnation))
        if job.caller_req.program and self.table.find(job.identity) is not None:
            # This process may end before the server does.
            self._report_running(job, job.sent_at)
        self._running.add(job)

    async def record_failure(self, job: Job, state: ServerState, risk: Risk) -> bool:
        """Record that a server has not answered a request with success.

        Returns when it is known whether the server has crashed and the other relays may
        know, or after a short time.

        Returns
        -------
        bool
            Whether the server has crashed; False if that is not known yet.
        """
        job.sent_to = None
        interrupted = self._add_interrupted(job, state, risk)
        with anyio.CancelScope(shield=risk is Risk.FAILED):
            if risk is Risk.BROKEN_OFF:
                self._start_probe(state.server)
                with anyio.move_on_after(MAX_PROBE_WAIT_S):
                    await interrupted.decided.wait()
            elif risk is Risk.SILENT:
                self._start_probe(state.server)
            else:
                self._start_check(state.server)
            await self._wait_for_share(interrupted)
        return interrupted.has_crashed

    def record_end(self, job: Job) -> None:
        """Record the end of a request, which a server may have left unanswered."""
        state, job.sent_to = job.sent_to, None
        if state is not None:
            self._add_interrupted(job, state, Risk.SILENT)
            self._start_probe(state.server)
        self._running.remove(job)

    def record_not_run(self, job: Job, state: ServerState, *, was_read: bool) -> None:
        """Record that a server has not run a request.

        Parameters
        ----------
        was_read : bool
            Whether the server may have read it.
        """
        self._interrupted.drop(job)
        job.sent_to = None
        if was_read:
            self._record_last(job, state, Clearance.NOT_RUN)
        else:
            job.places.record_not_read(server_key(state.incarnation))
        if job.has_place:
            job.has_place = False
            server = server_key(state.incarnation)
            key = job.identity.key()
            self._release(key, [server], Clearance.NOT_RUN, job.now())

    def record_answer(self, job: Job) -> None:
        """Forget a request that a server has answered with success.

        The answer says nothing of the same request with other headers.
        """
        self._interrupted.drop(job)
        state, job.sent_to = job.sent_to, None
        if state is not None:
            self._record_last(job, state, Clearance.ANSWERED)
        self._answered.add(job.identity, job.now())
        if state is not None:
            self.servers.proven.add(job.identity, state.incarnation, job.now())
        key = self.table.find(job.identity)
        if key is None or self._forget(key, risk_variant(job)):
            return
        if job.has_place and state is not None:
            server = server_key(state.incarnation)
            self._release(key, [server], Clearance.ANSWERED, job.now())

    def _record_last(self, job: Job, state: ServerState, clearance: Clearance) -> None:
        last = LastRequest(job.caller_req.id, clearance, job.now())
        self._last_requests.add(state.incarnation, last)

    def _forget(self, key: bytes, variant: bytes = b"") -> bool:
        """Forget a request; return whether it was remembered with these headers."""
        if not self.table.forget(key, variant):
            return False
        self._log.record_cleared(
            key, "", Clearance.ANSWERED, asyncio.get_running_loop().time()
        )
        self._share.report_answer(key, variant)
        return True

    def _on_suspect(self, key: bytes, now: float) -> None:
        if self._answered.is_recent(key, now):
            self._forget(key)

    async def _wait_for_share(self, interrupted: Interrupted) -> None:
        if interrupted.shared is None:
            return
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        with anyio.move_on_after(MAX_SHARE_WAIT_S) as scope:
            await interrupted.shared.wait()
        self._metrics.crash_share_wait.observe(loop.time() - started_at)
        if scope.cancelled_caught:
            self._log.record_unshared(interrupted.key, interrupted.request, loop.time())

    def _add_interrupted(self, job: Job, state: ServerState, risk: Risk) -> Interrupted:
        """Remember an interrupted request."""
        interrupted = Interrupted(job, state, risk)
        self.servers.proven.forget(job.identity)
        self._interrupted.add(interrupted)
        self._expose(interrupted, risk, interrupted.at)
        return interrupted

    def _expose(self, interrupted: Interrupted, risk: Risk, now: float) -> None:
        key = interrupted.key
        if self._answered.is_recent(key, now):
            return
        server = server_key(interrupted.server.incarnation)
        expires_at, suspicion = interrupted.expires_at, interrupted.suspicion
        if self.table.expose(key, server, expires_at, suspicion):
            self._log.record_exposed(
                key, interrupted.server.id, interrupted.request, risk, now
            )
        self.table.add_variant(key, interrupted.variant)
        # Also if its place is known: it is taken for longer.
        interrupted.shared = self._share.report_crash(key)

    def _report_overdue(self, now: float) -> None:
        """Tell keepers of requests that servers have not answered for some time."""
        for job in self._running.sent():
            if job.is_reported or job.first_event_s:
                continue
            if now - job.sent_at >= OVERDUE_S:
                self._report_running(job, now)

    def _report_running(self, job: Job, now: float) -> None:
        """Tell keepers of the server that has a request."""
        assert job.sent_to is not None, "the request has been sent"
        job.is_reported = True
        key = job.identity.key()
        if self._answered.is_recent(key, now):
            return
        server = server_key(job.sent_to.incarnation)
        suspicion = suspicion_of(job.sent_to, Risk.RUNNING)
        had_place = server in self.table.exposures.servers(key)
        if self.table.expose(key, server, now + EXPOSURE_S, suspicion):
            job.has_place = not had_place
            self.table.add_variant(key, risk_variant(job))
            server_id = job.sent_to.server.id
            request = job.caller_req.id
            self._log.record_exposed(key, server_id, request, Risk.RUNNING, now)
            self._share.report_crash(key)

    # Evidence

    def _start_probe(self, server: Server) -> None:
        if server.incarnation not in self._probing:
            self._probing.add(server.incarnation)
            self._group.start_soon(self._probe, server)

    async def _probe(self, server: Server) -> None:
        try:
            result = await self._pool.probe(server)
        finally:
            self._probing.discard(server.incarnation)
        if result is ProbeResult.LISTENS:
            for interrupted in self._interrupted.at(server.incarnation):
                interrupted.decided.set()
            self._start_check(server)

    def _start_check(self, server: Server) -> None:
        """Check whether a server that listens still does some time later."""
        if server.incarnation not in self._checking:
            self._checking.add(server.incarnation)
            self._group.start_soon(self._check_survival, server)

    async def _check_survival(self, server: Server) -> None:
        loop = asyncio.get_running_loop()
        try:
            while server.incarnation in self._interrupted:
                started_at = loop.time() + SURVIVAL_S
                await anyio.sleep(RESTART_WAIT_S)
                if server.incarnation not in self._interrupted:
                    return
                if await self._pool.probe(server) is ProbeResult.LISTENS:
                    self._settle(server.incarnation, started_at)
        finally:
            self._checking.discard(server.incarnation)

    async def _probe_removed(self, server: Server) -> None:
        if await self._pool.probe(server) is ProbeResult.LISTENS:
            # It leaves without notice.
            self._settle(server.incarnation, asyncio.get_running_loop().time())
        else:
            self._record_crash(server.incarnation, Evidence.REMOVED)

    def _on_leaving(self, incarnation: str) -> None:
        exposures, server = self.table.exposures, server_key(incarnation)
        for key in exposures.survived_by(server):
            exposures.record_leaving(key, server)
        if self._fleet.store_unstable:
            # The server may have said so long before.
            return
        ended_before = asyncio.get_running_loop().time() - PLANNED_STOP_S
        running = {job.identity.key() for job in self._running.at(incarnation)}
        for one in self._interrupted.at(incarnation):
            expires_at = exposures.servers(one.key).get(server, math.inf)
            # Otherwise another attempt has reached the server since.
            is_last = expires_at <= one.expires_at + MAX_ECHO_S
            if one.at <= ended_before and is_last and one.key not in running:
                exposures.record_leaving(one.key, server)

    def _on_refused(self, incarnation: str) -> None:
        self._fleet.record_refused(incarnation, asyncio.get_running_loop().time())
        self._record_crash(incarnation, Evidence.REFUSED)

    def record_server(self, server: Server) -> None:
        """Record the entry of a server, which may take the place of a crashed one."""
        servers = [*self._interrupted.servers(), *self._running.servers()]
        for known in dict.fromkeys(servers):
            is_same_place = server.id == known.id or server.address == known.address
            if is_same_place and server.incarnation != known.incarnation:
                self._interrupt_running(known, Risk.REMOVED)
                self._record_crash(known.incarnation, Evidence.REPLACED)

    def _interrupt_running(self, server: Server, risk: Risk) -> None:
        """Count a server that is gone for the requests that are running there."""
        for job in self._running.at(server.incarnation):
            assert job.sent_to is not None, "the server has the request"
            places = self.table.exposures.servers(job.identity.key())
            job.has_place |= server_key(server.incarnation) not in places
            self._add_interrupted(job, job.sent_to, risk)

    def record_removed(self, server: Server) -> None:
        """Record that the platform removed the entry of a server that was in service.

        Its lease has expired, or the server leaves without notice; then it listens.
        """
        # It would be excused once its entry is removed.
        self._interrupt_running(server, Risk.REMOVED)
        is_exposed = self.table.exposures.requests_of(server_key(server.incarnation))
        if is_exposed or server.incarnation in self._interrupted:
            self._group.start_soon(self._probe_removed, server)

    def record_life(self, incarnation: str, sent_at: float) -> None:
        """Record that a server has responded to a request.

        Parameters
        ----------
        sent_at : float
            Time at which that request was sent. A response to an earlier one may have
            been on its way when the server crashed.
        """
        self.servers.proven.record_life(incarnation, sent_at)
        if incarnation in self._interrupted:
            self._settle(incarnation, sent_at)

    def _settle(self, incarnation: str, until: float) -> None:
        """Drop the requests that were interrupted before a server was seen alive."""
        waiting = self._interrupted.at(incarnation)
        kept = [one for one in waiting if one.at + one.survival_s >= until]
        self._interrupted.keep(incarnation, kept)
        for one in waiting:
            one.decided.set()
        now = asyncio.get_running_loop().time()
        later_keys = {one.key for one in kept}
        for key in {one.key for one in waiting} - later_keys:
            if self.table.exposures.record_survival(key, server_key(incarnation)):
                self._log.record_survival(key, incarnation, now)
                self._share.report_crash(key)

    def _release(
        self, key: bytes, servers: list[int], clearance: Clearance, now: float
    ) -> None:
        """Give back the places that servers take of a request."""
        expiries = self.table.exposures.servers(key)
        settled = {s: expiries[s] for s in servers if s in expiries}
        for server in settled:
            self.table.settle(key, server)
            self._log.record_cleared(key, str(server), clearance, now)
        if settled:
            self._share.report_settled({key: settled})

    def _record_crash(self, incarnation: str, evidence: Evidence) -> None:
        now = asyncio.get_running_loop().time()
        for last in self._last_requests.take(incarnation, now):
            self._log.record_ended_after(incarnation, last.request, last.clearance, now)
        waiting = self._interrupted.at(incarnation)
        self._interrupted.keep(incarnation, [])
        for interrupted in waiting:
            if interrupted.expires_at < now:
                continue
            if interrupted.suspicion is not Suspicion.OPEN:
                interrupted.decided.set()
                continue
            interrupted.has_crashed = True
            if not self._answered.is_recent(interrupted.key, now):
                self._count_crash(interrupted, evidence, now)
            interrupted.decided.set()
        self._count_reported(server_key(incarnation), now)

    def _count_reported(self, server: int, now: float) -> None:
        """Count a crash for the requests that other relays sent to a server."""
        for key in self.table.exposures.requests_of(server):
            place = self.table.exposures.places(key)[server]
            if place.suspicion is not Suspicion.OPEN:
                continue
            # Whether it belongs to a program is not known here.
            expires_at = now + min(SINGLE_QUARANTINE_S, self.table.limits.quarantine_s)
            if self.table.add(key, [server], expires_at):
                self._share.report_crash(key)

    def _count_crash(
        self, interrupted: Interrupted, evidence: Evidence, now: float
    ) -> None:
        servers = [server_key(interrupted.server.incarnation)]
        identity = interrupted.identity
        expires_at = now + self.table.limits.duration_s(identity)
        description = identity.description()
        if self.table.add(interrupted.key, servers, expires_at, description):
            self.table.add_variant(interrupted.key, interrupted.variant)
            interrupted.shared = self._share.report_crash(interrupted.key)
            self._metrics.server_crashes.labels(evidence.value).inc()
            self._log_crash(interrupted, evidence, now)

    def _log_crash(
        self, interrupted: Interrupted, evidence: Evidence, now: float
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
        self._report_overdue(now)
        self._share.sweep(now)
        self._last_requests.expire(now)
        self.servers.sweep(now)
        for one in self._interrupted.expire(now):
            server_id = one.server.id
            self._log.record_cleared(one.key, server_id, Clearance.EXPIRED, now)
