"""The contents of a slot's log.

Entries are grouped by program, because copies are sent and programs are rebuilt one
program at a time.  Each entry contains a digest over its predecessor in the same
program, so a record that is missing, duplicated, reordered or of another program is
detected and refused.
"""

from __future__ import annotations

from collections import deque
from hashlib import blake2b
from typing import Final

from .wire import Entry

DIGEST_BYTES: Final = 16


def chain_digest(previous: bytes, program: str, body: bytes) -> bytes:
    """Digest of a record, chained to the digest of its predecessor."""
    state = blake2b(previous, digest_size=DIGEST_BYTES)
    state.update(program.encode())
    state.update(body)
    return state.digest()


class SlotLog:
    """Log entries of one slot by program, and the tail that is not acknowledged."""

    def __init__(self) -> None:
        self.programs: dict[str, list[Entry]] = {}
        self._tail: deque[Entry] = deque()
        self._tail_first = 1

    def make_entry(self, program: str, body: bytes) -> Entry:
        """Build the entry that follows the newest one of the program."""
        entries = self.programs.get(program, [])
        previous = entries[-1].digest if entries else b""
        digest = chain_digest(previous, program, body)
        return Entry(program, len(entries), digest, body)

    def add(self, entry: Entry) -> bool:
        """Add an entry; False if its position or digest is wrong."""
        if not entry.body:
            self.programs.pop(entry.program, None)
            return True
        expected = self.make_entry(entry.program, entry.body)
        if expected != entry:
            return False
        self.programs.setdefault(entry.program, []).append(entry)
        return True

    def add_to_tail(self, position: int, entry: Entry) -> None:
        """Store an entry for sending until all copies have acknowledged it."""
        if not self._tail:
            self._tail_first = position
        self._tail.append(entry)

    def trim_tail(self, position: int) -> None:
        """Drop tail entries up to a position that all copies have acknowledged."""
        while self._tail and self._tail_first <= position:
            self._tail.popleft()
            self._tail_first += 1

    def tail_from(self, position: int, limit: int) -> tuple[Entry, ...] | None:
        """Tail entries from a position on; None if they were already dropped."""
        if not self._tail:
            return ()
        start = position - self._tail_first
        if start < 0:
            return None
        return tuple(self._tail[i] for i in range(start, len(self._tail))[:limit])
