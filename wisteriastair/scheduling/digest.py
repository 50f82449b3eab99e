"""What a relay reports of each server, and units and limits of the reported numbers.

Load pattern: each of many relays sees a small part of a server's requests. A relay
reports a server while it has requests there or has outcomes of the last second, a few
times a second. The receiver forgets a report after a second, so each report is complete
in itself: a lost, doubled or reordered one does not matter, and a relay that ends sends
no last message.
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
# Seconds after which an unchanged server is reported again: in each report. If only
# every second report had it, sums from other domains would often be older than 1.5 s.
REFRESH_S: Final = 0.2
# Seconds after which an unchanged pace is reported again.
PACE_REFRESH_S: Final = 2.0


@lru_cache(maxsize=8192)
def server_key(incarnation: str) -> int:
    """Return the key of a server's incarnation in messages."""
    return hash64("server incarnation", incarnation) & KEY_MASK


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


_NEVER: Final = _Reported(ServerObservation(-1, 0, 0), -math.inf, -math.inf)


class _Candidate(NamedTuple):
    """A server that may be reported; sorted by the first three fields."""

    is_unchanged: bool
    last_at: float
    incarnation: str
    observation: ServerObservation


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

        Parameters
        ----------
        states : iterable of ServerState
            The servers with requests in flight or recent outcomes.
        """
        candidates: list[_Candidate] = []
        vanished = dict(self._reported)
        for state in states:
            last = vanished.pop(state.incarnation, _NEVER)
            current = observe(state, now)
            is_changed = current != last.observation
            if not is_changed and now - last.at < REFRESH_S:
                continue
            if now - last.pace_at >= PACE_REFRESH_S:
                pace = _pace_units(state.pace.sampled_ms)
                current = msgspec.structs.replace(current, pace=pace)
            candidates.append(
                _Candidate(not is_changed, last.at, state.incarnation, current)
            )
        for incarnation, last in vanished.items():
            ended = ServerObservation(server_key(incarnation), 0, 0)
            candidates.append(_Candidate(False, last.at, incarnation, ended))
        candidates.sort(key=lambda candidate: candidate[:3])
        del candidates[MAX_REPORTED:]
        for candidate in candidates:
            self._record(candidate, is_ended=candidate.incarnation in vanished, now=now)
        return [candidate.observation for candidate in candidates]

    def _record(self, candidate: _Candidate, *, is_ended: bool, now: float) -> None:
        last = self._reported.pop(candidate.incarnation, _NEVER)
        if is_ended:
            return
        pace_at = now if candidate.observation.pace else last.pace_at
        without_pace = msgspec.structs.replace(candidate.observation, pace=0)
        self._reported[candidate.incarnation] = _Reported(without_pace, now, pace_at)
