"""Ledger client of a relay: reserves and settles tokens and reads chains by quorum.

A request is complete when enough replicas of the program's slot have answered.  A
reservation is first sent to one replica more than must answer, so that the failure of
one causes no delay; a settlement, with its turn, only to as many as must answer.
Requests are resent until they are complete; this is safe because records only merge.
A replica with a newer view includes it in its reply, so a relay learns of a view change
without the platform's store.
"""

from __future__ import annotations

import asyncio
import logging
from typing import Final, NamedTuple

import anyio
from anyio.abc import TaskGroup

from ..core.ledger import (
    UNSENT,
    Attempt,
    Entry,
    Turn,
    fits_budget,
    merge_attempts,
)
from ..core.ledgerwire import LedgerMessage, ReplyStatus, Room, WriteReply
from ..core.membership import (
    Member,
    ReplicaSet,
    View,
    select_replicas,
    sort_local_first,
)
from ..peers.transport import Transport
from ..scheduling.reach import Reachability
from .questions import (
    Granted,
    QuorumRequest,
    SearchChain,
    WriteRecords,
    all_members,
    first_chain,
    lacks_room,
)

# A request without a quorum is resent after this time: several times the usual latency,
# which is one round trip and one or two disk syncs.
RESEND_INTERVAL_S: Final = 0.15
# The interval doubles with each resend, up to this.  Otherwise every waiting request
# would send its records to an unreachable replica seven times a second.
MAX_RESEND_INTERVAL_S: Final = 1.2
# The first interval is at least this multiple of the usual latency: on a slow link
# requests queue, and resends only lengthen the queue.
RESEND_LATENCY_FACTOR: Final = 4.0
# Weight of a new sample in the moving average of the latency.
LATENCY_WEIGHT: Final = 0.1
# Requests that were sent more often than this are not sampled.
MAX_SAMPLED_SENDS: Final = 2
# Upper limit of a sample, so that a resend happens while the request still has time.
MAX_LATENCY_SAMPLE_S: Final = 0.15
# A replica that did not answer in time is not among the first targets for this long.
SUSPECT_DURATION_S: Final = 2.0
# Pause after a replica has reported that it cannot answer yet.
UNAVAILABLE_RETRY_S: Final = 0.05
# Time limit of settlements in the background.  Tokens that are never settled stay
# reserved, which is safe.
BACKGROUND_SETTLE_TIMEOUT_S: Final = 20.0
# Time limit of a probe; replicas usually answer within 10 ms.
PROBE_TIMEOUT_S: Final = 0.4

log = logging.getLogger(__name__)


class Reservation(NamedTuple):
    """Tokens to reserve for a turn.

    Attributes
    ----------
    program : str
        Id of the program, unique among all customers.
    attempt : str
        Id of the request.
    tokens : int
        Tokens to reserve.
    budget : int or None
        Token budget of the whole program; None if it has no budget.
    retention_s : float
        Seconds for which the ledger retains the program's records.
    previous_id : str
        Turn whose chain is read as well; empty for none.
    room : Room or None
        Room for the turn; None if it will not be stored.
    send_number : int
        Distinguishes this attempt from all others of the program.
    request_digest : bytes
        Digest of what all attempts of the request have in common.
    """

    program: str
    attempt: str
    tokens: int
    budget: int | None
    retention_s: float
    previous_id: str
    room: Room | None = None
    send_number: int = 0
    request_digest: bytes = UNSENT


class BudgetExceeded(NamedTuple):
    """The rest of the budget is too small for the turn."""

    reserved: int


class TurnNotFound(NamedTuple):
    """No replica of a read quorum has the turn."""


class QuorumUnavailable(NamedTuple):
    """No quorum answered in time, or too few replicas have room for the turn."""

    answered: int
    required: int
    view: int
    is_full: bool = False


class _PendingRequest:
    """A request that waits for a quorum.

    Attributes
    ----------
    full_disks : set of str
        Disks of replicas without room for the turn.
    is_full : bool
        Whether these leave no quorum.
    """

    def __init__(self) -> None:
        self.replies: dict[str, WriteReply] = {}
        self.full_disks: set[str] = set()
        self.is_full = False
        self.updated = asyncio.Event()
        self.is_unavailable = False


