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

from ..core.affinity import Beginnings
from ..core.choice import Want, choose
from ..core.fleet import Fleet, ServerState
from ..core.reuse import PromptPart, agreed_server
from ..core.silence import Silence
from ..http1.messages import Head, Headers, Request, write_head
from ..http1.server import EndKind, Exchange, ServerChannel
from ..platform.headers import reported_load, said_not_run
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
    channel: ServerChannel
    head: Head


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
        self.silence = Silence()
        self._domain = domain
        self._beginnings: dict[tuple[str, int], Beginnings] = {}
        self._draw = random.Random().randrange

    def pick(
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
            Parts of the prompt; the last one is the request's or its program's own.
        memory_tokens : int
            Tokens that fit into an engine of the service; 0 if that is not known.
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
            self.pool.connected(),
            homes,
            agreed_server(parts, tuple(state.server.id for state in servers)),
        )
        return choose(servers, want, self._draw, now)

    @asynccontextmanager
    async def send(
        self,
        state: ServerState,
        req: Request,
        request_id: str,
        headers: Headers,
        body: bytes,
        *,
        silent_s: float | None = None,
    ) -> AsyncIterator[Started | NotRun | Lost]:
        """Send a request and wait for the head of its answer.

        On leaving, the channel is kept if the answer was whole and closed otherwise,
        which makes the server drop the request.

        Parameters
        ----------
        silent_s : float or None
            Seconds after which a server that has not begun to answer is given up;
            None for no limit.
        """
        server = state.server
        state.open += 1
        channel: ServerChannel | str = ""
        try:
            channel = await self.pool.acquire(server)
            if isinstance(channel, str):
                self.failed(state)
                yield NotRun(server.id, channel)
                return
            exchange = Exchange(request_id, req.method)
            first_line = f"{req.method} {req.target} HTTP/1.1".encode("latin-1")
            channel.start(exchange, write_head(first_line, headers) + body)
            with anyio.move_on_after(silent_s):
                await exchange.wait_head()
            if exchange.head is None and exchange.end is None:
                yield Lost(server.id, f"silent for {silent_s} s")
                return
            yield self._outcome(state, exchange, channel)
        finally:
            state.open -= 1
            if isinstance(channel, ServerChannel):
                self.pool.release(server, channel)

    def _outcome(
        self, state: ServerState, exchange: Exchange, channel: ServerChannel
    ) -> Started | NotRun | Lost:
        server_id = state.server.id
        head = exchange.head
        if head is None:
            assert exchange.end is not None, "an exchange has a head or an end"
            self.failed(state)
            return Lost(server_id, exchange.end.reason)
        now = asyncio.get_running_loop().time()
        load = reported_load(head)
        if load is not None:
            state.take_load(load, now)
        if said_not_run(head):
            state.full_until = now + FULL_S
            return NotRun(server_id, f"status {head.status}")
        return Started(state, exchange, channel, head)

    def failed(self, state: ServerState) -> None:
        """Note that a server failed."""
        self.fleet.failed(state, asyncio.get_running_loop().time())


async def read_whole(exchange: Exchange, most_bytes: int) -> bytes | str:
    """Read the rest of an answer; a string says why it is not whole."""
    parts: list[bytes] = []
    size = 0
    while True:
        data = exchange.take()
        parts.append(data)
        size += len(data)
        if size > most_bytes:
            return f"answer over {most_bytes} bytes"
        if exchange.end is not None:
            break
        await exchange.wait()
    if exchange.end.kind is not EndKind.WHOLE:
        return exchange.end.reason
    return b"".join(parts)
