"""Sending a request to one backend server, and its outcome.

The outcome decides whether the request may be sent again.  It has not run if no
connection could be opened or if the server reports so.  After any other failure of a
written request it may have run; an unsafe request is then not sent to a second server.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from functools import partial
from typing import Final, NamedTuple

import anyio

from ..http1.messages import Headers, Request, ResponseHead, encode_head
from ..http1.server import Exchange, ExchangeOutcome, ServerConnection
from ..platform.headers import reported_load, was_not_executed
from ..scheduling.affinity import PrefixAffinity
from ..scheduling.choice import SelectionContext, select_server
from ..scheduling.digest import server_key
from ..scheduling.finish import FinishChooser, NoPicture, ServerPicture
from ..scheduling.fleet import Fleet, ServerState
from ..scheduling.observations import OpenRequest
from ..scheduling.pace import AttemptTimer, ServicePace
from ..scheduling.retries import RetryPolicy
from ..scheduling.reuse import PromptSegment, rendezvous_server
from .answers import is_server_error
from .crashes import CrashMonitor
from .crashlog import Risk
from .job import Job
from .pool import ConnectionPool

# A server that reports that it is full is avoided for this time.
OVERLOAD_BACKOFF_S: Final = 0.15
# Status of a server without room, and of another process at its address.
FULL_STATUS: Final = 503
MISDIRECTED_STATUS: Final = 421
BYTES_PER_KB: Final = 1000.0
SUCCESS_STATUSES: Final = range(200, 300)
# Interval in seconds at which the weights of servers are read.
WEIGHTS_INTERVAL_S: Final = 0.5
# Shortest interval in seconds between two log lines about wrong load reports.
BAD_REPORT_LOG_INTERVAL_S: Final = 10.0
# Speed relative to the service below which a server counts as slow in the metrics.
SLOW_SERVER_SPEED: Final = 0.7

log = logging.getLogger(__name__)


class NotRun(NamedTuple):
    """The request has not run on this server and never will.

    Attributes
    ----------
    is_full : bool
        Whether the server rejected the request because it is full.
    is_gone : bool
        Whether the server cannot be reached, or another one has taken its address.
    was_read : bool
        Whether the server may have read the request.
    """

    server: str
    reason: str
    is_full: bool = False
    is_gone: bool = False
    was_read: bool = False


class ResponseStarted(NamedTuple):
    """The head of the response has arrived; the body arrives in the exchange."""

    state: ServerState
    exchange: Exchange
    server_conn: ServerConnection
    head: ResponseHead
    open_req: OpenRequest
    timer: AttemptTimer


class OutcomeUnknown(NamedTuple):
    """The request was sent and no usable response arrived; it may have run.

    Attributes
    ----------
    risk : Risk
        How the request ended at the server.
    """

    server: str
    reason: str
    risk: Risk

    @property
    def is_server_fault(self) -> bool:
        """False if this process broke off the response."""
        return self.risk is not Risk.ABANDONED


class Dispatcher:
    """Chooses servers and sends requests to them.

    Parameters
    ----------
    fleet : Fleet
        The known servers.
    pool : ConnectionPool
        Connections to them.
    domain : str
        Failure domain of this process.
    crashes : CrashMonitor
        Counts the servers that crash under a request.
    picture : ServerPicture or None
        What other relays know of the servers; None if nothing is known.

    Attributes
    ----------
    on_write : callable
        Called when a request is written to a server.
    bad_load_reports : int
        Load reports that were wrong, in whole or in part, since the start.
    silent_ends : int
        Requests that ended while their server was silent, since the start.
    """

    def __init__(
        self,
        fleet: Fleet,
        pool: ConnectionPool,
        domain: str,
        crashes: CrashMonitor,
        picture: ServerPicture | None = None,
    ) -> None:
        self.fleet = fleet
        self.pool = pool
        self.crashes = crashes
        crashes.attach(fleet)
        self.retry_policy = RetryPolicy()
        self.on_write: Callable[[], None] = lambda: None
        self.bad_load_reports = 0
        self.silent_ends = 0
        self._domain = domain
        self._picture = picture or NoPicture()
        self._choosers: dict[str, FinishChooser] = {}
        self._weights: dict[str, _CachedWeights] = {}
        self._bad_report_logged_at = float("-inf")
        self._prefix_affinity: dict[tuple[str, int], PrefixAffinity] = {}
        self._randrange = random.Random().randrange

    def choose_server(
        self,
        service: str,
        tried: frozenset[str],
        *,
        parts: tuple[PromptSegment, ...] = (),
        memory_tokens: int = 0,
        body_bytes: int = 0,
        output_tokens: int = 0,
        allowed: frozenset[int] | None = None,
    ) -> ServerState | None:
        """Choose a server for a request.

        For a paced service the server with the least predicted finish is chosen.

        Parameters
        ----------
        parts : tuple of PromptSegment
            Segments of the prompt; the last one belongs to this request or program.
        memory_tokens : int
            Tokens that fit into the memory of an engine of the service; 0 if unknown.
        output_tokens : int
            Maximum number of tokens to generate; 0 if unknown.
        allowed : frozenset of int or None
            Keys of the only servers to choose from, ejected ones included; None for
            all.
        """
        now = asyncio.get_running_loop().time()
        servers = self.fleet.eligible_servers(service, now)
        if allowed is not None:
            servers = [
                state
                for state in self.fleet.available_servers(service, now)
                if server_key(state.incarnation) in allowed
            ]
            untried = [s for s in servers if s.server.id not in tried]
            servers = [s for s in untried if s.is_usable(now)] or servers
        chooser = self._chooser(service)
        weights: tuple[float, ...] = ()
        if chooser.service.is_paced and len(parts) > 1:
            weights = self._server_weights(service, servers, now)
        affinity_servers: frozenset[str] = frozenset()
        if len(parts) > 1:
            key = service, memory_tokens
            affinity = self._prefix_affinity.get(key)
            if affinity is None:
                affinity = self._prefix_affinity[key] = PrefixAffinity(memory_tokens)
            affinity.record_use(parts[0].id, parts[0].tokens, now)
            affinity_servers = affinity.affinity_servers(parts[0].id, servers, weights)
        context = SelectionContext(
            self._domain,
            parts,
            tried,
            body_bytes / BYTES_PER_KB,
            self.pool.idle_incarnations(),
            affinity_servers,
            rendezvous_server(
                parts, tuple(state.server.id for state in servers), weights
            ),
        )
        if not chooser.service.is_paced:
            return select_server(servers, context, self._randrange, now)
        return chooser.choose(servers, context, output_tokens, now)

    async def find_server(
        self,
        job: Job,
        tried: frozenset[str],
        *,
        parts: tuple[PromptSegment, ...] = (),
        memory_tokens: int = 0,
        body_bytes: int = 0,
        output_tokens: int = 0,
    ) -> ServerState | None:
        """Find a server for a request among those that may get it.

        If these cannot serve it well, keepers are asked for one more.
        """
        choose = partial(
            self.choose_server,
            job.service,
            parts=parts,
            memory_tokens=memory_tokens,
            body_bytes=body_bytes,
            output_tokens=output_tokens,
        )
        unreachable: frozenset[str] = frozenset()
        while True:
            allowed = self.crashes.allowed_servers(job)
            state = choose(tried | unreachable, allowed=allowed)
            if allowed is None or not self.crashes.servers.may_claim(job):
                return state
            other = choose(tried | unreachable)
            if other is None or server_key(other.incarnation) in allowed:
                return state
            if not self._is_better(other, state):
                return state
            if await self.pool.is_reachable(other.server):
                await self.crashes.servers.claim(job, other)
            else:
                unreachable |= {other.server.id}

    def _is_better(self, other: ServerState, state: ServerState | None) -> bool:
        """Return whether a server is worth a question to keepers."""
        now = self._now()
        if not other.is_usable(now):
            return False
        if state is None or not state.is_usable(now):
            return True
        if state.pace.is_avoided(now):
            return not other.pace.is_avoided(now)
        return not state.has_free_slots(now) and other.has_free_slots(now)

    def _chooser(self, service: str) -> FinishChooser:
        chooser = self._choosers.get(service)
        if chooser is None:
            chooser = FinishChooser(
                ServicePace(), self._domain, self._picture, self._randrange
            )
            self._choosers[service] = chooser
        return chooser

    def service_pace(self, service: str) -> ServicePace:
        """Return the usual pace of a service."""
        return self._chooser(service).service

    def is_paced(self, service: str) -> bool:
        """Return whether a server of the service has reported a fourth load figure."""
        chooser = self._choosers.get(service)
        return chooser is not None and chooser.service.is_paced

    def paced_services(self) -> list[str]:
        """Return the names of the paced services."""
        return [n for n, c in self._choosers.items() if c.service.is_paced]

    def count_paced_servers(self) -> tuple[int, int]:
        """Return how many servers of paced services are avoided, and are slow."""
        now = self._now()
        avoided = slow = 0
        for service in self.paced_services():
            usual_ms = self.service_pace(service).token_ms
            for state in self.fleet.eligible_servers(service, now):
                avoided += state.pace.is_avoided(now)
                slow += state.pace.token_ms * SLOW_SERVER_SPEED > usual_ms
        return avoided, slow

    def _server_weights(
        self, service: str, servers: list[ServerState], now: float
    ) -> tuple[float, ...]:
        """Return the capacities of servers; empty if they are all equal."""
        cached = self._weights.get(service)
        if (
            cached is not None
            and cached.servers is servers
            and now - cached.read_at < WEIGHTS_INTERVAL_S
        ):
            return cached.weights
        weights = tuple(self._picture.weight(s.incarnation) for s in servers)
        if len(set(weights)) <= 1:
            weights = ()
        self._weights[service] = _CachedWeights(servers, now, weights)
        return weights

    @asynccontextmanager
    async def send(
        self,
        state: ServerState,
        req: Request,
        request_id: str,
        headers: Headers,
        body: bytes,
        *,
        may_write: Callable[[], bool] = lambda: True,
        attempt_timeout_s: float | None = None,
        reserved_tokens: int = 0,
    ) -> AsyncIterator[ResponseStarted | NotRun | OutcomeUnknown]:
        """Send a request and wait for the head of its response.

        On exit, the connection returns to the pool if the response is complete.
        Otherwise it is closed, which makes the server drop the request.

        Parameters
        ----------
        may_write : callable
            Returns whether the request may still be sent to the server; called after
            the wait for a connection.
        attempt_timeout_s : float or None
            Seconds to wait for the head of the response; None for no limit.
        reserved_tokens : int
            Tokens of the prompt and of the longest output.
        """
        server = state.server
        loop = asyncio.get_running_loop()
        state.in_flight += 1
        open_req = state.observations.open(reserved_tokens, loop.time())
        succeeded: bool | None = None
        exchange: Exchange | None = None
        server_conn: ServerConnection | str = ""
        timer: AttemptTimer | None = None
        try:
            server_conn = await self.pool.acquire(server)
            if isinstance(server_conn, str):
                self.record_failure(state)
                succeeded = False
                yield NotRun(server.id, server_conn, is_gone=True)
                return
            if not self.fleet.may_send(state, self._now()):
                # Its entry changed while the request waited.
                yield NotRun(server.id, "the server is leaving")
                return
            if not may_write():
                yield NotRun(server.id, "other servers may have crashed")
                return
            exchange = Exchange(request_id, req.method)
            first_line = f"{req.method} {req.target} HTTP/1.1".encode("latin-1")
            server_conn.send_request(exchange, encode_head(first_line, headers) + body)
            self.on_write()
            timer = state.pace.start(self._now(), state.in_flight)
            with anyio.move_on_after(attempt_timeout_s):
                await exchange.wait_head()
            if exchange.head is None and exchange.end is None:
                succeeded = False
                reason = f"silent for {attempt_timeout_s} s"
                yield OutcomeUnknown(server.id, reason, Risk.SILENT)
                return
            open_req.record_data(loop.time())
            yield self._outcome(state, exchange, server_conn, open_req, timer)
        finally:
            state.in_flight -= 1
            if exchange is not None:
                exchange.stop_forwarding()
                if exchange.end is not None:
                    succeeded = _has_succeeded(exchange)
            state.observations.close(open_req, loop.time(), succeeded=succeeded)
            if timer is not None:
                self._end_attempt(state, timer)
            if isinstance(server_conn, ServerConnection):
                self.pool.release(server, server_conn)

    def _end_attempt(self, state: ServerState, timer: AttemptTimer) -> None:
        silent_s = self._now() - timer.last_at
        if not state.pace.end(timer, self._now()):
            return
        self.silent_ends += 1
        if self.service_pace(state.server.service).is_paced:
            log.warning(
                "server silent",
                extra={
                    "server": state.server.id,
                    "silent_ms": round(silent_s * 1000),
                    "in_a_row": state.pace.silent_ends,
                },
            )

    def _outcome(
        self,
        state: ServerState,
        exchange: Exchange,
        server_conn: ServerConnection,
        open_req: OpenRequest,
        timer: AttemptTimer,
    ) -> ResponseStarted | NotRun | OutcomeUnknown:
        server_id = state.server.id
        head = exchange.head
        now = self._now()
        if head is None:
            assert exchange.end is not None, "an exchange has a head or has ended"
            state.pace.record_progress(timer, now)
            is_dropped = exchange.end.outcome is ExchangeOutcome.DROPPED
            if not is_dropped:
                self.record_failure(state)
            risk = Risk.ABANDONED if is_dropped else Risk.BROKEN_OFF
            return OutcomeUnknown(server_id, exchange.end.reason, risk)
        timer.last_at = now
        if head.status != MISDIRECTED_STATUS:
            self.crashes.record_life(state.incarnation, timer.started_at)
        self._record_load(state, head, timer, now)
        if head.status not in SUCCESS_STATUSES:
            # A server may hang after the head of a success, but not after a refusal.
            state.pace.record_progress(timer, now)
        if was_not_executed(head):
            state.overloaded_until = now + OVERLOAD_BACKOFF_S
            is_full = head.status == FULL_STATUS
            if is_full:
                state.full_at = now
            is_gone = head.status == MISDIRECTED_STATUS
            reason = f"status {head.status}"
            return NotRun(server_id, reason, is_full, is_gone, was_read=True)
        return ResponseStarted(state, exchange, server_conn, head, open_req, timer)

    def _record_load(
        self, state: ServerState, head: ResponseHead, timer: AttemptTimer, now: float
    ) -> None:
        report = reported_load(head)
        if report.problem:
            self._count_bad_report(state, report.problem, now)
        load = report.load
        if load is None:
            return
        others = max(0, load.running + load.waiting - state.in_flight)
        state.record_load(load, now)
        service_pace = self.service_pace(state.server.service)
        if load.pace is not None and not service_pace.is_paced:
            service_pace.is_paced = True
            log.info(
                "service paced",
                extra={"service": state.server.service, "server": state.server.id},
            )
        state.pace.record_others(others, now, service_pace)
        state.pace.record_figure(load.pace)
        timer.running = max(timer.running, load.running)
        timer.correction = 1.0 + state.pace.figure_excess

    def _count_bad_report(self, state: ServerState, problem: str, now: float) -> None:
        self.bad_load_reports += 1
        if now - self._bad_report_logged_at < BAD_REPORT_LOG_INTERVAL_S:
            return
        self._bad_report_logged_at = now
        log.warning(
            "wrong load report",
            extra={
                "server": state.server.id,
                "reason": problem,
                "total": self.bad_load_reports,
            },
        )

    def record_failure(self, state: ServerState) -> None:
        """Record a failure of a server."""
        self.fleet.record_failure(state, self._now())

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()


class _CachedWeights(NamedTuple):
    """Capacities of a list of servers, and when they were read."""

    servers: list[ServerState]
    read_at: float
    weights: tuple[float, ...]


def incomplete_risk(exchange: Exchange) -> Risk:
    """Return how a request ended whose response has begun and cannot be used."""
    match exchange.end.outcome if exchange.end else None:
        case ExchangeOutcome.BROKEN:
            return Risk.BROKEN_OFF
        case ExchangeOutcome.DROPPED:
            return Risk.ABANDONED
        case _:
            return Risk.SPOILED


def _has_succeeded(exchange: Exchange) -> bool | None:
    """Whether an ended exchange succeeded; None if that says nothing of the server.

    The server was full, or this process broke off the response.
    """
    head = exchange.head
    if exchange.end is not None and exchange.end.outcome is ExchangeOutcome.DROPPED:
        return None
    if head is None or exchange.end is None:
        return False
    if was_not_executed(head):
        return None
    is_complete = exchange.end.outcome is ExchangeOutcome.COMPLETE
    return is_complete and not is_server_error(head.status)


async def read_body(exchange: Exchange, max_bytes: int) -> bytes | str:
    """Read the rest of a response body.

    Returns
    -------
    bytes or str
        The body, or the reason why it is incomplete.
    """
    chunks: list[bytes] = []
    size = 0
    while True:
        data = exchange.read_available()
        chunks.append(data)
        size += len(data)
        if size > max_bytes:
            return f"answer over {max_bytes} bytes"
        if exchange.end is not None:
            break
        await exchange.wait_data()
    if exchange.end.outcome is not ExchangeOutcome.COMPLETE:
        return exchange.end.reason
    return b"".join(chunks)
