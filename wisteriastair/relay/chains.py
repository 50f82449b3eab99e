"""What was said in chains of turns, so that the next turn need not ask for it.

The ledger holds the truth; this cache only saves the way there.  The least recently
used chains yield, by bytes, so a burst of long chains cannot take the process's memory.
"""

from __future__ import annotations

from collections import OrderedDict


class ChainCache:
    """Whole chains by program and last turn.

    Parameters
    ----------
    most_bytes : int
        Bytes of all chains together.
    """

    def __init__(self, most_bytes: int) -> None:
        self.held_bytes = 0
        self._most_bytes = most_bytes
        self._chains: OrderedDict[tuple[str, str], bytes] = OrderedDict()

    def get(self, program: str, turn: str) -> bytes | None:
        """Return what was said up to the end of a turn."""
        content = self._chains.get((program, turn))
        if content is not None:
            self._chains.move_to_end((program, turn))
        return content

    def put(self, program: str, turn: str, content: bytes) -> None:
        """Keep what was said up to the end of a turn."""
        key = (program, turn)
        if key in self._chains:
            return
        self._chains[key] = content
        self.held_bytes += len(content)
        while self.held_bytes > self._most_bytes:
            _, dropped = self._chains.popitem(last=False)
            self.held_bytes -= len(dropped)
