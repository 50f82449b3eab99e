"""Which servers a request may be sent to.

Each of its places is known before the send, see `places`. What is known of earlier
attempts ends a request sooner: once as many servers as it has places have crashed or
may have, only these may get it.
"""

from __future__ import annotations

from typing import Final

from ..scheduling.claims import NO_CLAIM, claim_key
from ..scheduling.digest import server_key
from ..scheduling.fleet import Fleet, ServerState
from ..scheduling.proven import ProvenRequests
from .crashlog import CrashLog
from .crashshare import CrashShare
from .hashservers import HashServers
from .job import Job
from .running import RunningRequests

# Servers that a request may claim at the same time.
CLAIM_PLACES: Final = 1
# Servers that a request may claim one after the other, as some leave by plan.
MAX_CLAIMS_OF_REQUEST: Final = 8


class RequestServers:
    """Chooses the places of requests.

    Parameters
    ----------
    share : CrashShare
        What is known of earlier attempts; asks keepers for claims.
    running : RunningRequests
        The requests of this relay.
    log : CrashLog
        Logs claims.

    Attributes
    ----------
    proven : ProvenRequests
        Requests that are known to do no harm.
    """

    def __init__(
        self, share: CrashShare, running: RunningRequests, log: CrashLog
    ) -> None:
        self.proven = ProvenRequests()
        self._table = share.table
        self._share = share
        self._running = running
        self._log = log
        self._by_hash: HashServers

    def attach(self, fleet: Fleet) -> None:
        """Set the servers to choose from."""
        self._by_hash = HashServers(fleet)

    def sweep(self, now: float) -> None:
        """Observe which servers have come and left; drop what is too old to matter."""
        self._by_hash.refresh(now)
        self.proven.expire(now)

    def allowed(self, job: Job) -> frozenset[int] | None:
        """Return the keys of the only servers that may get a request; None for all."""
        accounted = self._only_known(job)
        if accounted is not None:
            return accounted
        places = job.places
        if places.is_free or self._is_harmless(job):
            return None
        count = self._table.limits.max_crashes - self._claim_places(job)
        by_hash = self._by_hash.choose(
            job.service, job.hash_item, count - places.is_reserved, job.now()
        )
        key = self._key(job)
        known = self._table.exposed(key, self._running.servers_of_others(job))
        allowed = known | places.used | places.claimed | by_hash
        return allowed - self._table.servers(key)

    def _only_known(self, job: Job) -> frozenset[int] | None:
        """Return the servers of earlier attempts if there are too many for others."""
        others = self._running.servers_of_others(job)
        return self._table.allowed_servers(self._key(job), others)

    def _key(self, job: Job) -> bytes:
        return self._table.find(job.identity) or b""

    def _is_harmless(self, job: Job) -> bool:
        """Return whether a request is known to end no servers."""
        is_proven = self.proven.is_proven(job.identity, job.now())
        return is_proven or self._table.is_pardoned(job.identity)

    def is_confined(self, job: Job, *, has_tried: bool) -> bool:
        """Return whether a request is refused since other servers must not get it.

        Parameters
        ----------
        has_tried : bool
            Whether servers that may get it have rejected it.
        """
        if self._only_known(job) is not None:
            return True
        return not has_tried and self.allowed(job) is not None

    def _claim_places(self, job: Job) -> int:
        """Return how many servers a request may claim."""
        others = 1 + job.places.is_reserved
        return max(0, min(CLAIM_PLACES, self._table.limits.max_crashes - others))

    def may_claim(self, job: Job) -> bool:
        """Return whether keepers may be asked for one more server."""
        places = job.places
        if places.is_unanswered or len(places.claimed) >= self._claim_places(job):
            return False
        return self._only_known(job) is None

    async def claim(self, job: Job, state: ServerState) -> None:
        """Claim a server for a request.

        It may have claimed another one before, at this relay or at others.
        """
        places, server = job.places, server_key(state.incarnation)
        started_at = job.now()
        claimed = NO_CLAIM
        while places.next_claim < MAX_CLAIMS_OF_REQUEST:
            key = claim_key(job.request_digest, places.next_claim)
            claimed = await self._share.claim(key, server)
            if claimed == NO_CLAIM:
                break
            places.next_claim += 1
            # A server that leaves by plan gives its place back.
            if not self._by_hash.has_left(claimed):
                break
        places.is_unanswered = claimed == NO_CLAIM
        places.claimed |= {claimed} - {NO_CLAIM}
        self._log.record_claim(
            job.request_digest,
            job.caller_req.id,
            claimed,
            is_new=claimed == server,
            took_s=job.now() - started_at,
            now=job.now(),
        )
