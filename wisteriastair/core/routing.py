"""Which backend server gets a call.

The load that servers report lags behind, and many processes choose at once.  A
process therefore corrects the last report by what it has itself sent since, and
compares costs in seconds: the wait for a place, and the time to compute the part of
the prompt that the server does not have cached.  A program stays where its prefix is
cached until the queue there costs more than computing it anew elsewhere.

The simpler rules that this one has to beat stay selectable by a setting.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Final, NamedTuple

from .hashing import hash64, rendezvous_order
from .wire import ServerLoad

CROWD_SHARE: Final = 0.1
# Seconds of computing a prompt again count more than seconds of waiting, since they
# also slow every other call on that server.  Measured: docs/design/policy.md.
WASTE_BASE: Final = 1.0
WASTE_SLOPE: Final = 6.0


class EngineModel(NamedTuple):
    """What a call costs on an engine, for comparing servers.

    Attributes
    ----------
    prefill_tokens_s : float
        Prompt tokens computed a second by one server.
    call_s : float
        Typical seconds that a running call keeps its place.
    slots : int
        Calls that one server runs at once.
    """

    prefill_tokens_s: float = 8_000.0
    call_s: float = 2.0
    slots: int = 8


class Candidate(NamedTuple):
    """A server that may take the call.

    Attributes
    ----------
    cached_tokens : int
        Prompt tokens believed to be cached there.
    load : ServerLoad or None
        Newest report; None if there is none or it is too old.
    sent_since : int
        Calls this process has sent since that report and not had back.
    extra_s : float
        Seconds that a call has lately taken longer here than on the middle server.
    """

    server: str
    cached_tokens: int
    load: ServerLoad | None
    sent_since: int
    extra_s: float = 0.0


class Call(NamedTuple):
    """What a router needs to know of a call."""

    program: str
    service: str
    prompt_tokens: int
    waste_weight: float
    sequence: int


class Router(ABC):
    """Chooses among candidates.

    Parameters
    ----------
    engine : EngineModel
        What calls cost.
    """

    def __init__(self, engine: EngineModel) -> None:
        self.engine = engine

    def wait_s(self, candidate: Candidate) -> float:
        """Predict the seconds that a call waits for a place on a server."""
        calls = _calls_at(candidate)
        ahead = max(0, calls - self.engine.slots + 1)
        return ahead * self.engine.call_s / self.engine.slots

    @abstractmethod
    def choose(self, call: Call, candidates: list[Candidate]) -> Candidate:
        """Choose one of at least one candidate."""


class RoundRobin(Router):
    """Baseline: each in turn."""

    def choose(self, call: Call, candidates: list[Candidate]) -> Candidate:
        """Choose by the running number of the call."""
        return candidates[call.sequence % len(candidates)]


class LeastLoad(Router):
    """Baseline: the shortest queue."""

    def choose(self, call: Call, candidates: list[Candidate]) -> Candidate:
        """Choose the fewest calls, ties by hash."""
        return min(candidates, key=lambda c: (_calls_at(c), _tie(call, c)))


class AffinityOnly(Router):
    """Baseline: where the prefix is cached, whatever the queue."""

    def choose(self, call: Call, candidates: list[Candidate]) -> Candidate:
        """Choose the most cached tokens, then the service's own server."""
        order = rendezvous_order(call.program, [c.server for c in candidates])
        return max(candidates, key=lambda c: (c.cached_tokens, -order.index(c.server)))


class CostRouter(Router):
    """The chosen rule: least predicted seconds of waiting and recomputing."""

    def choose(self, call: Call, candidates: list[Candidate]) -> Candidate:
        """Choose the cheapest, ties by hash so that choosers spread."""
        return min(candidates, key=lambda c: (self._cost(call, c), _tie(call, c)))

    def _cost(self, call: Call, candidate: Candidate) -> float:
        engine = self.engine
        missing = max(0, call.prompt_tokens - candidate.cached_tokens)
        prefill_s = missing / engine.prefill_tokens_s
        waste_factor = WASTE_BASE + WASTE_SLOPE * call.waste_weight
        # A fuller batch slows each call a little before any has to wait.
        calls = min(_calls_at(candidate), engine.slots)
        crowd_s = CROWD_SHARE * engine.call_s * calls / engine.slots
        busy_s = self.wait_s(candidate) + crowd_s + candidate.extra_s
        return busy_s + waste_factor * prefill_s


def _calls_at(candidate: Candidate) -> int:
    reported = 0
    if candidate.load is not None:
        reported = candidate.load.queued + candidate.load.running
    return reported + candidate.sent_since


def _tie(call: Call, candidate: Candidate) -> int:
    return hash64(call.program, candidate.server)


ROUTERS: Final = ("cost", "round-robin", "least-load", "affinity")


def make_router(name: str, engine: EngineModel) -> Router:
    """Build a router by its name in the settings."""
    match name:
        case "round-robin":
            return RoundRobin(engine)
        case "least-load":
            return LeastLoad(engine)
        case "affinity":
            return AffinityOnly(engine)
        case _:
            return CostRouter(engine)
