"""What this process knows of the others: liveness, incarnation, domain.

Heartbeats go only between processes that share a slot, and on demand to a gate whose
incarnation is needed, so their number does not grow with the fleet.

A peer is suspected after a silence, or at once when another incarnation speaks from
its address: that is proof that the old one is gone.  A suspicion may be wrong (a cut,
a pause); the compare-and-swap that follows it decides, so a wrong one costs a move
and never a loss.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from .docs import Docs
from .events import Instance
from .hashing import address_of, hash64, rendezvous_order
from .outbox import Outbox
from .wire import Heartbeat

HEARTBEAT_S: Final = 0.5
SUSPECT_S: Final = 2.0
SILENT_S: Final = 4.0
ASK_S: Final = 0.5
PAUSE_S: Final = 1.0
COPY_CANDIDATES: Final = 12


class Peer(NamedTuple):
    """Another process as last heard."""

    member: str
    heard_at: float
    domain: str
    draining: bool
    carried: int
    leads: int


class Peers:
    """The other processes.

    Parameters
    ----------
    me, domain : str
        Member id and failure domain of this process.
    docs : Docs
        Revisions for the heartbeats.
    out : Outbox
        Where messages go.
    """

    def __init__(self, me: str, domain: str, docs: Docs, out: Outbox) -> None:
        self.instances: tuple[Instance, ...] = ()
        self.draining = False
        self.carried = 0
        self.leads = 0
        self._me = me
        self._domain = domain
        self._docs = docs
        self._out = out
        self._known: dict[str, Peer] = {}
        self._watched_since: dict[str, float] = {}
        self._asked: dict[str, float] = {}
        self._samples = 0
        self._sampled = ""
        self._next_beat = 0.0
        self._last_tick = 0.0

    def heard(self, sender: str, beat: Heartbeat | None, now: float) -> None:
        """Take any message as a sign of life."""
        address = address_of(sender)
        old = self._known.get(address)
        if beat is not None:
            peer = Peer(
                sender, now, beat.domain, beat.draining, beat.carried, beat.leads
            )
        elif old is not None and old.member == sender:
            peer = old._replace(heard_at=now)
        else:
            peer = Peer(sender, now, "", False, 0, 0)
        self._known[address] = peer
        if beat is not None and beat.reply:
            self._out.send(sender, self._heartbeat(reply=False))

    def _heartbeat(self, *, reply: bool) -> Heartbeat:
        return Heartbeat(
            self._domain,
            self.draining,
            self.carried,
            self.leads,
            self._docs.revisions(),
            reply,
        )

    def tick(self, partners: set[str], now: float) -> None:
        """Send heartbeats to the members this process shares a slot with."""
        self._forgive_pause(now)
        for member in partners:
            self._watched_since.setdefault(member, now)
        for member in set(self._watched_since) - partners:
            del self._watched_since[member]
        if now < self._next_beat:
            return
        self._next_beat = now + HEARTBEAT_S
        told = set(partners)
        if self.draining:
            # Whoever has asked for this process's incarnation may send calls to its
            # gate; one that is not told goes on doing so after the process has left.
            told |= {peer.member for peer in self._known.values()}
        for member in sorted(told):
            self._out.send(member, self._heartbeat(reply=False))

    def _forgive_pause(self, now: float) -> None:
        """Start the clocks anew after this process itself was paused.

        A frozen process wakes with every peer silent for long.  Suspecting them all
        would ask for as many moves; none of them is at fault.
        """
        paused = self._last_tick > 0 and now - self._last_tick > PAUSE_S
        self._last_tick = now
        if paused:
            for address, peer in self._known.items():
                self._known[address] = peer._replace(heard_at=now)
            for member in self._watched_since:
                self._watched_since[member] = now

    def suspects(self, member: str, now: float) -> bool:
        """Whether a member is held to be gone."""
        peer = self._known.get(address_of(member))
        if peer is not None and peer.member != member:
            return True
        heard = peer.heard_at if peer is not None else 0.0
        since = max(heard, self._watched_since.get(member, now))
        return now - since > SUSPECT_S

    def is_unresponsive(self, member: str, now: float) -> bool:
        """Whether a member has not been heard for long."""
        peer = self._known.get(address_of(member))
        return peer is None or now - peer.heard_at > SILENT_S

    def is_confirmed_down(self, member: str) -> bool:
        """Whether there is proof that a member is gone, other than its silence."""
        address = address_of(member)
        peer = self._known.get(address)
        if peer is not None and peer.member != member:
            return True
        listed = {i.address for i in self.instances}
        return bool(listed) and address not in listed

    def is_draining(self, member: str) -> bool:
        """Whether a member has said that it is in a planned stop."""
        peer = self._known.get(address_of(member))
        return peer is not None and peer.member == member and peer.draining

    def sample_peer(self, now: float) -> str:
        """Return the side process asked last time, if it answered; ask another.

        The order is this process's own, so processes do not all look at the same one.
        """
        member = ""
        peer = self._known.get(self._sampled)
        if peer is not None and not self.is_unresponsive(peer.member, now):
            member = peer.member
        addresses = [i.address for i in self.sides() if i.address != self._sampled]
        if addresses:
            self._samples += 1
            pick = hash64(self._me, "sample", str(self._samples)) % len(addresses)
            self._sampled = addresses[pick]
            self.ask(self._sampled, now)
        return member

    def replica_count_of(self, member: str) -> int | None:
        """Slots that a member said it holds; None if it is not fit for another."""
        peer = self._known.get(address_of(member))
        if peer is None or peer.member != member or peer.draining or not peer.domain:
            return None
        return peer.carried

    def is_in_other_domain(self, member: str) -> bool:
        """Whether a member is in another failure domain than this process."""
        peer = self._known.get(address_of(member))
        return peer is not None and peer.domain not in ("", self._domain)

    def primary_count_of(self, member: str) -> int | None:
        """Slots that a member said it carries; None if it is not fit to take one."""
        peer = self._known.get(address_of(member))
        if peer is None or peer.member != member or peer.draining or not peer.domain:
            return None
        return peer.leads

    def member_at(self, address: str, now: float) -> str:
        """Return the member at an address; empty, and asked for, if not known."""
        peer = self._known.get(address)
        if peer is not None:
            if now - peer.heard_at > SUSPECT_S:
                self.ask(address, now)
            return peer.member
        self.ask(address, now)
        return ""

    def ask(self, address: str, now: float) -> None:
        """Ask an address for a heartbeat, at most twice a second."""
        if now - self._asked.get(address, -ASK_S) >= ASK_S:
            self._asked[address] = now
            self._out.send(address, self._heartbeat(reply=True))

    def sides(self) -> list[Instance]:
        """Instances that can hold slots: side processes that are not leaving."""
        return [i for i in self.instances if i.role == "side" and not i.leaving]

    def gate_instance_of(self, server: str) -> Instance | None:
        """Return the instance whose side process stands before a server."""
        for instance in self.instances:
            if server in instance.servers:
                return instance
        return None

    def choose_copy(self, job: str, exclude: set[str], now: float) -> str:
        """Choose a member for a new copy.

        It is alive, not draining, in another failure domain if any is, and among
        those the one with the fewest slots.  Only a few candidates are asked, chosen
        by hash of the job, so a failure does not make its partners ask the whole
        fleet; if none of them fits, all are.
        """
        sides = {i.address: i for i in self.sides() if i.domain != self._domain}
        few = rendezvous_order(f"copy {job}", sides)[:COPY_CANDIDATES]
        best = self._best_copy(few, exclude, now)
        if best:
            return best
        return self._best_copy([i.address for i in self.sides()], exclude, now)

    def _best_copy(self, addresses: list[str], exclude: set[str], now: float) -> str:
        best: tuple[bool, int, str] | None = None
        for address in addresses:
            member = self.member_at(address, now)
            if not member or member in exclude or member == self._me:
                continue
            peer = self._known[address]
            if peer.draining or self.suspects(member, now) or not peer.domain:
                continue
            order = (peer.domain == self._domain, peer.carried, member)
            best = order if best is None else min(best, order)
        return best[2] if best is not None else ""
