"""Selection of a backend server for a request.

Load pattern: several relays select servers at the same time. Each relay knows its own
requests exactly, and the load of the servers only from reports that are some responses
old. The cost of a server is the sum of its load as a fraction of its concurrency, the
part of the prompt that it would have to compute, the transfer to another failure
domain, and a charge if it is not an affinity server of the prompt's shared prefix.

Ties between nearly equal costs are broken at random, so that relays with the same
reports do not all select the same server.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, NamedTuple

from .fleet import ServerState
from .reuse import FIRST_PRIVATE, PromptSegment

# Cost of a server in another failure domain, as a fraction of its concurrency. The cost
# per kilobyte of the request stands for the price of traffic between domains.
CROSS_DOMAIN_COST: Final = 0.04
CROSS_DOMAIN_COST_PER_KB: Final = 0.01
# Cost of opening a connection: a round trip and time of the server. It is below the
# cost of one own request. Otherwise the turns of a busy server would move to any server
# with an idle connection, away from the cached prompts.
NEW_CONN_COST: Final = 0.06
# Cost of a server that has to compute the whole prompt. Prefill stops the decoding of
# all requests that run on the server.
PREFILL_COST: Final = 1.0
# Cost of a server that is not an affinity server of the shared prefix: more than one
# own request on a server with a concurrency of eight, less than two.
NON_AFFINITY_COST: Final = 0.5
# Costs within this margin count as equal and are decided at random.
TIE_MARGIN: Final = 0.01
# Cost of a server per unit of relative excess over the mean response time of its
# service. It is low because requests stay longer on a slow server and thus already
# raise its load.
SLOWNESS_COST: Final = 0.1
# Maximum number of servers to compare. If there are more, only the preferred ones and a
# random sample are compared, as a full comparison would cost more than the rest of a
# turn.
MAX_CANDIDATES: Final = 64
# Samples drawn from each group of servers. The best of 12 is among the best tenth of
# all servers in seven of ten samples.
MAX_SAMPLES_PER_GROUP: Final = 12


class SelectionContext(NamedTuple):
    """Properties of a request that determine the selection.

    Attributes
    ----------
    domain : str
        Failure domain of this process.
    segments : tuple of PromptSegment
        Segments of the prompt, the most widely shared first.
    tried : frozenset of str
        Servers that have rejected this request.
    size_kb : float
        Size of the request in kilobytes.
    connected : frozenset of str
        Incarnations of servers to which an idle connection is open.
    affinity_servers : frozenset of str
        Affinity servers of the shared prefix; empty for no restriction.
    rendezvous_id : str
        Server that all processes choose for the program by rendezvous hash; empty for
        none.
    """

    domain: str
    segments: tuple[PromptSegment, ...]
    tried: frozenset[str]
    size_kb: float
    connected: frozenset[str]
    affinity_servers: frozenset[str] = frozenset()
    rendezvous_id: str = ""


def select_server(
    servers: list[ServerState],
    context: SelectionContext,
    randbelow: Callable[[int], int],
    now: float,
) -> ServerState | None:
    """Select a server, or return None if every server was tried.

    Parameters
    ----------
    randbelow : callable
        Returns a random integer below its argument.
    """
    candidates = servers
    if context.tried:
        candidates = [
            state for state in servers if state.server.id not in context.tried
        ]
    if not candidates:
        return None
    if len(candidates) > MAX_CANDIDATES:
        candidates = _sample_candidates(candidates, context, randbelow)
    times = [state.mean_response_s for state in candidates if state.mean_response_s > 0]
    mean_s = sum(times) / len(times) if times else 0.0
    rendezvous_id = (
        "" if _has_sent_program(context, candidates) else context.rendezvous_id
    )
    costs = _costs(candidates, context, rendezvous_id, mean_s, now)
    max_tied_cost = min(costs) + TIE_MARGIN
    tied = [
        state
        for state, cost in zip(candidates, costs, strict=True)
        if cost <= max_tied_cost
    ]
    return tied[randbelow(len(tied))]


def _sample_candidates(
    servers: list[ServerState],
    context: SelectionContext,
    randbelow: Callable[[int], int],
) -> list[ServerState]:
    """Keep the preferred servers and a random sample of the others.

    The preferred servers are the rendezvous server and the servers that have this
    program's prompt cached. Sampling the servers with idle connections, the affinity
    servers and all servers keeps processes that know little of the load from converging
    on the same servers.
    """
    program_segment_id = (
        context.segments[FIRST_PRIVATE].id
        if len(context.segments) > FIRST_PRIVATE
        else ""
    )
    chosen = {
        state.incarnation: state
        for state in servers
        if state.server.id == context.rendezvous_id
        or (program_segment_id and program_segment_id in state.cached_segments)
    }
    idle = [state for state in servers if state.incarnation in context.connected]
    affinity_servers = [
        state for state in servers if state.server.id in context.affinity_servers
    ]
    for group in (idle, affinity_servers, servers):
        for _ in range(min(MAX_SAMPLES_PER_GROUP, len(group))):
            state = group[randbelow(len(group))]
            chosen[state.incarnation] = state
    return list(chosen.values())


def _has_sent_program(context: SelectionContext, servers: list[ServerState]) -> bool:
    """Return whether this process has sent the program to one of the servers."""
    private_segments = context.segments[FIRST_PRIVATE:]
    return bool(private_segments) and any(
        private_segments[0].id in state.cached_segments for state in servers
    )


def _costs(
    states: list[ServerState],
    context: SelectionContext,
    rendezvous_id: str,
    mean_s: float,
    now: float,
) -> list[float]:
    """Compute the costs of servers as fractions of their concurrency."""
    cross_domain_cost = CROSS_DOMAIN_COST + CROSS_DOMAIN_COST_PER_KB * context.size_kb
    total = sum(segment.tokens for segment in context.segments)
    costs = []
    for state in states:
        server = state.server
        cost = (state.load(now) + 1) / server.slots
        if server.domain != context.domain:
            cost += cross_domain_cost
        if state.incarnation not in context.connected:
            cost += NEW_CONN_COST
        if context.affinity_servers and server.id not in context.affinity_servers:
            cost += NON_AFFINITY_COST
        if total > 0 and server.id != rendezvous_id:
            cost += PREFILL_COST * state.cached_segments.missing_fraction(
                context.segments, total
            )
        if state.mean_response_s > mean_s > 0:
            cost += SLOWNESS_COST * (state.mean_response_s / mean_s - 1)
        if state.overloaded_until > now:
            cost += 1.0
        costs.append(cost)
    return costs
