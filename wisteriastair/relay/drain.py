"""A planned stop of a relay: serve, call last, end what was taken, end.

The process ends once everything that it has read is answered, every answer has left it,
and every settlement is durable; at the latest when the grace period is over.
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

# Pause between two looks at what is left to do, in seconds.
TICK_S: Final = 0.05
# What is broken off at the end is settled for this long, in seconds: an answer of the
# replicas takes some 20 ms, and the kill comes 0.7 s after the end.
SETTLE_S: Final = 0.3

log = logging.getLogger(__name__)


class Drain:
    """Leads a relay from the signal to stop to its end.

    Parameters
    ----------
    handler : RelayHandler
        Takes requests until the last call.
    ledger : LedgerClient
        Has settlements that nobody waits for.
    caller_conns : set of CallerConnection
        Open channels of callers.
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
            The stop, begun by the signal.
        listeners : sequence of asyncio.Server
            Where channels come from; closed on the way.
        """
        await self._serve(shutdown)
        self._call_last()
        await self._until(shutdown, self._has_ended_requests)
        for listener in listeners:
            listener.close()
        # A channel that was just accepted is known some turns of the loop later.
        await anyio.sleep(TICK_S)
        if await self._until(shutdown, self._is_done):
            return
        await self._break_off()

    async def _serve(self, shutdown: Shutdown) -> None:
        """Serve as ever until the last call, or until nobody is there.

        The platform goes on sending callers until it has noticed, and for as long as
        most relays of the failure domain are leaving.  Each answer ends its channel.
        """
        loop = asyncio.get_running_loop()
        while not self._handler.takes_no_more():
            if loop.time() >= shutdown.rerouted_at:
                self._close_idle()
                if not self._caller_conns and self._has_ended_requests():
                    return
            await anyio.sleep(TICK_S)

    def _call_last(self) -> None:
        # Also where nobody is there: who comes in this very moment would else be taken
        # and cut by the end of the process.
        self._handler.last_call = True
        log.info(
            "last call",
            extra={
                "requests": self._handler.under_way,
                "channels": len(self._caller_conns),
            },
        )

    def _has_ended_requests(self) -> bool:
        return not self._handler.under_way

    def _is_done(self) -> bool:
        # An answer may wait for its caller to read, a request may still be arriving:
        # their channels are open.  A settlement that is not durable is lost with the
        # process, and its program could not use the tokens any more.
        self._close_idle()
        return not self._caller_conns and not self._ledger.unsettled

    def _close_idle(self) -> None:
        for caller_conn in list(self._caller_conns):
            caller_conn.close_if_idle()

    async def _until(self, shutdown: Shutdown, is_reached: Callable[[], bool]) -> bool:
        """Wait until something is reached; False if the stop's end came first."""
        loop = asyncio.get_running_loop()
        while not is_reached():
            if loop.time() >= shutdown.ends_at:
                return False
            await anyio.sleep(TICK_S)
        return True

    async def _break_off(self) -> None:
        """Break off what is left, and settle it."""
        log.warning(
            "stopped before all was done",
            extra={
                "requests": self._handler.under_way,
                "channels": len(self._caller_conns),
                "settlements": self._ledger.unsettled,
            },
        )
        for caller_conn in list(self._caller_conns):
            caller_conn.abort()
        # The requests learn of it in the next turns of the loop.
        await anyio.sleep(TICK_S)
        with anyio.move_on_after(SETTLE_S):
            while self._ledger.unsettled:
                await anyio.sleep(TICK_S)
