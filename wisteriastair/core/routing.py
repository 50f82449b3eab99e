"""Choice of a backend server for a call.

Reported loads lag behind, and many processes choose at once. A process therefore
corrects the last report by the calls that it has sent since. It compares costs in
seconds: the wait for a free slot, and the time to compute the part of the prompt that
the server does not have cached. A program stays where its prefix is cached until the
queue there costs more than computing the prefix elsewhere.

The simpler baseline policies can be selected by a setting.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Final, NamedTuple

from .hashing import hash64, rendezvous_order
from .wire import ServerLoad

CROWDING_FRACTION: Final = 0.1
# A second of recomputing a prompt costs more than a second of waiting, as it also slows
# all other calls on the server (docs/design/policy.md).
WASTE_BASE: Final = 1.0
WASTE_SLOPE: Final = 6.0


class EngineModel(NamedTuple):
    """Cost model of calls on an engine, for comparing servers.

    Attributes
    ----------
    prefill_tokens_s : float
        Prompt tokens that one server computes per second.
    call_s : float
        Typical duration of a running call in seconds.
    slots : int
        Number of calls that one server runs concurrently.
    """

    prefill_tokens_s: float = 8_000.0
    call_s: float = 2.0
    slots: int = 8


class Candidate(NamedTuple):
    """A server that can take the call.

    Attributes
    ----------
    cached_tokens : int
        Estimated number of prompt tokens cached there.
    load : ServerLoad or None
        Latest report; None if there is none or it has expired.
    sent_since : int
        Calls sent by this process since that report and still without a result.
    extra_s : float
        Seconds by which a call recently took longer here than on the median server.
    """

    server: str
    cached_tokens: int
    load: ServerLoad | None
    sent_since: int
    extra_s: float = 0.0


class Call(NamedTuple):
    """Properties of a call that a router needs."""

    program: str
    service: str
    prompt_tokens: int
    waste_weight: float
    sequence: int


class Router(ABC):
    """Chooses one of the candidates.

    Parameters
    ----------
    engine : EngineModel
        Cost model of calls.
    """

    def __init__(self, engine: EngineModel) -> None:
        self.engine = engine

    def wait_s(self, candidate: Candidate) -> float:
        """Predict the wait for a free slot on a server in seconds."""
        calls = _calls_at(candidate)
        ahead = max(0, calls - self.engine.slots + 1)
        return ahead * self.engine.call_s / self.engine.slots

    @abstractmethod
    def choose(self, call: Call, candidates: list[Candidate]) -> Candidate:
        """Choose one of at least one candidate."""


class RoundRobin(Router):
    """Baseline: each server in turn."""

    def choose(self, call: Call, candidates: list[Candidate]) -> Candidate:
        """Choose by the sequence number of the call."""
        return candidates[call.sequence % len(candidates)]


class LeastLoad(Router):
    """Baseline: the shortest queue."""

    def choose(self, call: Call, candidates: list[Candidate]) -> Candidate:
        """Choose the server with the fewest calls; break ties by hash."""
        return min(candidates, key=lambda c: (_calls_at(c), _tie_break(call, c)))


class AffinityOnly(Router):
    """Baseline: the server with the cached prefix, regardless of its queue."""

    def choose(self, call: Call, candidates: list[Candidate]) -> Candidate:
        """Choose the most cached tokens; break ties by the program's hash order."""
        order = rendezvous_order(call.program, [c.server for c in candidates])
        return max(candidates, key=lambda c: (c.cached_tokens, -order.index(c.server)))


class CostRouter(Router):
    """Default policy: least predicted time of waiting and recomputing."""

    def choose(self, call: Call, candidates: list[Candidate]) -> Candidate:
        """Choose the cheapest; break ties by hash to spread processes over servers."""
        return min(candidates, key=lambda c: (self._cost(call, c), _tie_break(call, c)))

    def _cost(self, call: Call, candidate: Candidate) -> float:
        engine = self.engine
        missing = max(0, call.prompt_tokens - candidate.cached_tokens)
        prefill_s = missing / engine.prefill_tokens_s
        waste_factor = WASTE_BASE + WASTE_SLOPE * call.waste_weight
        # A fuller batch slows down each call slightly before any call has to wait.
        calls = min(_calls_at(candidate), engine.slots)
        crowding_s = CROWDING_FRACTION * engine.call_s * calls / engine.slots
        busy_s = self.wait_s(candidate) + crowding_s + candidate.extra_s
        return busy_s + waste_factor * prefill_s


def _calls_at(candidate: Candidate) -> int:
    reported = 0
    if candidate.load is not None:
        reported = candidate.load.queued + candidate.load.running
    return reported + candidate.sent_since


def _tie_break(call: Call, candidate: Candidate) -> int:
    return hash64(call.program, candidate.server)


ROUTERS: Final = ("cost", "round-robin", "least-load", "affinity")


def make_router(name: str, engine: EngineModel) -> Router:
    """Create a router by its name in the settings."""
    match name:
        case "round-robin":
            return RoundRobin(engine)
        case "least-load":
            return LeastLoad(engine)
        case "affinity":
            return AffinityOnly(engine)
        case _:
            return CostRouter(engine)
