"""The server of a request that all relays compute alike, by rendezvous hash.

A server that is gone without notice stays among the candidates for as long as the
attempts of a request may go on, so that no other one takes its place meanwhile. For the
same reason a new one becomes a candidate only after that time if there are others. One
that leaves by plan is replaced at once. Relays that have just started can't tell new
servers from others; their choices may differ until then.
"""

from __future__ import annotations

import math
from typing import Final, NamedTuple

from ..core.hashing import hash64, rendezvous_order
from ..scheduling.claims import CLAIM_S
from ..scheduling.digest import server_key
from ..scheduling.exposure import EXPOSURE_S
from ..scheduling.fleet import Fleet, Server

# Groups of requests that have the same server. It is computed once for each group: with
# hundreds of servers that costs more than all else.
GROUPS: Final = 512
# Servers that are remembered for each group.
MAX_ORDER: Final = 8
# Seconds after the first known server within which others are not new: a listing may
# arrive in parts.
LISTING_S: Final = 5.0


class _Candidate(NamedTuple):
    """A server of a service.

    Attributes
    ----------
    settled_at : float
        Time from which it is not new.
    expires_at : float
        Time until which it is a candidate although it is gone.
    """

    server: Server
    settled_at: float
    expires_at: float


class _Service:
    """Candidates of a service, and the server of each group of requests."""

    def __init__(self) -> None:
        self.version = -1
        self.first_seen_at = math.inf
        self.candidates: dict[str, _Candidate] = {}
        self.next_change_at = -math.inf
        self.orders: dict[int, tuple[int, ...]] = {}


class HashServers:
    """Chooses the server of each request by hash.

    Parameters
    ----------
    fleet : Fleet
        The known servers.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._services: dict[str, _Service] = {}
        # When servers were last known to leave by plan, by their keys.
        self._left_at: dict[int, float] = {}

    def refresh(self, now: float) -> None:
        """Observe which servers have come and left."""
        for service in self._fleet.services():
            self._refresh(service, now)
        self._left_at = {
            server: at for server, at in self._left_at.items() if now - at <= CLAIM_S
        }

    def _refresh(self, service: str, now: float) -> _Service:
        known = self._services.setdefault(service, _Service())
        version = self._fleet.version(service)
        if version == known.version and now < known.next_change_at:
            return known
        known.version = version
        states = self._fleet.states_of(service)
        if states:
            known.first_seen_at = min(known.first_seen_at, now)
        is_listing = now - known.first_seen_at <= LISTING_S
        candidates = known.candidates
        present = set()
        for state in states:
            incarnation = state.incarnation
            if state.server.draining:
                candidates.pop(incarnation, None)
                self._left_at[server_key(incarnation)] = now
            elif state.accepts_requests():
                present.add(incarnation)
                settled_at = now if is_listing else now + EXPOSURE_S
                if incarnation in candidates:
                    settled_at = candidates[incarnation].settled_at
                candidates[incarnation] = _Candidate(state.server, settled_at, math.inf)
        for incarnation in candidates.keys() - present:
            candidate = candidates[incarnation]
            expires_at = min(candidate.expires_at, now + EXPOSURE_S)
            candidates[incarnation] = candidate._replace(expires_at=expires_at)
            if expires_at <= now:
                del candidates[incarnation]
        times = [t for c in candidates.values() for t in c[1:] if t > now]
        known.next_change_at = min(times, default=math.inf)
        known.orders.clear()
        return known

    def has_left(self, server: int) -> bool:
        """Return whether a server has said that it leaves by plan."""
        return server in self._left_at

    def choose(self, service: str, item: str, count: int, now: float) -> frozenset[int]:
        """Return the keys of the servers of a request; fewer if there are no more.

        They are in different failure domains as far as possible.

        Parameters
        ----------
        item : str
            What all attempts of the request have in common.
        count : int
            Number of servers.
        """
        known = self._refresh(service, now)
        group = hash64(item) % GROUPS
        order = known.orders.get(group)
        if order is None:
            order = known.orders[group] = self._order(known, group, now)
        return frozenset(order[:count])

    @staticmethod
    def _order(known: _Service, group: int, now: float) -> tuple[int, ...]:
        # The best one of each domain, then the second best ones, and new ones last.
        ranks: dict[tuple[bool, str], int] = {}
        ranked = []
        for name in rendezvous_order(str(group), known.candidates):
            candidate = known.candidates[name]
            is_new = candidate.settled_at > now
            domain = is_new, candidate.server.domain
            ranks[domain] = ranks.get(domain, 0) + 1
            ranked.append((is_new, ranks[domain], name))
        ranked.sort(key=lambda entry: entry[:2])
        return tuple(server_key(name) for *_, name in ranked[:MAX_ORDER])
