"""Sums of reports: their parts, how parts are added, and when they expire.

A report counts for a second. Numbers of other processes are clipped, and servers that
this keeper does not know are ignored and counted.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple, Protocol, TypeVar

from .blocks import HealthSum, LoadSum

# Seconds after which the report of a relay no longer counts.
CONTRIBUTION_TTL_S: Final = 1.0
# Maximum age in seconds of any part of a sum, at any process.
MAX_AGE_S: Final = 1.5
# Seconds after which a relay or a keeper without messages is dropped.
PEER_TTL_S: Final = 3.0
# Seconds after which a reported pace no longer counts. Relays repeat it every 2 s, and
# keepers repeat 690 of them in 6 s.
PACE_TTL_S: Final = 10.0
# Maximum number of relays that report to one keeper.
MAX_RELAYS: Final = 1024


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


class KnownServers:
    """Servers that this keeper knows from the store; without any, all are accepted.

    Attributes
    ----------
    services : dict of int to str
        Service by key of the server.
    """

    def __init__(self, counters: Counters) -> None:
        self.services: dict[int, str] = {}
        self._counters = counters

    def replace(self, services: Mapping[int, str]) -> None:
        """Replace the known servers."""
        self.services = dict(services)

    def check(self, server: int) -> bool:
        """Return whether a server is known, and count it if it is not."""
        if not self.services or server in self.services:
            return True
        self._counters.unknown_servers += 1
        return False


class PaceSum(NamedTuple):
    """Median pace of a server among a number of relays, and when it was reported."""

    pace: int
    relays: int
    at: float


def add_loads(total: LoadSum | None, part: LoadSum) -> LoadSum:
    """Add a part to the load of a server."""
    if total is None:
        return part
    return LoadSum(
        total.in_flight + part.in_flight,
        total.token_units + part.token_units,
        min(total.as_of, part.as_of),
    )


def add_healths(total: HealthSum | None, part: HealthSum) -> HealthSum:
    """Add a part to the outcomes of a server."""
    if total is None:
        return part
    return HealthSum(
        total.failures + part.failures,
        total.successes + part.successes,
        total.silent + part.silent,
        total.witnesses + part.witnesses,
        min(total.as_of, part.as_of),
    )


def weighted_median(paces: Iterable[PaceSum]) -> float:
    """Return the median of paces, each weighted by its number of relays."""
    ordered = sorted(paces)
    half = sum(pace.relays for pace in ordered) / 2
    below = 0
    for pace in ordered:
        below += pace.relays
        if below >= half:
            return float(pace.pace)
    return 0.0


class _Aged(Protocol):
    @property
    def as_of(self) -> float: ...


_AgedT = TypeVar("_AgedT", bound=_Aged)


def drop_old(entries: dict[int, _AgedT], oldest: float) -> None:
    """Remove the entries that are older than a time."""
    for server in [s for s, entry in entries.items() if entry.as_of < oldest]:
        del entries[server]


def drop_old_paces(paces: dict[int, PaceSum], oldest: float) -> None:
    """Remove the paces that are older than a time."""
    for server in [s for s, pace in paces.items() if pace.at < oldest]:
        del paces[server]
