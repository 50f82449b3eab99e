"""Estimate of how long turns wait for a slot of a service.

Load pattern: a burst brings more programs than the slots of a service can run, and each
relay sees a twentieth of it. Own requests are known exactly. The requests of others are
known from the shared picture, or else from load reports that are up to a second old and
exist only for the servers that answered this relay lately.

Servers without any of these are left out, and the others stand for all of them. Since
requests are sent to the least loaded servers, that errs towards a short wait.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Final, NamedTuple, Protocol

from .fleet import MAX_LOAD_AGE_S, ServerState

# Load is unknown with fewer known servers, or with a lower fraction of the servers,
# unless the service has no more. A few servers may queue because they are slow or
# because prompts are cached there, while others are idle.
MIN_KNOWN_SERVERS: Final = 3
MIN_KNOWN_FRACTION: Final = 0.25
# Maximum number of servers to observe. The mean of 64 servers is close to that of some
# hundreds, and a decision must not cost more than the rest of a request.
MAX_OBSERVED: Final = 64
# A report that a server is full, or that requests wait there, is evidence of a queue
# for as long as a load report is valid.
EVIDENCE_S: Final = MAX_LOAD_AGE_S
# Requests at a server that rejects as full, as a multiple of its slots. The length of
# its queue is not known; a rejected turn waits for about one other turn.
FULL_OCCUPANCY: Final = 2.0
# Larger numbers of requests at one server are not plausible and are ignored.
MAX_REQUESTS_PER_SERVER: Final = 10_000
# Time in seconds from the decision about a program until its first turn is counted as
# in flight. Starts of this time are added to every observation.
MIN_AGE_S: Final = 0.05
# Weight of a new sample in the moving averages of the turn time and the pause. About
# twenty turns, one to two seconds of traffic at a relay, replace an old value.
TIME_WEIGHT: Final = 0.05
# Longer pauses between two turns are pauses of the program's user, not of its tools.
MAX_PAUSE_S: Final = 1.0


class OthersLoad(Protocol):
    """Requests of other relays at a server."""

    @property
    def in_flight(self) -> float:
        """Number of their requests."""

    @property
    def age_s(self) -> float:
        """Age of the number in seconds."""


class SharedLoads(Protocol):
    """Source of the load that other relays cause."""

    def others(self, incarnation: str, now: float) -> OthersLoad | None:
        """Return the load of others at a server, or None if it is unknown."""


class NoSharedLoads:
    """Used where relays share no picture: the load of others is unknown."""

    def others(self, incarnation: str, now: float) -> OthersLoad | None:
        """Return None."""
        return None


class Occupancy(NamedTuple):
    """Requests at the servers of a service.

    Attributes
    ----------
    slots : float
        Slots of all eligible servers.
    requests : float
        Estimated requests at these servers, running and waiting.
    own : int
        Requests of this relay among them.
    age_s : float
        Mean age of the observations in seconds.
    is_queueing : bool
        Whether requests wait: a server reported it, rejected a request as full, or has
        more requests of relays than slots; False if a server reported free slots and no
        waiting request, as the few reports of a relay do not give the sum.
    """

    slots: float
    requests: float
    own: int
    age_s: float
    is_queueing: bool

    @property
    def own_share(self) -> float:
        """Share of this relay in the requests; a relay has at least one request."""
        return min(1.0, max(1, self.own) / max(1.0, self.requests))


def observe(
    states: Sequence[ServerState], shared: SharedLoads, now: float
) -> Occupancy | None:
    """Estimate the requests at the servers of a service; None if they are unknown."""
    sample = states
    if len(states) > MAX_OBSERVED:
        step = -(-len(states) // MAX_OBSERVED)
        sample = states[::step]
    tally = _Tally()
    for state in sample:
        tally.add(state, shared.others(state.incarnation, now), now)
    known, servers = tally.known, len(sample)
    min_known = max(MIN_KNOWN_SERVERS, MIN_KNOWN_FRACTION * servers)
    if known == 0 or known < min(servers, min_known):
        return None
    scale = len(states) / servers
    requests = max(float(tally.own), tally.requests * tally.slots / tally.known_slots)
    is_queueing = tally.is_queueing and not tally.has_free_slots
    return Occupancy(
        tally.slots * scale,
        requests * scale,
        round(tally.own * scale),
        tally.age_s / known,
        is_queueing,
    )


class _Tally:
    """Sums over the servers of a service."""

    def __init__(self) -> None:
        self.slots = 0
        self.own = 0
        self.known = 0
        self.known_slots = 0
        self.requests = 0.0
        self.age_s = 0.0
        self.is_queueing = False
        self.has_free_slots = False

    def add(self, state: ServerState, others: OthersLoad | None, now: float) -> None:
        """Add a server and, if they are known, its requests."""
        slots = max(1, state.server.slots)
        own = state.in_flight
        self.slots += slots
        self.own += own
        full_age_s = now - state.full_at
        is_full = full_age_s <= EVIDENCE_S
        report = state.recent_report(now)
        if report is not None and report.waiting > 0:
            self.is_queueing = True
        if others is not None and _is_plausible(others):
            requests, age_s = own + others.in_flight, others.age_s
            if requests > slots:
                self.is_queueing = True
        elif report is not None and report.others <= MAX_REQUESTS_PER_SERVER:
            requests, age_s = own + report.others, report.age_s
            if report.has_free_slots and not is_full:
                self.has_free_slots = True
        elif is_full:
            requests, age_s = own, full_age_s
        elif own >= slots:
            requests, age_s = own, 0.0
        else:
            return
        if is_full:
            self.is_queueing = True
            requests = max(requests, FULL_OCCUPANCY * slots)
        self.known += 1
        self.known_slots += slots
        self.requests += requests
        self.age_s += age_s


def _is_plausible(others: OthersLoad) -> bool:
    """Return whether a load from another process can be used."""
    if not (math.isfinite(others.in_flight) and math.isfinite(others.age_s)):
        return False
    is_recent = 0 <= others.age_s <= MAX_LOAD_AGE_S
    return is_recent and 0 <= others.in_flight <= MAX_REQUESTS_PER_SERVER


class TurnTimes:
    """Time of a turn that does not wait, and the pause between turns, of one kind.

    Turns are counted as not waiting if their server reported no waiting request. While
    none is known, the shortest turn takes their place, which errs towards a short wait.
    """

    def __init__(self) -> None:
        self.pause_s = 0.0
        self._unqueued_s = 0.0
        self._shortest_s = math.inf

    @property
    def turn_s(self) -> float:
        """Seconds for a turn that does not wait; 0 if unknown."""
        if self._unqueued_s > 0:
            return self._unqueued_s
        return self._shortest_s if math.isfinite(self._shortest_s) else 0.0

    def record_turn(self, seconds: float, is_queued: bool) -> None:
        """Record the time of a complete turn at its server in seconds."""
        if seconds <= 0:
            return
        self._shortest_s = min(self._shortest_s, seconds)
        if is_queued:
            return
        if self._unqueued_s == 0.0:
            self._unqueued_s = seconds
        self._unqueued_s += TIME_WEIGHT * (seconds - self._unqueued_s)

    def record_pause(self, seconds: float) -> None:
        """Record the time between two turns of a program in seconds."""
        self.pause_s += TIME_WEIGHT * (min(MAX_PAUSE_S, seconds) - self.pause_s)
