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
from .hashing import rendezvous_order

# A beginning that was not asked for in this time does not count, in seconds: several
# times as long as a program pauses between two turns.
WINDOW_S: Final = 10.0
# Share of an engine's memory that beginnings may take.  The rest is for requests that
# run and for what belongs to single programs, about half of it each.
MEMORY_SHARE: Final = 0.35
# Homes that are kept for beginnings in use: many times as many as are in use at once.
MOST_KEPT: Final = 4096
# The part of the servers that are homes is rounded to such steps, so that processes
# that count a beginning more or less agree all the same.
STEPS: Final = 20


class _Seen(NamedTuple):
    """When a beginning was last asked for, and its size."""

    at: float
    tokens: int


class PrefixAffinity:
    """The shared beginnings that are in use at one service.

    Parameters
    ----------
    memory_tokens : int
        Tokens that fit into the memory of one engine; 0 if that is not known.
    """

    def __init__(self, memory_tokens: int) -> None:
        self._memory_tokens = memory_tokens
        self._seen: dict[str, _Seen] = {}
        self._tokens = 0
        # Homes worked out for the servers named last.
        self._servers: list[ServerState] = []
        self._ids: list[str] = []
        self._homes: dict[tuple[str, int], frozenset[str]] = {}

    def record_use(self, beginning: str, tokens: int, now: float) -> None:
        """Note that a beginning is asked for."""
        known = self._seen.pop(beginning, None)
        self._tokens += tokens - (known.tokens if known else 0)
        self._seen[beginning] = _Seen(now, tokens)
        self._forget_before(now - WINDOW_S)

    def _forget_before(self, oldest: float) -> None:
        # The dictionary keeps the order: those not asked for longest come first.
        for beginning, seen in list(self._seen.items()):
            if seen.at >= oldest:
                return
            del self._seen[beginning]
            self._tokens -= seen.tokens

    def affinity_servers(
        self, beginning: str, servers: list[ServerState]
    ) -> frozenset[str]:
        """Ids of the servers that a beginning is led to; empty for no restriction."""
        room = MEMORY_SHARE * self._memory_tokens
        if room <= 0 or self._tokens <= room:
            return frozenset()
        step = max(1, int(STEPS * room / self._tokens))
        if servers is not self._servers:
            self._note_servers(servers)
        affinity_servers = self._homes.get((beginning, step))
        if affinity_servers is None:
            if len(self._homes) >= MOST_KEPT:
                self._homes.clear()
            affinity_servers = self._homes[beginning, step] = _homes(
                beginning, servers, step
            )
        return affinity_servers

    def _note_servers(self, servers: list[ServerState]) -> None:
        """Forget homes if the servers are others; the same list has not changed."""
        self._servers = servers
        ids = [state.server.id for state in servers]
        if ids != self._ids:
            self._ids = ids
            self._homes.clear()


def _homes(beginning: str, states: list[ServerState], step: int) -> frozenset[str]:
    by_domain: dict[str, list[str]] = {}
    for state in states:
        by_domain.setdefault(state.server.domain, []).append(state.server.id)
    chosen: list[str] = []
    for servers in by_domain.values():
        count = max(1, round(len(servers) * step / STEPS))
        chosen += rendezvous_order(f"beginning {beginning}", servers)[:count]
    return frozenset(chosen)
