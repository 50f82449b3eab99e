"""The slots of one process: replication, takeover, repair, hand-over.

This module drives the pure transitions of `replica` with messages and time, and
stores the contents of the logs.  The listener interprets committed records.

Repair completes a copy before the table names its member.  While a slot that still
has its old standby gets a new copy, both acknowledge entries, so that the failure of
one process does not lose a log at any time during a planned replacement.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Final

from . import replica as rp
from .copies import CopyReceiver
from .outbox import Outbox
from .peers import Peers
from .placement import Placement
from .records import Record, encode_record
from .replica import NO_MEMBER, Replica, Role, SlotRow
from .slotlog import SlotLog
from .slotstate import SlotState
from .wire import Acknowledge, Append, CopyEnd, Entry, ProgramCopy

MAX_APPEND_ENTRIES: Final = 256
RESEND_INTERVAL_S: Final = 0.5
COPY_TIMEOUT_S: Final = 2.0
COPY_BYTES_PER_S: Final = 10_000_000.0
MAX_CONCURRENT_COPIES: Final = 16
FORMER_TAKEOVER_DELAY_S: Final = 8.0
ACK_TIMEOUT_S: Final = 5.0


class SlotListener(ABC):
    """Receives the changes of slots whose primary is this process."""

    @abstractmethod
    def on_opened(
        self, slot: int, programs: dict[str, list[Entry]], lost: bool
    ) -> None:
        """Start the programs of a slot whose whole log is committed."""

    @abstractmethod
    def on_committed(self, slot: int, record: Record) -> None:
        """Carry out the effects of a committed record."""

    @abstractmethod
    def on_closed(self, slot: int) -> None:
        """Stop the programs of a slot that has another primary."""


class Slots:
    """All slots of which this process has a replica."""

    def __init__(
        self,
        me: str,
        *,
        placement: Placement,
        peers: Peers,
        out: Outbox,
        listener: SlotListener,
    ) -> None:
        self._me = me
        self._placement = placement
        self._peers = peers
        self._out = out
        self._listener = listener
        self._slots: dict[int, SlotState] = {}
        self.copy_receiver = CopyReceiver(me, self._slots, out)
        self._dirty: set[int] = set()
        self._now = 0.0

    def open_slots(self) -> list[int]:
        """Slots whose programs run in this process now."""
        return [n for n, slot in self._slots.items() if slot.is_open]

    def replica(self, number: int) -> Replica:
        """Replica of a slot in this process."""
        return self._slots[number].replica

    def hand_over(self, number: int) -> None:
        """Propose to swap roles with the standby."""
        slot = self._slots[number]
        self._propose(slot, rp.propose_handover(slot.replica))

    def copy_to(self, number: int, learner: str, now: float) -> None:
        """Start to copy a slot to a learner that will become its standby."""
        slot = self._slots[number]
        if slot.replica.proposal is None:
            slot.replica = rp.start_copy(slot.replica, learner)
            self._send_copy(slot, now)

    def role(self, number: int) -> Role:
        """Role of this process for a slot."""
        slot = self._slots.get(number)
        return Role.NONE if slot is None else slot.replica.role

    def epoch(self, number: int) -> int:
        """Highest epoch of a slot that this process has seen; 0 if none."""
        slot = self._slots.get(number)
        return 0 if slot is None else slot.replica.epoch

    def has_entries(self, program: str) -> bool:
        """Whether any log in this process has entries of a program."""
        return any(program in slot.log.programs for slot in self._slots.values())

    def is_open(self, number: int) -> bool:
        """Whether the programs of a slot run in this process."""
        slot = self._slots.get(number)
        return slot is not None and slot.is_open

    def partners(self) -> set[str]:
        """Members that share a slot with this process."""
        found: set[str] = set()
        for slot in self._slots.values():
            replica = slot.replica
            found |= {replica.peer, replica.learner, replica.former}
        return found - {NO_MEMBER, self._me}

    def count(self) -> int:
        """Return the number of slots of which this process has a replica."""
        roles = (s.replica.role for s in self._slots.values())
        return sum(1 for role in roles if role is not Role.NONE)

    # Rows of the table

    def observe(self, row: SlotRow) -> None:
        """Apply a confirmed row."""
        slot = self._slots.get(row.slot)
        if slot is None:
            if self._me not in (row.primary, row.standby, row.former):
                return
            slot = self._slots[row.slot] = SlotState(self._me, row.slot)
        before = slot.replica
        after = rp.observe_row(before, row)
        if after is before:
            return
        slot.replica = after
        slot.row_changed_at = self._now
        if row.fresh:
            slot.log = SlotLog()
        if after.role is not Role.PRIMARY:
            self._close(slot)
        if after.role is Role.NONE:
            del self._slots[row.slot]
            return
        self._restart_sending(slot)
        self._advance(slot)

    def _close(self, slot: SlotState) -> None:
        slot.uncommitted_records.clear()
        slot.log.trim_tail(slot.replica.last)
        if slot.is_open:
            slot.is_open = False
            self._listener.on_closed(slot.replica.slot)

    def _restart_sending(self, slot: SlotState) -> None:
        slot.standby_sent = slot.replica.standby_acked
        slot.learner_sent = -1
        slot.resend_at = 0.0
        slot.behind_since = self._now
        self._dirty.add(slot.replica.slot)

    # Primary

    def may_append(self, number: int) -> bool:
        """Whether records can be added to a slot now."""
        slot = self._slots.get(number)
        return slot is not None and slot.is_open and rp.may_append(slot.replica)

    def append(self, number: int, program: str, record: Record | None) -> None:
        """Add a record to an open slot; None drops the log of the program."""
        slot = self._slots[number]
        body = encode_record(record) if record is not None else b""
        entry = slot.log.make_entry(program, body)
        fits = slot.log.add(entry)
        assert fits, "a newly built entry follows its predecessor"
        slot.replica = rp.append(slot.replica)
        slot.log.add_to_tail(slot.replica.last, entry)
        if record is not None:
            slot.uncommitted_records.append((slot.replica.last, record))
        self._dirty.add(number)

    def on_acknowledge(self, sender: str, ack: Acknowledge, now: float) -> None:
        """Process the acknowledgement of a standby or learner."""
        slot = self._slots.get(ack.slot)
        if slot is None or slot.replica.role is not Role.PRIMARY:
            return
        before = slot.replica
        slot.replica = rp.receive_ack(
            before, sender=sender, epoch=ack.epoch, session=ack.session, last=ack.last
        )
        if before.standby_acked < 0 <= slot.replica.standby_acked:
            slot.standby_sent = slot.replica.standby_acked
            self._dirty.add(ack.slot)
        if before.learner_acked < 0 <= slot.replica.learner_acked:
            slot.learner_sent = slot.replica.learner_acked
            self._dirty.add(ack.slot)
        if slot.replica != before:
            slot.resend_at = now + RESEND_INTERVAL_S
        self._advance(slot)
        self._propose_ready_learner(slot)

    def _advance(self, slot: SlotState) -> None:
        """Pass newly committed records to the listener."""
        replica = slot.replica
        if replica.role is not Role.PRIMARY or replica.peer == NO_MEMBER:
            return
        if not slot.is_open and replica.committed >= replica.last:
            slot.is_open = True
            slot.uncommitted_records.clear()
            self._listener.on_opened(replica.slot, slot.log.programs, replica.lost)
        while (
            slot.uncommitted_records
            and slot.uncommitted_records[0][0] <= replica.committed
        ):
            _, record = slot.uncommitted_records.popleft()
            self._listener.on_committed(replica.slot, record)
        low = replica.standby_acked
        if replica.learner != NO_MEMBER:
            low = min(low, max(replica.learner_acked, slot.learner_sent))
        slot.log.trim_tail(low)

    def _propose_ready_learner(self, slot: SlotState) -> None:
        replica = slot.replica
        alone = replica.peer == NO_MEMBER
        if replica.learner == NO_MEMBER or replica.learner_acked < 0:
            return
        if alone and replica.learner_acked < replica.last:
            return
        self._propose(slot, rp.propose_learner(replica))

    def _propose(self, slot: SlotState, changed: Replica) -> None:
        if changed.proposal is not None and changed != slot.replica:
            slot.replica = changed
            self._placement.propose(changed.proposal)

    def flush(self, now: float) -> None:
        """Send the entries appended in this step, in one message per slot."""
        for number in sorted(self._dirty):
            slot = self._slots.get(number)
            if slot is not None and slot.replica.role is Role.PRIMARY:
                self._send_entries(slot, now)
        self._dirty.clear()

    def _send_entries(self, slot: SlotState, now: float) -> None:
        replica = slot.replica
        if replica.peer != NO_MEMBER:
            slot.standby_sent = self._send_after(
                slot, replica.peer, 0, slot.standby_sent
            )
        if replica.learner != NO_MEMBER and slot.learner_sent >= 0:
            session = replica.session
            slot.learner_sent = self._send_after(
                slot, replica.learner, session, slot.learner_sent
            )
        if slot.resend_at <= now:
            slot.resend_at = now + RESEND_INTERVAL_S

    def _send_after(self, slot: SlotState, to: str, session: int, sent: int) -> int:
        """Send the entries after a position, or a probe if the position is unknown."""
        replica = slot.replica
        if sent < 0:
            probe = Append(replica.slot, replica.epoch, session, replica.last + 1, ())
            self._out.send(to, probe)
            return -1
        entries = slot.log.tail_from(sent + 1, MAX_APPEND_ENTRIES)
        if entries is None:
            self._propose(slot, rp.propose_alone(replica))
            return sent
        if not entries:
            return sent
        message = Append(replica.slot, replica.epoch, session, sent + 1, entries)
        self._out.send(to, message)
        return sent + len(entries)

    # Time

    def tick(self, now: float) -> None:
        """Check peers, repair and hand over slots, resend unacknowledged entries."""
        self._now = now
        copying = sum(1 for s in self._slots.values() if s.replica.learner != NO_MEMBER)
        for slot in list(self._slots.values()):
            replica = slot.replica
            if replica.role in (Role.STANDBY, Role.FORMER, Role.LEARNER):
                self._watch_primary(slot, now)
            elif replica.role is Role.PRIMARY:
                copying += self._maintain_standby(slot, copying, now)
        self.flush(now)

    def _watch_primary(self, slot: SlotState, now: float) -> None:
        """Propose a takeover from a suspected primary, or withdraw the proposal."""
        replica = slot.replica
        # A primary without a standby that is only disconnected from the former member
        # needs some time for a new copy.  Without the delay, each of the two would
        # take over before the other has a new standby, again and again, and no record
        # would be committed.
        former = replica.former == self._me
        waits = former and now - slot.row_changed_at < FORMER_TAKEOVER_DELAY_S
        if self._peers.is_suspected(replica.peer, now) and not waits:
            row = rp.takeover_row(replica)
            if row is not None:
                self._placement.propose(row)
        else:
            self._placement.withdraw(replica.slot)

    def _maintain_standby(self, slot: SlotState, copying: int, now: float) -> int:
        replica = slot.replica
        if replica.peer != NO_MEMBER and self._needs_new_standby(slot, now):
            self._propose(slot, rp.propose_alone(replica))
        if now >= slot.resend_at:
            slot.standby_sent = replica.standby_acked
            if slot.learner_sent >= 0:
                slot.learner_sent = replica.learner_acked
            is_behind = (
                replica.standby_acked < replica.last or replica.learner != NO_MEMBER
            )
            if is_behind:
                self._dirty.add(replica.slot)
        if replica.learner != NO_MEMBER:
            self._watch_learner(slot, now)
            return 0
        peer_leaves = self._peers.is_draining(replica.peer)
        if replica.peer == NO_MEMBER or peer_leaves:
            return self._start_copy(slot, copying, now)
        if self._peers.draining:
            self._propose(slot, rp.propose_handover(replica))
        return 0

    def _needs_new_standby(self, slot: SlotState, now: float) -> bool:
        """Whether a primary needs another standby.

        A standby that is alive but acknowledges nothing (it refused a corrupt entry,
        or has lost its copy) would block the slot if only heartbeats counted.
        """
        replica = slot.replica
        if replica.standby_acked >= replica.last:
            slot.behind_since = now
        stuck = now - slot.behind_since > ACK_TIMEOUT_S
        return stuck or self._peers.is_suspected(replica.peer, now)

    def _start_copy(self, slot: SlotState, copying: int, now: float) -> int:
        """Start a new copy, unless too many copies are in progress."""
        replica = slot.replica
        if replica.proposal is not None or copying >= MAX_CONCURRENT_COPIES:
            return 0
        learner = self._peers.choose_copy_target(
            str(replica.slot), {self._me, replica.peer}, now
        )
        if not learner:
            return 0
        self.copy_to(replica.slot, learner, now)
        return 1

    def _send_copy(self, slot: SlotState, now: float) -> None:
        replica = slot.replica
        slot.learner_sent = -1
        head = (replica.slot, replica.epoch, replica.session)
        size = 0
        for program, entries in slot.log.programs.items():
            size += sum(len(entry.body) for entry in entries)
            self._out.send(replica.learner, ProgramCopy(*head, program, tuple(entries)))
        end = CopyEnd(*head, len(slot.log.programs), replica.last)
        self._out.send(replica.learner, end)
        slot.copy_deadline = now + COPY_TIMEOUT_S + size / COPY_BYTES_PER_S

    def _watch_learner(self, slot: SlotState, now: float) -> None:
        replica = slot.replica
        if replica.learner_acked >= 0 and not self._peers.is_suspected(
            replica.learner, now
        ):
            return
        if now >= slot.copy_deadline:
            slot.replica = rp.drop_learner(replica)
