"""The relay's side of the ledger: reservations, settlements and chains by quorum.

Requests go to all replicas of a program's slot at once and count when enough have
answered; the slowest, or a lost one, is not waited for.  A request is sent again until
then, which is harmless since records only merge.  A replica that knows a newer view
sends it along, so a relay learns of a change without the platform's store.
"""

from __future__ import annotations

import asyncio
import logging
from typing import Final, NamedTuple

import anyio
from anyio.abc import TaskGroup

from ..core.ledger import Attempt, Entry, Turn, fits_budget, merged_attempts
from ..core.ledgerwire import LedgerMessage, Verdict, Write, WriteReply
from ..core.membership import (
    Member,
    ReplicaSet,
    View,
    holder_order,
    replica_sets,
    slot_of_program,
)
from ..peers.transport import Transport

# A request is sent again after this time without a quorum, in seconds: several times
# the usual answer, which takes one way there and back and one or two syncs.
AGAIN_S: Final = 0.15
# Pause after replicas have said that they cannot answer yet.
NOT_NOW_S: Final = 0.05
# How long settlements that nobody waits for are tried, in seconds.  What is never
# settled stays reserved, which is safe.
SETTLE_S: Final = 20.0

log = logging.getLogger(__name__)


class Reservation(NamedTuple):
    """What a turn reserves.

    Attributes
    ----------
    budget : int or None
        Tokens of the whole program; None if it has no budget.
    previous : str
        Turn whose chain is wanted; empty for none.
    """

    program: str
    attempt: str
    tokens: int
    budget: int | None
    keep_s: float
    previous: str


class Granted(NamedTuple):
    """The reservation is durable; `said` is the chain that was wanted."""

    said: bytes


class Spent(NamedTuple):
    """The budget does not hold the turn."""

    taken: int


class NoSuchTurn(NamedTuple):
    """A read quorum does not know the turn."""


class Unavailable(NamedTuple):
    """No quorum answered in time."""

    answered: int
    wanted: int
    view: int


class _Call:
    """A request that waits for its quorum."""

    def __init__(self) -> None:
        self.replies: dict[str, WriteReply] = {}
        self.changed = asyncio.Event()
        self.not_now = False


