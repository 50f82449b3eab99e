"""The slots of one process: replication, takeover, repair, hand-over.

This module drives the pure transitions of `replica` with messages and time, and
keeps the contents of the logs beside them.  What a committed record means is left to
the listener.

Repair copies first and names second.  While a new copy is being made for a slot that
still has its old standby, both acknowledge, so a planned replacement opens no window
in which the death of one process loses a log.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Final

from . import replica as rp
from .copies import CopyHolder
from .outbox import Outbox
from .peers import Peers
from .placement import Placement
from .records import Record, encode_record
from .replica import NO_MEMBER, Replica, Role, SlotRow
from .slotlog import SlotLog
from .slotstate import SlotState
from .wire import Acknowledge, Append, Copy, CopyEnd, Entry

APPEND_LIMIT: Final = 256
RESEND_S: Final = 0.5
COPY_TIMEOUT_S: Final = 2.0
COPY_BYTES_S: Final = 10_000_000.0
COPIES_AT_ONCE: Final = 16
FORMER_WAIT_S: Final = 8.0
NO_ACK_S: Final = 5.0


class SlotListener(ABC):
    """What a process does with the slots it carries."""

    @abstractmethod
    def opened(self, slot: int, programs: dict[str, list[Entry]], lost: bool) -> None:
        """Take over a slot whose whole log is committed."""

    @abstractmethod
    def committed(self, slot: int, record: Record) -> None:
        """Let a record take effect."""

    @abstractmethod
    def closed(self, slot: int) -> None:
        """Stop: another process carries the slot."""


class Slots:
    """All slots that this process carries or copies."""

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
        self.copies = CopyHolder(me, self._slots, out)
        self._dirty: set[int] = set()
        self._now = 0.0

    def open_slots(self) -> list[int]:
        """Slots whose programs run here now."""
        return [n for n, slot in self._slots.items() if slot.is_open]

    def replica(self, number: int) -> Replica:
        """Part of this process in a slot that it carries or copies."""
        return self._slots[number].replica

    def hand_over(self, number: int) -> None:
        """Propose to swap roles with the standby."""
        slot = self._slots[number]
        self._propose(slot, rp.propose_handover(slot.replica))

    def copy_to(self, number: int, learner: str, now: float) -> None:
        """Begin to copy a carried slot, to replace or to gain a standby."""
        slot = self._slots[number]
        if slot.replica.proposal is None:
            slot.replica = rp.start_copy(slot.replica, learner)
            self._send_copy(slot, now)

    def role(self, number: int) -> Role:
        """Role of this process for a slot."""
        slot = self._slots.get(number)
        return Role.NONE if slot is None else slot.replica.role

    def epoch(self, number: int) -> int:
        """Epoch at which this process knows a slot."""
        slot = self._slots.get(number)
        return 0 if slot is None else slot.replica.epoch

    def holds(self, program: str) -> bool:
        """Whether any log here has entries of a program."""
        return any(program in slot.log.programs for slot in self._slots.values())

    def is_open(self, number: int) -> bool:
        """Whether the programs of a slot run here."""
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
        """Slots carried or copied here."""
        roles = (s.replica.role for s in self._slots.values())
        return sum(1 for role in roles if role is not Role.NONE)

    # Rows of the table

    def observe(self, row: SlotRow) -> None:
        """Take a confirmed row."""
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
        slot.row_at = self._now
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
        slot.waiting.clear()
        slot.log.trim_tail(slot.replica.last)
        if slot.is_open:
            slot.is_open = False
            self._listener.closed(slot.replica.slot)

    def _restart_sending(self, slot: SlotState) -> None:
        slot.sent = slot.replica.acked
        slot.fed = -1
        slot.resend_at = 0.0
        slot.behind_since = self._now
        self._dirty.add(slot.replica.slot)

    # Carrier side

    def may_append(self, number: int) -> bool:
        """Whether records can be added to a slot now."""
        slot = self._slots.get(number)
        return slot is not None and slot.is_open and rp.may_append(slot.replica)

    def append(self, number: int, program: str, record: Record | None) -> None:
        """Add a record to a carried slot; None drops the program's log."""
        slot = self._slots[number]
        body = encode_record(record) if record is not None else b""
        entry = slot.log.make_entry(program, body)
        fits = slot.log.add(entry)
        assert fits, "an entry made here fits here"
        slot.replica = rp.append(slot.replica)
        slot.log.add_to_tail(slot.replica.last, entry)
        if record is not None:
            slot.waiting.append((slot.replica.last, record))
        self._dirty.add(number)

    def on_acknowledge(self, sender: str, ack: Acknowledge, now: float) -> None:
        """Take a copy's acknowledgement."""
        slot = self._slots.get(ack.slot)
        if slot is None or slot.replica.role is not Role.PRIMARY:
            return
        before = slot.replica
        slot.replica = rp.acknowledged(
            before, sender=sender, epoch=ack.epoch, session=ack.session, last=ack.last
        )
        if before.acked < 0 <= slot.replica.acked:
            slot.sent = slot.replica.acked
            self._dirty.add(ack.slot)
        if before.learnt < 0 <= slot.replica.learnt:
            slot.fed = slot.replica.learnt
            self._dirty.add(ack.slot)
        if slot.replica != before:
            slot.resend_at = now + RESEND_S
        self._advance(slot)
        self._maybe_name(slot)

    def _advance(self, slot: SlotState) -> None:
        """Let what is newly committed take effect."""
        replica = slot.replica
        if replica.role is not Role.PRIMARY or replica.peer == NO_MEMBER:
            return
        if not slot.is_open and replica.committed >= replica.last:
            slot.is_open = True
            slot.waiting.clear()
            self._listener.opened(replica.slot, slot.log.programs, replica.lost)
        while slot.waiting and slot.waiting[0][0] <= replica.committed:
            _, record = slot.waiting.popleft()
            self._listener.committed(replica.slot, record)
        low = replica.acked
        if replica.learner != NO_MEMBER:
            low = min(low, max(replica.learnt, slot.fed))
        slot.log.trim_tail(low)

    def _maybe_name(self, slot: SlotState) -> None:
        replica = slot.replica
        alone = replica.peer == NO_MEMBER
        if replica.learner == NO_MEMBER or replica.learnt < 0:
            return
        if alone and replica.learnt < replica.last:
            return
        self._propose(slot, rp.propose_learner(replica))

    def _propose(self, slot: SlotState, changed: Replica) -> None:
        if changed.proposal is not None and changed != slot.replica:
            slot.replica = changed
            self._placement.propose(changed.proposal)

    def flush(self, now: float) -> None:
        """Send appended entries, all of one step in one message a slot."""
        for number in sorted(self._dirty):
            slot = self._slots.get(number)
            if slot is not None and slot.replica.role is Role.PRIMARY:
                self._send_entries(slot, now)
        self._dirty.clear()

    def _send_entries(self, slot: SlotState, now: float) -> None:
        replica = slot.replica
        if replica.peer != NO_MEMBER:
            slot.sent = self._send_after(slot, replica.peer, 0, slot.sent)
        if replica.learner != NO_MEMBER and slot.fed >= 0:
            session = replica.session
            slot.fed = self._send_after(slot, replica.learner, session, slot.fed)
        if slot.resend_at <= now:
            slot.resend_at = now + RESEND_S

    def _send_after(self, slot: SlotState, to: str, session: int, sent: int) -> int:
        """Send entries after a position; an unknown position sends a probe."""
        replica = slot.replica
        if sent < 0:
            probe = Append(replica.slot, replica.epoch, session, replica.last + 1, ())
            self._out.send(to, probe)
            return -1
        entries = slot.log.tail_from(sent + 1, APPEND_LIMIT)
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
        """Suspect, repair, hand over, repeat what was not acknowledged."""
        self._now = now
        copying = sum(1 for s in self._slots.values() if s.replica.learner != NO_MEMBER)
        for slot in list(self._slots.values()):
            replica = slot.replica
            if replica.role in (Role.STANDBY, Role.FORMER, Role.LEARNER):
                self._watch_primary(slot, now)
            elif replica.role is Role.PRIMARY:
                copying += self._maintain_primary(slot, copying, now)
        self.flush(now)

    def _watch_primary(self, slot: SlotState, now: float) -> None:
        """Propose a takeover from a suspected carrier, or take the proposal back."""
        replica = slot.replica
        # A lone carrier that is only cut off from its former partner needs a moment
        # for a new copy.  Without the wait the two would depose each other for ever,
        # each before the other's repair is done, and no record would be committed.
        former = replica.former == self._me
        waits = former and now - slot.row_at < FORMER_WAIT_S
        if self._peers.suspects(replica.peer, now) and not waits:
            row = rp.takeover_row(replica)
            if row is not None:
                self._placement.propose(row)
        else:
            self._placement.withdraw(replica.slot)

    def _maintain_primary(self, slot: SlotState, copying: int, now: float) -> int:
        replica = slot.replica
        if replica.peer != NO_MEMBER and self._standby_fails(slot, now):
            self._propose(slot, rp.propose_alone(replica))
        if now >= slot.resend_at:
            slot.sent = replica.acked
            if slot.fed >= 0:
                slot.fed = replica.learnt
            behind = replica.acked < replica.last or replica.learner != NO_MEMBER
            if behind:
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

    def _standby_fails(self, slot: SlotState, now: float) -> bool:
        """Whether a carrier needs another standby.

        One that lives but acknowledges nothing (it refused a corrupt entry, or has
        lost its copy) would stop the slot for ever if only its silence counted.
        """
        replica = slot.replica
        if replica.acked >= replica.last:
            slot.behind_since = now
        stuck = now - slot.behind_since > NO_ACK_S
        return stuck or self._peers.suspects(replica.peer, now)

    def _start_copy(self, slot: SlotState, copying: int, now: float) -> int:
        """Begin a new copy; paced, so that repair stays within its share."""
        replica = slot.replica
        if replica.proposal is not None or copying >= COPIES_AT_ONCE:
            return 0
        learner = self._peers.choose_copy(
            str(replica.slot), {self._me, replica.peer}, now
        )
        if not learner:
            return 0
        self.copy_to(replica.slot, learner, now)
        return 1

    def _send_copy(self, slot: SlotState, now: float) -> None:
        replica = slot.replica
        slot.fed = -1
        head = (replica.slot, replica.epoch, replica.session)
        size = 0
        for program, entries in slot.log.programs.items():
            size += sum(len(entry.body) for entry in entries)
            self._out.send(replica.learner, Copy(*head, program, tuple(entries)))
        end = CopyEnd(*head, len(slot.log.programs), replica.last)
        self._out.send(replica.learner, end)
        slot.copy_until = now + COPY_TIMEOUT_S + size / COPY_BYTES_S

    def _watch_learner(self, slot: SlotState, now: float) -> None:
        replica = slot.replica
        if replica.learnt >= 0 and not self._peers.suspects(replica.learner, now):
            return
        if now >= slot.copy_until:
            slot.replica = rp.drop_learner(replica)
