"""Affinity of shared prompt prefixes to backend servers.

Load pattern: prompts start with one of a dozen prefixes of about 12,600 tokens, each
shared by many programs. If every server gets every prefix and they do not fit into the
memory of an engine together, each computed prefix evicts one that the next request
needs, and requests are preempted for lack of memory.

Each prefix therefore has a limited set of affinity servers, so that the prefixes at one
server use a bounded fraction of its memory. If all prefixes fit, there is no
restriction.

Affinity servers are chosen by rendezvous hash in each failure domain. Relays thus agree
without communication, a server that leaves moves only its own prefixes, and no prefix
is sent to another domain for its affinity. Affinity is a preference, which load can
outweigh. If the servers of a service differ in capacity, they are chosen in proportion
to their weights, which all relays know alike.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from ..core.hashing import rendezvous_order, weighted_rendezvous_order
from .fleet import ServerState

# A prefix that was not requested for this time in seconds is not counted. It is several
# times the pause of a program between two turns.
ACTIVE_WINDOW_S: Final = 10.0
# Fraction of an engine's memory for shared prefixes. The rest is split about equally
# between running requests and data of single programs.
MEMORY_FRACTION: Final = 0.35
# Maximum number of cached results: many times the number of prefixes in use.
MAX_CACHED_RESULTS: Final = 4096
# The fraction of servers per prefix is rounded to a multiple of 1 / FRACTION_STEPS, so
# that processes agree even if their counts of prefixes differ slightly.
FRACTION_STEPS: Final = 20


class _PrefixUse(NamedTuple):
    """Time of the last request for a prefix, and its size."""

    last_used_at: float
    tokens: int


class PrefixAffinity:
    """The shared prefixes in use at one service, and their affinity servers.

    Parameters
    ----------
    memory_tokens : int
        Tokens that fit into the memory of one engine; 0 if unknown.
    """

    def __init__(self, memory_tokens: int) -> None:
        self._memory_tokens = memory_tokens
        self._uses: dict[str, _PrefixUse] = {}
        self._active_tokens = 0
        # Cached affinity servers for the most recent list of servers.
        self._servers: list[ServerState] = []
        self._ids: list[str] = []
        self._weights: tuple[float, ...] = ()
        self._cached_servers: dict[tuple[str, int], frozenset[str]] = {}

    def record_use(self, prefix: str, tokens: int, now: float) -> None:
        """Record a request for a prefix."""
        previous = self._uses.pop(prefix, None)
        self._active_tokens += tokens - (previous.tokens if previous else 0)
        self._uses[prefix] = _PrefixUse(now, tokens)
        self._expire_before(now - ACTIVE_WINDOW_S)

    def _expire_before(self, oldest: float) -> None:
        # Ordered by last use, least recently used first.
        for prefix, use in list(self._uses.items()):
            if use.last_used_at >= oldest:
                return
            del self._uses[prefix]
            self._active_tokens -= use.tokens

    def affinity_servers(
        self,
        prefix: str,
        servers: list[ServerState],
        weights: tuple[float, ...] = (),
    ) -> frozenset[str]:
        """Return the ids of a prefix's affinity servers; empty for no restriction.

        Parameters
        ----------
        weights : tuple of float
            Relative capacities of the servers; empty if they are equal.
        """
        budget_tokens = MEMORY_FRACTION * self._memory_tokens
        if budget_tokens <= 0 or self._active_tokens <= budget_tokens:
            return frozenset()
        step = max(1, int(FRACTION_STEPS * budget_tokens / self._active_tokens))
        if servers is not self._servers:
            self._update_servers(servers)
        if weights != self._weights:
            self._weights = weights
            self._cached_servers.clear()
        affinity_servers = self._cached_servers.get((prefix, step))
        if affinity_servers is None:
            if len(self._cached_servers) >= MAX_CACHED_RESULTS:
                self._cached_servers.clear()
            affinity_servers = self._cached_servers[prefix, step] = _choose_servers(
                prefix, servers, step, weights
            )
        return affinity_servers

    def _update_servers(self, servers: list[ServerState]) -> None:
        """Store a new list of servers; clear the cache if the ids differ.

        Not called for the same list object, which is assumed to be unchanged.
        """
        self._servers = servers
        ids = [state.server.id for state in servers]
        if ids != self._ids:
            self._ids = ids
            self._cached_servers.clear()


def _choose_servers(
    prefix: str, states: list[ServerState], step: int, weights: tuple[float, ...]
) -> frozenset[str]:
    by_domain: dict[str, dict[str, float]] = {}
    for position, state in enumerate(states):
        weight = weights[position] if weights else 1.0
        by_domain.setdefault(state.server.domain, {})[state.server.id] = weight
    chosen: list[str] = []
    for servers in by_domain.values():
        count = max(1, round(len(servers) * step / FRACTION_STEPS))
        item = f"beginning {prefix}"
        if weights:
            chosen += weighted_rendezvous_order(item, servers)[:count]
        else:
            chosen += rendezvous_order(item, servers)[:count]
    return frozenset(chosen)
