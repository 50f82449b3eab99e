"""Max-min fair shares of the programs that a service starts.

Load pattern: one customer sends many times its usual load. First come, first served
would give it nearly all starts. With max-min fair shares by weight, each party gets
what it asks for up to its share, and what one party leaves is divided among the others.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Final, NamedTuple

# Time constant in seconds of the counts of starts and demands. Bursts last 3 to 7 s; a
# party that was quiet before has its full share within this time.
MEMORY_S: Final = 2.0
# Starts by which a party may exceed its share, as counts of a few starts are coarse.
SLACK_STARTS: Final = 1.0
# Maximum number of parties. The least recently seen are dropped.
MAX_PARTIES: Final = 512


def max_min_shares(
    demands: Mapping[str, float], weights: Mapping[str, float], capacity: float
) -> dict[str, float]:
    """Divide a capacity so that nobody's share per weight can grow at less than it.

    Parameters
    ----------
    demands : mapping of str to float
        What each party asks for.
    weights : mapping of str to float
        Weight of each of these parties, above 0.
    """
    shares: dict[str, float] = {}
    left = capacity
    weight_left = sum(weights[party] for party in demands)
    by_demand = sorted(demands, key=lambda party: demands[party] / weights[party])
    for party in by_demand:
        weight = weights[party]
        share = min(demands[party], max(0.0, left) * weight / weight_left)
        shares[party] = share
        left -= share
        weight_left = max(weight_left - weight, math.ulp(1.0))
    return shares


class _Counts(NamedTuple):
    demand: float
    starts: float
    weight: float
    at: float

    def decayed(self, now: float) -> _Counts:
        factor = math.exp(-max(0.0, now - self.at) / MEMORY_S)
        return _Counts(self.demand * factor, self.starts * factor, self.weight, now)


class FairShares:
    """Starts and demands of the parties that compete for one service."""

    def __init__(self) -> None:
        self._counts: dict[str, _Counts] = {}

    def record_demand(self, party: str, weight: float, now: float) -> None:
        """Record that a party wants to start one more program."""
        counts = self._take(party, now)
        weight = weight if math.isfinite(weight) and weight > 0 else 1.0
        self._put(party, counts._replace(demand=counts.demand + 1, weight=weight))

    def record_start(self, party: str, now: float) -> None:
        """Record that a program of a party has started."""
        counts = self._take(party, now)
        self._put(party, counts._replace(starts=counts.starts + 1))

    def _take(self, party: str, now: float) -> _Counts:
        counts = self._counts.pop(party, None)
        return counts.decayed(now) if counts else _Counts(0.0, 0.0, 1.0, now)

    def _put(self, party: str, counts: _Counts) -> None:
        self._counts[party] = counts
        while len(self._counts) > MAX_PARTIES:
            del self._counts[next(iter(self._counts))]

    def is_starved(self, party: str, now: float) -> bool:
        """Return whether a party has had no start within the time constant."""
        counts = self._counts.get(party)
        return counts is None or counts.decayed(now).starts < math.exp(-1.0)

    def is_over_share(self, party: str, now: float) -> bool:
        """Return whether a party has more starts than its share while others wait.

        The capacity is the sum of recent starts. If a party has more than its share of
        them, the others have less than theirs by the same number.
        """
        counts = {name: known.decayed(now) for name, known in self._counts.items()}
        if party not in counts or len(counts) < 2:
            return False
        capacity = sum(known.starts for known in counts.values())
        demands = {
            name: max(known.demand, known.starts) for name, known in counts.items()
        }
        weights = {name: known.weight for name, known in counts.items()}
        shares = max_min_shares(demands, weights, capacity)
        return counts[party].starts > shares[party] + SLACK_STARTS
