"""What a keeper holds of the other keepers that get reports.

Load pattern: relays of each failure domain report to a keeper there, so none has all
reports. Sums of another keeper contain only what its own relays report, so nothing is
counted twice on any path.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from typing import Final

from ..core.hashing import address_of
from ..core.ledgerwire import (
    UNKNOWN_WEIGHTS,
    DomainSums,
    PictureBlock,
    unpack_loads,
)
from ..core.links import MS_PER_S, Link
from .blocks import HealthSum, LoadSum
from .digest import AGE_UNIT_S, MAX_OBSERVATIONS, MAX_OUTCOMES, MAX_PACE, clip
from .sums import (
    MAX_AGE_S,
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

# A keeper counts as alive for the decision on weights for this time in seconds: three
# intervals of its messages.
HEARD_TTL_S: Final = 1.6
MAX_PEERS: Final = 64
# Outcomes from another keeper are clipped to the limits of this number of relays.
RELAYS_PER_SUM: Final = 64


class PeerState:
    """Another keeper that exchanges sums with this one."""

    def __init__(self, member: str) -> None:
        self.member = member
        self.link = Link()
        self.heard_at = -math.inf
        self.sent_at = -math.inf
        self.loads: dict[int, LoadSum] = {}
        self.healths: dict[int, HealthSum] = {}
        self.paces: dict[int, PaceSum] = {}
        self.best_rank = 0
        self.weights = UNKNOWN_WEIGHTS
        self.last_block = 0


class PeerSums:
    """Sums of the other keepers.

    Attributes
    ----------
    peers : dict of str to PeerState
        Keepers by address.
    """

    def __init__(self, counters: Counters, servers: KnownServers) -> None:
        self.peers: dict[str, PeerState] = {}
        self._counters = counters
        self._servers = servers

    def find(self, sender: str) -> PeerState | None:
        """Return the state of a keeper, or None if there are too many."""
        address = address_of(sender)
        peer = self.peers.get(address)
        if peer is not None and peer.member in ("", sender):
            peer.member = sender
            return peer
        if peer is None and len(self.peers) >= MAX_PEERS:
            self._counters.clipped += 1
            return None
        peer = self.peers[address] = PeerState(sender)
        return peer

    def apply(
        self, peer: PeerState, sums: DomainSums, transit_s: float, now: float
    ) -> None:
        """Apply the loads, outcomes and paces of a message."""
        for age_ms, block in zip(sums.ages_ms, sums.blocks, strict=False):
            if age_ms >= 0:
                made_at = now - transit_s - age_ms / MS_PER_S
                self._apply_block(peer, block, made_at)
        for entry in sums.paces[:MAX_OBSERVATIONS]:
            pace = clip(entry.pace, MAX_PACE)
            if self._servers.check(entry.server) and pace:
                relays = max(1, clip(entry.relays, MAX_RELAYS))
                peer.paces[entry.server] = PaceSum(pace, relays, now)

    def _apply_block(
        self, peer: PeerState, block: PictureBlock, made_at: float
    ) -> None:
        for load in unpack_loads(block.loads)[:MAX_OBSERVATIONS]:
            if self._servers.check(load.server):
                as_of = made_at - load.age * AGE_UNIT_S
                peer.loads[load.server] = LoadSum(
                    load.in_flight, load.token_units, as_of
                )
        limit = MAX_OUTCOMES * RELAYS_PER_SUM
        for health in block.healths[:MAX_OBSERVATIONS]:
            if self._servers.check(health.server):
                peer.healths[health.server] = HealthSum(
                    clip(health.failures, limit),
                    clip(health.successes, limit),
                    clip(health.silent, limit),
                    clip(health.witnesses, limit),
                    made_at - max(0, health.age) * AGE_UNIT_S,
                )

    def alive(self, now: float) -> list[PeerState]:
        """Return the keepers that were heard recently."""
        return [p for p in self.peers.values() if now - p.heard_at <= HEARD_TTL_S]

    def add_to(self, loads: dict[int, LoadSum], healths: dict[int, HealthSum]) -> None:
        """Add the sums of all keepers to those of this one."""
        for peer in self.peers.values():
            for server, load in peer.loads.items():
                if load.in_flight or load.token_units:
                    loads[server] = add_loads(loads.get(server), load)
            for server, health in peer.healths.items():
                healths[server] = add_healths(healths.get(server), health)

    def expire(self, now: float, configured: Collection[str]) -> None:
        """Remove what is too old to count.

        Parameters
        ----------
        configured : collection of str
            Addresses of the keepers that exchange sums. Those are kept without an
            answer, with the time of the last message to them.
        """
        for address, peer in list(self.peers.items()):
            is_unanswered = not peer.member and address in configured
            if now - peer.heard_at > PEER_TTL_S and not is_unanswered:
                # Another incarnation may have its address by now.
                del self.peers[address]
                continue
            drop_old(peer.loads, now - MAX_AGE_S)
            drop_old(peer.healths, now - MAX_AGE_S)
            drop_old_paces(peer.paces, now - PACE_TTL_S)
