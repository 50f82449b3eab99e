"""Liveness, incarnation and failure domain of the other processes.

Heartbeats are sent only between processes that share a slot, and on request to find
the incarnation of a gate, so their number does not grow with the fleet.

A peer is suspected after a time without messages, or at once when another incarnation
sends from its address, which proves that the old one has ended.  A suspicion may be
wrong (a network partition, a pause).  The compare-and-swap that follows decides, so a
wrong suspicion moves a slot but never loses data.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from .docs import Docs
from .events import Instance
from .hashing import address_of, hash64, rendezvous_order
from .outbox import Outbox
from .wire import Heartbeat

HEARTBEAT_INTERVAL_S: Final = 0.5
SUSPECT_AFTER_S: Final = 2.0
UNRESPONSIVE_AFTER_S: Final = 4.0
HEARTBEAT_REQUEST_INTERVAL_S: Final = 0.5
PAUSE_THRESHOLD_S: Final = 1.0
MAX_COPY_CANDIDATES: Final = 12


class Peer(NamedTuple):
    """State of another process as of its last message."""

    member: str
    last_heard_at: float
    domain: str
    draining: bool
    replica_count: int
    primary_count: int


class Peers:
    """The other processes.

    Parameters
    ----------
    me, domain : str
        Member id and failure domain of this process.
    docs : Docs
        Revisions for the heartbeats.
    out : Outbox
        Receives the messages.
    """

    def __init__(self, me: str, domain: str, docs: Docs, out: Outbox) -> None:
        self.instances: tuple[Instance, ...] = ()
        self.draining = False
        self.replica_count = 0
        self.primary_count = 0
        self._me = me
        self._domain = domain
        self._docs = docs
        self._out = out
        self._known: dict[str, Peer] = {}
        self._watched_since: dict[str, float] = {}
        self._requested_at: dict[str, float] = {}
        self._sample_count = 0
        self._sampled_address = ""
        self._next_heartbeat = 0.0
        self._last_tick = 0.0

    def on_message(self, sender: str, heartbeat: Heartbeat | None, now: float) -> None:
        """Record a message, which shows that its sender is alive."""
        address = address_of(sender)
        old = self._known.get(address)
        if heartbeat is not None:
            peer = Peer(
                sender,
                now,
                heartbeat.domain,
                heartbeat.draining,
                heartbeat.replica_count,
                heartbeat.primary_count,
            )
        elif old is not None and old.member == sender:
            peer = old._replace(last_heard_at=now)
        else:
            peer = Peer(sender, now, "", False, 0, 0)
        self._known[address] = peer
        if heartbeat is not None and heartbeat.reply:
            self._out.send(sender, self._heartbeat(reply=False))

    def _heartbeat(self, *, reply: bool) -> Heartbeat:
        return Heartbeat(
            self._domain,
            self.draining,
            self.replica_count,
            self.primary_count,
            self._docs.revisions(),
            reply,
        )

    def tick(self, partners: set[str], now: float) -> None:
        """Send heartbeats to the members this process shares a slot with."""
        self._reset_after_pause(now)
        for member in partners:
            self._watched_since.setdefault(member, now)
        for member in set(self._watched_since) - partners:
            del self._watched_since[member]
        if now < self._next_heartbeat:
            return
        self._next_heartbeat = now + HEARTBEAT_INTERVAL_S
        recipients = set(partners)
        if self.draining:
            # A peer that has requested the incarnation of this process may send calls
            # to its gate, and would continue after the process has stopped.
            recipients |= {peer.member for peer in self._known.values()}
        for member in sorted(recipients):
            self._out.send(member, self._heartbeat(reply=False))

    def _reset_after_pause(self, now: float) -> None:
        """Reset the timers of all peers if this process itself was paused.

        After a pause the last message of every peer is old.  Without the reset, all
        peers would be suspected and their slots moved, although none has failed.
        """
        paused = self._last_tick > 0 and now - self._last_tick > PAUSE_THRESHOLD_S
        self._last_tick = now
        if paused:
            for address, peer in self._known.items():
                self._known[address] = peer._replace(last_heard_at=now)
            for member in self._watched_since:
                self._watched_since[member] = now

    def is_suspected(self, member: str, now: float) -> bool:
        """Whether a member is suspected to have failed."""
        peer = self._known.get(address_of(member))
        if peer is not None and peer.member != member:
            return True
        heard = peer.last_heard_at if peer is not None else 0.0
        since = max(heard, self._watched_since.get(member, now))
        return now - since > SUSPECT_AFTER_S

    def is_unresponsive(self, member: str, now: float) -> bool:
        """Whether a member is unknown or has sent no message for some seconds."""
        peer = self._known.get(address_of(member))
        return peer is None or now - peer.last_heard_at > UNRESPONSIVE_AFTER_S

    def is_confirmed_down(self, member: str) -> bool:
        """Whether a member was replaced at its address or is no longer listed.

        Missing messages alone are no proof that a member is down.
        """
        address = address_of(member)
        peer = self._known.get(address)
        if peer is not None and peer.member != member:
            return True
        listed = {i.address for i in self.instances}
        return bool(listed) and address not in listed

    def is_draining(self, member: str) -> bool:
        """Whether a member has announced a planned stop."""
        peer = self._known.get(address_of(member))
        return peer is not None and peer.member == member and peer.draining

    def sample_peer(self, now: float) -> str:
        """Return the last sampled side process if it answered; sample another.

        The order differs between processes, so that they sample different peers.
        """
        member = ""
        peer = self._known.get(self._sampled_address)
        if peer is not None and not self.is_unresponsive(peer.member, now):
            member = peer.member
        addresses = [
            i.address for i in self.sides() if i.address != self._sampled_address
        ]
        if addresses:
            self._sample_count += 1
            index = hash64(self._me, "sample", str(self._sample_count)) % len(addresses)
            self._sampled_address = addresses[index]
            self.request_heartbeat(self._sampled_address, now)
        return member

    def replica_count_of(self, member: str) -> int | None:
        """Return how many slots a member has; None if it cannot receive a copy."""
        peer = self._known.get(address_of(member))
        if peer is None or peer.member != member or peer.draining or not peer.domain:
            return None
        return peer.replica_count

    def is_in_other_domain(self, member: str) -> bool:
        """Whether a member is in another failure domain than this process."""
        peer = self._known.get(address_of(member))
        return peer is not None and peer.domain not in ("", self._domain)

    def primary_count_of(self, member: str) -> int | None:
        """Return of how many slots a member is primary; None if it can get no more."""
        peer = self._known.get(address_of(member))
        if peer is None or peer.member != member or peer.draining or not peer.domain:
            return None
        return peer.primary_count

    def member_at(self, address: str, now: float) -> str:
        """Return the member at an address; empty and requested if it is unknown."""
        peer = self._known.get(address)
        if peer is not None:
            if now - peer.last_heard_at > SUSPECT_AFTER_S:
                self.request_heartbeat(address, now)
            return peer.member
        self.request_heartbeat(address, now)
        return ""

    def request_heartbeat(self, address: str, now: float) -> None:
        """Request a heartbeat from an address, at most twice a second."""
        if (
            now - self._requested_at.get(address, -HEARTBEAT_REQUEST_INTERVAL_S)
            >= HEARTBEAT_REQUEST_INTERVAL_S
        ):
            self._requested_at[address] = now
            self._out.send(address, self._heartbeat(reply=True))

    def sides(self) -> list[Instance]:
        """Instances that can have slots: side processes that are not leaving."""
        return [i for i in self.instances if i.role == "side" and not i.leaving]

    def gate_instance_of(self, server: str) -> Instance | None:
        """Return the instance whose side process is the gate of a server."""
        for instance in self.instances:
            if server in instance.servers:
                return instance
        return None

    def choose_copy_target(self, label: str, exclude: set[str], now: float) -> str:
        """Choose a member for a new copy.

        The member is alive and not draining.  Members of other failure domains come
        first, then those with fewer slots.  Only a few candidates, chosen by hash of
        the label, are asked for heartbeats, so that after a failure no process asks
        the whole fleet.  If none of them is suitable, all side processes are
        considered.
        """
        sides = {i.address: i for i in self.sides() if i.domain != self._domain}
        candidates = rendezvous_order(f"copy {label}", sides)[:MAX_COPY_CANDIDATES]
        best = self._best_copy_target(candidates, exclude, now)
        if best:
            return best
        return self._best_copy_target([i.address for i in self.sides()], exclude, now)

    def _best_copy_target(
        self, addresses: list[str], exclude: set[str], now: float
    ) -> str:
        best: tuple[bool, int, str] | None = None
        for address in addresses:
            member = self.member_at(address, now)
            if not member or member in exclude or member == self._me:
                continue
            peer = self._known[address]
            if peer.draining or self.is_suspected(member, now) or not peer.domain:
                continue
            order = (peer.domain == self._domain, peer.replica_count, member)
            best = order if best is None else min(best, order)
        return best[2] if best is not None else ""
