"""The relay's side of quotas: a permit for each request of a customer that has one.

A permit is asked for when a request arrives and needed when it goes to a server, so
that the way there overlaps with the reservation of a turn.  A holder that does not
answer is passed over for a while; without any answer the request is not run, since
nobody can say that the quota still holds it.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Final, NamedTuple

import anyio

from ..clocks import boot_clock
from ..core.customers import Customer
from ..core.ledgerwire import LedgerMessage, PermitReply, PermitRequest
from ..core.membership import Member, View
from ..core.quota import (
    MAX_ADVANCE_S,
    PERMIT_LIFETIME_S,
    Permit,
    PermitStatus,
    QuotaBounds,
    holder_quota,
    query_order,
    quota_holders,
)
from ..peers.transport import Transport

# A holder has this long to answer, in seconds; usual answers take some milliseconds.
ANSWER_S: Final = 0.1
# A holder that did not answer is asked after the others for this long, in seconds.
SUSPECT_S: Final = 2.0
# A permit is used within this time of the question, in seconds: what is left until
# `PERMIT_LIFETIME_S` is for its way to the server.  An older one is asked for again.
FRESH_S: Final = 0.7 * PERMIT_LIFETIME_S
# Pause before all holders are asked once more, in seconds.
AGAIN_S: Final = 0.05
# A refused caller is told to come back after the time that a holder named, or up to
# this many times later, so that not all of them come back at once.
SPREAD: Final = 1.5
SOONEST_S: Final = 0.05

log = logging.getLogger(__name__)


class OverQuota(NamedTuple):
    """The customer has used up its quota."""

    retry_s: float


class NoHolder(NamedTuple):
    """No holder of the quota has answered."""

    asked: int
    view: int


class Ticket:
    """A question for a permit under way."""

    def __init__(self, customer: Customer, program: str, kind: str) -> None:
        self.customer = customer
        self.program = program
        self.kind = kind
        # Whether a permit that counts a little later will do.
        self.allow_delayed = False
        self.asked: Member | None = None
        # On the boot clock: the holder's bucket fills up while this machine is
        # suspended, so a permit from before is worth nothing.
        self.asked_at = 0.0
        self.op = 0
        self.permit: Permit | None = None
        self.replied = asyncio.Event()


class QuotaClient:
    """Asks the holders of customers' quotas.

    Parameters
    ----------
    bounds : QuotaBounds
        How quotas are judged.
    view : callable
        Returns the members known now.
    reachable : callable
        Whether keepers can be expected to answer.
    """

    def __init__(
        self,
        bounds: QuotaBounds,
        view: Callable[[], View],
        reachable: Callable[[], bool],
    ) -> None:
        self._bounds = bounds
        self._view = view
        self._reachable = reachable
        self._op = 0
        self._waiting: dict[int, Ticket] = {}
        self._suspects: dict[str, float] = {}
        self._transport: Transport[LedgerMessage]

    def start(self, transport: Transport[LedgerMessage]) -> None:
        """Give the client its way out."""
        self._transport = transport

    def ask(self, customer: Customer, program: str, kind: str) -> Ticket | None:
        """Ask for a permit; None if the customer needs none.

        Parameters
        ----------
        kind : str
            Kind of the program if this may be its first request; else empty.
        """
        if customer.quota is None:
            return None
        ticket = Ticket(customer, program, kind)
        order = self._order(ticket)
        if order:
            self._send(ticket, order[0])
        return ticket

    def receive(self, reply: PermitReply) -> None:
        """Take an answer."""
        ticket = self._waiting.pop(reply.op, None)
        if ticket is not None:
            ticket.permit = reply.permit
            ticket.replied.set()

    def drop(self, ticket: Ticket) -> None:
        """Forget a question whose request has ended."""
        self._waiting.pop(ticket.op, None)

    async def permit(self, ticket: Ticket, until: float) -> OverQuota | NoHolder | None:
        """Wait for a permit that counts now; None once there is one.

        Parameters
        ----------
        until : float
            When to give up, on the loop's clock.
        """
        loop = asyncio.get_running_loop()
        while True:
            if not self._reachable():
                # Waiting would keep the caller from a relay that can serve it.
                return NoHolder(0, self._view().number)
            outcome = await self._round(ticket, until)
            if not isinstance(outcome, NoHolder):
                return outcome
            if loop.time() + AGAIN_S >= until:
                return outcome
            await anyio.sleep(AGAIN_S)

    async def _round(self, ticket: Ticket, until: float) -> OverQuota | NoHolder | None:
        """Ask each holder once, those that have been asked first."""
        order = self._order(ticket)
        if ticket.asked is not None:
            order = [ticket.asked, *(m for m in order if m != ticket.asked)]
        spent: list[tuple[Permit, Member]] = []
        for member in order:
            permit = await self._answer(ticket, member, until)
            if permit is None:
                continue
            if permit.answer is PermitStatus.GRANTED:
                return None
            if permit.answer is PermitStatus.EXHAUSTED:
                spent.append((permit, member))
        if not spent:
            ticket.asked = None
            return NoHolder(len(order), self._view().number)
        shortest, soonest = min(spent, key=lambda one: one[0].wait_s)
        if shortest.wait_s <= MAX_ADVANCE_S and not shortest.is_program_refused:
            # None has one at once, so the next that comes free will do.
            ticket.allow_delayed = True
            permit = await self._answer(ticket, soonest, until)
            if permit is not None and permit.answer is PermitStatus.GRANTED:
                return None
        retry_s = shortest.wait_s * random.uniform(1.0, SPREAD)
        return OverQuota(max(SOONEST_S, retry_s))

    async def _answer(
        self, ticket: Ticket, member: Member, until: float
    ) -> Permit | None:
        """Return a holder's answer; a permit is waited for until it counts."""
        loop = asyncio.get_running_loop()
        old = boot_clock() - ticket.asked_at > FRESH_S
        if ticket.asked != member or ticket.allow_delayed or old:
            self._send(ticket, member)
        with anyio.move_on_after(max(0.0, min(ANSWER_S, until - loop.time()))):
            await ticket.replied.wait()
        permit = ticket.permit
        self.drop(ticket)
        if permit is None:
            self._suspect(member, loop.time())
            return None
        if permit.answer is PermitStatus.GRANTED and permit.wait_s > 0:
            await anyio.sleep(permit.wait_s)
        return permit

    def _suspect(self, member: Member, now: float) -> None:
        if self._suspects.get(member.address, 0.0) <= now:
            log.info("holder of quotas does not answer", extra={"keeper": member.name})
        self._suspects[member.address] = now + SUSPECT_S

    def _order(self, ticket: Ticket) -> list[Member]:
        quota = ticket.customer.quota
        assert quota is not None, "only customers with a quota have tickets"
        count = holder_quota(quota, self._bounds).holders
        holders = quota_holders(self._view().members, ticket.customer.name, count)
        now = asyncio.get_running_loop().time()
        order = query_order(holders, ticket.program)
        return sorted(order, key=lambda m: self._suspects.get(m.address, 0.0) > now)

    def _send(self, ticket: Ticket, member: Member) -> None:
        self.drop(ticket)
        self._op += 1
        ticket.op = self._op
        ticket.asked = member
        ticket.asked_at = boot_clock()
        ticket.permit = None
        ticket.replied = asyncio.Event()
        self._waiting[ticket.op] = ticket
        question = PermitRequest(
            ticket.op,
            ticket.customer.name,
            ticket.program,
            ticket.kind,
            ticket.allow_delayed,
        )
        self._transport.send(member.address, question)