class LedgerClient:
    """Asks the replicas.

    Parameters
    ----------
    domain : str
        Failure domain of this process; chains are read inside it if possible.
    losses : int
        Members that may be lost at once.
    """

    def __init__(self, domain: str, losses: int) -> None:
        self.view = View()
        self.resent = 0
        self._domain = domain
        self._losses = losses
        self._calls: dict[int, _Call] = {}
        self._op = 0
        self._transport: Transport[LedgerMessage]
        self._group: TaskGroup

    def start(self, transport: Transport[LedgerMessage], group: TaskGroup) -> None:
        """Give the client its way out and the group for what nobody waits for."""
        self._transport = transport
        self._group = group

    def adopt(self, view: View) -> None:
        """Take a view if it is newer."""
        if view.number <= self.view.number:
            return
        self.view = view
        log.info(
            "view adopted",
            extra={"view": view.number, "members": [m.name for m in view.members]},
        )
        for call in self._calls.values():
            call.changed.set()

    def receive(self, sender: str, message: LedgerMessage) -> None:
        """Take an answer."""
        if not isinstance(message, WriteReply):
            return
        if message.view is not None:
            self.adopt(message.view)
        call = self._calls.get(message.op)
        if call is None:
            return
        if message.verdict is Verdict.DONE:
            call.replies[message.disk] = message
        else:
            call.not_now = True
        call.changed.set()

    # Requests

    async def reserve(
        self, wish: Reservation, until: float
    ) -> Granted | Spent | NoSuchTurn | Unavailable:
        """Reserve tokens, and read a chain, before a turn is sent to a server.

        Parameters
        ----------
        until : float
            When to give up, on the loop's clock.
        """
        entry = Entry(
            wish.program, wish.keep_s, {wish.attempt: Attempt(wish.tokens, False)}
        )
        replies = await self._ask(entry, wish.previous, until)
        if isinstance(replies, Unavailable):
            self.settle_later(wish, 0)
            return replies
        said = _said(replies) if wish.previous else b""
        if said is None:
            self.settle_later(wish, 0)
            return NoSuchTurn()
        attempts = merged_attempts([reply.attempts for reply in replies])
        if wish.budget is not None and not fits_budget(
            attempts, wish.attempt, wish.budget
        ):
            self.settle_later(wish, 0)
            return Spent(sum(a.tokens for a in attempts.values()) - wish.tokens)
        return Granted(said)

    async def settle(
        self, wish: Reservation, tokens: int, turn: Turn | None, until: float
    ) -> bool:
        """Settle a reservation with what was handed out; True once it is durable."""
        attempts = {wish.attempt: Attempt(tokens, True)}
        entry = Entry(wish.program, wish.keep_s, attempts, [turn] if turn else [])
        return not isinstance(await self._ask(entry, "", until), Unavailable)

    def settle_later(self, wish: Reservation, tokens: int) -> None:
        """Settle a reservation that nobody waits for."""
        self._group.start_soon(self._settle_unwatched, wish, tokens)

    async def _settle_unwatched(self, wish: Reservation, tokens: int) -> None:
        until = asyncio.get_running_loop().time() + SETTLE_S
        if not await self.settle(wish, tokens, None, until):
            log.warning(
                "a reservation stays unsettled",
                extra={"program": wish.program, "request": wish.attempt},
            )

    # Quorums

    async def _ask(
        self, entry: Entry, chain: str, until: float
    ) -> list[WriteReply] | Unavailable:
        loop = asyncio.get_running_loop()
        while True:
            self._op += 1
            op = self._op
            call = self._calls[op] = _Call()
            try:
                replies = await self._ask_in_view(op, call, entry, chain, until)
            finally:
                del self._calls[op]
            if replies is not None:
                return replies
            if loop.time() >= until:
                wanted = self._losses + 1
                return Unavailable(len(call.replies), wanted, self.view.number)

    async def _ask_in_view(
        self, op: int, call: _Call, entry: Entry, chain: str, until: float
    ) -> list[WriteReply] | None:
        """Ask under the present view; None when it changed, or in time for nothing."""
        loop = asyncio.get_running_loop()
        view = self.view
        sets = replica_sets(view, slot_of_program(entry.program), self._losses)
        sent = 0
        while view is self.view and loop.time() < until:
            self._send(op, call, sets, entry, chain, first=sent == 0)
            self.resent += sent > 0
            sent += 1
            again_at = min(until, loop.time() + AGAIN_S)
            while view is self.view and loop.time() < again_at:
                if call.replies and _complete(sets, call, chain):
                    return list(call.replies.values())
                call.changed.clear()
                with anyio.move_on_after(again_at - loop.time()):
                    await call.changed.wait()
                if call.not_now:
                    call.not_now = False
                    again_at = min(again_at, loop.time() + NOT_NOW_S)
        return None

    def _send(
        self,
        op: int,
        call: _Call,
        sets: tuple[ReplicaSet, ...],
        entry: Entry,
        chain: str,
        *,
        first: bool,
    ) -> None:
        members: dict[str, Member] = {}
        for replicas in sets:
            members.update((member.address, member) for member in replicas.members)
        order = holder_order(tuple(members.values()), self._domain)
        for place, member in enumerate(order):
            known = call.replies.get(member.disk)
            if known is not None and not (known.has_chain and not known.turns):
                continue
            # The nearest replica sends the chain; the others only say if they have it.
            with_turns = bool(chain) and (place == 0 or not first)
            write = Write(op, self.view.number, entry, chain, with_turns)
            self._transport.send(member.address, write)


def _complete(sets: tuple[ReplicaSet, ...], call: _Call, chain: str) -> bool:
    disks = set(call.replies)
    if not all(s.written(disks) and s.readable(disks) for s in sets):
        return False
    if not chain:
        return True
    somewhere = any(reply.has_chain for reply in call.replies.values())
    return not somewhere or any(reply.turns for reply in call.replies.values())


def _said(replies: list[WriteReply]) -> bytes | None:
    for reply in replies:
        if reply.turns:
            return b"".join(turn.said for turn in reply.turns)
    return None
