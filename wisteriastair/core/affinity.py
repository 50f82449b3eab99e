"""Which backend servers a prompt's shared beginning is led to.

The load pattern: prompts begin with one of a dozen texts of some 12,600 tokens that
many programs share.  If every server gets every beginning and they do not fit into an
engine's memory together, each one read evicts another that the next request needs, and
requests are preempted for lack of memory.

A beginning is therefore led to some of the servers only, its homes: as many as let the
beginnings at one server take a bounded share of its memory.  Where all of them fit,
there are no homes and nothing is restricted.  Homes are worked out by rendezvous hash
in each failure domain apart, so that relays agree without talking, a server that goes
moves only its own beginnings, and none is led across domains for this.  A home is a
preference that load outweighs, not a rule.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from .fleet import ServerState
from .hashing import rank

# A beginning that was not asked for in this time does not count, in seconds: several
# times as long as a program pauses between two turns.
ACTIVE_WINDOW_S: Final = 10.0
# Share of an engine's memory that beginnings may take.  The rest is for requests that
# run and for what belongs to single programs, about half of it each.
MEMORY_FRACTION: Final = 0.35
# Homes that are kept for beginnings in use: many times as many as are in use at once.
MAX_CACHED_RESULTS: Final = 4096
# The part of the servers that are homes is rounded to such steps, so that processes
# that count a beginning more or less agree all the same.
FRACTION_STEPS: Final = 20


class _PrefixUse(NamedTuple):
    """When a beginning was last asked for, and its size."""

    last_used_at: float
    tokens: int


class Beginnings:
    """The shared beginnings that are in use at one service.

    Parameters
    ----------
    memory_tokens : int
        Tokens that fit into the memory of one engine; 0 if that is not known.
    """

    def __init__(self, memory_tokens: int) -> None:
        self._memory_tokens = memory_tokens
        self._uses: dict[str, _PrefixUse] = {}
        self._active_tokens = 0
        # Homes worked out for the servers named last.
        self._servers: list[ServerState] = []
        self._ids: list[str] = []
        self._homes: dict[tuple[str, int], frozenset[str]] = {}

    def note(self, prefix: str, tokens: int, now: float) -> None:
        """Note that a beginning is asked for."""
        previous = self._uses.pop(prefix, None)
        self._active_tokens += tokens - (previous.tokens if previous else 0)
        self._uses[prefix] = _PrefixUse(now, tokens)
        self._expire_before(now - ACTIVE_WINDOW_S)

    def _expire_before(self, oldest: float) -> None:
        # The dictionary keeps the order: those not asked for longest come first.
        for prefix, use in list(self._uses.items()):
            if use.last_used_at >= oldest:
                return
            del self._uses[prefix]
            self._active_tokens -= use.tokens

    def homes(self, prefix: str, servers: list[ServerState]) -> frozenset[str]:
        """Ids of the servers that a beginning is led to; empty for no restriction."""
        budget_tokens = MEMORY_FRACTION * self._memory_tokens
        if budget_tokens <= 0 or self._active_tokens <= budget_tokens:
            return frozenset()
        step = max(1, int(FRACTION_STEPS * budget_tokens / self._active_tokens))
        if servers is not self._servers:
            self._update_servers(servers)
        homes = self._homes.get((prefix, step))
        if homes is None:
            if len(self._homes) >= MAX_CACHED_RESULTS:
                self._homes.clear()
            homes = self._homes[prefix, step] = _homes(prefix, servers, step)
        return homes

    def _update_servers(self, servers: list[ServerState]) -> None:
        """Forget homes if the servers are others; the same list has not changed."""
        self._servers = servers
        ids = [state.server.id for state in servers]
        if ids != self._ids:
            self._ids = ids
            self._homes.clear()


def _homes(prefix: str, states: list[ServerState], step: int) -> frozenset[str]:
    by_domain: dict[str, list[str]] = {}
    for state in states:
        by_domain.setdefault(state.server.domain, []).append(state.server.id)
    chosen: list[str] = []
    for servers in by_domain.values():
        count = max(1, round(len(servers) * step / FRACTION_STEPS))
        chosen += rank(f"beginning {prefix}", servers)[:count]
    return frozenset(chosen)
