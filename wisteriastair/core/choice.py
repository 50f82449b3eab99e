"""Which backend server gets a request.

The load pattern: several relays choose at once for the same servers, each knowing its
own requests and reports that are some answers old.  The cost of a server is the share
of its places that are taken, plus what it would have to read of the prompt, plus the
way to another failure domain, plus a charge where the prompt's beginning is led to
other servers.
Costs that are nearly equal are decided by a draw, so that relays with the same reports
do not all go to the same server.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, NamedTuple

from .fleet import ServerState
from .reuse import FIRST_PRIVATE, PromptPart

# Share of a server's places that a detour to another failure domain is worth: a little
# for the way, and more for each byte of the request, since traffic between domains is
# paid for.
CROSS_DOMAIN_COST: Final = 0.04
CROSS_DOMAIN_COST_PER_KB: Final = 0.01
# A server to which a channel is open is worth this share of its places: opening one
# takes a round trip, and the server's time.  Less than one own request counts: else the
# turns of a busy server go to wherever a channel is idle, away from what has read their
# prompts.
NEW_CONN_COST: Final = 0.06
# A server that has to read the whole prompt counts as fuller by this share of its
# places, since reading it stops the decoding of all that runs there.
PREFILL_COST: Final = 1.0
# A server that the prompt's beginning is not led to counts as fuller by this share of
# its places: more than one own request at a server of eight places, less than two.
NON_AFFINITY_COST: Final = 0.5
# Costs closer than this are decided by a draw.
TIE_MARGIN: Final = 0.01
# A server that is slower than the mean of its service counts as fuller by this times
# its excess share.  Little: requests stay longer on a slow server and so count there by
# themselves.
SLOWNESS_COST: Final = 0.1
# Servers that are compared with each other; of more, only those that something speaks
# for and some that are drawn, since comparing all would cost more than the rest of a
# turn.
MAX_CANDIDATES: Final = 64
# Servers drawn of each sort.  The best of a dozen is among the best tenth of all in
# seven of ten draws.
MAX_SAMPLES_PER_GROUP: Final = 12


class Want(NamedTuple):
    """What the choice needs to know of a request.

    Attributes
    ----------
    domain : str
        Failure domain of this process.
    segments : tuple of PromptPart
        Parts of the prompt, those shared most first.
    tried : frozenset of str
        Servers that have refused this request.
    kilobytes : float
        Size of the request.
    connected : frozenset of str
        Starts of servers to which a channel is open and idle.
    homes : frozenset of str
        Servers that the prompt's beginning is led to; empty for no restriction.
    agreed : str
        Server that all processes take for the program's; empty for none.
    """

    domain: str
    segments: tuple[PromptPart, ...]
    tried: frozenset[str]
    size_kb: float
    connected: frozenset[str]
    homes: frozenset[str] = frozenset()
    rendezvous_id: str = ""


def choose(
    servers: list[ServerState], want: Want, randbelow: Callable[[int], int], now: float
) -> ServerState | None:
    """Choose a server, or None if there is none left to try.

    Parameters
    ----------
    draw : callable
        Draws a number below the one given.
    """
    candidates = servers
    if want.tried:
        candidates = [state for state in servers if state.server.id not in want.tried]
    if not candidates:
        return None
    if len(candidates) > MAX_CANDIDATES:
        candidates = _sample_candidates(candidates, want, randbelow)
    times = [state.mean_response_s for state in candidates if state.mean_response_s > 0]
    mean_s = sum(times) / len(times) if times else 0.0
    rendezvous_id = "" if _has_sent_program(want, candidates) else want.rendezvous_id
    costs = _costs(candidates, want, rendezvous_id, mean_s, now)
    max_tied_cost = min(costs) + TIE_MARGIN
    tied = [
        state
        for state, cost in zip(candidates, costs, strict=True)
        if cost <= max_tied_cost
    ]
    return tied[randbelow(len(tied))]


def _sample_candidates(
    servers: list[ServerState], want: Want, randbelow: Callable[[int], int]
) -> list[ServerState]:
    """Leave the servers that something speaks for, and some that are drawn.

    A server is spoken for by what it has read of the prompt, by the agreement, or by an
    idle channel.  The drawn ones keep many processes that know little of the load from
    meeting at the same servers.
    """
    private_segments = (
        want.segments[FIRST_PRIVATE].id if len(want.segments) > FIRST_PRIVATE else ""
    )
    chosen = {
        state.start: state
        for state in servers
        if state.server.id == want.rendezvous_id
        or (private_segments and private_segments in state.parts)
    }
    idle = [state for state in servers if state.start in want.connected]
    homes = [state for state in servers if state.server.id in want.homes]
    for group in (idle, homes, servers):
        for _ in range(min(MAX_SAMPLES_PER_GROUP, len(group))):
            state = group[randbelow(len(group))]
            chosen[state.start] = state
    return list(chosen.values())


def _has_sent_program(want: Want, servers: list[ServerState]) -> bool:
    """Whether this process has sent the program to one of the servers."""
    private_segments = want.segments[FIRST_PRIVATE:]
    return bool(private_segments) and any(
        private_segments[0].id in state.parts for state in servers
    )


def _costs(
    states: list[ServerState], want: Want, rendezvous_id: str, mean_s: float, now: float
) -> list[float]:
    """Work out the costs of servers, in shares of their places."""
    cross_domain_cost = CROSS_DOMAIN_COST + CROSS_DOMAIN_COST_PER_KB * want.size_kb
    total = sum(segment.tokens for segment in want.segments)
    costs = []
    for state in states:
        server = state.server
        cost = (state.load(now) + 1) / server.slots
        if server.domain != want.domain:
            cost += cross_domain_cost
        if state.start not in want.connected:
            cost += NEW_CONN_COST
        if want.homes and server.id not in want.homes:
            cost += NON_AFFINITY_COST
        if total > 0 and server.id != rendezvous_id:
            cost += PREFILL_COST * state.parts.missing_fraction(want.segments, total)
        if state.mean_response_s > mean_s > 0:
            cost += SLOWNESS_COST * (state.mean_response_s / mean_s - 1)
        if state.full_until > now:
            cost += 1.0
        costs.append(cost)
    return costs
