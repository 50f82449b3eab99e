"""One request to one backend server, and what is known of it afterwards.

Whether a request has run decides what may be done next.  Nothing was run if no channel
could be opened, or if the server says so.  Once a request has been written, any other
end leaves that open, and a request that must not be repeated gets no second server.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final, NamedTuple

import anyio

from ..core.affinity import PrefixAffinity
from ..core.choice import SelectionContext, select_server
from ..core.fleet import Fleet, ServerState
from ..core.retries import RetryPolicy
from ..core.reuse import PromptSegment, rendezvous_server
from ..http1.messages import Headers, Request, ResponseHead, encode_head
from ..http1.server import Exchange, ExchangeOutcome, ServerConnection
from ..platform.headers import reported_load, was_not_executed
from .pool import Pool

# A server that says that it is full is passed over for this time, in seconds.
FULL_S: Final = 0.15
BYTES_PER_KB: Final = 1000.0


class NotRun(NamedTuple):
    """The request has not run on this server and never will."""

    server: str
    reason: str


class Started(NamedTuple):
    """The server has begun to answer; the rest arrives in the exchange."""

    state: ServerState
    exchange: Exchange
    server_conn: ServerConnection
    head: ResponseHead


class Lost(NamedTuple):
    """The request was sent and no usable answer came; it may have run."""

    server: str
    reason: str


class Dispatcher:
    """Chooses servers and sends requests to them.

    Parameters
    ----------
    fleet : Fleet
        The known servers.
    pool : Pool
        Channels to them.
    domain : str
        Failure domain of this process.
    """

    def __init__(self, fleet: Fleet, pool: Pool, domain: str) -> None:
        self.fleet = fleet
        self.pool = pool
        self.retry_policy = RetryPolicy()
        self._domain = domain
        self._prefix_affinity: dict[tuple[str, int], PrefixAffinity] = {}
        self._draw = random.Random().randrange

    def pick(
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
            Parts of the prompt; the last one is the request's or its program's own.
        memory_tokens : int
            Tokens that fit into an engine of the service; 0 if that is not known.
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
            self.pool.connected(),
            affinity_servers,
            rendezvous_server(parts, tuple(state.server.id for state in servers)),
        )
        return select_server(servers, context, self._draw, now)

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
    ) -> AsyncIterator[Started | NotRun | Lost]:
        """Send a request and wait for the head of its answer.

        On leaving, the channel is kept if the answer was whole and closed otherwise,
        which makes the server drop the request.

        Parameters
        ----------
        attempt_timeout_s : float or None
            Seconds after which a server that has not begun to answer is given up;
            None for no limit.
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
                yield Lost(server.id, f"silent for {attempt_timeout_s} s")
                return
            yield self._outcome(state, exchange, server_conn)
        finally:
            state.in_flight -= 1
            if isinstance(server_conn, ServerConnection):
                self.pool.release(server, server_conn)

    def _outcome(
        self, state: ServerState, exchange: Exchange, server_conn: ServerConnection
    ) -> Started | NotRun | Lost:
        server_id = state.server.id
        head = exchange.head
        if head is None:
            assert exchange.end is not None, "an exchange has a head or an end"
            self.record_failure(state)
            return Lost(server_id, exchange.end.reason)
        now = asyncio.get_running_loop().time()
        load = reported_load(head)
        if load is not None:
            state.record_load(load, now)
        if was_not_executed(head):
            state.overloaded_until = now + FULL_S
            return NotRun(server_id, f"status {head.status}")
        return Started(state, exchange, server_conn, head)

    def record_failure(self, state: ServerState) -> None:
        """Note that a server failed."""
        self.fleet.record_failure(state, asyncio.get_running_loop().time())


async def read_whole(exchange: Exchange, most_bytes: int) -> bytes | str:
    """Read the rest of an answer; a string says why it is not whole."""
    parts: list[bytes] = []
    size = 0
    while True:
        data = exchange.read_available()
        parts.append(data)
        size += len(data)
        if size > most_bytes:
            return f"answer over {most_bytes} bytes"
        if exchange.end is not None:
            break
        await exchange.wait_data()
    if exchange.end.outcome is not ExchangeOutcome.COMPLETE:
        return exchange.end.reason
    return b"".join(parts)
