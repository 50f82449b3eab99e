"""What a process keeps of one slot."""

from __future__ import annotations

from collections import deque

from .records import Record
from .replica import Replica
from .slotlog import SlotLog
from .wire import CopyEnd, Entry


class SlotState:
    """Replica, log and sending positions of one slot.

    Attributes
    ----------
    waiting : deque
        Records appended here and not committed yet, with their positions.
    is_open : bool
        The programs of the slot run here.
    sent, fed : int
        Newest positions sent to the standby and to the learner; -1 for unknown.
    resend_at, copy_until, behind_since, row_at : float
        Times (seconds) that pace repeats, copies and suspicions.
    staged, staged_for, staged_end
        A copy that is arriving: its programs, its source, and its end.
    """

    def __init__(self, me: str, slot: int) -> None:
        self.replica = Replica(me=me, slot=slot)
        self.log = SlotLog()
        self.waiting: deque[tuple[int, Record]] = deque()
        self.is_open = False
        self.sent = -1
        self.fed = -1
        self.resend_at = 0.0
        self.copy_until = 0.0
        self.behind_since = 0.0
        self.row_at = 0.0
        self.staged: dict[str, tuple[Entry, ...]] = {}
        self.staged_for: tuple[str, int, int] = ("", 0, 0)
        self.staged_end: CopyEnd | None = None
