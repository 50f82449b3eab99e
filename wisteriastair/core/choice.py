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
from .reuse import FIRST_OWN, PromptSegment

# Share of a server's places that a detour to another failure domain is worth: a little
# for the way, and more for each byte of the request, since traffic between domains is
# paid for.
OTHER_DOMAIN: Final = 0.04
OTHER_DOMAIN_PER_KB: Final = 0.01
# A server to which a channel is open is worth this share of its places: opening one
# takes a round trip, and the server's time.  Less than one own request counts: else the
# turns of a busy server go to wherever a channel is idle, away from what has read their
# prompts.
CHANNEL_OPEN: Final = 0.06
# A server that has to read the whole prompt counts as fuller by this share of its
# places, since reading it stops the decoding of all that runs there.
PROMPT_READ: Final = 1.0
# A server that the prompt's beginning is not led to counts as fuller by this share of
# its places: more than one own request at a server of eight places, less than two.
NOT_A_HOME: Final = 0.5
# Costs closer than this are decided by a draw.
NEARLY_EQUAL: Final = 0.01
# A server that is slower than the mean of its service counts as fuller by this times
# its excess share.  Little: requests stay longer on a slow server and so count there by
# themselves.
SLOWNESS: Final = 0.1
# Servers that are compared with each other; of more, only those that something speaks
# for and some that are drawn, since comparing all would cost more than the rest of a
# turn.
MOST_COMPARED: Final = 64
# Servers drawn of each sort.  The best of a dozen is among the best tenth of all in
# seven of ten draws.
MOST_DRAWN: Final = 12


class SelectionContext(NamedTuple):
    """What the choice needs to know of a request.

    Attributes
    ----------
    domain : str
        Failure domain of this process.
    parts : tuple of PromptSegment
        Parts of the prompt, those shared most first.
    tried : frozenset of str
        Servers that have refused this request.
    kilobytes : float
        Size of the request.
    connected : frozenset of str
        Starts of servers to which a channel is open and idle.
    affinity_servers : frozenset of str
        Servers that the prompt's beginning is led to; empty for no restriction.
    agreed : str
        Server that all processes take for the program's; empty for none.
    """

    domain: str
    parts: tuple[PromptSegment, ...]
    tried: frozenset[str]
    kilobytes: float
    connected: frozenset[str]
    affinity_servers: frozenset[str] = frozenset()
    agreed: str = ""


def select_server(
    servers: list[ServerState],
    context: SelectionContext,
    draw: Callable[[int], int],
    now: float,
) -> ServerState | None:
    """Choose a server, or None if there is none left to try.

    Parameters
    ----------
    draw : callable
        Draws a number below the one given.
    """
    left = servers
    if context.tried:
        left = [state for state in servers if state.server.id not in context.tried]
    if not left:
        return None
    if len(left) > MOST_COMPARED:
        left = _narrowed(left, context, draw)
    times = [state.mean_s for state in left if state.mean_s > 0]
    mean_s = sum(times) / len(times) if times else 0.0
    agreed = "" if _is_known(context, left) else context.agreed
    costs = _costs(left, context, agreed, mean_s, now)
    near_cost = min(costs) + NEARLY_EQUAL
    near = [state for state, cost in zip(left, costs, strict=True) if cost <= near_cost]
    return near[draw(len(near))]


def _narrowed(
    servers: list[ServerState], context: SelectionContext, draw: Callable[[int], int]
) -> list[ServerState]:
    """Leave the servers that something speaks for, and some that are drawn.

    A server is spoken for by what it has read of the prompt, by the agreement, or by an
    idle channel.  The drawn ones keep many processes that know little of the load from
    meeting at the same servers.
    """
    own = context.parts[FIRST_OWN].id if len(context.parts) > FIRST_OWN else ""
    chosen = {
        state.incarnation: state
        for state in servers
        if state.server.id == context.agreed or (own and own in state.cached_segments)
    }
    idle = [state for state in servers if state.incarnation in context.connected]
    affinity_servers = [
        state for state in servers if state.server.id in context.affinity_servers
    ]
    for some in (idle, affinity_servers, servers):
        for _ in range(min(MOST_DRAWN, len(some))):
            state = some[draw(len(some))]
            chosen[state.incarnation] = state
    return list(chosen.values())


def _is_known(context: SelectionContext, servers: list[ServerState]) -> bool:
    """Whether this process has sent the program to one of the servers."""
    own = context.parts[FIRST_OWN:]
    return bool(own) and any(own[0].id in state.cached_segments for state in servers)


def _costs(
    states: list[ServerState],
    context: SelectionContext,
    agreed: str,
    mean_s: float,
    now: float,
) -> list[float]:
    """Work out the costs of servers, in shares of their places."""
    elsewhere = OTHER_DOMAIN + OTHER_DOMAIN_PER_KB * context.kilobytes
    total = sum(part.tokens for part in context.parts)
    costs = []
    for state in states:
        server = state.server
        cost = (state.load(now) + 1) / server.slots
        if server.domain != context.domain:
            cost += elsewhere
        if state.incarnation not in context.connected:
            cost += CHANNEL_OPEN
        if context.affinity_servers and server.id not in context.affinity_servers:
            cost += NOT_A_HOME
        if total > 0 and server.id != agreed:
            cost += PROMPT_READ * state.cached_segments.lacking(context.parts, total)
        if state.mean_s > mean_s > 0:
            cost += SLOWNESS * (state.mean_s / mean_s - 1)
        if state.overloaded_until > now:
            cost += 1.0
        costs.append(cost)
    return costs
