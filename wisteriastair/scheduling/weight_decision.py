"""Which keeper decides the capacity weights of servers, and what it decides.

Load pattern: a program moves when a weight changes, and all relays must hold the same
weights. The first keeper that is alive decides, and the others adopt what it says.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from ..core.hashing import address_of, hash64
from ..core.ledgerwire import UNKNOWN_WEIGHTS, ServerWeight, Weights
from .capacity import DECISION_INTERVAL_S, CapacitySteps, StepChange, clip_step
from .digest import KEY_MASK, MAX_OBSERVATIONS
from .peer_sums import PeerState, PeerSums
from .relay_reports import RelayReports
from .sums import KnownServers, PaceSum, weighted_median

# Rank of a keeper that is not among those chosen to exchange sums.
NO_RANK: Final = 1000
# A keeper to which relays begin to report adopts the weights of others for this time in
# seconds before it decides itself. Otherwise its empty memory would reset all weights.
WARMUP_S: Final = 3.0


class WeightDecision:
    """Decides or adopts the weights of servers.

    Parameters
    ----------
    me : str
        Address of this keeper.
    now : float
        Time of its start in seconds.

    Attributes
    ----------
    current : Weights
        Weights in force.
    changes : list of StepChange
        Weights that this keeper has changed and that were not logged yet.
    active_since : float
        Since when relays have reported without a long pause.
    """

    def __init__(
        self,
        me: str,
        now: float,
        reports: RelayReports,
        peers: PeerSums,
        servers: KnownServers,
    ) -> None:
        self.current = Weights()
        self.changes: list[StepChange] = []
        self.active_since = now
        self._me = me
        self._reports = reports
        self._peers = peers
        self._servers = servers
        self._order: tuple[str, ...] = ()
        self._steps = CapacitySteps()
        self._decided_at = now

    def set_order(self, order: Sequence[str]) -> None:
        """Set the keepers that exchange sums; the first that is alive decides."""
        self._order = tuple(order)

    @property
    def steps(self) -> dict[int, int]:
        """Capacity steps in force; servers at step 0 are omitted."""
        return dict(self._steps.steps)

    def rank(self, address: str) -> int:
        """Return the position of a keeper among those that exchange sums."""
        return self._order.index(address) if address in self._order else NO_RANK

    def heard_rank(self, now: float) -> int:
        """Return the lowest rank among this keeper and those with recent messages."""
        heard = [address_of(peer.member) for peer in self._peers.alive(now)]
        return min(self.rank(address) for address in (self._me, *heard))

    def best_rank(self, now: float) -> int:
        """Return the lowest rank known directly or through one other keeper.

        Without the second hop, two keepers whose link is cut would both decide.
        """
        ranks = [peer.best_rank for peer in self._peers.alive(now)]
        return min((self.heard_rank(now), *ranks))

    def adopt(self, peer: PeerState, weights: Weights, now: float) -> None:
        """Adopt the weights of the keeper that decides, directly or through another."""
        peer.weights = weights.id
        if weights.steps is None or weights.id in (UNKNOWN_WEIGHTS, self.current.id):
            return
        best_rank = self.best_rank(now)
        decides = best_rank >= self.rank(self._me)
        is_source = not decides and peer.best_rank <= best_rank
        if is_source or self.current.id == UNKNOWN_WEIGHTS:
            self._steps.adopt(
                {w.server: w.step for w in weights.steps[:MAX_OBSERVATIONS]}
            )
            self.current = Weights(weights.id, self._step_entries())

    def decide(self, now: float) -> None:
        """Decide the weights, if this keeper is the one that does."""
        is_warm = now - self.active_since >= WARMUP_S
        if not is_warm or now - self._decided_at < DECISION_INTERVAL_S:
            return
        if not self._servers.services:
            # Without the list of servers all would return to equal weights.
            return
        if self.best_rank(now) < self.rank(self._me):
            return
        self._decided_at = now
        paces = self._merged_paces(now)
        changes = self._steps.decide(paces, self._servers.services)
        if changes or self.current.id == UNKNOWN_WEIGHTS:
            self.changes += changes
            self.current = _make_weights(self._step_entries())

    def _step_entries(self) -> list[ServerWeight]:
        steps = sorted(self._steps.steps.items())
        return [ServerWeight(server, clip_step(step)) for server, step in steps]

    def _merged_paces(self, now: float) -> dict[int, float]:
        by_server: dict[int, list[PaceSum]] = {}
        own = self._reports.paces()
        for paces in (own, *(peer.paces for peer in self._peers.alive(now))):
            for server, pace in paces.items():
                by_server.setdefault(server, []).append(pace)
        return {server: weighted_median(p) for server, p in by_server.items()}


def _make_weights(entries: list[ServerWeight]) -> Weights:
    """Return weights whose id is a hash of the steps.

    Processes with the same steps thus have the same id, whoever has decided them.
    """
    text = ",".join(f"{entry.server}:{entry.step}" for entry in entries)
    return Weights(hash64("weights", text) & KEY_MASK, entries)
