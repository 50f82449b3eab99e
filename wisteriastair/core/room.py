"""Room for turns in the memory of a keeper, taken before a turn runs.

Load pattern: programs with large inputs store turns faster than these expire.  A turn
whose storage is refused after it has run was run in vain: its caller has all of it but
its end, and can only run it again.  The room for a turn is therefore reserved together
with its tokens, and a turn without room is refused before a server sees it.

The last part of the room is for programs that are under way: one that can't go on has
run in vain as a whole, one that can't start has not.
"""

from __future__ import annotations

from typing import Final

from .ledger import Ledger
from .ledgerwire import ReplyStatus, Write

# Fraction of the room that first turns of programs may fill.
FIRST_TURN_FRACTION: Final = 0.95
# Fraction of the room up to which turns are stored that are longer than the room which
# was reserved for them.  They have run, but more of them would exceed the memory of the
# process, with all that it stores.
OVERDRAFT_FRACTION: Final = 1.25
# Longest time for which room is reserved, in seconds: a replica may never hear of the
# settlement, which goes to fewer replicas than the reservation.
MAX_RESERVED_S: Final = 60.0
MS_PER_S: Final = 1000.0


class TurnRoom:
    """Room for turns at one keeper.

    Parameters
    ----------
    ledger : Ledger
        The stored turns.
    max_bytes : float
        Limit for the bytes of stored turns.

    Attributes
    ----------
    reserved_bytes : int
        Bytes that are reserved for turns that are running.
    refused : int
        Turns that were refused before they ran.
    """

    def __init__(self, ledger: Ledger, max_bytes: float) -> None:
        self.reserved_bytes = 0
        self.refused = 0
        self._ledger = ledger
        self.max_bytes = max_bytes
        # Size and end of each reservation, by program and attempt.
        self._reserved: dict[tuple[str, str], tuple[int, float]] = {}

    def admit(self, request: Write, now: float) -> ReplyStatus:
        """Reserve the room that a request asks for, or take it for its turns."""
        entry = request.entry
        status = ReplyStatus.DONE
        if request.room is not None:
            status = self._reserve(request, now)
        elif entry.turns and not self._has_room(request):
            status = ReplyStatus.UNAVAILABLE
        if status is ReplyStatus.DONE:
            for attempt_id, attempt in entry.attempts.items():
                if attempt.settled:
                    self._release((entry.program, attempt_id))
        return status

    def _reserve(self, request: Write, now: float) -> ReplyStatus:
        room, entry = request.room, request.entry
        assert room is not None, "the request asks for room"
        size = max(0, room.size)
        limit = self.max_bytes * (FIRST_TURN_FRACTION if room.is_first else 1.0)
        keys = [(entry.program, attempt_id) for attempt_id in entry.attempts]
        if any(key in self._reserved for key in keys):
            # Sent again.
            return ReplyStatus.DONE
        if self._ledger.turn_bytes + self.reserved_bytes + size > limit:
            self.refused += 1
            return ReplyStatus.FULL
        expires_at = now + min(MAX_RESERVED_S, max(0, room.duration_ms) / MS_PER_S)
        for key in keys:
            self._reserved[key] = size, expires_at
            self.reserved_bytes += size
        return ReplyStatus.DONE

    def _has_room(self, request: Write) -> bool:
        entry = request.entry
        keys = [(entry.program, attempt_id) for attempt_id in entry.attempts]
        reserved = [self._reserved[key][0] for key in keys if key in self._reserved]
        account = self._ledger.accounts.get(entry.program)
        known = account.turns if account else {}
        new = [turn for turn in entry.turns if turn.id not in known]
        size = sum(len(turn.content) for turn in new)
        if not new or size <= sum(reserved):
            return True
        other_bytes = self._ledger.turn_bytes + self.reserved_bytes - sum(reserved)
        limit = self.max_bytes * (OVERDRAFT_FRACTION if reserved else 1.0)
        return other_bytes + size <= limit

    def _release(self, key: tuple[str, str]) -> None:
        size, _ = self._reserved.pop(key, (0, 0.0))
        self.reserved_bytes -= size

    def expire(self, now: float) -> None:
        """Release the room of turns that have not been settled here."""
        for key in [k for k, (_, end) in self._reserved.items() if end <= now]:
            self._release(key)
