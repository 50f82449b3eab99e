"""What a relay reports of each server, and units and limits of the reported numbers.

Load pattern: each of many relays sees a small part of a server's requests. A relay
reports a server while it has requests there or has outcomes of the last second, a few
times a second. The receiver forgets a report after a second, so each report is complete
in itself: a lost, doubled or reordered one does not matter, and a relay that ends needs
no farewell.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from functools import lru_cache
from typing import Final, NamedTuple

import msgspec

from ..core.hashing import hash64
from ..core.ledgerwire import ServerObservation
from .fleet import ServerState

# 32 bits take 5 bytes in a message. Among 690 servers, the chance that two share a key
# is 0.006%; their loads would then be added until one restarts.
KEY_MASK: Final = 0xFFFFFFFF
TOKENS_PER_UNIT: Final = 2048
PACE_UNITS_PER_MS: Final = 100
AGE_UNIT_S: Final = 0.02
# Limits of what one relay may report of one server. No server runs as many requests,
# and no engine has memory for as many tokens.
MAX_IN_FLIGHT: Final = 256
MAX_TOKEN_UNITS: Final = 2048
MAX_OUTCOMES: Final = 256
# Limit of the pace: 1 s per token.
MAX_PACE: Final = 100_000
# Maximum number of servers in a report: more than the 690 of the target size.
MAX_OBSERVATIONS: Final = 1024
# Servers in a report of a relay, at about 12 bytes each. With four reports a second
# this is below 2 kB/s; a relay of the target size has requests at about ten.
MAX_REPORTED: Final = 40
# Seconds after which an unchanged server is reported again: in each report. With
# every second report, sums from other domains were often older than 1.5 s.
REFRESH_S: Final = 0.2
# Servers that were not reported for this time in seconds have vanished.
FORGET_AFTER_S: Final = 5.0
# Seconds after which an unchanged pace is reported again.
PACE_REFRESH_S: Final = 2.0


@lru_cache(maxsize=8192)
def server_key(incarnation: str) -> int:
    """Return the key of a server's incarnation in messages."""
    return hash64("server incarnation", incarnation) & KEY_MASK


def learned_pace(state: ServerState) -> float:
    """Return the learned time per generated token in ms; 0.0 if unknown."""
    pace = getattr(state, "pace", 0.0)
    return float(pace) if isinstance(pace, int | float) else 0.0


def clip(value: int, limit: int) -> int:
    """Limit a count to a range from 0."""
    return max(0, min(limit, value))


def _pace_units(pace_ms: float) -> int:
    if not math.isfinite(pace_ms):
        return 0
    return clip(round(pace_ms * PACE_UNITS_PER_MS), MAX_PACE)


def observe(state: ServerState, now: float) -> ServerObservation:
    """Return the report of one server, without its pace."""
    observations = state.observations
    tokens = round(observations.reserved_tokens / TOKENS_PER_UNIT)
    return ServerObservation(
        server_key(state.incarnation),
        clip(observations.in_flight, MAX_IN_FLIGHT),
        clip(tokens, MAX_TOKEN_UNITS),
        clip(observations.failures(now), MAX_OUTCOMES),
        clip(observations.successes(now), MAX_OUTCOMES),
        clip(observations.silent(now), MAX_IN_FLIGHT),
    )


class _Reported(NamedTuple):
    """The last report of a server."""

    observation: ServerObservation
    at: float
    pace_at: float


class DigestSource:
    """Selects what a relay reports next."""

    def __init__(self) -> None:
        # By incarnation of the server.
        self._reported: dict[str, _Reported] = {}

    def forget(self) -> None:
        """Report all servers again, to another receiver."""
        self._reported.clear()

    def next_observations(
        self, states: Iterable[ServerState], now: float
    ) -> list[ServerObservation]:
        """Return the servers to report now, changed ones first.

        A server whose last request has ended is reported with zeros once. If that is
        lost, the receiver forgets the server after a second.
        """
        candidates: list[tuple[bool, float, str, ServerObservation]] = []
        for state in states:
            last = self._reported.get(state.incarnation)
            if last is None and state.observations.is_idle:
                continue
            current = observe(state, now)
            is_changed = last is None or current != last.observation
            last_at = last.at if last else -math.inf
            if not is_changed and now - last_at < REFRESH_S:
                continue
            if _is_empty(current) and (not is_changed or last is None):
                self._reported.pop(state.incarnation, None)
                continue
            if last is None or now - last.pace_at >= PACE_REFRESH_S:
                pace = _pace_units(learned_pace(state))
                current = msgspec.structs.replace(current, pace=pace)
            candidates.append((not is_changed, last_at, state.incarnation, current))
        candidates.sort(key=lambda candidate: candidate[:3])
        del candidates[MAX_REPORTED:]
        for _, _, incarnation, current in candidates:
            last = self._reported.get(incarnation)
            pace_at = now if current.pace else (last.pace_at if last else -math.inf)
            without_pace = msgspec.structs.replace(current, pace=0)
            self._reported[incarnation] = _Reported(without_pace, now, pace_at)
        self._forget_vanished(now)
        return [current for _, _, _, current in candidates]

    def _forget_vanished(self, now: float) -> None:
        """Forget servers that no longer exist."""
        for incarnation, last in list(self._reported.items()):
            if now - last.at > FORGET_AFTER_S:
                del self._reported[incarnation]


def _is_empty(seen: ServerObservation) -> bool:
    return not (seen.in_flight or seen.failures or seen.successes or seen.silent)
