"""Check of a request against the quota of its customer."""

from __future__ import annotations

import asyncio
from typing import Final

from ..errors import Code, Failure
from .quota import HoldersUnreachable, OverQuota, PendingPermit, QuotaClient

# Longest wait for a permit.  Equal to the limit for a reservation: after the failure of
# a member, a new list of members is in force by then.
PERMIT_TIMEOUT_S: Final = 0.6
# Delay before a retry if no holder of the quota answers.
HOLDERS_RETRY_S: Final = 0.2


class QuotaCheck:
    """Quota permit of one request, requested when the request arrives.

    Parameters
    ----------
    pending : PendingPermit or None
        The pending permit request; None if no permit is needed.

    Attributes
    ----------
    waited_s : float
        Seconds for which the request was delayed by waiting for the permit.
    """

    def __init__(self, quota: QuotaClient, pending: PendingPermit | None) -> None:
        self.waited_s = 0.0
        self._quota = quota
        self._pending = pending

    async def wait_for_permit(self, admitted_at: float) -> Failure | None:
        """Wait for the permit; to be called just before the first server is chosen.

        Parameters
        ----------
        admitted_at : float
            Time on the loop's clock at which the permit was requested.

        Returns
        -------
        Failure or None
            Why there is no permit; None if the request may run.
        """
        if self._pending is None:
            return None
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        outcome = await self._quota.wait_for_permit(
            self._pending, max(started_at, admitted_at + PERMIT_TIMEOUT_S)
        )
        self.waited_s += loop.time() - started_at
        match outcome:
            case None:
                return None
            case OverQuota(retry_after_s):
                detail = f"the quota of {self._pending.customer.name} is used up"
                return Failure(Code.OVER_QUOTA, detail, "no", retry_after_s)
            case HoldersUnreachable(count, view):
                detail = f"none of {count} holders of the quota answered in view {view}"
                return Failure(Code.QUOTA_UNREACHABLE, detail, "no", HOLDERS_RETRY_S)

    async def renew_permit(self) -> Failure | None:
        """Request a permit again if the last one is too old by now.

        Returns
        -------
        Failure or None
            Why there is no permit; None if the request may run.
        """
        if self._pending is None or not self._quota.is_stale(self._pending):
            return None
        return await self.wait_for_permit(asyncio.get_running_loop().time())

    def cancel(self) -> None:
        """Stop waiting for the permit; a late reply is ignored."""
        if self._pending is not None:
            self._quota.cancel(self._pending)
