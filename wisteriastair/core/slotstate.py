"""State of one slot in a process."""

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
    uncommitted_records : deque
        Records appended in this process and not committed yet, with their positions.
    is_open : bool
        Whether the programs of the slot run in this process.
    standby_sent, learner_sent : int
        Newest positions sent to the standby and to the learner; -1 if unknown.
    resend_at, copy_deadline, behind_since, row_changed_at : float
        Times in seconds of the next resend, the end of the time limit of a copy, the
        last moment without unacknowledged entries and the last change of the row.
    staged, staged_source, staged_end
        An incoming copy: its programs, its source and its end.
    """

    def __init__(self, me: str, slot: int) -> None:
        self.replica = Replica(me=me, slot=slot)
        self.log = SlotLog()
        self.uncommitted_records: deque[tuple[int, Record]] = deque()
        self.is_open = False
        self.standby_sent = -1
        self.learner_sent = -1
        self.resend_at = 0.0
        self.copy_deadline = 0.0
        self.behind_since = 0.0
        self.row_changed_at = 0.0
        self.staged: dict[str, tuple[Entry, ...]] = {}
        self.staged_source: tuple[str, int, int] = ("", 0, 0)
        self.staged_end: CopyEnd | None = None
