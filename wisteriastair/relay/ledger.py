"""The relay's side of the ledger: reservations, settlements and chains by quorum.

A request counts when enough replicas of a program's slot have answered.  A reservation
goes to one more than must answer, so that a lost one is not waited for; a settlement,
with the turn if it is kept, first to as few as must answer.  A request is sent again
until it counts, which is harmless since records only merge.  A replica that knows a
newer view sends it along, so a relay learns of a change without the platform's store.
"""

from __future__ import annotations

import asyncio
import logging
from typing import Final, NamedTuple

import anyio
from anyio.abc import TaskGroup

from ..core.ledger import Attempt, Entry, Turn, fits_budget, merge_attempts
from ..core.ledgerwire import LedgerMessage, ReplyStatus, WriteReply
from ..core.membership import (
    Member,
    ReplicaSet,
    View,
    select_replicas,
    sort_local_first,
)
from ..core.reach import Reachability
from ..peers.transport import Transport
from .questions import (
    Granted,
    Question,
    SearchTurn,
    WriteRecords,
    all_members,
    chain_in,
)

# A request is sent again after this time without a quorum, in seconds: several times
# the usual answer, which takes one way there and back and one or two syncs.
AGAIN_S: Final = 0.15
# Each further time waits twice as long, up to this: a replica that is cut off must not
# be sent the same records seven times a second by every request that waits.
AGAIN_MOST_S: Final = 1.2
# The first wait is at least this many times what requests usually take here: on a slow
# link they queue, and sending them again only makes the queue longer.
AGAIN_USUAL: Final = 4.0
# Weight of a new measurement of what requests take.
USUAL_GAIN: Final = 0.1
# Requests sent more often than this tell nothing of the usual time, and no more than so
# many seconds are believed: a wait has to end while the request still has time.
USUAL_SENDS: Final = 2
USUAL_MOST_S: Final = 0.15
# A replica that has not answered in time is not among the first asked for this time.
SUSPECT_S: Final = 2.0
# Pause after replicas have said that they cannot answer yet.
NOT_NOW_S: Final = 0.05
# How long settlements that nobody waits for are tried, in seconds.  What is never
# settled stays reserved, which is safe.
SETTLE_S: Final = 20.0
# A probe has this long to be answered, in seconds; usual answers take 10 ms.
PROBE_LIMIT_S: Final = 0.4

log = logging.getLogger(__name__)


