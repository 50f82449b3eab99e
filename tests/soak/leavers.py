"""Peers that leave their connections at any step, and responses without end.

They connect to all ports of all processes: for callers, probes, scrapes and other
processes.  No process may end, whatever they do.
"""

from __future__ import annotations

import asyncio
import random
import socket
from typing import Final

import anyio

from tests.http1.leaving import LEAVE, parts_of_request
from tests.relay.flooding import FORMS, PIECE_BYTES
from tests.relay.harness import Exchange
from wisteriastair.nodemetrics import METRICS_PATH, METRICS_PORT
from wisteriastair.platform.headers import READY_PATH

CONNECT_TIMEOUT_S: Final = 0.5
LEAVE_INTERVAL_S: Final = (0.0, 0.05)
# Time after which a peer leaves: at once, or while its request is handled.
STAY_S: Final = (0.0, 0.0, 0.005, 0.1)
# Peers that have stopped reading close their connections after this many others.
MAX_OPEN: Final = 50
# A frame that another process has sent in part, and no frame.
PEER_DATA: Final = ("", "\x10\0\0\0abc", "\0\0\0\0", "\x01\0\0\0\x90", "GET / HTTP/1.1")
# Requests whose id has this prefix get a response without end.
ENDLESS_PREFIX: Final = "endless"
ENDLESS_INTERVAL_S: Final = 0.3
# Forms that a relay ends by a limit, long before the timeout of a route.
ENDLESS_FORMS: Final = (
    "header-lines",
    "long-value",
    "interim-responses",
    "length",
    "trailer-lines",
    "event",
    "events",
)


class Target:
    """A port of a process.

    Parameters
    ----------
    path : str
        Path of the requests; empty for the port for other processes.
    """

    def __init__(self, ip: str, port: int, path: str) -> None:
        self.ip = ip
        self.port = port
        self.path = path

    def draw_data(self, rng: random.Random) -> str:
        """Draw what is sent before the peer leaves."""
        if not self.path:
            return rng.choice(PEER_DATA)
        return rng.choice(list(parts_of_request(self.path).values()))


def relay_targets(ip: str, front: int, ready: int, internal: int) -> list[Target]:
    """Return the ports of a relay."""
    return [
        Target(ip, front, "/none/x"),
        Target(ip, ready, READY_PATH),
        *keeper_targets(ip, internal),
    ]


def keeper_targets(ip: str, internal: int) -> list[Target]:
    """Return the ports of a keeper."""
    return [Target(ip, METRICS_PORT, METRICS_PATH), Target(ip, internal, "")]


class Leavers:
    """Peers that connect, send a part of a request and leave."""

    def __init__(self, targets: list[Target], rng: random.Random) -> None:
        self.stopped = False
        self._targets = targets
        self._rng = rng
        self._open: list[socket.socket] = []

    async def run(self) -> None:
        """Connect and leave until stopped."""
        while not self.stopped:
            await self._leave_once(self._rng.choice(self._targets))
            await anyio.sleep(self._rng.uniform(*LEAVE_INTERVAL_S))
        for sock in self._open:
            sock.close()

    async def _leave_once(self, target: Target) -> None:
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                await loop.sock_connect(sock, (target.ip, target.port))
                data = target.draw_data(self._rng)
                await loop.sock_sendall(sock, data.encode("latin-1"))
        except (OSError, TimeoutError):
            # The process is down, or stops accepting.
            sock.close()
            return
        stay_s = self._rng.choice(STAY_S)
        if stay_s > 0:
            await anyio.sleep(stay_s)
        LEAVE[self._rng.choice(sorted(LEAVE))](sock)
        self._open.append(sock)
        if len(self._open) > MAX_OPEN:
            self._open.pop(0).close()


async def respond_without_end(exchange: Exchange) -> None:
    """Send a response without end, until the relay closes the connection."""
    request_id = exchange.header("X-Request-Id")
    form = FORMS[ENDLESS_FORMS[int(request_id.rpartition("-")[2]) % len(ENDLESS_FORMS)]]
    exchange.writer.write(form.start.replace(b"{id}", request_id.encode()))
    piece = form.repeated * (PIECE_BYTES // len(form.repeated))
    while True:
        exchange.writer.write(piece)
        await exchange.writer.drain()
