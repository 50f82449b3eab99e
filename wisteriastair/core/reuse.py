"""What of a prompt a backend server has read before, as far as this process knows.

The load pattern: turns of one program come one after another, each prompt beginning
with all that was said before.  A server that ran the turn before reads only what is
new.  A process knows what it sent to a server itself, part by part with its tokens.

Callers move between processes, and the relay that gets the next turn knows nothing of
the program.  So all agree on a server for it by rendezvous hash of the program's first
own part, and count that server as having read the prompt.  Else most of it would be
read again on another server.
"""

from __future__ import annotations

from bisect import bisect
from collections.abc import Iterable
from functools import lru_cache
from typing import Final, NamedTuple

from .hashing import hash_word

# Parts remembered for one server: the turns of some minutes at 2.4 a second.
MAX_SEGMENTS: Final = 512
# Servers that are compared for a program; of more, only those that follow the program's
# place in the order of their hashes.
MAX_RANKED: Final = 64
# The parts before this one are shared with other programs.
FIRST_PRIVATE: Final = 1


class PromptPart(NamedTuple):
    """A part of a prompt; the last ones belong to the program or its line of turns."""

    id: str
    tokens: int


class KnownParts:
    """Parts that one server has read, with their tokens; the oldest are forgotten."""

    def __init__(self) -> None:
        self._tokens: dict[str, int] = {}

    def __contains__(self, segment_id: str) -> bool:
        return segment_id in self._tokens

    def __len__(self) -> int:
        return len(self._tokens)

    def note(self, segments: Iterable[PromptPart]) -> None:
        """Note that a server has read a prompt."""
        for segment in segments:
            self._tokens[segment.id] = max(
                segment.tokens, self._tokens.pop(segment.id, 0)
            )
        while len(self._tokens) > MAX_SEGMENTS:
            del self._tokens[next(iter(self._tokens))]

    def missing_fraction(
        self, segments: tuple[PromptPart, ...], total: int = 0
    ) -> float:
        """Share of a prompt's tokens that the server would have to read.

        A part counts only if all before it are there too, as in the server's cache.

        Parameters
        ----------
        total : int
            Tokens of all parts, if they have been added up already.
        """
        total = total or sum(segment.tokens for segment in segments)
        if total <= 0:
            return 0.0
        known = self._tokens
        cached_tokens = 0
        for segment_id, tokens in segments:
            known_tokens = known.get(segment_id, 0)
            if known_tokens < tokens:
                cached_tokens += known_tokens
                break
            cached_tokens += tokens
        return 1.0 - cached_tokens / total


def agreed_server(segments: tuple[PromptPart, ...], servers: tuple[str, ...]) -> str:
    """Id of the server that all processes take for a program's; empty for none.

    Parameters
    ----------
    servers : tuple of str
        Ids of the servers that may get work.
    """
    if len(segments) <= FIRST_PRIVATE or not servers:
        return ""
    return _top_ranked(segments[FIRST_PRIVATE].id, servers)


@lru_cache(maxsize=4096)
def _top_ranked(segment_id: str, servers: tuple[str, ...]) -> str:
    if len(servers) > MAX_RANKED:
        order = _servers_by_hash(servers)
        start = bisect(order, (hash_word("program", segment_id), ""))
        following = (order[(start + n) % len(order)] for n in range(MAX_RANKED))
        servers = tuple(name for _, name in following)
    return max(servers, key=lambda name: hash_word("program", segment_id, name))


@lru_cache(maxsize=16)
def _servers_by_hash(servers: tuple[str, ...]) -> list[tuple[int, str]]:
    return sorted((hash_word("server", name), name) for name in servers)
