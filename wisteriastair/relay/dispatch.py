"""Sending a request to one backend server, and its outcome.

The outcome decides whether the request may be sent again.  It has not run if no
connection could be opened or if the server reports so.  After any other failure of a
written request it may have run; an unsafe request is then not sent to a second server.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final, NamedTuple

import anyio

from ..http1.messages import Headers, Request, ResponseHead, encode_head
from ..http1.server import Exchange, ExchangeOutcome, ServerConnection
from ..platform.headers import reported_load, was_not_executed
from ..scheduling.affinity import PrefixAffinity
from ..scheduling.choice import SelectionContext, select_server
from ..scheduling.fleet import Fleet, ServerState
from ..scheduling.retries import RetryPolicy
from ..scheduling.reuse import PromptSegment, rendezvous_server
from .pool import ConnectionPool

# A server that reports that it is full is avoided for this time.
OVERLOAD_BACKOFF_S: Final = 0.15
# Status of a server without room; a 421 means another process at the same address.
FULL_STATUS: Final = 503
BYTES_PER_KB: Final = 1000.0


class NotRun(NamedTuple):
    """The request has not run on this server and never will.

    Attributes
    ----------
    is_full : bool
        Whether the server rejected the request because it is full.
    """

    server: str
    reason: str
    is_full: bool = False


class ResponseStarted(NamedTuple):
    """The head of the response has arrived; the body arrives in the exchange."""

    state: ServerState
    exchange: Exchange
    server_conn: ServerConnection
    head: ResponseHead


class OutcomeUnknown(NamedTuple):
    """The request was sent and no usable response arrived; it may have run."""

    server: str
    reason: str


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
    """

    def __init__(self, fleet: Fleet, pool: ConnectionPool, domain: str) -> None:
        self.fleet = fleet
        self.pool = pool
        self.retry_policy = RetryPolicy()
        self._domain = domain
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
    ) -> ServerState | None:
        """Choose a server for a request.

        Parameters
        ----------
        parts : tuple of PromptSegment
            Segments of the prompt; the last one belongs to this request or program.
        memory_tokens : int
            Tokens that fit into the memory of an engine of the service; 0 if unknown.
        """
        now = asyncio.get_running_loop().time()
        servers = self.fleet.eligible_servers(service, now)
        affinity_servers: frozenset[str] = frozenset()
        if len(parts) > 1:
            key = service, memory_tokens
            affinity = self._prefix_affinity.get(key)
            if affinity is None:
                affinity = self._prefix_affinity[key] = PrefixAffinity(memory_tokens)
            affinity.record_use(parts[0].id, parts[0].tokens, now)
            affinity_servers = affinity.affinity_servers(parts[0].id, servers)
        context = SelectionContext(
            self._domain,
            parts,
            tried,
            body_bytes / BYTES_PER_KB,
            self.pool.idle_incarnations(),
            affinity_servers,
            rendezvous_server(parts, tuple(state.server.id for state in servers)),
        )
        return select_server(servers, context, self._randrange, now)

    @asynccontextmanager
    async def send(
        self,
        state: ServerState,
        req: Request,
        request_id: str,
        headers: Headers,
        body: bytes,
        *,
        attempt_timeout_s: float | None = None,
    ) -> AsyncIterator[ResponseStarted | NotRun | OutcomeUnknown]:
        """Send a request and wait for the head of its response.

        On exit, the connection returns to the pool if the response is complete.
        Otherwise it is closed, which makes the server drop the request.

        Parameters
        ----------
        attempt_timeout_s : float or None
            Seconds to wait for the head of the response; None for no limit.
        """
        server = state.server
        state.in_flight += 1
        server_conn: ServerConnection | str = ""
        try:
            server_conn = await self.pool.acquire(server)
            if isinstance(server_conn, str):
                self.record_failure(state)
                yield NotRun(server.id, server_conn)
                return
            exchange = Exchange(request_id, req.method)
            first_line = f"{req.method} {req.target} HTTP/1.1".encode("latin-1")
            server_conn.send_request(exchange, encode_head(first_line, headers) + body)
            with anyio.move_on_after(attempt_timeout_s):
                await exchange.wait_head()
            if exchange.head is None and exchange.end is None:
                yield OutcomeUnknown(server.id, f"silent for {attempt_timeout_s} s")
                return
            yield self._outcome(state, exchange, server_conn)
        finally:
            state.in_flight -= 1
            if isinstance(server_conn, ServerConnection):
                self.pool.release(server, server_conn)

    def _outcome(
        self, state: ServerState, exchange: Exchange, server_conn: ServerConnection
    ) -> ResponseStarted | NotRun | OutcomeUnknown:
        server_id = state.server.id
        head = exchange.head
        if head is None:
            assert exchange.end is not None, "an exchange has a head or has ended"
            self.record_failure(state)
            return OutcomeUnknown(server_id, exchange.end.reason)
        now = asyncio.get_running_loop().time()
        load = reported_load(head)
        if load is not None:
            state.record_load(load, now)
        if was_not_executed(head):
            state.overloaded_until = now + OVERLOAD_BACKOFF_S
            is_full = head.status == FULL_STATUS
            if is_full:
                state.full_at = now
            return NotRun(server_id, f"status {head.status}", is_full)
        return ResponseStarted(state, exchange, server_conn, head)

    def record_failure(self, state: ServerState) -> None:
        """Record a failure of a server."""
        self.fleet.record_failure(state, asyncio.get_running_loop().time())


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
