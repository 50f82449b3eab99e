"""What a keeper merges from the reports of relays and sends to them.

Load pattern: each of many relays sees a small part of a server's requests, and none
sees that a server is full or has stopped answering. Relays report to a keeper in their
own failure domain. Keepers that get reports exchange sums over their own relays, which
is the only traffic between domains, and reply to each report with the picture of all
domains.

A report counts for a second. Sums of another keeper are complete in themselves as well.
A sum of another keeper contains only what its own relays report, so nothing is counted
twice on any path. A keeper that has restarted learns all of it again within a second.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from typing import Final, cast

from ..core.ledgerwire import (
    DomainSums,
    PictureBlock,
    PictureUpdate,
    RelayDigest,
    ServerPace,
    Weights,
)
from ..core.links import MS_PER_S
from .blocks import BlockStream, HealthSum, LoadSum
from .capacity import StepChange
from .peer_sums import HEARD_TTL_S, PeerState, PeerSums
from .relay_reports import Received, RelayReports, RelayState
from .sums import CONTRIBUTION_TTL_S, MAX_AGE_S, PEER_TTL_S, Counters, KnownServers
from .weight_decision import WeightDecision

# Within a domain: blocks per relay every 0.25 s, and bytes per second. With 2 kB/s for
# the reports themselves this is below the 9 kB/s that control may use.
PICTURE_INTERVAL_S: Final = 0.25
PICTURE_BYTES_PER_S: Final = 6500.0
# Between domains, where bytes are expensive: half as often and about half of the bytes.
SUMS_INTERVAL_S: Final = 0.5
SUMS_BYTES_PER_S: Final = 4000.0
# Paces in a message between keepers, and seconds after which one is repeated.
MAX_PACES: Final = 64
PACE_REPEAT_S: Final = 2.0
# Interval in seconds of messages to a keeper that does not answer.
HELLO_INTERVAL_S: Final = 1.0


class Merger:
    """Merges the reports of relays and the sums of other keepers.

    Parameters
    ----------
    me : str
        Address of this keeper.
    now : float
        Time of its start in seconds.
    """

    def __init__(self, me: str, now: float) -> None:
        self.counters = Counters()
        self._me = me
        self._servers = KnownServers(self.counters)
        self._reports = RelayReports(self.counters, self._servers)
        self._peers = PeerSums(self.counters, self._servers)
        self._decision = WeightDecision(
            me, now, self._reports, self._peers, self._servers
        )
        # Time of the last report.
        self._active_at = -math.inf
        self._order: tuple[str, ...] = ()
        self._picture = BlockStream(PICTURE_INTERVAL_S, PICTURE_BYTES_PER_S)
        self._sums = BlockStream(SUMS_INTERVAL_S, SUMS_BYTES_PER_S)
        self._paces_sent_at: dict[int, float] = {}
        self._paces_to_send: list[ServerPace] = []

    # Configuration

    def set_order(self, order: Sequence[str]) -> None:
        """Set the addresses of the keepers that exchange sums.

        The first one that is alive decides the weights.
        """
        self._order = tuple(order)
        self._decision.set_order(order)

    def set_services(self, services: Mapping[int, str]) -> None:
        """Set the service of each known server."""
        self._servers.replace(services)

    @property
    def relay_count(self) -> int:
        """Number of relays that report to this keeper."""
        return len(self._reports.relays)

    @property
    def weights(self) -> dict[int, int]:
        """Capacity steps in force; servers at step 0 are omitted."""
        return self._decision.steps

    def take_step_changes(self) -> list[StepChange]:
        """Return the weights that this keeper has changed since the last call."""
        changes = self._decision.changes
        self._decision.changes = []
        return changes

    # Reports of relays

    def on_digest(
        self, sender: str, digest: RelayDigest, now: float
    ) -> list[tuple[str, PictureUpdate | DomainSums]]:
        """Apply a report; return the reply and the sums to send to other keepers."""
        if now - self._active_at > PEER_TTL_S:
            self._decision.active_since = now
        self._active_at = now
        relay = self._reports.find(sender, now)
        if relay is None:
            return []
        arrival = relay.link.receive(digest.timing, now)
        if not arrival.is_new:
            self.counters.outdated += 1
            return []
        relay.heard_at = now
        self.counters.invalid_times += not arrival.is_valid
        if arrival.transit_s < CONTRIBUTION_TTL_S:
            self._reports.apply(relay, digest, now - arrival.transit_s)
            relay.received.append(Received(now, digest.timing.stamp))
        elif digest.observations:
            self.counters.outdated += 1
        if self._picture.is_due(now) or self._sums.is_due(now):
            self._reports.expire(now)
            self._peers.expire(now, self._order)
            self._decision.decide(now)
        # A report of unknown age gets a reply too, whose stamp makes the age of the
        # next one known.
        messages: list[tuple[str, PictureUpdate | DomainSums]] = [
            (sender, self._make_update(relay, digest.weights, now))
        ]
        messages += self._make_sums(now)
        return messages

    # Sums of other keepers

    def on_sums(self, sender: str, sums: DomainSums, now: float) -> None:
        """Apply the sums of another keeper.

        There is no reply: a keeper sends its own sums while relays report to it.
        """
        if now - self._active_at > PEER_TTL_S:
            # Reports of relays, which otherwise remove old sums, do not arrive.
            self._peers.expire(now, self._order)
        peer = self._peers.find(sender)
        if peer is None:
            return
        arrival = peer.link.receive(sums.timing, now)
        if not arrival.is_new:
            self.counters.outdated += 1
            return
        peer.heard_at = now
        peer.best_rank = max(0, sums.best_rank)
        if arrival.transit_s >= MAX_AGE_S:
            # The first message has no age yet; its successor will have one.
            self.counters.invalid_times += not arrival.is_valid
            self.counters.outdated += bool(sums.blocks)
            return
        self._peers.apply(peer, sums, arrival.transit_s, now)
        self._decision.adopt(peer, sums.weights, now)

    # Sums

    def _domain_sums(self) -> tuple[dict[int, LoadSum], dict[int, HealthSum]]:
        """Return the own sums, with outcomes of servers that fail anywhere only."""
        loads, healths = self._reports.sums()
        failing_elsewhere = {s for p in self._peers.peers.values() for s in p.healths}
        return loads, {
            server: total
            for server, total in healths.items()
            if total.witnesses or server in failing_elsewhere
        }

    def _all_sums(self) -> tuple[dict[int, LoadSum], dict[int, HealthSum]]:
        """Return the sums over all relays."""
        loads, healths = self._reports.sums()
        self._peers.add_to(loads, healths)
        failing = {server: h for server, h in healths.items() if h.witnesses}
        return loads, failing

    # Messages

    def _make_update(
        self, relay: RelayState, known_weights: int, now: float
    ) -> PictureUpdate:
        if self._picture.is_due(now):
            self._picture.make_block(*self._all_sums(), now)
        blocks = self._picture.since(relay.last_block, now)
        relay.last_block = self._picture.number
        return PictureUpdate(
            relay.link.next_timing(now),
            [relay.included_at(now - aged.age_s) for aged in blocks],
            [math.ceil(aged.age_s * MS_PER_S) for aged in blocks],
            # Encoded once for all receivers.
            cast("list[PictureBlock]", [aged.block for aged in blocks]),
            self._weights_for(known_weights),
        )

    def _weights_for(self, known: int) -> Weights:
        if known == self._decision.current.id:
            return Weights(known)
        return self._decision.current

    def _make_sums(self, now: float) -> list[tuple[str, PictureUpdate | DomainSums]]:
        """Return the sums for the other keepers, if they are due."""
        if not self._sums.is_due(now):
            return []
        self._sums.make_block(*self._domain_sums(), now)
        self._select_paces(now)
        for address in self._order:
            if address != self._me:
                self._peers.peers.setdefault(address, PeerState(""))
        messages: list[tuple[str, PictureUpdate | DomainSums]] = []
        for address, peer in self._peers.peers.items():
            message = self._make_sums_for(address, peer, now)
            if message is not None:
                messages.append((peer.member or address, message))
        return messages

    def _make_sums_for(
        self, address: str, peer: PeerState, now: float
    ) -> DomainSums | None:
        heard_rank = self._decision.heard_rank(now)
        if now - peer.heard_at > HEARD_TTL_S:
            if now - peer.sent_at < HELLO_INTERVAL_S:
                return None
            peer.sent_at = now
            peer.last_block = self._sums.number
            return DomainSums(peer.link.next_timing(now), heard_rank)
        peer.sent_at = now
        blocks = self._sums.since(peer.last_block, now)
        peer.last_block = self._sums.number
        decides = self._decision.rank(address) == self._decision.best_rank(now)
        return DomainSums(
            peer.link.next_timing(now),
            heard_rank,
            [math.ceil(aged.age_s * MS_PER_S) for aged in blocks],
            cast("list[PictureBlock]", [aged.block for aged in blocks]),
            self._paces_to_send if decides else [],
            self._weights_for(peer.weights),
        )

    def _select_paces(self, now: float) -> None:
        """Select the paces to send to the keeper that decides the weights."""
        paces = self._reports.paces()
        self._paces_sent_at = {
            s: at for s, at in self._paces_sent_at.items() if s in paces
        }
        due = [
            server
            for server in paces
            if now - self._paces_sent_at.get(server, -math.inf) >= PACE_REPEAT_S
        ]
        due.sort(key=lambda server: self._paces_sent_at.get(server, -math.inf))
        self._paces_to_send = [
            ServerPace(server, paces[server].pace, paces[server].relays)
            for server in due[:MAX_PACES]
        ]
        for entry in self._paces_to_send:
            self._paces_sent_at[entry.server] = now


def make_merger(me: str, now: float) -> Merger:
    """Create the merger of a keeper.

    Parameters
    ----------
    me : str
        Address of the keeper.
    now : float
        Time in seconds.
    """
    return Merger(me, now)
