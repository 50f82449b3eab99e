"""Estimate of the prompt segments that backend servers have cached.

Load pattern: the turns of a program follow one another, and each prompt starts with the
whole conversation so far. The server that ran the previous turn computes only the new
tokens. A process knows the segments, with their tokens, that it has sent to each
server.

Callers move between processes, and the relay that gets the next turn may know nothing
of the program. All processes therefore choose the same server for a program by
rendezvous hash of its first private segment, and assume that this server has the prompt
cached. Without this, another server would compute most of the prompt again.
"""

from __future__ import annotations

from bisect import bisect
from collections.abc import Iterable
from functools import lru_cache
from typing import Final, NamedTuple

from ..core.hashing import hash64, weighted_score

# Maximum number of segments stored per server: the turns of some minutes at 2.4 turns
# per second.
MAX_SEGMENTS: Final = 512
# Maximum number of servers ranked for a program. If there are more, only those that
# follow the program's hash on the hash ring are ranked.
MAX_RANKED: Final = 64
# Index of the first segment that belongs to one program only.
FIRST_PRIVATE: Final = 1


class PromptSegment(NamedTuple):
    """A segment of a prompt. The last ones belong to one program or session."""

    id: str
    tokens: int


class CachedSegments:
    """Segments that one server has probably cached; the oldest are evicted.

    Attributes
    ----------
    tokens : dict of str to int
        Tokens by id of the segment, the oldest first; must not be modified.
    """

    def __init__(self) -> None:
        self.tokens: dict[str, int] = {}

    def __contains__(self, segment_id: str) -> bool:
        return segment_id in self.tokens

    def __len__(self) -> int:
        return len(self.tokens)

    def add(self, segments: Iterable[PromptSegment]) -> None:
        """Add the segments of a prompt that the server has computed."""
        for segment in segments:
            self.tokens[segment.id] = max(
                segment.tokens, self.tokens.pop(segment.id, 0)
            )
        while len(self.tokens) > MAX_SEGMENTS:
            del self.tokens[next(iter(self.tokens))]

    def missing_fraction(
        self, segments: tuple[PromptSegment, ...], total: int = 0
    ) -> float:
        """Return the fraction of a prompt's tokens that the server has to compute.

        As in the server's prefix cache, a segment counts only if all segments before it
        are cached too.

        Parameters
        ----------
        total : int
            Tokens of all segments if already known, else 0.
        """
        total = total or sum(segment.tokens for segment in segments)
        if total <= 0:
            return 0.0
        return 1.0 - self.cached_tokens(segments) / total

    def cached_tokens(self, segments: tuple[PromptSegment, ...]) -> int:
        """Return the number of a prompt's tokens that the server has cached."""
        return cached_tokens(self.tokens, segments)


def cached_tokens(known: dict[str, int], segments: tuple[PromptSegment, ...]) -> int:
    """Return the number of a prompt's tokens that are cached.

    Parameters
    ----------
    known : dict of str to int
        Cached tokens by id of the segment.
    """
    cached = 0
    for segment_id, tokens in segments:
        known_tokens = known.get(segment_id, 0)
        if known_tokens < tokens:
            return cached + known_tokens
        cached += tokens
    return cached


def rendezvous_server(
    segments: tuple[PromptSegment, ...],
    servers: tuple[str, ...],
    weights: tuple[float, ...] = (),
) -> str:
    """Return the server that all processes choose for a program; empty for none.

    Parameters
    ----------
    servers : tuple of str
        Ids of the servers that may get requests.
    weights : tuple of float
        Relative capacities of the servers; empty if they are equal. A server gets a
        share of the programs in proportion to its weight.
    """
    if len(segments) <= FIRST_PRIVATE or not servers:
        return ""
    return _top_ranked(segments[FIRST_PRIVATE].id, servers, weights)


@lru_cache(maxsize=4096)
def _top_ranked(
    segment_id: str, servers: tuple[str, ...], weights: tuple[float, ...]
) -> str:
    by_id = dict(zip(servers, weights, strict=True)) if weights else {}
    if len(servers) > MAX_RANKED:
        order = _servers_by_hash(servers)
        start = bisect(order, (hash64("program", segment_id), ""))
        following = (order[(start + n) % len(order)] for n in range(MAX_RANKED))
        servers = tuple(name for _, name in following)
    if not by_id:
        return max(servers, key=lambda name: hash64("program", segment_id, name))
    return max(
        servers,
        key=lambda name: weighted_score(
            hash64("program", segment_id, name), by_id[name]
        ),
    )


@lru_cache(maxsize=16)
def _servers_by_hash(servers: tuple[str, ...]) -> list[tuple[int, str]]:
    return sorted((hash64("server", name), name) for name in servers)
