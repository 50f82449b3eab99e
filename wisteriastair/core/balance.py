"""Which process holds what: placing slots and keeping the load even.

Slots without a row, or whose members are all gone, are placed by one process.  After
that, carriers move their own slots: the lead to a standby that leads clearly fewer, one
at a time, and copies to a process that holds clearly fewer.  Of the processes it
does not share a slot with, a carrier looks at one at a time, chosen at random, so the
cost does not grow with the fleet and not all move to the same one.
"""

from __future__ import annotations

from typing import Final

from .hashing import address_of, rank
from .peers import Peers
from .placement import Placement
from .replica import NOBODY, Row
from .slots import Slots

BALANCE_INTERVAL_S: Final = 1.0
# Each look at a process outside the partners opens a connection, so it is rare.
SAMPLE_INTERVAL_S: Final = 3.0
MIN_PRIMARY_GAP: Final = 2
MIN_REPLICA_GAP: Final = 3
PLACE_INTERVAL_S: Final = 1.0
MAX_MEMBER_WAIT_S: Final = 5.0
LIST_STABLE_S: Final = 3.0
ALL_DOWN_S: Final = 6.0


class Balance:
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
        self._unplaced_since = 0.0
        self._listed_addresses: list[str] = []
        self._listed_since = 0.0
        self._all_down_since: dict[int, float] = {}

    def tick(self, now: float) -> None:
        """Move or place, if it is time."""
        if self._peers.draining:
            return
        if now >= self._balance_at:
            self._balance_at = now + BALANCE_INTERVAL_S
            self._balance_primaries()
        if now >= self._sample_at:
            self._sample_at = now + SAMPLE_INTERVAL_S
            self._balance_replicas(now)
        if now >= self._place_at:
            self._place_at = now + PLACE_INTERVAL_S
            self._place_slots(now)

    def _balance_primaries(self) -> None:
        """Hand one slot to a standby that leads clearly fewer.

        After a takeover one process leads all that its partner led; without this it
        would go on doing the work of two while the replacement only copies.
        """
        carried = self._slots.carried()
        for number in carried:
            replica = self._slots.replica(number)
            peer_count = self._peers.leads_of(replica.peer)
            if replica.learner != NOBODY or peer_count is None:
                continue
            if peer_count + MIN_PRIMARY_GAP <= len(carried):
                self._slots.hand_over(number)
                return

    def _balance_replicas(self, now: float) -> None:
        """Move copies to a process that holds clearly fewer than their standby.

        Processes that came after the slots were placed would otherwise stay empty.
        """
        member = self._peers.sample(now)
        peer_count = self._peers.held_of(member)
        if peer_count is None or not self._peers.is_elsewhere(member):
            return
        for number in self._slots.carried():
            replica = self._slots.replica(number)
            if replica.learner != NOBODY or replica.peer in (NOBODY, member):
                continue
            standby = self._peers.held_of(replica.peer)
            if standby is not None and peer_count + MIN_REPLICA_GAP <= standby:
                self._slots.copy_to(number, member, now)
                peer_count += MIN_REPLICA_GAP

    def _place_slots(self, now: float) -> None:
        """Place slots that have no row, or whose members are all gone.

        One process, the first by rendezvous hash among those listed, proposes; the
        compare-and-swap settles it if two believe they are first.
        """
        sides = self._peers.sides()
        addresses = [i.address for i in sides]
        own_address = address_of(self._me)
        if own_address not in addresses or rank("place", addresses)[0] != own_address:
            return
        if addresses != self._listed_addresses:
            # A fleet that is starting: what is placed now would have to move again.
            self._listed_addresses = addresses
            self._listed_since = now
        if now - self._listed_since < LIST_STABLE_S:
            return
        unplaced = [
            n for n in range(self._placement.slots) if self._needs_placement(n, now)
        ]
        if not unplaced:
            self._unplaced_since = 0.0
            return
        self._unplaced_since = self._unplaced_since or now
        domains = {self._peers.member_at(i.address, now): i.domain for i in sides}
        domains.pop("", None)
        domains[self._me] = next(i.domain for i in sides if i.address == own_address)
        if len(domains) < len(sides) and now - self._unplaced_since < MAX_MEMBER_WAIT_S:
            return
        for number in unplaced:
            self._place(number, self._placement.rows.get(number), domains)

    def _needs_placement(self, number: int, now: float) -> bool:
        """Whether a slot has no members left.

        Being silent is no evidence: a region that is cut off keeps serving.  Only the
        instance list, or a new incarnation at the address, shows that one is gone.
        """
        row = self._placement.rows.get(number)
        if row is None:
            return True
        members = (row.carrier, row.standby, row.former)
        if not all(self._peers.is_gone(m) for m in members if m != NOBODY):
            self._all_down_since.pop(number, None)
            return False
        return now - self._all_down_since.setdefault(number, now) > ALL_DOWN_S

    def _place(self, number: int, row: Row | None, domains: dict[str, str]) -> None:
        ranked = rank(f"slot {number}", domains)
        carrier = ranked[0]
        others = [m for m in ranked[1:] if domains[m] != domains[carrier]]
        standby = (others or ranked[1:] or [NOBODY])[0]
        if standby == NOBODY:
            return
        epoch = row.epoch + 1 if row is not None else 1
        lost = row is not None
        placed = Row(number, carrier, standby, epoch, fresh=True, lost=lost)
        self._placement.propose(placed)
