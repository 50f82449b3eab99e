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

from ..core.affinity import Beginnings
from ..core.choice import Want, choose
from ..core.fleet import Fleet, ServerState
from ..core.reuse import PromptPart, agreed_server
from ..core.silence import Silence
from ..http1.messages import Head, Headers, Request, write_head
from ..http1.server import EndKind, Exchange, ServerChannel
from ..platform.headers import reported_load, said_not_run
from .pool import ConnectionPool

# A server that reports that it is full is avoided for this time.
OVERLOAD_BACKOFF_S: Final = 0.15
BYTES_PER_KB: Final = 1000.0


class NotRun(NamedTuple):
    """The request has not run on this server and never will."""

    server: str
    reason: str


class ResponseStarted(NamedTuple):
    """The head of the response has arrived; the body arrives in the exchange."""

    state: ServerState
    exchange: Exchange
    server_conn: ServerChannel
    head: Head


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
        self.silence = Silence()
        self._domain = domain
        self._beginnings: dict[tuple[str, int], Beginnings] = {}
        self._randrange = random.Random().randrange

    def choose_server(
        self,
        service: str,
        tried: frozenset[str],
        *,
        parts: tuple[PromptPart, ...] = (),
        memory_tokens: int = 0,
        body_bytes: int = 0,
    ) -> ServerState | None:
        """Choose a server for a request.

        Parameters
        ----------
        parts : tuple of PromptPart
            Segments of the prompt; the last one belongs to this request or program.
        memory_tokens : int
            Tokens that fit into the memory of an engine of the service; 0 if unknown.
        """
        now = asyncio.get_running_loop().time()
        servers = self.fleet.usable(service, now)
        homes: frozenset[str] = frozenset()
        if len(parts) > 1:
            key = service, memory_tokens
            beginnings = self._beginnings.get(key)
            if beginnings is None:
                beginnings = self._beginnings[key] = Beginnings(memory_tokens)
            beginnings.note(parts[0].id, parts[0].tokens, now)
            homes = beginnings.homes(parts[0].id, servers)
        want = Want(
            self._domain,
            parts,
            tried,
            body_bytes / BYTES_PER_KB,
            self.pool.idle_incarnations(),
            homes,
            agreed_server(parts, tuple(state.server.id for state in servers)),
        )
        return choose(servers, want, self._randrange, now)

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
        state.open += 1
        server_conn: ServerChannel | str = ""
        try:
            server_conn = await self.pool.acquire(server)
            if isinstance(server_conn, str):
                self.failed(state)
                yield NotRun(server.id, server_conn)
                return
            exchange = Exchange(request_id, req.method)
            first_line = f"{req.method} {req.target} HTTP/1.1".encode("latin-1")
            server_conn.start(exchange, write_head(first_line, headers) + body)
            with anyio.move_on_after(attempt_timeout_s):
                await exchange.wait_head()
            if exchange.head is None and exchange.end is None:
                yield OutcomeUnknown(server.id, f"silent for {attempt_timeout_s} s")
                return
            yield self._outcome(state, exchange, server_conn)
        finally:
            state.open -= 1
            if isinstance(server_conn, ServerChannel):
                self.pool.release(server, server_conn)

    def _outcome(
        self, state: ServerState, exchange: Exchange, server_conn: ServerChannel
    ) -> ResponseStarted | NotRun | OutcomeUnknown:
        server_id = state.server.id
        head = exchange.head
        if head is None:
            assert exchange.end is not None, "an exchange has a head or has ended"
            self.failed(state)
            return OutcomeUnknown(server_id, exchange.end.reason)
        now = asyncio.get_running_loop().time()
        load = reported_load(head)
        if load is not None:
            state.take_load(load, now)
        if said_not_run(head):
            state.full_until = now + OVERLOAD_BACKOFF_S
            return NotRun(server_id, f"status {head.status}")
        return ResponseStarted(state, exchange, server_conn, head)

    def failed(self, state: ServerState) -> None:
        """Record a failure of a server."""
        self.fleet.failed(state, asyncio.get_running_loop().time())


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
        data = exchange.take()
        chunks.append(data)
        size += len(data)
        if size > max_bytes:
            return f"answer over {max_bytes} bytes"
        if exchange.end is not None:
            break
        await exchange.wait()
    if exchange.end.kind is not EndKind.WHOLE:
        return exchange.end.reason
    return b"".join(chunks)
