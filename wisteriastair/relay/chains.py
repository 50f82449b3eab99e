"""Cache of turn chains, so that the next turn need not read its chain from the ledger.

The ledger is authoritative.  The least recently used chains are evicted by size in
bytes, so a burst of long chains cannot exhaust the memory of the process.
"""

from __future__ import annotations

from collections import OrderedDict


class ChainCache:
    """Content of whole chains by program and last turn.

    Parameters
    ----------
    max_bytes : int
        Maximum size of all chains together.
    """

    def __init__(self, max_bytes: int) -> None:
        self.size_bytes = 0
        self._max_bytes = max_bytes
        self._chains: OrderedDict[tuple[str, str], bytes] = OrderedDict()

    def get(self, program: str, turn: str) -> bytes | None:
        """Return the content of a chain up to and including a turn, if cached."""
        content = self._chains.get((program, turn))
        if content is not None:
            self._chains.move_to_end((program, turn))
        return content

    def put(self, program: str, turn: str, content: bytes) -> None:
        """Store the content of a chain up to and including a turn."""
        key = (program, turn)
        if key in self._chains:
            return
        self._chains[key] = content
        self.size_bytes += len(content)
        while self.size_bytes > self._max_bytes:
            _, evicted = self._chains.popitem(last=False)
            self.size_bytes -= len(evicted)
