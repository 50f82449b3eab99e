"""What a keeper holds of the relays that report to it.

Load pattern: each of many relays sees a small part of a server's requests. A report
replaces the one before, so a lost or doubled one does not matter.
"""

from __future__ import annotations

from collections import deque
from statistics import median_low
from typing import Final, NamedTuple

from ..core.hashing import address_of
from ..core.ledgerwire import RelayDigest, ServerObservation
from ..core.links import Link
from .blocks import HealthSum, LoadSum
from .digest import (
    MAX_IN_FLIGHT,
    MAX_OBSERVATIONS,
    MAX_OUTCOMES,
    MAX_PACE,
    MAX_TOKEN_UNITS,
    clip,
)
from .sums import (
    CONTRIBUTION_TTL_S,
    MAX_RELAYS,
    PACE_TTL_S,
    PEER_TTL_S,
    Counters,
    KnownServers,
    PaceSum,
    add_healths,
    add_loads,
    drop_old,
    drop_old_paces,
)

# Stored times of reports per relay: those of the oldest block that is still sent.
MAX_RECEIVED: Final = 16
# Several failing or silent requests of one relay count as two witnesses.
MAX_WITNESSES_PER_RELAY: Final = 2


class _Contribution(NamedTuple):
    seen: ServerObservation
    as_of: float


class Received(NamedTuple):
    """When a report arrived, and its stamp."""

    at: float
    stamp: int


class RelayState:
    """A relay that reports to this keeper."""

    def __init__(self, member: str, now: float) -> None:
        self.member = member
        self.link = Link()
        self.heard_at = now
        self.contributions: dict[int, _Contribution] = {}
        self.paces: dict[int, PaceSum] = {}
        # The last usable reports; a block contains those that arrived before it.
        self.received: deque[Received] = deque(maxlen=MAX_RECEIVED)
        self.last_block = 0

    def included_at(self, made_at: float) -> int:
        """Return the stamp of the newest report before a time."""
        return max((r.stamp for r in self.received if r.at <= made_at), default=-1)


class RelayReports:
    """Reports of the relays of this keeper.

    Attributes
    ----------
    relays : dict of str to RelayState
        Relays by address.
    """

    def __init__(self, counters: Counters, servers: KnownServers) -> None:
        self.relays: dict[str, RelayState] = {}
        self._counters = counters
        self._servers = servers

    def find(self, sender: str, now: float) -> RelayState | None:
        """Return the state of a relay, or None if there are too many."""
        address = address_of(sender)
        relay = self.relays.get(address)
        if relay is not None and relay.member == sender:
            return relay
        if relay is None and len(self.relays) >= MAX_RELAYS:
            self._counters.clipped += 1
            return None
        # A restarted relay replaces its previous incarnation, whose requests are gone.
        relay = self.relays[address] = RelayState(sender, now)
        return relay

    def apply(self, relay: RelayState, digest: RelayDigest, as_of: float) -> None:
        """Apply the observations of a report."""
        if len(digest.observations) > MAX_OBSERVATIONS:
            self._counters.clipped += 1
        for raw in digest.observations[:MAX_OBSERVATIONS]:
            if not self._servers.check(raw.server):
                continue
            seen = _clip_observation(raw)
            self._counters.clipped += seen != raw
            relay.contributions[seen.server] = _Contribution(seen, as_of)
            if seen.pace:
                relay.paces[seen.server] = PaceSum(seen.pace, 1, as_of)

    def sums(self) -> tuple[dict[int, LoadSum], dict[int, HealthSum]]:
        """Return the sums over the relays."""
        loads: dict[int, LoadSum] = {}
        healths: dict[int, HealthSum] = {}
        for relay in self.relays.values():
            for server, (seen, as_of) in relay.contributions.items():
                if seen.in_flight or seen.token_units:
                    part = LoadSum(seen.in_flight, seen.token_units, as_of)
                    loads[server] = add_loads(loads.get(server), part)
                bad = seen.failures + seen.silent
                if bad or seen.successes:
                    witnesses = min(MAX_WITNESSES_PER_RELAY, bad)
                    outcomes = HealthSum(
                        seen.failures, seen.successes, seen.silent, witnesses, as_of
                    )
                    healths[server] = add_healths(healths.get(server), outcomes)
        return loads, healths

    def paces(self) -> dict[int, PaceSum]:
        """Return the median pace of each server among the relays."""
        by_server: dict[int, list[PaceSum]] = {}
        for relay in self.relays.values():
            for server, pace in relay.paces.items():
                by_server.setdefault(server, []).append(pace)
        return {
            server: PaceSum(
                median_low(p.pace for p in paces),
                len(paces),
                max(p.at for p in paces),
            )
            for server, paces in by_server.items()
        }

    def expire(self, now: float) -> None:
        """Remove what is too old to count."""
        for address, relay in list(self.relays.items()):
            if now - relay.heard_at > PEER_TTL_S:
                del self.relays[address]
                continue
            drop_old(relay.contributions, now - CONTRIBUTION_TTL_S)
            drop_old_paces(relay.paces, now - PACE_TTL_S)


def _clip_observation(raw: ServerObservation) -> ServerObservation:
    return ServerObservation(
        raw.server,
        clip(raw.in_flight, MAX_IN_FLIGHT),
        clip(raw.token_units, MAX_TOKEN_UNITS),
        clip(raw.failures, MAX_OUTCOMES),
        clip(raw.successes, MAX_OUTCOMES),
        clip(raw.silent, MAX_IN_FLIGHT),
        clip(raw.pace, MAX_PACE),
    )
