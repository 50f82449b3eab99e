"""What a keeper merges from the reports of relays and sends to them.

Load pattern: each of many relays sees a small part of a server's requests, and none
sees that a server is full or has stopped to answer. Relays report to a keeper in their
own failure domain. Keepers that get reports exchange sums over their own relays, which
is the only traffic between domains, and reply to each report with the picture of all
domains.

A report counts for a second. Sums of another keeper are complete in themselves as well.
A sum of another keeper contains only what its own relays report, so nothing is counted
twice on any path. What a keeper forgets at its end, it learns again within a second.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from statistics import median_low
from typing import Final, NamedTuple, Protocol, TypeVar, cast

from ..core.hashing import address_of, hash64
from ..core.ledgerwire import (
    UNKNOWN_WEIGHTS,
    DomainSums,
    PictureBlock,
    PictureUpdate,
    RelayDigest,
    ServerObservation,
    ServerPace,
    ServerWeight,
    Weights,
    unpack_loads,
)
from ..core.links import MS_PER_S, Link
from .blocks import BlockStream, HealthSum, LoadSum
from .capacity import DECISION_INTERVAL_S, CapacitySteps, StepChange, clip_step
from .digest import (
    AGE_UNIT_S,
    KEY_MASK,
    MAX_IN_FLIGHT,
    MAX_OBSERVATIONS,
    MAX_OUTCOMES,
    MAX_PACE,
    MAX_TOKEN_UNITS,
    clip,
)

# Seconds after which the report of a relay no longer counts.
CONTRIBUTION_TTL_S: Final = 1.0
# Maximum age in seconds of any part of a sum, at any process.
MAX_AGE_S: Final = 1.5
# Seconds after which a relay or a keeper without messages is dropped.
PEER_TTL_S: Final = 3.0
# A keeper counts as alive for the decision on weights for this time in seconds: three
# intervals of its messages.
HEARD_TTL_S: Final = 1.6
# Seconds after which a reported pace no longer counts. Relays repeat it every 2 s, and
# keepers repeat 690 of them in 6 s.
PACE_TTL_S: Final = 10.0
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
# Rank of a keeper that is not among those chosen to exchange sums.
NO_RANK: Final = 1000
# A keeper to which relays begin to report adopts the weights of others for this time in
# seconds before it decides itself. Otherwise its empty memory would reset all weights.
WARMUP_S: Final = 3.0
# Stored times of reports per relay: those of the oldest block that is still sent.
MAX_RECEIVED: Final = 16
# Limits of the memory that relays and keepers can make a keeper use.
MAX_RELAYS: Final = 1024
MAX_PEERS: Final = 64
# Outcomes from another keeper are clipped to the limits of this number of relays.
RELAYS_PER_SUM: Final = 64
# Several failing or silent requests of one relay count as two witnesses.
MAX_WITNESSES_PER_RELAY: Final = 2


class Counters:
    """Counters of ignored input, exported as metrics."""

    def __init__(self) -> None:
        self.clipped = 0
        self.unknown_servers = 0
        self.outdated = 0
        self.invalid_times = 0

    @property
    def total(self) -> int:
        """Number of all ignored or clipped parts of messages."""
        return self.clipped + self.unknown_servers + self.outdated + self.invalid_times


class _Contribution(NamedTuple):
    seen: ServerObservation
    as_of: float


class _Pace(NamedTuple):
    pace: int
    relays: int
    at: float


class _Received(NamedTuple):
    at: float
    stamp: int


class _Relay:
    """A relay that reports to this keeper."""

    def __init__(self, member: str, now: float) -> None:
        self.member = member
        self.link = Link()
        self.heard_at = now
        self.contributions: dict[int, _Contribution] = {}
        self.paces: dict[int, _Pace] = {}
        # The last usable reports, from which a block's contents are told.
        self.received: deque[_Received] = deque(maxlen=MAX_RECEIVED)
        self.last_block = 0

    def included_at(self, made_at: float) -> int:
        """Return the stamp of the newest report before a time."""
        return max((r.stamp for r in self.received if r.at <= made_at), default=-1)


class _Peer:
    """Another keeper that exchanges sums with this one."""

    def __init__(self, member: str) -> None:
        self.member = member
        self.link = Link()
        self.heard_at = -math.inf
        self.sent_at = -math.inf
        self.loads: dict[int, LoadSum] = {}
        self.healths: dict[int, HealthSum] = {}
        self.paces: dict[int, _Pace] = {}
        self.best_rank = 0
        self.weights = UNKNOWN_WEIGHTS
        self.last_block = 0


class Merger:
    """Merges the reports of relays and the sums of other keepers.

    Parameters
    ----------
    me : str
        Address of this keeper.
    now : float
        Time of its start in seconds.

    Attributes
    ----------
    step_changes : list of StepChange
        Weights that this keeper has changed and that were not logged yet.
    """

    def __init__(self, me: str, now: float) -> None:
        self.counters = Counters()
        self.step_changes: list[StepChange] = []
        self._me = me
        # Since when relays have reported without a long pause, and the last report.
        self._active_since = now
        self._active_at = -math.inf
        self._decided_at = now
        self._order: tuple[str, ...] = ()
        self._services: dict[int, str] = {}
        self._relays: dict[str, _Relay] = {}
        self._peers: dict[str, _Peer] = {}
        self._picture = BlockStream(PICTURE_INTERVAL_S, PICTURE_BYTES_PER_S)
        self._sums = BlockStream(SUMS_INTERVAL_S, SUMS_BYTES_PER_S)
        self._paces_sent_at: dict[int, float] = {}
        self._paces_to_send: list[ServerPace] = []
        self._steps = CapacitySteps()
        self._weights = Weights()

    # Configuration

    def set_order(self, order: Sequence[str]) -> None:
        """Set the addresses of the keepers that exchange sums.

        The first one that is alive decides the weights.
        """
        self._order = tuple(order)

    def set_services(self, services: Mapping[int, str]) -> None:
        """Set the service of each known server."""
        self._services = dict(services)

    @property
    def relay_count(self) -> int:
        """Number of relays that report to this keeper."""
        return len(self._relays)

    @property
    def weights(self) -> dict[int, int]:
        """Capacity steps in force; servers at step 0 are omitted."""
        return dict(self._steps.steps)

    # Reports of relays

    def on_digest(
        self, sender: str, digest: RelayDigest, now: float
    ) -> list[tuple[str, PictureUpdate | DomainSums]]:
        """Apply a report; return the reply and the sums to send to other keepers."""
        if now - self._active_at > PEER_TTL_S:
            self._active_since = now
        self._active_at = now
        relay = self._relay(sender, now)
        if relay is None:
            return []
        arrival = relay.link.receive(digest.timing, now)
        if not arrival.is_new:
            self.counters.outdated += 1
            return []
        relay.heard_at = now
        self.counters.invalid_times += not arrival.is_valid
        if arrival.transit_s < CONTRIBUTION_TTL_S:
            self._apply_observations(relay, digest, now - arrival.transit_s)
            relay.received.append(_Received(now, digest.timing.stamp))
        elif digest.observations:
            self.counters.outdated += 1
        if self._picture.is_due(now) or self._sums.is_due(now):
            self._expire(now)
            self._decide_weights(now)
        # A report of unknown age gets a reply too, whose stamp makes the age of the
        # next one known.
        messages: list[tuple[str, PictureUpdate | DomainSums]] = [
            (sender, self._make_update(relay, digest.weights, now))
        ]
        messages += self._make_sums(now)
        return messages

    def _relay(self, sender: str, now: float) -> _Relay | None:
        address = address_of(sender)
        relay = self._relays.get(address)
        if relay is not None and relay.member == sender:
            return relay
        if relay is None and len(self._relays) >= MAX_RELAYS:
            self.counters.clipped += 1
            return None
        # A restarted relay replaces its previous incarnation, whose requests are gone.
        relay = self._relays[address] = _Relay(sender, now)
        return relay

    def _apply_observations(
        self, relay: _Relay, digest: RelayDigest, as_of: float
    ) -> None:
        if len(digest.observations) > MAX_OBSERVATIONS:
            self.counters.clipped += 1
        for raw in digest.observations[:MAX_OBSERVATIONS]:
            if self._services and raw.server not in self._services:
                self.counters.unknown_servers += 1
                continue
            seen = _clip_observation(raw)
            self.counters.clipped += seen != raw
            relay.contributions[seen.server] = _Contribution(seen, as_of)
            if seen.pace:
                relay.paces[seen.server] = _Pace(seen.pace, 1, as_of)

    # Sums of other keepers

    def on_sums(self, sender: str, sums: DomainSums, now: float) -> None:
        """Apply the sums of another keeper.

        There is no reply: a keeper sends its own sums while relays report to it.
        """
        peer = self._peer(sender)
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
        for age_ms, block in zip(sums.ages_ms, sums.blocks, strict=False):
            if age_ms >= 0:
                made_at = now - arrival.transit_s - age_ms / MS_PER_S
                self._apply_block(peer, block, made_at)
        for entry in sums.paces[:MAX_OBSERVATIONS]:
            pace = clip(entry.pace, MAX_PACE)
            if self._is_known(entry.server) and pace:
                relays = max(1, clip(entry.relays, MAX_RELAYS))
                peer.paces[entry.server] = _Pace(pace, relays, now)
        self._adopt_weights(peer, sums.weights, now)

    def _peer(self, sender: str) -> _Peer | None:
        address = address_of(sender)
        peer = self._peers.get(address)
        if peer is not None and peer.member in ("", sender):
            peer.member = sender
            return peer
        if peer is None and len(self._peers) >= MAX_PEERS:
            self.counters.clipped += 1
            return None
        peer = self._peers[address] = _Peer(sender)
        return peer

    def _apply_block(self, peer: _Peer, block: PictureBlock, made_at: float) -> None:
        for load in unpack_loads(block.loads)[:MAX_OBSERVATIONS]:
            if self._is_known(load.server):
                as_of = made_at - load.age * AGE_UNIT_S
                peer.loads[load.server] = LoadSum(
                    load.in_flight, load.token_units, as_of
                )
        limit = MAX_OUTCOMES * RELAYS_PER_SUM
        for health in block.healths[:MAX_OBSERVATIONS]:
            if self._is_known(health.server):
                peer.healths[health.server] = HealthSum(
                    clip(health.failures, limit),
                    clip(health.successes, limit),
                    clip(health.silent, limit),
                    clip(health.witnesses, limit),
                    made_at - max(0, health.age) * AGE_UNIT_S,
                )

    def _is_known(self, server: int) -> bool:
        if not self._services or server in self._services:
            return True
        self.counters.unknown_servers += 1
        return False

    # Weights

    def _rank(self, address: str) -> int:
        return self._order.index(address) if address in self._order else NO_RANK

    def _alive_peers(self, now: float) -> list[_Peer]:
        return [p for p in self._peers.values() if now - p.heard_at <= HEARD_TTL_S]

    def _heard_rank(self, now: float) -> int:
        """Return the lowest rank among this keeper and those that it hears."""
        heard = [address_of(peer.member) for peer in self._alive_peers(now)]
        return min(self._rank(address) for address in (self._me, *heard))

    def _best_rank(self, now: float) -> int:
        """Return the lowest rank that this keeper or a keeper that it hears hears.

        Without the second hop, two keepers whose link is cut would both decide.
        """
        ranks = [peer.best_rank for peer in self._alive_peers(now)]
        return min((self._heard_rank(now), *ranks))

    def _adopt_weights(self, peer: _Peer, weights: Weights, now: float) -> None:
        """Adopt the weights of the keeper that decides, directly or through another."""
        peer.weights = weights.id
        if weights.steps is None or weights.id in (UNKNOWN_WEIGHTS, self._weights.id):
            return
        best_rank = self._best_rank(now)
        decides = best_rank >= self._rank(self._me)
        is_source = not decides and peer.best_rank <= best_rank
        if is_source or self._weights.id == UNKNOWN_WEIGHTS:
            self._steps.adopt(
                {w.server: w.step for w in weights.steps[:MAX_OBSERVATIONS]}
            )
            self._weights = Weights(weights.id, self._step_entries())

    def _decide_weights(self, now: float) -> None:
        is_warm = now - self._active_since >= WARMUP_S
        if not is_warm or now - self._decided_at < DECISION_INTERVAL_S:
            return
        if self._best_rank(now) < self._rank(self._me):
            return
        self._decided_at = now
        paces = self._merged_paces(now)
        changes = self._steps.decide(paces, self._services)
        if changes or self._weights.id == UNKNOWN_WEIGHTS:
            self.step_changes += changes
            self._weights = _make_weights(self._step_entries())

    def _step_entries(self) -> list[ServerWeight]:
        steps = sorted(self._steps.steps.items())
        return [ServerWeight(server, clip_step(step)) for server, step in steps]

    def _own_paces(self) -> dict[int, _Pace]:
        """Return the median pace of each server among the relays of this keeper."""
        by_server: dict[int, list[_Pace]] = {}
        for relay in self._relays.values():
            for server, pace in relay.paces.items():
                by_server.setdefault(server, []).append(pace)
        return {
            server: _Pace(
                median_low(p.pace for p in paces),
                len(paces),
                max(p.at for p in paces),
            )
            for server, paces in by_server.items()
        }

    def _merged_paces(self, now: float) -> dict[int, float]:
        by_server: dict[int, list[_Pace]] = {}
        own = self._own_paces()
        for paces in (own, *(peer.paces for peer in self._alive_peers(now))):
            for server, pace in paces.items():
                by_server.setdefault(server, []).append(pace)
        return {server: _weighted_median(p) for server, p in by_server.items()}

    # Sums

    def _own_sums(self) -> tuple[dict[int, LoadSum], dict[int, HealthSum]]:
        """Return the sums over the relays of this keeper."""
        loads: dict[int, LoadSum] = {}
        healths: dict[int, HealthSum] = {}
        for relay in self._relays.values():
            for server, (seen, as_of) in relay.contributions.items():
                if seen.in_flight or seen.token_units:
                    part = LoadSum(seen.in_flight, seen.token_units, as_of)
                    loads[server] = _add_loads(loads.get(server), part)
                bad = seen.failures + seen.silent
                if bad or seen.successes:
                    witnesses = min(MAX_WITNESSES_PER_RELAY, bad)
                    outcomes = HealthSum(
                        seen.failures, seen.successes, seen.silent, witnesses, as_of
                    )
                    healths[server] = _add_healths(healths.get(server), outcomes)
        return loads, healths

    def _domain_sums(self) -> tuple[dict[int, LoadSum], dict[int, HealthSum]]:
        """Return the own sums, with outcomes of servers that fail anywhere only."""
        loads, healths = self._own_sums()
        failing_elsewhere = {s for p in self._peers.values() for s in p.healths}
        return loads, {
            server: total
            for server, total in healths.items()
            if total.witnesses or server in failing_elsewhere
        }

    def _all_sums(self) -> tuple[dict[int, LoadSum], dict[int, HealthSum]]:
        """Return the sums over all relays."""
        loads, healths = self._own_sums()
        for peer in self._peers.values():
            for server, load in peer.loads.items():
                if load.in_flight or load.token_units:
                    loads[server] = _add_loads(loads.get(server), load)
            for server, health in peer.healths.items():
                healths[server] = _add_healths(healths.get(server), health)
        failing = {server: h for server, h in healths.items() if h.witnesses}
        return loads, failing

    # Messages

    def _make_update(
        self, relay: _Relay, known_weights: int, now: float
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
        if known == self._weights.id:
            return Weights(known)
        return self._weights

    def _make_sums(self, now: float) -> list[tuple[str, PictureUpdate | DomainSums]]:
        """Return the sums for the other keepers, if they are due."""
        if not self._sums.is_due(now):
            return []
        self._sums.make_block(*self._domain_sums(), now)
        self._select_paces(now)
        for address in self._order:
            if address != self._me:
                self._peers.setdefault(address, _Peer(""))
        messages: list[tuple[str, PictureUpdate | DomainSums]] = []
        for address, peer in self._peers.items():
            message = self._make_sums_for(address, peer, now)
            if message is not None:
                messages.append((peer.member or address, message))
        return messages

    def _make_sums_for(
        self, address: str, peer: _Peer, now: float
    ) -> DomainSums | None:
        heard_rank = self._heard_rank(now)
        if now - peer.heard_at > HEARD_TTL_S:
            if now - peer.sent_at < HELLO_INTERVAL_S:
                return None
            peer.sent_at = now
            peer.last_block = self._sums.number
            return DomainSums(peer.link.next_timing(now), heard_rank)
        peer.sent_at = now
        blocks = self._sums.since(peer.last_block, now)
        peer.last_block = self._sums.number
        decides = self._rank(address) == self._best_rank(now)
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
        paces = self._own_paces()
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

    # Expiry

    def _expire(self, now: float) -> None:
        oldest = now - CONTRIBUTION_TTL_S
        oldest_pace = now - PACE_TTL_S
        for address, relay in list(self._relays.items()):
            if now - relay.heard_at > PEER_TTL_S:
                del self._relays[address]
                continue
            _drop(relay.contributions, oldest)
            _drop_paces(relay.paces, oldest_pace)
        for address, peer in list(self._peers.items()):
            if now - peer.heard_at > PEER_TTL_S and peer.member:
                # Another incarnation may have its address by now.
                del self._peers[address]
                continue
            _drop(peer.loads, now - MAX_AGE_S)
            _drop(peer.healths, now - MAX_AGE_S)
            _drop_paces(peer.paces, oldest_pace)


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


def _add_loads(total: LoadSum | None, part: LoadSum) -> LoadSum:
    if total is None:
        return part
    return LoadSum(
        total.in_flight + part.in_flight,
        total.token_units + part.token_units,
        min(total.as_of, part.as_of),
    )


def _add_healths(total: HealthSum | None, part: HealthSum) -> HealthSum:
    if total is None:
        return part
    return HealthSum(
        total.failures + part.failures,
        total.successes + part.successes,
        total.silent + part.silent,
        total.witnesses + part.witnesses,
        min(total.as_of, part.as_of),
    )


def _weighted_median(paces: Iterable[_Pace]) -> float:
    ordered = sorted(paces)
    half = sum(pace.relays for pace in ordered) / 2
    below = 0
    for pace in ordered:
        below += pace.relays
        if below >= half:
            return float(pace.pace)
    return 0.0


def _make_weights(entries: list[ServerWeight]) -> Weights:
    """Return weights whose id is a hash of the steps.

    Processes with the same steps thus have the same id, whoever has decided them.
    """
    text = ",".join(f"{entry.server}:{entry.step}" for entry in entries)
    return Weights(hash64("weights", text) & KEY_MASK, entries)


class _Aged(Protocol):
    @property
    def as_of(self) -> float: ...


_AgedT = TypeVar("_AgedT", bound=_Aged)


def _drop(entries: dict[int, _AgedT], oldest: float) -> None:
    for server in [s for s, entry in entries.items() if entry.as_of < oldest]:
        del entries[server]


def _drop_paces(paces: dict[int, _Pace], oldest: float) -> None:
    for server in [s for s, pace in paces.items() if pace.at < oldest]:
        del paces[server]
