"""Whether a request may go to a server, as far as its customer's quota goes."""

from __future__ import annotations

import asyncio
from typing import Final

from ..errors import Code, Failure
from .quota import NoHolder, OverQuota, QuotaClient, Ticket

# Longest wait for a permit, in seconds; then the caller is told to come back.  As long
# as for a reservation: a list of members that has just lost one has settled by then.
PERMIT_S: Final = 0.6
# When to come back if no holder of the quota answers, in seconds.
AWAY_S: Final = 0.2


class Permission:
    """The permit of one request, asked for when it arrives.

    Parameters
    ----------
    ticket : Ticket or None
        The question under way; None if no permit is needed.

    Attributes
    ----------
    waited_s : float
        Seconds for which the request waited for it at last.
    """

    def __init__(self, quota: QuotaClient, ticket: Ticket | None) -> None:
        self.waited_s = 0.0
        self._quota = quota
        self._ticket = ticket

    async def refusal(self, received_at: float) -> Failure | None:
        """Wait for the permit; a failure says why there is none.

        Call it just before the request goes to its first server.

        Parameters
        ----------
        received_at : float
            When the request arrived, on the loop's clock.
        """
        if self._ticket is None:
            return None
        loop = asyncio.get_running_loop()
        began = loop.time()
        outcome = await self._quota.permit(
            self._ticket, max(began, received_at + PERMIT_S)
        )
        self.waited_s = loop.time() - began
        match outcome:
            case None:
                return None
            case OverQuota(retry_s):
                detail = f"the quota of {self._ticket.customer.name} is used up"
                return Failure(Code.OVER_QUOTA, detail, "no", retry_s)
            case NoHolder(asked, view):
                detail = f"none of {asked} holders of the quota answered in view {view}"
                return Failure(Code.QUOTA_AWAY, detail, "no", AWAY_S)

    def drop(self) -> None:
        """Forget the question, whatever becomes of it."""
        if self._ticket is not None:
            self._quota.drop(self._ticket)