class Reservation(NamedTuple):
    """What a turn reserves.

    Attributes
    ----------
    budget : int or None
        Tokens of the whole program; None if it has no budget.
    previous_id : str
        Turn whose chain is wanted; empty for none.
    """

    program: str
    attempt: str
    tokens: int
    budget: int | None
    retention_s: float
    previous_id: str


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
    max_failures : int
        Members that may be lost at once.
    """

    def __init__(self, domain: str, max_failures: int) -> None:
        self.view = View()
        self.resent = 0
        # Settlements that nobody waits for and that are not durable yet.
        self.unsettled = 0
        self._reachability = Reachability()
        self._usual_s = 0.0
        self._suspects: dict[str, float] = {}
        self._domain = domain
        self._max_failures = max_failures
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
        if message.status is ReplyStatus.DONE:
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
        if self._reachability.unreachable:
            return Unavailable(0, self._max_failures + 1, self.view.number)
        mine = {wish.attempt: Attempt(wish.tokens, False)}
        entry = Entry(wish.program, wish.retention_s, mine)
        replies = await self._ask(WriteRecords(entry, wish.previous_id), until)
        if isinstance(replies, Unavailable):
            self.settle_later(wish, 0)
            return replies
        attempts = merge_attempts([reply.attempts for reply in replies])
        granted: Granted | NoSuchTurn | Unavailable = Granted((), wish.program)
        if wish.previous_id:
            granted = await self._whole_chain(wish, chain_in(replies), until)
        if not isinstance(granted, Granted):
            self.settle_later(wish, 0)
            return granted
        if wish.budget is not None and not fits_budget(
            attempts, wish.attempt, wish.budget
        ):
            self.settle_later(wish, 0)
            return Spent(sum(a.tokens for a in attempts.values()) - wish.tokens)
        return granted

    async def _whole_chain(
        self, wish: Reservation, found: Granted | None, until: float
    ) -> Granted | NoSuchTurn | Unavailable:
        """Complete a chain whose turns lie on different replicas or in other slots.

        Only the turn that the caller names may turn out not to exist.  Those before it
        were durable before it was, so a missing one is a reason to come back.
        """
        chain = found.chain if found else ()
        homes = {found.chain_program} if found else set()
        missing = chain[0].previous_id if chain else wish.previous_id
        while missing:
            replies = await self._ask(SearchTurn(missing), until)
            if isinstance(replies, Unavailable):
                return replies
            found = chain_in(replies)
            if found is None and not chain:
                return NoSuchTurn()
            if found is None:
                return Unavailable(
                    len(replies), self._max_failures + 1, self.view.number
                )
            chain = (*found.chain, *chain)
            homes.add(found.chain_program)
            missing = chain[0].previous_id
        foreign = homes - {wish.program}
        return Granted(chain, foreign.pop() if foreign else wish.program)

    async def settle(
        self, wish: Reservation, tokens: int, turns: tuple[Turn, ...], until: float
    ) -> bool:
        """Settle a reservation with what was handed out; True once it is durable."""
        attempts = {wish.attempt: Attempt(tokens, True)}
        entry = Entry(wish.program, wish.retention_s, attempts, list(turns))
        replies = await self._ask(WriteRecords(entry, ""), until)
        return not isinstance(replies, Unavailable)

    def settle_later(self, wish: Reservation, tokens: int) -> None:
        """Settle a reservation that nobody waits for."""
        self.unsettled += 1
        self._group.start_soon(self._settle_unwatched, wish, tokens)

    async def _settle_unwatched(self, wish: Reservation, tokens: int) -> None:
        until = asyncio.get_running_loop().time() + SETTLE_S
        try:
            settled = await self.settle(wish, tokens, (), until)
        finally:
            self.unsettled -= 1
        if not settled:
            log.warning(
                "a reservation stays unsettled",
                extra={"program": wish.program, "request": wish.attempt},
            )

    # Reach

    @property
    def reachable(self) -> bool:
        """Whether requests can be expected to find their quorum."""
        return (
            len(self.view.members) > self._max_failures
            and not self._reachability.unreachable
        )

    async def probe(self) -> None:
        """Find out whether the replicas can be reached, unless requests just have."""
        now = asyncio.get_running_loop().time()
        if self.view.members and self._reachability.is_probe_due(now):
            await self._ask(SearchTurn(""), now + PROBE_LIMIT_S)

    def _note_success(self, now: float) -> None:
        if self._reachability.record_success(now):
            log.info("ledger in reach", extra={"view": self.view.number})

    def _note_failure(self, now: float) -> None:
        if self._reachability.record_failure(now):
            log.warning("ledger out of reach", extra={"view": self.view.number})

    # Quorums

    async def _ask(
        self, question: Question, until: float
    ) -> list[WriteReply] | Unavailable:
        loop = asyncio.get_running_loop()
        began = loop.time()
        while True:
            self._op += 1
            op = self._op
            call = self._calls[op] = _Call()
            try:
                replies = await self._ask_in_view(op, call, question, until)
            finally:
                del self._calls[op]
            if replies is not None:
                self._note_success(loop.time())
                return replies
            if loop.time() >= until:
                # A request that had hardly any time says nothing of the replicas.
                if until - began >= AGAIN_S:
                    self._note_failure(loop.time())
                wanted = self._max_failures + 1
                return Unavailable(len(call.replies), wanted, self.view.number)

    async def _ask_in_view(
        self, op: int, call: _Call, question: Question, until: float
    ) -> list[WriteReply] | None:
        """Ask under the present view; None if it changed or time ran out."""
        loop = asyncio.get_running_loop()
        view = self.view
        sets = question.sets(view, self._max_failures)
        began = loop.time()
        pause_s = max(AGAIN_S, AGAIN_USUAL * self._usual_s)
        targets = self._first_targets(question, sets)
        fetched = False
        sends = 0
        while view is self.view and loop.time() < until:
            spreader = None
            if sends == 0:
                spreader = self._spread(op, question, targets)
            if spreader is None:
                self._send(op, call, question, targets)
            sends += 1
            again_at = min(until, loop.time() + pause_s)
            pause_s = min(AGAIN_MOST_S, pause_s * 2)
            while view is self.view and loop.time() < again_at:
                if call.replies and question.answered(sets, call.replies):
                    self._note_time(loop.time() - began, sends)
                    return list(call.replies.values())
                if question.lacks_chain(sets, call.replies) and not fetched:
                    fetched = True
                    self._fetch(op, call, question, sets)
                call.changed.clear()
                with anyio.move_on_after(again_at - loop.time()):
                    await call.changed.wait()
                if call.not_now:
                    call.not_now = False
                    again_at = min(again_at, loop.time() + NOT_NOW_S)
            if spreader is not None and spreader.disk not in call.replies:
                # The others may never have been asked.
                targets = [spreader]
            self._suspect(targets, call, loop.time())
            targets = all_members(sets)
            self.resent += 1
        return None

    def _note_time(self, seconds: float, sends: int) -> None:
        """Learn what requests usually take, from those that were hardly sent again.

        One that was sent many times met replicas that were away.  Counted, the ones
        that had waited out a cut would keep later ones from being sent again for
        seconds after it had healed.
        """
        if sends <= USUAL_SENDS:
            sample_s = min(seconds, USUAL_MOST_S)
            self._usual_s += USUAL_GAIN * (sample_s - self._usual_s)

    def _first_targets(
        self, question: Question, sets: tuple[ReplicaSet, ...]
    ) -> list[Member]:
        """Choose whom to ask first: the nearest that are not suspected to be lost."""
        now = asyncio.get_running_loop().time()
        suspects = {disk for disk, until in self._suspects.items() if until > now}
        chosen: dict[str, Member] = {}
        for replicas in sets:
            count = question.first_asked(replicas)
            for member in select_replicas(replicas, self._domain, suspects, count):
                chosen[member.address] = member
        return list(chosen.values())

    def _suspect(self, targets: list[Member], call: _Call, now: float) -> None:
        """Pass over members that have not answered in time, for a while."""
        for member in targets:
            if member.disk not in call.replies:
                self._suspects[member.disk] = now + SUSPECT_S

    def _spread(
        self, op: int, question: Question, targets: list[Member]
    ) -> Member | None:
        """Ask the nearest replica to ask the others; None if each is to be asked."""
        if not targets:
            # Members are not known yet.  Failing here would end the process, since
            # settlements ask too; as it is, the question waits for a view, or its end.
            return None
        nearest, *others = sort_local_first(tuple(targets), self._domain)
        addresses = [member.address for member in others]
        message = question.fan_out_write(op, self.view.number, addresses)
        if message is None:
            return None
        self._transport.send(nearest.address, message)
        return nearest

    def _send(
        self, op: int, call: _Call, question: Question, targets: list[Member]
    ) -> None:
        for place, member in enumerate(sort_local_first(tuple(targets), self._domain)):
            if member.disk in call.replies:
                continue
            # The nearest replica sends the chain; the others only say if they have it.
            message = question.message(op, self.view.number, place == 0)
            self._transport.send(member.address, message)

    def _fetch(
        self,
        op: int,
        call: _Call,
        question: Question,
        sets: tuple[ReplicaSet, ...],
    ) -> None:
        """Ask a replica that has the chain to send it; the nearest one had not."""
        for member in sort_local_first(tuple(all_members(sets)), self._domain):
            reply = call.replies.get(member.disk)
            if reply is not None and reply.has_chain:
                message = question.message(op, self.view.number, True)
                self._transport.send(member.address, message)
                return
