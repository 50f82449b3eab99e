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
# A party competes with others for this time in seconds after it asked for a start. It
# covers a burst, since a small party asks a single relay only every few seconds.
COMPETITOR_S: Final = 5.0
# Starts by which a count may differ from a share, as counts of a few starts are coarse.
SLACK_STARTS: Final = 0.25
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
    """Decaying counts of one party, as of a time."""

    demand: float
    starts: float
    weight: float
    at: float
    asked_at: float = -math.inf
    started_at: float = -math.inf

    def decayed(self, now: float) -> _Counts:
        factor = math.exp(-max(0.0, now - self.at) / MEMORY_S)
        return self._replace(
            demand=self.demand * factor, starts=self.starts * factor, at=now
        )


class FairShares:
    """Starts and demands of the parties that compete for one service."""

    def __init__(self) -> None:
        self._counts: dict[str, _Counts] = {}

    def record_demand(
        self, party: str, weight: float, now: float, *, is_repeated: bool = False
    ) -> None:
        """Record that a party wants to start a program.

        Parameters
        ----------
        is_repeated : bool
            Whether it has asked for this program before.
        """
        counts = self._take(party, now)
        weight = weight if math.isfinite(weight) and weight > 0 else 1.0
        demand = counts.demand + (0 if is_repeated else 1)
        self._put(party, counts._replace(demand=demand, weight=weight, asked_at=now))

    def record_start(self, party: str, now: float) -> None:
        """Record that a program of a party has started."""
        counts = self._take(party, now)
        self._put(party, counts._replace(starts=counts.starts + 1, started_at=now))

    def withdraw_start(self, party: str, now: float) -> None:
        """Record that a program did not run although it was allowed to start."""
        counts = self._take(party, now)
        self._put(party, counts._replace(starts=max(0.0, counts.starts - 1)))

    def _take(self, party: str, now: float) -> _Counts:
        counts = self._counts.pop(party, None)
        return counts.decayed(now) if counts else _Counts(0.0, 0.0, 1.0, now)

    def _put(self, party: str, counts: _Counts) -> None:
        self._counts[party] = counts
        while len(self._counts) > MAX_PARTIES:
            del self._counts[next(iter(self._counts))]

    def is_starved(self, party: str, now: float) -> bool:
        """Return whether no party has waited longer than this one for a start.

        Only parties that asked within the time constant and have had no start in it
        count.
        """
        counts = self._counts.get(party)
        if counts is None or now - counts.started_at <= MEMORY_S:
            return False
        return not any(
            other.started_at < counts.started_at and now - other.asked_at <= MEMORY_S
            for other in self._counts.values()
        )

    def _has_competitor(self, party: str, now: float) -> bool:
        return party in self._counts and any(
            name != party and now - counts.asked_at <= COMPETITOR_S
            for name, counts in self._counts.items()
        )

    def is_over_share(self, party: str, now: float) -> bool:
        """Return whether a party has its share of the starts and asks for more.

        The capacity is the sum of recent starts. A party that asks for less than its
        share is never over it, and neither is one that competes with no other.
        """
        counts = {name: known.decayed(now) for name, known in self._counts.items()}
        if not self._has_competitor(party, now):
            return False
        capacity = sum(known.starts for known in counts.values())
        demands = {
            name: max(known.demand, known.starts) for name, known in counts.items()
        }
        weights = {name: known.weight for name, known in counts.items()}
        shares = max_min_shares(demands, weights, capacity)
        if demands[party] <= shares[party] + SLACK_STARTS:
            return False
        return counts[party].starts >= shares[party] - SLACK_STARTS
