"""The receiving side of replication: standby and learner.

A standby appends entries in order and acknowledges them.  A learner first receives a
copy of the whole log, program by program, and accepts it once it is complete and
every digest is correct.
"""

from __future__ import annotations

from . import replica as rp
from .outbox import Outbox
from .replica import Replica, Role
from .slotlog import SlotLog
from .slotstate import SlotState
from .wire import Acknowledge, Append, CopyEnd, ProgramCopy


class CopyReceiver:
    """Receives log entries and copies from primaries.

    Parameters
    ----------
    me : str
        Member id of this process.
    slots : dict of int to SlotState
        The slots of this process, shared with `slots.Slots`.
    out : Outbox
        Receives the acknowledgements.
    """

    def __init__(self, me: str, slots: dict[int, SlotState], out: Outbox) -> None:
        self._me = me
        self._slots = slots
        self._out = out

    def on_append(self, sender: str, message: Append) -> None:
        """Append entries at a standby or learner."""
        slot = self._slots.get(message.slot)
        if slot is None:
            return
        changed, accepted_count = rp.receive_entries(
            slot.replica,
            sender=sender,
            epoch=message.epoch,
            session=message.session,
            first=message.first,
            count=len(message.entries),
        )
        if accepted_count < 0:
            return
        new = (
            message.entries[len(message.entries) - accepted_count :]
            if accepted_count
            else ()
        )
        for entry in new:
            if not slot.log.add(entry):
                # An acknowledgement would allow the primary to act on a record that
                # no later primary could read.  Without one, the primary replaces
                # this standby.
                text = f"slot {message.slot}: entry does not fit its predecessor"
                self._out.log(text, level="warning", program=entry.program)
                return
        slot.replica = changed
        self._acknowledge(sender, changed, message.session)

    def _acknowledge(self, to: str, replica: Replica, session: int) -> None:
        ack = Acknowledge(replica.slot, replica.epoch, session, replica.last)
        self._out.send(to, ack)

    def on_copy(self, sender: str, message: ProgramCopy) -> None:
        """Stage one program of an incoming copy."""
        slot = self._staged_slot(sender, message.slot, message.epoch, message.session)
        slot.staged[message.program] = message.entries
        self._learn_if_complete(slot)

    def on_copy_end(self, sender: str, message: CopyEnd) -> None:
        """Stage the end of a copy, which may arrive before its programs."""
        slot = self._staged_slot(sender, message.slot, message.epoch, message.session)
        slot.staged_end = message
        self._learn_if_complete(slot)

    def _staged_slot(
        self, sender: str, number: int, epoch: int, session: int
    ) -> SlotState:
        slot = self._slots.get(number)
        if slot is None:
            slot = self._slots[number] = SlotState(self._me, number)
        source = (sender, epoch, session)
        if slot.staged_source != source:
            slot.staged_source = source
            slot.staged = {}
            slot.staged_end = None
        return slot

    def _learn_if_complete(self, slot: SlotState) -> None:
        """Become a learner once the copy is complete and its digests are correct."""
        end = slot.staged_end
        if end is None or len(slot.staged) != end.programs:
            return
        sender = slot.staged_source[0]
        replica = slot.replica
        same = (replica.peer, replica.epoch, replica.session) == slot.staged_source
        if replica.role is Role.LEARNER and same:
            self._acknowledge(sender, replica, end.session)
            return
        log = SlotLog()
        if not all(log.add(e) for entries in slot.staged.values() for e in entries):
            self._out.log(f"slot {end.slot}: copy is corrupt", level="warning")
            return
        changed = rp.become_learner(
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
