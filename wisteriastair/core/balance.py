"""Which process holds what: placing slots and keeping the load even.

Slots without a row, or whose members are all gone, are placed by one process.  After
that, carriers move their own slots: the lead to a standby that leads clearly fewer, one
at a time, and copies to a process that holds clearly fewer.  Of the processes it
does not share a slot with, a carrier looks at one at a time, chosen at random, so the
cost does not grow with the fleet and not all move to the same one.
"""

from __future__ import annotations

from typing import Final

from .hashing import address_of, rendezvous_order
from .peers import Peers
from .placement import Placement
from .replica import NO_MEMBER, SlotRow
from .slots import Slots

BALANCE_S: Final = 1.0
# Each look at a process outside the partners opens a connection, so it is rare.
SAMPLE_S: Final = 3.0
LEAD_GAP: Final = 2
HOLD_GAP: Final = 3
PLACE_DELAY_S: Final = 1.0
PLACE_PATIENCE_S: Final = 5.0
PLACE_QUIET_S: Final = 3.0
LOST_S: Final = 6.0


class SlotBalancer:
    """Places and evens out slots.

    Parameters
    ----------
    me : str
        Member id of this process.
    slots, placement, peers
        The parts it works with.
    """

    def __init__(
        self, me: str, *, slots: Slots, placement: Placement, peers: Peers
    ) -> None:
        self._me = me
        self._slots = slots
        self._placement = placement
        self._peers = peers
        self._balance_at = 0.0
        self._sample_at = 0.0
        self._place_at = 0.0
        self._place_since = 0.0
        self._listed: list[str] = []
        self._listed_at = 0.0
        self._lost_since: dict[int, float] = {}

    def tick(self, now: float) -> None:
        """Move or place, if it is time."""
        if self._peers.draining:
            return
        if now >= self._balance_at:
            self._balance_at = now + BALANCE_S
            self._even_leads()
        if now >= self._sample_at:
            self._sample_at = now + SAMPLE_S
            self._even_copies(now)
        if now >= self._place_at:
            self._place_at = now + PLACE_DELAY_S
            self._place_slots(now)

    def _even_leads(self) -> None:
        """Hand one slot to a standby that leads clearly fewer.

        After a takeover one process leads all that its partner led; without this it
        would go on doing the work of two while the replacement only copies.
        """
        open_slots = self._slots.open_slots()
        for number in open_slots:
            replica = self._slots.replica(number)
            theirs = self._peers.primary_count_of(replica.peer)
            if replica.learner != NO_MEMBER or theirs is None:
                continue
            if theirs + LEAD_GAP <= len(open_slots):
                self._slots.hand_over(number)
                return

    def _even_copies(self, now: float) -> None:
        """Move copies to a process that holds clearly fewer than their standby.

        Processes that came after the slots were placed would otherwise stay empty.
        """
        member = self._peers.sample_peer(now)
        theirs = self._peers.replica_count_of(member)
        if theirs is None or not self._peers.is_in_other_domain(member):
            return
        for number in self._slots.open_slots():
            replica = self._slots.replica(number)
            if replica.learner != NO_MEMBER or replica.peer in (NO_MEMBER, member):
                continue
            standby = self._peers.replica_count_of(replica.peer)
            if standby is not None and theirs + HOLD_GAP <= standby:
                self._slots.copy_to(number, member, now)
                theirs += HOLD_GAP

    def _place_slots(self, now: float) -> None:
        """Place slots that have no row, or whose members are all gone.

        One process, the first by rendezvous hash among those listed, proposes; the
        compare-and-swap settles it if two believe they are first.
        """
        sides = self._peers.sides()
        addresses = [i.address for i in sides]
        own = address_of(self._me)
        if own not in addresses or rendezvous_order("place", addresses)[0] != own:
            return
        if addresses != self._listed:
            # A fleet that is starting: what is placed now would have to move again.
            self._listed = addresses
            self._listed_at = now
        if now - self._listed_at < PLACE_QUIET_S:
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
        members = (row.primary, row.standby, row.former)
        if not all(self._peers.is_confirmed_down(m) for m in members if m != NO_MEMBER):
            self._lost_since.pop(number, None)
            return False
        return now - self._lost_since.setdefault(number, now) > LOST_S

    def _place(self, number: int, row: SlotRow | None, domains: dict[str, str]) -> None:
        ranked = rendezvous_order(f"slot {number}", domains)
        primary = ranked[0]
        others = [m for m in ranked[1:] if domains[m] != domains[primary]]
        standby = (others or ranked[1:] or [NO_MEMBER])[0]
        if standby == NO_MEMBER:
            return
        epoch = row.epoch + 1 if row is not None else 1
        lost = row is not None
        placed = SlotRow(number, primary, standby, epoch, fresh=True, lost=lost)
        self._placement.propose(placed)
