"""Graceful shutdown of a relay.

The relay continues to serve at first, then refuses new requests and finishes the
accepted ones.  The process ends when every request it has read is answered, all
answers are written, and every settlement is durable, or when the grace period ends.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import Final

import anyio

from ..core.stopping import Shutdown
from ..http1.caller import CallerConnection
from .handler import RelayHandler
from .ledger import LedgerClient

POLL_INTERVAL_S: Final = 0.05
# Time to settle the requests that are aborted at the end.  Replicas answer in some
# 20 ms; the platform kills the process 0.7 s after the end.
FINAL_SETTLE_TIMEOUT_S: Final = 0.3

log = logging.getLogger(__name__)


class Drain:
    """Runs the shutdown of a relay, from the signal to the end of the process.

    Parameters
    ----------
    handler : RelayHandler
        Accepts requests until this class sets `stopped_accepting`.
    ledger : LedgerClient
        Runs settlements in the background.
    caller_conns : set of CallerConnection
        Open connections of callers.
    """

    def __init__(
        self,
        handler: RelayHandler,
        ledger: LedgerClient,
        caller_conns: set[CallerConnection],
    ) -> None:
        self._handler = handler
        self._ledger = ledger
        self._caller_conns = caller_conns

    async def run(
        self, shutdown: Shutdown, listeners: Sequence[asyncio.Server]
    ) -> None:
        """Return when the process may end.

        Parameters
        ----------
        shutdown : Shutdown
            The shutdown that the signal started.
        listeners : sequence of asyncio.Server
            Listening sockets; closed when all accepted requests have ended.
        """
        await self._serve_while_accepting(shutdown)
        self._stop_accepting()
        await self._wait_until(shutdown, self._has_ended_requests)
        for listener in listeners:
            listener.close()
        # A connection that was just accepted is registered some loop iterations later.
        await anyio.sleep(POLL_INTERVAL_S)
        if await self._wait_until(shutdown, self._is_drained):
            return
        await self._abort_remaining()

    async def _serve_while_accepting(self, shutdown: Shutdown) -> None:
        """Serve until requests are no longer accepted, or no caller is connected.

        The platform still sends callers until it notices the shutdown, and also while
        most relays of the failure domain shut down.  Each answer ends its connection.
        """
        loop = asyncio.get_running_loop()
        while not self._handler.rejects_new_requests():
            if loop.time() >= shutdown.rerouted_at:
                self._close_idle()
                if not self._caller_conns and self._has_ended_requests():
                    return
            await anyio.sleep(POLL_INTERVAL_S)

    def _stop_accepting(self) -> None:
        # Also with no caller connected: a request that arrives now would otherwise be
        # accepted, then cut by the end of the process.
        self._handler.stopped_accepting = True
        log.info(
            "last call",
            extra={
                "requests": self._handler.active_requests,
                "channels": len(self._caller_conns),
            },
        )

    def _has_ended_requests(self) -> bool:
        return not self._handler.active_requests

    def _is_drained(self) -> bool:
        # An open connection may have an unread answer or a request that is still
        # arriving.  A settlement that is not durable is lost with the process; its
        # program could then no longer use the reserved tokens.
        self._close_idle()
        return not self._caller_conns and not self._ledger.pending_settlements

    def _close_idle(self) -> None:
        for caller_conn in list(self._caller_conns):
            caller_conn.close_if_idle()

    async def _wait_until(
        self, shutdown: Shutdown, condition: Callable[[], bool]
    ) -> bool:
        """Wait for a condition; return False if the shutdown ends first."""
        loop = asyncio.get_running_loop()
        while not condition():
            if loop.time() >= shutdown.ends_at:
                return False
            await anyio.sleep(POLL_INTERVAL_S)
        return True

    async def _abort_remaining(self) -> None:
        """Abort the remaining connections, and wait for their settlements."""
        log.warning(
            "stopped before all was done",
            extra={
                "requests": self._handler.active_requests,
                "channels": len(self._caller_conns),
                "settlements": self._ledger.pending_settlements,
            },
        )
        for caller_conn in list(self._caller_conns):
            caller_conn.abort()
        # The requests are cancelled in the next loop iterations.
        await anyio.sleep(POLL_INTERVAL_S)
        with anyio.move_on_after(FINAL_SETTLE_TIMEOUT_S):
            while self._ledger.pending_settlements:
                await anyio.sleep(POLL_INTERVAL_S)
