"""Quota client of a relay: requests permits for customers with a quota.

A permit is requested when a request arrives and needed when the request is sent to a
server, so the round trip overlaps with the reservation of the turn.  A holder that does
not answer is asked last for a while.  If no holder answers, the request is not run,
since it might exceed the quota.
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

# Timeout of a holder's reply; holders usually reply within a few milliseconds.
REPLY_TIMEOUT_S: Final = 0.1
# A holder that did not reply is asked after the others for this long.
SUSPECT_DURATION_S: Final = 2.0
# A permit older than this is requested again.  The caller's request must reach the
# server within `PERMIT_LIFETIME_S` of the permit request; the rest of that time is for
# the transfer to the server.
MAX_PERMIT_AGE_S: Final = 0.7 * PERMIT_LIFETIME_S
# Pause before all holders are asked once more.
RETRY_INTERVAL_S: Final = 0.05
# The retry delay of a refused caller is the holder's, multiplied by a random factor up
# to this, so that not all callers retry at the same time.
MAX_RETRY_JITTER: Final = 1.5
MIN_RETRY_AFTER_S: Final = 0.05

log = logging.getLogger(__name__)


class OverQuota(NamedTuple):
    """The quota of the customer is exhausted."""

    retry_after_s: float


class HoldersUnreachable(NamedTuple):
    """No holder of the quota answered.

    Attributes
    ----------
    holders_asked : int
        Number of holders that were asked.
    view : int
        Number of the view that they belong to.
    """

    holders_asked: int
    view: int


class PendingPermit:
    """A pending request for a permit."""

    def __init__(self, customer: Customer, program: str, kind: str) -> None:
        self.customer = customer
        self.program = program
        self.kind = kind
        # Whether a permit that becomes valid a little later is accepted.
        self.allow_delayed = False
        self.holder: Member | None = None
        # On the boot clock, which also runs while this machine is suspended: the
        # holder's bucket refills meanwhile, so an older permit is invalid.
        self.sent_at = 0.0
        self.op = 0
        self.permit: Permit | None = None
        self.replied = asyncio.Event()


class QuotaClient:
    """Requests permits from the holders of customers' quotas.

    Parameters
    ----------
    bounds : QuotaBounds
        Tolerances of the quotas.
    view : callable
        Returns the current view.
    is_reachable : callable
        Whether keepers can be expected to answer.
    """

    def __init__(
        self,
        bounds: QuotaBounds,
        view: Callable[[], View],
        is_reachable: Callable[[], bool],
    ) -> None:
        self._bounds = bounds
        self._view = view
        self._is_reachable = is_reachable
        self._op = 0
        self._pending: dict[int, PendingPermit] = {}
        self._suspects: dict[str, float] = {}
        self._transport: Transport[LedgerMessage]

    def start(self, transport: Transport[LedgerMessage]) -> None:
        """Set the transport."""
        self._transport = transport

    def request_permit(
        self, customer: Customer, program: str, kind: str
    ) -> PendingPermit | None:
        """Request a permit, without waiting for it.

        Parameters
        ----------
        kind : str
            Kind of the program if this may be its first request; otherwise empty.

        Returns
        -------
        PendingPermit or None
            None if the customer has no quota.
        """
        if customer.quota is None:
            return None
        pending = PendingPermit(customer, program, kind)
        order = self._query_order(pending)
        if order:
            self._send(pending, order[0])
        return pending

    def receive(self, reply: PermitReply) -> None:
        """Process a holder's reply."""
        pending = self._pending.pop(reply.op, None)
        if pending is not None:
            pending.permit = reply.permit
            pending.replied.set()

    def is_stale(self, pending: PendingPermit) -> bool:
        """Return whether a valid permit is too old for its request to be sent."""
        wait_s = pending.permit.wait_s if pending.permit else 0.0
        return boot_clock() - pending.sent_at - wait_s > MAX_PERMIT_AGE_S

    def cancel(self, pending: PendingPermit) -> None:
        """Stop waiting for the reply to a permit request."""
        self._pending.pop(pending.op, None)

    async def wait_for_permit(
        self, pending: PendingPermit, deadline: float
    ) -> OverQuota | HoldersUnreachable | None:
        """Wait until a permit is valid.

        Parameters
        ----------
        deadline : float
            Time on the loop's clock after which no further holders are asked.

        Returns
        -------
        OverQuota or HoldersUnreachable or None
            None if there is a permit; otherwise why there is none.
        """
        loop = asyncio.get_running_loop()
        while True:
            if not self._is_reachable():
                # Fail at once: the caller may reach a relay that can serve it.
                return HoldersUnreachable(0, self._view().number)
            outcome = await self._query_holders(pending, deadline)
            if not isinstance(outcome, HoldersUnreachable):
                return outcome
            if loop.time() + RETRY_INTERVAL_S >= deadline:
                return outcome
            await anyio.sleep(RETRY_INTERVAL_S)

    async def _query_holders(
        self, pending: PendingPermit, deadline: float
    ) -> OverQuota | HoldersUnreachable | None:
        """Ask each holder once, beginning with the one that was asked already."""
        order = self._query_order(pending)
        if pending.holder is not None:
            order = [pending.holder, *(m for m in order if m != pending.holder)]
        exhausted: list[tuple[Permit, Member]] = []
        for member in order:
            permit = await self._await_permit(pending, member, deadline)
            if permit is None:
                continue
            if permit.status is PermitStatus.GRANTED:
                return None
            if permit.status is PermitStatus.EXHAUSTED:
                exhausted.append((permit, member))
            if permit.is_program_refused and pending.program and not pending.kind:
                # The holder that knows the program has given up on it. Another one
                # would let single requests through, though it cannot end.
                return _over_quota(permit)
        if not exhausted:
            pending.holder = None
            return HoldersUnreachable(len(order), self._view().number)
        earliest_permit, earliest_member = min(exhausted, key=lambda one: one[0].wait_s)
        if (
            earliest_permit.wait_s <= MAX_ADVANCE_S
            and not earliest_permit.is_program_refused
        ):
            # No holder has a permit now, so request the next one that becomes free.
            pending.allow_delayed = True
            permit = await self._await_permit(pending, earliest_member, deadline)
            if permit is not None and permit.status is PermitStatus.GRANTED:
                return None
        return _over_quota(earliest_permit)

    async def _await_permit(
        self, pending: PendingPermit, member: Member, deadline: float
    ) -> Permit | None:
        """Return a holder's reply, if any; for a permit, wait until it is valid."""
        loop = asyncio.get_running_loop()
        is_stale = boot_clock() - pending.sent_at > MAX_PERMIT_AGE_S
        if pending.holder != member or pending.allow_delayed or is_stale:
            self._send(pending, member)
        with anyio.move_on_after(
            max(0.0, min(REPLY_TIMEOUT_S, deadline - loop.time()))
        ):
            await pending.replied.wait()
        permit = pending.permit
        self.cancel(pending)
        if permit is None:
            self._suspect(member, loop.time())
            return None
        if permit.status is PermitStatus.GRANTED and permit.wait_s > 0:
            await anyio.sleep(permit.wait_s)
        return permit

    def _suspect(self, member: Member, now: float) -> None:
        if self._suspects.get(member.address, 0.0) <= now:
            log.info("quota holder does not answer", extra={"keeper": member.name})
        current = {a: until for a, until in self._suspects.items() if until > now}
        self._suspects = current | {member.address: now + SUSPECT_DURATION_S}

    def _query_order(self, pending: PendingPermit) -> list[Member]:
        quota = pending.customer.quota
        assert quota is not None, "only customers with a quota need permits"
        count = holder_quota(quota, self._bounds).holders
        holders = quota_holders(self._view().members, pending.customer.name, count)
        now = asyncio.get_running_loop().time()
        order = query_order(holders, pending.program)
        return sorted(order, key=lambda m: self._suspects.get(m.address, 0.0) > now)

    def _send(self, pending: PendingPermit, member: Member) -> None:
        self.cancel(pending)
        self._op += 1
        pending.op = self._op
        pending.holder = member
        pending.sent_at = boot_clock()
        pending.permit = None
        pending.replied = asyncio.Event()
        self._pending[pending.op] = pending
        message = PermitRequest(
            pending.op,
            pending.customer.name,
            pending.program,
            pending.kind,
            pending.allow_delayed,
        )
        self._transport.send(member.address, message)


def _over_quota(permit: Permit) -> OverQuota:
    """Return the refusal of a request, with a random share of its retry delay."""
    retry_after_s = permit.wait_s * random.uniform(1.0, MAX_RETRY_JITTER)
    return OverQuota(max(MIN_RETRY_AFTER_S, retry_after_s))
