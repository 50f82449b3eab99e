"""Expected size of the outputs of turns, for the room that they need at keepers.

Load pattern: room is reserved before a turn runs, when only the maximum number of its
tokens is known.  Outputs that are longer than their room fill keepers beyond their
limit, so that the estimate follows the longest recent outputs of each route.
"""

from __future__ import annotations

from typing import Final

# Bytes of a token of most texts, twice over.
MIN_BYTES_PER_TOKEN: Final = 8.0
# Part of the estimate that remains after a shorter output: half of it after 34.
DECAY: Final = 0.98


class OutputSizes:
    """Largest recent number of bytes per token of each route."""

    def __init__(self) -> None:
        self._bytes_per_token: dict[str, float] = {}

    def record(self, route: str, size: int, tokens: int) -> None:
        """Record the output of a turn.

        Parameters
        ----------
        size : int
            Bytes that are stored.
        tokens : int
            Tokens of all its events.
        """
        if tokens > 0:
            decayed = DECAY * self._bytes_per_token.get(route, 0.0)
            self._bytes_per_token[route] = max(size / tokens, decayed)

    def estimate(self, route: str, tokens: int) -> int:
        """Return the bytes to expect of a turn with a maximum number of tokens."""
        known = self._bytes_per_token.get(route, 0.0)
        return int(max(MIN_BYTES_PER_TOKEN, known) * tokens)