class LedgerClient:
    """Sends requests to the replicas of the ledger.

    Parameters
    ----------
    domain : str
        Failure domain of this process; chains are read inside it if possible.
    max_failures : int
        Number of members that may fail at once.

    Attributes
    ----------
    view : View
        The newest known view.
    resend_count : int
        Number of resends since the start.
    pending_settlements : int
        Settlements in the background that are not durable yet.
    """

    def __init__(self, domain: str, max_failures: int) -> None:
        self.view = View()
        self.resend_count = 0
        self.pending_settlements = 0
        self._reachability = Reachability()
        self._mean_latency_s = 0.0
        self._suspects: dict[str, float] = {}
        self._domain = domain
        self._max_failures = max_failures
        self._pending: dict[int, _PendingRequest] = {}
        self._op = 0
        self._transport: Transport[LedgerMessage]
        self._group: TaskGroup

    def start(self, transport: Transport[LedgerMessage], group: TaskGroup) -> None:
        """Set the transport, and the task group for settlements in the background."""
        self._transport = transport
        self._group = group

    def adopt_view(self, view: View) -> None:
        """Switch to a view if it is newer than the current one."""
        if view.number <= self.view.number:
            return
        self.view = view
        log.info(
            "view adopted",
            extra={"view": view.number, "members": [m.name for m in view.members]},
        )
        for pending in self._pending.values():
            pending.updated.set()

    def receive(self, sender: str, message: LedgerMessage) -> None:
        """Process a reply of a replica."""
        if not isinstance(message, WriteReply):
            return
        if message.view is not None:
            self.adopt_view(message.view)
        pending = self._pending.get(message.op)
        if pending is None:
            return
        if message.status is ReplyStatus.DONE:
            pending.replies[message.disk] = message
            pending.full_disks.discard(message.disk)
        else:
            if message.status is ReplyStatus.FULL:
                pending.full_disks.add(message.disk)
            pending.is_unavailable = True
        pending.updated.set()

    # Requests

    async def reserve(
        self, reservation: Reservation, deadline: float
    ) -> Granted | BudgetExceeded | TurnNotFound | QuorumUnavailable:
        """Reserve tokens and read the chain, before a turn is sent to a server.

        Parameters
        ----------
        deadline : float
            Time on the loop's clock after which the request is given up.
        """
        if self._reachability.unreachable:
            return QuorumUnavailable(0, self._max_failures + 1, self.view.number)
        own_attempt = {reservation.attempt: Attempt(reservation.tokens, False)}
        entry = Entry(
            reservation.program,
            reservation.retention_s,
            own_attempt,
            sends=_sends(reservation, reservation.request_digest),
        )
        replies = await self._request(
            WriteRecords(entry, reservation.previous_id, reservation.room), deadline
        )
        if isinstance(replies, QuorumUnavailable):
            self.settle_in_background(reservation, 0, was_sent=False)
            return replies
        attempts = merge_attempts([reply.attempts for reply in replies])
        granted: Granted | TurnNotFound | QuorumUnavailable = Granted(
            (), reservation.program
        )
        if reservation.previous_id:
            granted = await self._complete_chain(
                reservation, first_chain(replies), deadline
            )
        if not isinstance(granted, Granted):
            self.settle_in_background(reservation, 0, was_sent=False)
            return granted
        if reservation.budget is not None and not fits_budget(
            attempts, reservation.attempt, reservation.budget
        ):
            self.settle_in_background(reservation, 0, was_sent=False)
            return BudgetExceeded(
                sum(a.tokens for a in attempts.values()) - reservation.tokens
            )
        is_only_send = all(reply.is_only_send for reply in replies)
        return granted._replace(is_only_send=is_only_send)

    async def _complete_chain(
        self, reservation: Reservation, found: Granted | None, deadline: float
    ) -> Granted | TurnNotFound | QuorumUnavailable:
        """Complete a chain whose turns are on different replicas or in other slots.

        Only the turn that the caller names may turn out not to exist.  The turns before
        it became durable earlier, so if one of them is missing, the replicas that have
        it are unavailable and the caller should retry.
        """
        chain = found.chain if found else ()
        chain_programs = {found.chain_program} if found else set()
        missing = chain[0].previous_id if chain else reservation.previous_id
        while missing:
            replies = await self._request(SearchChain(missing), deadline)
            if isinstance(replies, QuorumUnavailable):
                return replies
            found = first_chain(replies)
            if found is None and not chain:
                return TurnNotFound()
            if found is None:
                return QuorumUnavailable(
                    len(replies), self._max_failures + 1, self.view.number
                )
            chain = (*found.chain, *chain)
            chain_programs.add(found.chain_program)
            missing = chain[0].previous_id
        foreign_programs = chain_programs - {reservation.program}
        return Granted(
            chain, foreign_programs.pop() if foreign_programs else reservation.program
        )

    async def settle(
        self,
        reservation: Reservation,
        tokens: int,
        turns: tuple[Turn, ...],
        deadline: float,
        *,
        was_sent: bool = True,
    ) -> bool:
        """Settle a reservation with the tokens that were sent to the caller.

        Parameters
        ----------
        was_sent : bool
            Whether a server may have received the request.

        Returns
        -------
        bool
            Whether the settlement is durable.
        """
        attempts = {reservation.attempt: Attempt(tokens, True)}
        sends = {} if was_sent else _sends(reservation, UNSENT)
        entry = Entry(
            reservation.program, reservation.retention_s, attempts, list(turns), sends
        )
        replies = await self._request(WriteRecords(entry, ""), deadline)
        return not isinstance(replies, QuorumUnavailable)

    def settle_in_background(
        self, reservation: Reservation, tokens: int, *, was_sent: bool = True
    ) -> None:
        """Settle a reservation in the background."""
        self.pending_settlements += 1
        self._group.start_soon(
            self._run_background_settlement, reservation, tokens, was_sent
        )

    async def _run_background_settlement(
        self, reservation: Reservation, tokens: int, was_sent: bool
    ) -> None:
        deadline = asyncio.get_running_loop().time() + BACKGROUND_SETTLE_TIMEOUT_S
        try:
            settled = await self.settle(
                reservation, tokens, (), deadline, was_sent=was_sent
            )
        finally:
            self.pending_settlements -= 1
        if not settled:
            log.warning(
                "reservation not settled in time",
                extra={"program": reservation.program, "request": reservation.attempt},
            )

    # Reachability

    @property
    def is_reachable(self) -> bool:
        """Whether requests can be expected to reach a quorum."""
        return (
            len(self.view.members) > self._max_failures
            and not self._reachability.unreachable
        )

    async def probe(self) -> None:
        """Check whether the replicas are reachable, unless a request just succeeded."""
        now = asyncio.get_running_loop().time()
        if self.view.members and self._reachability.is_probe_due(now):
            await self._request(SearchChain(""), now + PROBE_TIMEOUT_S)

    def _record_success(self, now: float) -> None:
        if self._reachability.record_success(now):
            log.info("ledger in reach", extra={"view": self.view.number})

    def _record_failure(self, now: float) -> None:
        if self._reachability.record_failure(now):
            log.warning("ledger out of reach", extra={"view": self.view.number})

    # Quorums

    async def _request(
        self, request: QuorumRequest, deadline: float
    ) -> list[WriteReply] | QuorumUnavailable:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while True:
            self._op += 1
            op = self._op
            pending = self._pending[op] = _PendingRequest()
            try:
                replies = await self._request_in_view(op, pending, request, deadline)
            finally:
                del self._pending[op]
            if replies is not None:
                self._record_success(loop.time())
                return replies
            required = self._max_failures + 1
            answered = len(pending.replies)
            if pending.is_full:
                self._record_success(loop.time())
                return QuorumUnavailable(answered, required, self.view.number, True)
            if loop.time() >= deadline:
                # A request with too little time says nothing about the replicas.
                if deadline - started_at >= RESEND_INTERVAL_S:
                    self._record_failure(loop.time())
                return QuorumUnavailable(answered, required, self.view.number)

    async def _request_in_view(
        self, op: int, pending: _PendingRequest, request: QuorumRequest, deadline: float
    ) -> list[WriteReply] | None:
        """Send a request in the current view.

        Returns
        -------
        list of WriteReply or None
            None if the view changed, the deadline passed, or replicas are full.
        """
        loop = asyncio.get_running_loop()
        view = self.view
        sets = request.target_sets(view, self._max_failures)
        started_at = loop.time()
        interval_s = max(
            RESEND_INTERVAL_S, RESEND_LATENCY_FACTOR * self._mean_latency_s
        )
        targets = self._first_targets(request, sets)
        chain_requested = False
        sends = 0
        while view is self.view and loop.time() < deadline:
            forwarder = None
            if sends == 0:
                forwarder = self._send_via_nearest(op, request, targets)
            if forwarder is None:
                self._send(op, pending, request, targets)
            sends += 1
            resend_at = min(deadline, loop.time() + interval_s)
            interval_s = min(MAX_RESEND_INTERVAL_S, interval_s * 2)
            while view is self.view and loop.time() < resend_at:
                if pending.replies and request.is_complete(sets, pending.replies):
                    self._record_latency(loop.time() - started_at, sends)
                    return list(pending.replies.values())
                if pending.full_disks and lacks_room(sets, pending.full_disks):
                    pending.is_full = True
                    return None
                if request.needs_chain(sets, pending.replies) and not chain_requested:
                    chain_requested = True
                    self._fetch_chain(op, pending, request, sets)
                pending.updated.clear()
                with anyio.move_on_after(resend_at - loop.time()):
                    await pending.updated.wait()
                if pending.is_unavailable:
                    pending.is_unavailable = False
                    resend_at = min(resend_at, loop.time() + UNAVAILABLE_RETRY_S)
            if forwarder is not None and forwarder.disk not in pending.replies:
                # The other replicas may not have received the request.
                targets = [forwarder]
            self._suspect(targets, pending, loop.time())
            targets = all_members(sets)
            self.resend_count += 1
        return None

    def _record_latency(self, seconds: float, sends: int) -> None:
        """Update the usual latency from a request that was resent at most once.

        A request that was sent more often met unreachable replicas.  Its latency would
        delay the resends of later requests for seconds after a network fault is over.
        """
        if sends <= MAX_SAMPLED_SENDS:
            sample_s = min(seconds, MAX_LATENCY_SAMPLE_S)
            self._mean_latency_s += LATENCY_WEIGHT * (sample_s - self._mean_latency_s)

    def _first_targets(
        self, request: QuorumRequest, sets: tuple[ReplicaSet, ...]
    ) -> list[Member]:
        """Choose the first targets: the nearest replicas that are not suspected."""
        now = asyncio.get_running_loop().time()
        suspects = {
            disk for disk, expires_at in self._suspects.items() if expires_at > now
        }
        chosen: dict[str, Member] = {}
        for replicas in sets:
            count = request.first_target_count(replicas)
            for member in select_replicas(replicas, self._domain, suspects, count):
                chosen[member.address] = member
        return list(chosen.values())

    def _suspect(
        self, targets: list[Member], pending: _PendingRequest, now: float
    ) -> None:
        """Mark members that did not answer in time as suspected."""
        for member in targets:
            if member.disk not in pending.replies:
                self._suspects[member.disk] = now + SUSPECT_DURATION_S

    def _send_via_nearest(
        self, op: int, request: QuorumRequest, targets: list[Member]
    ) -> Member | None:
        """Send a request to the nearest replica only, which forwards it to the others.

        Returns
        -------
        Member or None
            The nearest replica; None if the request is to be sent to each replica.
        """
        if not targets:
            # The members are not known yet.  An exception here would end the process,
            # since settlements run in its task group.  Instead the request waits for a
            # view or for its deadline.
            return None
        nearest, *others = sort_local_first(tuple(targets), self._domain)
        addresses = [member.address for member in others]
        message = request.fan_out_write(op, self.view.number, addresses)
        if message is None:
            return None
        self._transport.send(nearest.address, message)
        return nearest

    def _send(
        self,
        op: int,
        pending: _PendingRequest,
        request: QuorumRequest,
        targets: list[Member],
    ) -> None:
        for index, member in enumerate(sort_local_first(tuple(targets), self._domain)):
            if member.disk in pending.replies:
                continue
            # The nearest replica sends the chain; the others report if they have it.
            message = request.message(op, self.view.number, index == 0)
            self._transport.send(member.address, message)

    def _fetch_chain(
        self,
        op: int,
        pending: _PendingRequest,
        request: QuorumRequest,
        sets: tuple[ReplicaSet, ...],
    ) -> None:
        """Request the chain from the nearest replica that has reported to have it."""
        for member in sort_local_first(tuple(all_members(sets)), self._domain):
            reply = pending.replies.get(member.disk)
            if reply is not None and reply.has_chain:
                message = request.message(op, self.view.number, True)
                self._transport.send(member.address, message)
                return


def _sends(reservation: Reservation, digest: bytes) -> dict[int, bytes]:
    """Return what the ledger records of sending a turn to servers."""
    if reservation.request_digest == UNSENT:
        return {}
    return {reservation.send_number: digest}
