"""The copy's side of replication: standby and learner.

A standby takes entries in order and acknowledges them.  A learner first receives a
copy of the whole log, program by program, and holds it only once it is complete and
every digest fits.
"""

from __future__ import annotations

from . import replica as rp
from .outbox import Outbox
from .replica import Replica, Role
from .slotlog import SlotLog
from .slotstate import SlotState
from .wire import Acknowledge, Append, Copy, CopyEnd


class CopyHolder:
    """Takes what carriers send.

    Parameters
    ----------
    me : str
        Member id of this process.
    slots : dict of int to SlotState
        The slots of this process, shared with `slots.Slots`.
    out : Outbox
        Where acknowledgements go.
    """

    def __init__(self, me: str, slots: dict[int, SlotState], out: Outbox) -> None:
        self._me = me
        self._slots = slots
        self._out = out

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

    def _staging(self, sender: str, number: int, epoch: int, session: int) -> SlotState:
        slot = self._slots.get(number)
        if slot is None:
            slot = self._slots[number] = SlotState(self._me, number)
        source = (sender, epoch, session)
        if slot.staged_for != source:
            slot.staged_for = source
            slot.staged = {}
            slot.staged_end = None
        return slot

    def _maybe_learn(self, slot: SlotState) -> None:
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
