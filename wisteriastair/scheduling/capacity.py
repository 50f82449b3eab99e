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
from collections.abc import Iterable
from typing import Final, NamedTuple, Protocol

from .fleet import MAX_LOAD_AGE_S, ServerState

# Load is unknown with fewer known servers, or with a lower fraction of the servers,
# unless the service has no more. A few servers may queue because they are slow or
# because prompts are cached there, while others are idle.
MIN_KNOWN_SERVERS: Final = 3
MIN_KNOWN_FRACTION: Final = 0.25
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


class _ServerLoad(NamedTuple):
    """Requests at one server; `is_exact` if all of them were counted by relays."""

    requests: float
    age_s: float
    is_exact: bool = False


def observe(
    states: Iterable[ServerState], shared: SharedLoads, now: float
) -> Occupancy | None:
    """Estimate the requests at the servers of a service; None if they are unknown."""
    slots = known_slots = requests = age_s = 0.0
    own = servers = known = 0
    is_queueing = has_free_slots = False
    for state in states:
        server_slots = max(1, state.server.slots)
        servers += 1
        slots += server_slots
        own += state.in_flight
        is_full = now - state.full_at <= EVIDENCE_S
        load = _server_load(state, shared, is_full, now)
        if load is None:
            continue
        known += 1
        known_slots += server_slots
        age_s += load.age_s
        requests += load.requests
        is_queueing = is_queueing or is_full or state.reports_waiting(now)
        has_free_slots = has_free_slots or (
            not is_full and not load.is_exact and state.reports_free_slots(now)
        )
        is_queueing = is_queueing or (load.is_exact and load.requests > server_slots)
    min_known = max(MIN_KNOWN_SERVERS, MIN_KNOWN_FRACTION * servers)
    if known == 0 or known < min(servers, min_known):
        return None
    total = max(float(own), requests * slots / known_slots)
    is_queueing = is_queueing and not has_free_slots
    return Occupancy(slots, total, own, age_s / known, is_queueing)


def _server_load(
    state: ServerState, shared: SharedLoads, is_full: bool, now: float
) -> _ServerLoad | None:
    own, slots = state.in_flight, max(1, state.server.slots)
    others = shared.others(state.incarnation, now)
    load: _ServerLoad | None = None
    if others is not None and _is_plausible(others):
        load = _ServerLoad(own + others.in_flight, others.age_s, True)
    else:
        reported = state.reported_by_others(now)
        if reported is not None and 0 <= reported <= MAX_REQUESTS_PER_SERVER:
            load = _ServerLoad(own + reported, state.load_age_s(now))
        elif own >= slots:
            load = _ServerLoad(own, 0.0)
    if not is_full:
        return load
    requests = FULL_OCCUPANCY * slots
    if load is None:
        return _ServerLoad(max(own, requests), now - state.full_at)
    return load._replace(requests=max(load.requests, requests))


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
