"""Placement of slots on processes, and load balancing between them.

Slots without a row, or with all members down, are placed by one process. After that,
primaries move their own slots: the primary role to a standby that is primary of clearly
fewer slots, one slot at a time, and replicas to a process that has clearly fewer. Of
the processes with which it shares no slot, a primary examines one at a time, chosen at
random. The cost therefore does not grow with the number of processes, and the slots do
not all move to the same process.
"""

from __future__ import annotations

from typing import Final

from .hashing import address_of, rendezvous_order
from .peers import Peers
from .placement import Placement
from .replica import NO_MEMBER, SlotRow
from .slots import Slots

BALANCE_INTERVAL_S: Final = 1.0
# Each sample of a process that shares no slot opens a connection, so it is rare.
SAMPLE_INTERVAL_S: Final = 3.0
MIN_PRIMARY_GAP: Final = 2
MIN_REPLICA_GAP: Final = 3
PLACE_INTERVAL_S: Final = 1.0
MAX_MEMBER_WAIT_S: Final = 5.0
LIST_STABLE_S: Final = 3.0
ALL_DOWN_S: Final = 6.0


class SlotBalancer:
    """Places slots and balances them between processes.

    Parameters
    ----------
    me : str
        Member id of this process.
    slots, placement, peers
        Components that it uses.
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
        """Balance and place slots at their intervals."""
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
        """Hand one slot over to a standby that is primary of clearly fewer slots.

        After a takeover one process is primary of all slots of its partner. Without
        this it would keep doing the work of two, while the replacement is only a
        standby.
        """
        open_slots = self._slots.open_slots()
        for number in open_slots:
            replica = self._slots.replica(number)
            peer_count = self._peers.primary_count_of(replica.peer)
            if replica.learner != NO_MEMBER or peer_count is None:
                continue
            if peer_count + MIN_PRIMARY_GAP <= len(open_slots):
                self._slots.hand_over(number)
                return

    def _balance_replicas(self, now: float) -> None:
        """Move replicas to a process that has clearly fewer than their standby.

        Processes that joined after the slots were placed would otherwise remain empty.
        """
        member = self._peers.sample_peer(now)
        peer_count = self._peers.replica_count_of(member)
        if peer_count is None or not self._peers.is_in_other_domain(member):
            return
        for number in self._slots.open_slots():
            replica = self._slots.replica(number)
            if replica.learner != NO_MEMBER or replica.peer in (NO_MEMBER, member):
                continue
            standby_count = self._peers.replica_count_of(replica.peer)
            if (
                standby_count is not None
                and peer_count + MIN_REPLICA_GAP <= standby_count
            ):
                self._slots.copy_to(number, member, now)
                peer_count += MIN_REPLICA_GAP

    def _place_slots(self, now: float) -> None:
        """Place slots that have no row, or with all members down.

        One process proposes, the first of the listed ones by rendezvous hash. If two
        processes both consider themselves first, the compare-and-swap decides.
        """
        sides = self._peers.sides()
        addresses = [i.address for i in sides]
        own_address = address_of(self._me)
        if (
            own_address not in addresses
            or rendezvous_order("place", addresses)[0] != own_address
        ):
            return
        if addresses != self._listed_addresses:
            # The processes are still starting. Slots placed now would have to move
            # again.
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
        """Return whether a slot has no members left.

        An unresponsive member is not proof of failure, as a partitioned region
        continues to serve. Only the instance list or a new incarnation at the same
        address proves that a member is down.
        """
        row = self._placement.rows.get(number)
        if row is None:
            return True
        members = (row.primary, row.standby, row.former)
        if not all(self._peers.is_confirmed_down(m) for m in members if m != NO_MEMBER):
            self._all_down_since.pop(number, None)
            return False
        return now - self._all_down_since.setdefault(number, now) > ALL_DOWN_S

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
