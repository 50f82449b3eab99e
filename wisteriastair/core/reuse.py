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

from .hashing import hash64

# Parts remembered for one server: the turns of some minutes at 2.4 a second.
MOST_PARTS: Final = 512
# Servers that are compared for a program; of more, only those that follow the program's
# place in the order of their hashes.
MOST_RANKED: Final = 64
# The parts before this one are shared with other programs.
FIRST_OWN: Final = 1


class PromptSegment(NamedTuple):
    """A part of a prompt; the last ones belong to the program or its line of turns."""

    id: str
    tokens: int


class CachedSegments:
    """Parts that one server has read, with their tokens; the oldest are forgotten."""

    def __init__(self) -> None:
        self._tokens: dict[str, int] = {}

    def __contains__(self, part_id: str) -> bool:
        return part_id in self._tokens

    def __len__(self) -> int:
        return len(self._tokens)

    def add(self, parts: Iterable[PromptSegment]) -> None:
        """Note that a server has read a prompt."""
        for part in parts:
            self._tokens[part.id] = max(part.tokens, self._tokens.pop(part.id, 0))
        while len(self._tokens) > MOST_PARTS:
            del self._tokens[next(iter(self._tokens))]

    def lacking(self, parts: tuple[PromptSegment, ...], total: int = 0) -> float:
        """Share of a prompt's tokens that the server would have to read.

        A part counts only if all before it are there too, as in the server's cache.

        Parameters
        ----------
        total : int
            Tokens of all parts, if they have been added up already.
        """
        total = total or sum(part.tokens for part in parts)
        if total <= 0:
            return 0.0
        known = self._tokens
        held = 0
        for part_id, tokens in parts:
            had = known.get(part_id, 0)
            if had < tokens:
                held += had
                break
            held += tokens
        return 1.0 - held / total


def rendezvous_server(
    parts: tuple[PromptSegment, ...], servers: tuple[str, ...]
) -> str:
    """Id of the server that all processes take for a program's; empty for none.

    Parameters
    ----------
    servers : tuple of str
        Ids of the servers that may get work.
    """
    if len(parts) <= FIRST_OWN or not servers:
        return ""
    return _first(parts[FIRST_OWN].id, servers)


@lru_cache(maxsize=4096)
def _first(part_id: str, servers: tuple[str, ...]) -> str:
    if len(servers) > MOST_RANKED:
        order = _hash_order(servers)
        start = bisect(order, (hash64("program", part_id), ""))
        around = (order[(start + n) % len(order)] for n in range(MOST_RANKED))
        servers = tuple(name for _, name in around)
    return max(servers, key=lambda name: hash64("program", part_id, name))


@lru_cache(maxsize=16)
def _hash_order(servers: tuple[str, ...]) -> list[tuple[int, str]]:
    return sorted((hash64("server", name), name) for name in servers)
