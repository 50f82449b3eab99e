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
from collections import deque
from typing import Final

from . import replica as rp
from .hashing import address_of, rank
from .outbox import Outbox
from .peers import Peers
from .placement import Placement
from .records import Record, encode_record
from .replica import NOBODY, Replica, Role, Row
from .slotlog import SlotLog
from .wire import Acknowledge, Append, Copy, CopyEnd, Entry

APPEND_LIMIT: Final = 256
RESEND_S: Final = 0.5
COPY_TIMEOUT_S: Final = 2.0
COPY_BYTES_S: Final = 10_000_000.0
COPIES_AT_ONCE: Final = 4
FORMER_WAIT_S: Final = 8.0
NO_ACK_S: Final = 5.0
BALANCE_S: Final = 1.0
BALANCE_GAP: Final = 2
PLACE_DELAY_S: Final = 1.0
PLACE_PATIENCE_S: Final = 5.0
LOST_S: Final = 6.0


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


class _Slot:
    """Log and sending positions of one slot."""

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
        self._slots: dict[int, _Slot] = {}
        self._dirty: set[int] = set()
        self._now = 0.0
        self._balance_at = 0.0
        self._place_at = 0.0
        self._place_since = 0.0
        self._lost_since: dict[int, float] = {}

    def carried(self) -> list[int]:
        """Slots whose programs run here now."""
        return [n for n, slot in self._slots.items() if slot.is_open]

    def role(self, number: int) -> Role:
        """Role of this process for a slot."""
        slot = self._slots.get(number)
        return Role.NONE if slot is None else slot.replica.role

    def epoch(self, number: int) -> int:
        """Epoch at which this process knows a slot."""
        slot = self._slots.get(number)
        return 0 if slot is None else slot.replica.epoch

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
        return found - {NOBODY, self._me}

    def count(self) -> int:
        """Slots carried or copied here."""
        roles = (s.replica.role for s in self._slots.values())
        return sum(1 for role in roles if role is not Role.NONE)

    # Rows of the table

    def observe(self, row: Row) -> None:
        """Take a confirmed row."""
        slot = self._slots.get(row.slot)
        if slot is None:
            if self._me not in (row.carrier, row.standby, row.former):
                return
            slot = self._slots[row.slot] = _Slot(self._me, row.slot)
        before = slot.replica
        after = rp.observe_row(before, row)
        if after is before:
            return
        slot.replica = after
        slot.row_at = self._now
        if row.fresh:
            slot.log = SlotLog()
        if after.role is not Role.CARRIER:
            self._close(slot)
        if after.role is Role.NONE:
            del self._slots[row.slot]
            return
        self._restart_sending(slot)
        self._advance(slot)

    def _close(self, slot: _Slot) -> None:
        slot.waiting.clear()
        slot.log.trim_tail(slot.replica.last)
        if slot.is_open:
            slot.is_open = False
            self._listener.closed(slot.replica.slot)

    def _restart_sending(self, slot: _Slot) -> None:
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
        if slot is None or slot.replica.role is not Role.CARRIER:
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

    def _advance(self, slot: _Slot) -> None:
        """Let what is newly committed take effect."""
        replica = slot.replica
        if replica.role is not Role.CARRIER or replica.peer == NOBODY:
            return
        if not slot.is_open and replica.committed >= replica.last:
            slot.is_open = True
            slot.waiting.clear()
            self._listener.opened(replica.slot, slot.log.programs, replica.lost)
        while slot.waiting and slot.waiting[0][0] <= replica.committed:
            _, record = slot.waiting.popleft()
            self._listener.committed(replica.slot, record)
        low = replica.acked
        if replica.learner != NOBODY:
            low = min(low, max(replica.learnt, slot.fed))
        slot.log.trim_tail(low)

    def _maybe_name(self, slot: _Slot) -> None:
        replica = slot.replica
        alone = replica.peer == NOBODY
        if replica.learner == NOBODY or replica.learnt < 0:
            return
        if alone and replica.learnt < replica.last:
            return
        self._propose(slot, rp.propose_learner(replica))

    def _propose(self, slot: _Slot, changed: Replica) -> None:
        if changed.proposal is not None and changed != slot.replica:
            slot.replica = changed
            self._placement.propose(changed.proposal)

    def flush(self, now: float) -> None:
        """Send appended entries, all of one step in one message a slot."""
        for number in sorted(self._dirty):
            slot = self._slots.get(number)
            if slot is not None and slot.replica.role is Role.CARRIER:
                self._send_entries(slot, now)
        self._dirty.clear()

    def _send_entries(self, slot: _Slot, now: float) -> None:
        replica = slot.replica
        if replica.peer != NOBODY:
            slot.sent = self._send_after(slot, replica.peer, 0, slot.sent)
        if replica.learner != NOBODY and slot.fed >= 0:
            session = replica.session
            slot.fed = self._send_after(slot, replica.learner, session, slot.fed)
        if slot.resend_at <= now:
            slot.resend_at = now + RESEND_S

    def _send_after(self, slot: _Slot, to: str, session: int, sent: int) -> int:
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

    # Copy side

    def on_append(self, sender: str, message: Append) -> None:
        """Take entries at a standby or learner."""
        slot = self._slots.get(message.slot)
        if slot is None:
            return
        changed, taken = rp.receive_entries(
            slot.replica,
            sender=sender,
            epoch=message.epoch,
            session=message.session,
            first=message.first,
            count=len(message.entries),
        )
        if taken < 0:
            return
        new = message.entries[len(message.entries) - taken :] if taken else ()
        for entry in new:
            if not slot.log.add(entry):
                # Acknowledging it would let the carrier act on a record that no
                # successor could read back; silence makes it look for another copy.
                text = f"slot {message.slot}: entry does not fit its predecessor"
                self._out.note(text, level="warning", program=entry.program)
                return
        slot.replica = changed
        self._acknowledge(sender, changed, message.session)

    def _acknowledge(self, to: str, replica: Replica, session: int) -> None:
        ack = Acknowledge(replica.slot, replica.epoch, session, replica.last)
        self._out.send(to, ack)

    def on_copy(self, sender: str, message: Copy) -> None:
        """Stage one program of a copy."""
        slot = self._staging(sender, message.slot, message.epoch, message.session)
        slot.staged[message.program] = message.entries
        self._maybe_learn(slot)

    def on_copy_end(self, sender: str, message: CopyEnd) -> None:
        """Take the end of a copy, which may overtake its parts."""
        slot = self._staging(sender, message.slot, message.epoch, message.session)
        slot.staged_end = message
        self._maybe_learn(slot)

    def _staging(self, sender: str, number: int, epoch: int, session: int) -> _Slot:
        slot = self._slots.get(number)
        if slot is None:
            slot = self._slots[number] = _Slot(self._me, number)
        source = (sender, epoch, session)
        if slot.staged_for != source:
            slot.staged_for = source
            slot.staged = {}
            slot.staged_end = None
        return slot

    def _maybe_learn(self, slot: _Slot) -> None:
        """Become a learner once the copy is complete and fits."""
        end = slot.staged_end
        if end is None or len(slot.staged) != end.programs:
            return
        sender = slot.staged_for[0]
        replica = slot.replica
        same = (replica.peer, replica.epoch, replica.session) == slot.staged_for
        if replica.role is Role.LEARNER and same:
            self._acknowledge(sender, replica, end.session)
            return
        log = SlotLog()
        if not all(log.add(e) for entries in slot.staged.values() for e in entries):
            self._out.note(f"slot {end.slot}: copy is corrupt", level="warning")
            return
        changed = rp.learn(
            replica,
            sender=sender,
            epoch=end.epoch,
            session=end.session,
            last=end.last,
        )
        if changed is replica:
            return
        slot.replica = changed
        slot.log = log
        slot.staged = {}
        slot.staged_end = None
        self._acknowledge(sender, changed, end.session)

    # Time

    def tick(self, now: float) -> None:
        """Suspect, repair, hand over, repeat what was not acknowledged."""
        self._now = now
        copying = sum(1 for s in self._slots.values() if s.replica.learner != NOBODY)
        for slot in list(self._slots.values()):
            replica = slot.replica
            if replica.role in (Role.STANDBY, Role.FORMER, Role.LEARNER):
                self._watch_carrier(slot, now)
            elif replica.role is Role.CARRIER:
                copying += self._tend_carrier(slot, copying, now)
        self._rebalance(now)
        self._place_slots(now)
        self.flush(now)

    def _watch_carrier(self, slot: _Slot, now: float) -> None:
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

    def _tend_carrier(self, slot: _Slot, copying: int, now: float) -> int:
        replica = slot.replica
        if replica.peer != NOBODY and self._standby_fails(slot, now):
            self._propose(slot, rp.propose_alone(replica))
        if now >= slot.resend_at:
            slot.sent = replica.acked
            if slot.fed >= 0:
                slot.fed = replica.learnt
            behind = replica.acked < replica.last or replica.learner != NOBODY
            if behind:
                self._dirty.add(replica.slot)
        if replica.learner != NOBODY:
            self._watch_learner(slot, now)
            return 0
        peer_leaves = self._peers.is_draining(replica.peer)
        if replica.peer == NOBODY or peer_leaves:
            return self._start_copy(slot, copying, now)
        if self._peers.draining:
            self._propose(slot, rp.propose_handover(replica))
        return 0

    def _standby_fails(self, slot: _Slot, now: float) -> bool:
        """Whether a carrier needs another standby.

        One that lives but acknowledges nothing (it refused a corrupt entry, or has
        lost its copy) would stop the slot for ever if only its silence counted.
        """
        replica = slot.replica
        if replica.acked >= replica.last:
            slot.behind_since = now
        stuck = now - slot.behind_since > NO_ACK_S
        return stuck or self._peers.suspects(replica.peer, now)

    def _start_copy(self, slot: _Slot, copying: int, now: float) -> int:
        """Begin a new copy; paced, so that repair stays within its share."""
        replica = slot.replica
        if replica.proposal is not None or copying >= COPIES_AT_ONCE:
            return 0
        learner = self._peers.choose_copy({self._me, replica.peer}, now)
        if not learner:
            return 0
        slot.replica = rp.start_copy(replica, learner)
        self._send_copy(slot, now)
        return 1

    def _send_copy(self, slot: _Slot, now: float) -> None:
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

    def _watch_learner(self, slot: _Slot, now: float) -> None:
        replica = slot.replica
        if replica.learnt >= 0 and not self._peers.suspects(replica.learner, now):
            return
        if now >= slot.copy_until:
            slot.replica = rp.drop_learner(replica)

    def _rebalance(self, now: float) -> None:
        """Hand one slot at a time to a standby that leads clearly fewer.

        After a takeover one process leads all that its partner led; without this it
        would go on doing the work of two while the replacement only copies.
        """
        if now < self._balance_at or self._peers.draining:
            return
        self._balance_at = now + BALANCE_S
        leads = len(self.carried())
        for number in self.carried():
            replica = self._slots[number].replica
            theirs = self._peers.leads_of(replica.peer)
            if replica.learner != NOBODY or theirs is None:
                continue
            if theirs + BALANCE_GAP <= leads:
                self._propose(self._slots[number], rp.propose_handover(replica))
                return

    def _place_slots(self, now: float) -> None:
        """Place slots that have no row, or whose members are all gone.

        One process, the first by rendezvous hash among those listed, proposes; the
        compare-and-swap settles it if two believe they are first.
        """
        if now < self._place_at or self._peers.draining:
            return
        self._place_at = now + PLACE_DELAY_S
        sides = self._peers.sides()
        addresses = [i.address for i in sides]
        own = address_of(self._me)
        if own not in addresses or rank("place", addresses)[0] != own:
            return
        wanted = [n for n in range(self._placement.slots) if self._unplaced(n, now)]
        if not wanted:
            self._place_since = 0.0
            return
        self._place_since = self._place_since or now
        domains = {self._peers.member_at(i.address, now): i.domain for i in sides}
        domains.pop("", None)
        domains[self._me] = next(i.domain for i in sides if i.address == own)
        if len(domains) < len(sides) and now - self._place_since < PLACE_PATIENCE_S:
            return
        for number in wanted:
            self._place(number, self._placement.rows.get(number), domains)

    def _unplaced(self, number: int, now: float) -> bool:
        """Whether a slot has no members left.

        Being silent is no evidence: a region that is cut off keeps serving.  Only the
        instance list, or a new incarnation at the address, shows that one is gone.
        """
        row = self._placement.rows.get(number)
        if row is None:
            return True
        members = (row.carrier, row.standby, row.former)
        if not all(self._peers.is_gone(m) for m in members if m != NOBODY):
            self._lost_since.pop(number, None)
            return False
        return now - self._lost_since.setdefault(number, now) > LOST_S

    def _place(self, number: int, row: Row | None, domains: dict[str, str]) -> None:
        ranked = rank(f"slot {number}", domains)
        carrier = ranked[0]
        others = [m for m in ranked[1:] if domains[m] != domains[carrier]]
        standby = (others or ranked[1:] or [NOBODY])[0]
        if standby == NOBODY:
            return
        epoch = row.epoch + 1 if row is not None else 1
        lost = row is not None
        row = Row(number, carrier, standby, epoch, fresh=True, lost=lost)
        self._placement.propose(row)
