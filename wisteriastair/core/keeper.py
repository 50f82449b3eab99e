"""State machine of one keeper of the ledger, without I/O.

The daemon passes in messages and the time, writes batches to disk, and sends the
messages that `drain_outbox` returns.  Each reply waits until its batch is synced, so
that acknowledged records survive a power loss.  Views are part of batches as well: a
replica that lost its adopted view in a restart would accept writes under an older view
after a new replica had copied from it.
"""

from __future__ import annotations

import math
from typing import Final, NamedTuple

import msgspec

from .expiry import AccountExpiry
from .hashing import address_of
from .ledger import Attempt, Entry, Ledger
from .ledgerwire import (
    CopyReply,
    CopyRequest,
    FanOutWrite,
    FindChain,
    LastUseQuestion,
    LastUseReply,
    LedgerMessage,
    PermitReply,
    PermitRequest,
    Ping,
    ReplyStatus,
    Write,
    WriteReply,
)
from .membership import (
    SLOTS,
    Member,
    MembershipObservation,
    View,
    copy_sources,
    slot_of_program,
)
from .quota import Permit, PermitStatus, QuotaBounds, QuotaHolder
from .room import TurnRoom

# Interval of heartbeats between keepers.
HEARTBEAT_INTERVAL_S: Final = 0.4
NEVER: Final = -math.inf
# View version in heartbeats of a member that does not report one.  Such a member may
# also require a view in the heartbeats that it receives.
NO_VIEW_VERSION: Final = (0, 0)
# A member counts as reachable for this time after its last heartbeat.
REACHABLE_TIMEOUT_S: Final = 1.5
# A member without a heartbeat for this time is treated as lost.  Longer than a restart
# or a short power loss, after which the disk is available again.
UNRESPONSIVE_TIMEOUT_S: Final = 4.0
# The same timeout for a member that announced its stop, or that may have a successor: a
# new disk was discovered after the last heartbeat of the member.  Five heartbeats.  A
# permanently lost member is then removed three seconds after its end, before its
# successor counts as caught up (four seconds after its start on the deployments with
# the shortest limits).  A member that returns after its removal joins again, which
# costs a few store calls.
DEPARTED_TIMEOUT_S: Final = 2.0
# A copy request is sent again after this time without a reply.
COPY_RETRY_S: Final = 0.4
# Delay between the proposals of successive members: longer than a store write and its
# watch event take, so that the next member sees the new view.
PROPOSAL_STAGGER_S: Final = 0.25
COPY_CHUNK_BYTES: Final = 256 * 1024
ENTRY_OVERHEAD_BYTES: Final = 200
DEFAULT_QUOTA_BOUNDS: Final = QuotaBounds()


Request = Write | FindChain | CopyRequest


class Batch(NamedTuple):
    """Records and a view to sync together, and the requests to answer afterwards."""

    entries: list[Entry]
    view: View | None
    requests: list[tuple[str, Request]]


class _CopySource(NamedTuple):
    """Progress of a copy from one old replica."""

    member: Member
    slots: tuple[int, ...]
    after: str
    op: int
    requested_at: float
    done: bool


class KeeperCore:
    """State machine of one keeper.

    Parameters
    ----------
    me : Member
        This instance and its disk.
    max_failures : int
        Number of members that may fail at the same time.
    view : View
        The newest view on the disk.
    entries : list of Entry
        Records on the disk.
    now : float
        Time of a monotonic clock, in seconds.
    max_turn_bytes : float
        Limit for the bytes of stored turns; turns beyond it are refused.  Without a
        limit, a burst of long chains would exhaust the memory, and the process would
        be killed with all its replicas.
    quota_bounds : QuotaBounds
        Bounds within which customers' quotas are enforced.
    """

    def __init__(
        self,
        me: Member,
        max_failures: int,
        *,
        view: View,
        entries: list[Entry],
        now: float,
        max_turn_bytes: float = math.inf,
        quota_bounds: QuotaBounds = DEFAULT_QUOTA_BOUNDS,
    ) -> None:
        self.me = me
        self.view = view
        self.view_revision = 0
        self.ledger = Ledger()
        self.expiry = AccountExpiry(me, self.ledger, max_failures)
        self.room = TurnRoom(self.ledger, max_turn_bytes)
        self.quota = QuotaHolder(me, quota_bounds, view.members, now)
        self.retiring: frozenset[str] = frozenset()
        self.stale_refused = 0
        self.batches_synced = 0
        self._max_failures = max_failures
        self._started_at = now
        # By disk: time of the last heartbeat, of the addition to the view, and of the
        # first heartbeat that arrived while the disk was in no view.
        self._heartbeat_at: dict[str, float] = {}
        self._added_at: dict[str, float] = {}
        self._discovered_at: dict[str, float] = {}
        # Disks whose keepers announced their stop.
        self._stopping_disks: set[str] = set()
        # By address: time of the last heartbeat, and the view version that it reported.
        self._heartbeat_from: dict[str, float] = {}
        self._view_version_of: dict[str, tuple[int, int]] = {}
        self._outbox: list[tuple[str, LedgerMessage]] = []
        self._unsynced_entries: list[Entry] = []
        self._view_unsynced = False
        self._requests: list[tuple[str, Request]] = []
        self._sources: dict[str, _CopySource] = {}
        self._copied_disks: set[str] = set()
        self._copy_view_number = 0
        self._last_op = 0
        self._next_heartbeat_at = now
        self._syncing = False
        if me not in view.members:
            self._discovered_at[me.disk] = now
        for entry in entries:
            self.ledger.merge(entry, now, is_use=False)
        self._plan_copies(now)

    # Messages

    def receive(self, sender: str, message: LedgerMessage, now: float) -> None:
        """Handle a message; replies appear in a batch or in the outbox."""
        match message:
            case Write() | FindChain():
                self._on_request(sender, message, now)
            case FanOutWrite(write, forward_to, reply_to):
                self._forward(write, forward_to, reply_to or sender)
                self._on_request(reply_to or sender, write, now)
            case Ping(disk, view, revision, stopping, view_version):
                self._record_heartbeat(disk, stopping, now)
                self._heartbeat_from[address_of(sender)] = now
                self._view_version_of[address_of(sender)] = view_version
                if view is not None:
                    self.adopt(view, now, revision)
                elif view_version == self._view_version:
                    self.view_revision = max(self.view_revision, revision)
            case PermitRequest():
                self._on_permit_request(sender, message, now)
            case CopyRequest():
                self._on_copy_request(sender, message)
            case CopyReply():
                self._on_copy_reply(message, now)
            case LastUseQuestion():
                last_uses = self.expiry.reply(message, self.view, now)
                self._outbox.append((sender, last_uses))
            case LastUseReply():
                self.expiry.receive(message, self.view, now)
            case _:
                # Replies to relays, and messages that the daemon handles itself.
                pass

    def _record_heartbeat(self, disk: str, stopping: bool, now: float) -> None:
        self._heartbeat_at[disk] = now
        if stopping:
            self._stopping_disks.add(disk)
        else:
            self._stopping_disks.discard(disk)
        if disk not in _disks(self.view):
            self._discovered_at.setdefault(disk, now)

    def _forward(self, write: Write, forward_to: list[str], reply_to: str) -> None:
        """Forward a write, accepted here or not: each replica checks it itself."""
        for address in forward_to:
            self._outbox.append((address, FanOutWrite(write, [], reply_to)))

    def _on_request(self, sender: str, request: Write | FindChain, now: float) -> None:
        status = self._check_view(request.view)
        if status is ReplyStatus.DONE and isinstance(request, Write):
            status = self.room.admit(request, now)
        if status is not ReplyStatus.DONE:
            view = self.view if status is ReplyStatus.STALE_VIEW else None
            reply = WriteReply(request.op, self.me.disk, status, view=view)
            self._outbox.append((sender, reply))
            return
        if isinstance(request, Write):
            new_records = self.ledger.merge(request.entry, now)
            if new_records is not None:
                self._unsynced_entries.append(new_records)
        self._requests.append((sender, request))

    def _on_permit_request(
        self, sender: str, request: PermitRequest, now: float
    ) -> None:
        """Answer a request for a permit.

        A member that cannot reach most others may have been replaced as a quota holder
        without being notified; its permits would add to those of its successor.
        """
        permit = Permit(PermitStatus.NOT_HOLDER)
        if self._reaches_majority(now):
            permit = self.quota.request_permit(
                request.customer,
                request.program,
                request.kind,
                request.allow_delayed,
                now,
            )
        self._outbox.append((sender, PermitReply(request.op, permit)))

    def _reaches_majority(self, now: float) -> bool:
        members = self.view.members
        reachable = sum(self._is_reachable(member.disk, now) for member in members)
        return 2 * reachable > len(members)

    def _check_view(self, number: int) -> ReplyStatus:
        if number < self.view.number:
            self.stale_refused += 1
            return ReplyStatus.STALE_VIEW
        is_member = self.me in self.view.members or self.me in self.view.old
        if number > self.view.number or not is_member:
            return ReplyStatus.UNAVAILABLE
        return ReplyStatus.DONE

    def _on_copy_request(self, sender: str, request: CopyRequest) -> None:
        if self._check_view(request.view) is ReplyStatus.DONE:
            self._requests.append((sender, request))
            return
        reply = CopyReply(request.op, self.me.disk, ReplyStatus.UNAVAILABLE)
        self._outbox.append((sender, reply))

    # Batches

    def next_batch(self) -> Batch | None:
        """Return and clear the pending batch, or None if it is empty."""
        if (
            not self._unsynced_entries
            and not self._view_unsynced
            and not self._requests
        ):
            return None
        view = self.view if self._view_unsynced else None
        batch = Batch(self._unsynced_entries, view, self._requests)
        self._unsynced_entries = []
        self._requests = []
        self._view_unsynced = False
        self._syncing = True
        return batch

    def on_synced(self, batch: Batch) -> None:
        """Answer the requests of a batch that is now durable."""
        self._syncing = False
        self.batches_synced += 1
        for sender, request in batch.requests:
            if isinstance(request, CopyRequest):
                self._outbox.append((sender, self._make_copy_reply(request)))
            else:
                self._outbox.append((sender, self._make_reply(request)))

    def on_sync_failed(self, batch: Batch) -> None:
        """Refuse the requests of a batch that could not be written.

        Its records are merged in memory already, so a repeated request would not count
        them as new.  They are added to the next batch instead.
        """
        self._syncing = False
        self._unsynced_entries = batch.entries + self._unsynced_entries
        self._view_unsynced = self._view_unsynced or batch.view is not None
        for sender, request in batch.requests:
            if isinstance(request, CopyRequest):
                refusal: LedgerMessage = CopyReply(
                    request.op, self.me.disk, ReplyStatus.UNAVAILABLE
                )
            else:
                refusal = WriteReply(request.op, self.me.disk, ReplyStatus.UNAVAILABLE)
            self._outbox.append((sender, refusal))

    def drain_outbox(self) -> list[tuple[str, LedgerMessage]]:
        """Return and clear the messages to send."""
        outbox = self._outbox
        self._outbox = []
        return outbox

    def _make_reply(self, request: Write | FindChain) -> WriteReply:
        attempts: dict[str, Attempt] = {}
        is_only_send = False
        account = None
        if isinstance(request, Write):
            account = self.ledger.accounts.get(request.entry.program)
        if isinstance(request, Write) and account is not None:
            attempts = dict(account.attempts)
            is_only_send = account.is_only_send(request.entry.sends)
        chain_program, chain = self.ledger.find(request.last_turn_id)
        return WriteReply(
            request.op,
            self.me.disk,
            ReplyStatus.DONE,
            attempts,
            has_chain=bool(chain),
            turns=chain if request.with_turns else [],
            chain_program=chain_program,
            is_only_send=is_only_send,
        )

    def _make_copy_reply(self, request: CopyRequest) -> CopyReply:
        slots = set(request.slots)
        programs = sorted(p for p in self.ledger.programs() if p > request.after)
        entries: list[Entry] = []
        size = 0
        for program in programs:
            if slot_of_program(program) not in slots:
                continue
            if size >= COPY_CHUNK_BYTES:
                return CopyReply(
                    request.op, self.me.disk, ReplyStatus.DONE, entries, False
                )
            entry = self.ledger.entry(program)
            entries.append(entry)
            size += ENTRY_OVERHEAD_BYTES + sum(
                len(turn.content) for turn in entry.turns
            )
        return CopyReply(request.op, self.me.disk, ReplyStatus.DONE, entries, True)

    def rewrite_accounts(self, programs: set[str]) -> int:
        """Add complete accounts to the next batch; return its number."""
        for program in programs:
            if program in self.ledger:
                self._unsynced_entries.append(self.ledger.entry(program))
        self._view_unsynced = True
        return self.batches_synced + (2 if self._syncing else 1)

    # Views

    def adopt(self, view: View, now: float, revision: int) -> bool:
        """Adopt a view if it is newer than the current one.

        It is sent to the other members at once: they would otherwise receive each step
        of a change from their watches only, which are late if the store is slow.

        Parameters
        ----------
        revision : int
            Revision of the store at which the view was written.
        """
        self.view_revision = max(self.view_revision, revision)
        if (view.number, len(view.synced)) <= self._view_version:
            return False
        self._next_heartbeat_at = now
        renumbered = view.number > self.view.number
        for disk in _disks(view) - _disks(self.view):
            self._added_at[disk] = now
        self.view = view
        self.quota.update_members(view.members, now)
        self._view_unsynced = True
        if renumbered:
            self._plan_copies(now)
        return True

    @property
    def _view_version(self) -> tuple[int, int]:
        return self.view.number, len(self.view.synced)

    def observation(self, now: float) -> MembershipObservation:
        """Return the observations from which this member decides on the next view."""
        reachable = {
            disk for disk in self._heartbeat_at if self._is_reachable(disk, now)
        }
        unresponsive = {
            disk for disk in _disks(self.view) if self._is_unresponsive(disk, now)
        }
        return MembershipObservation(
            self.me,
            frozenset(reachable | {self.me.disk}),
            frozenset(unresponsive),
            self.retiring,
        )

    def _is_reachable(self, disk: str, now: float) -> bool:
        return (
            disk == self.me.disk
            or now - self._heartbeat_at.get(disk, NEVER) <= REACHABLE_TIMEOUT_S
        )

    def _is_unresponsive(self, disk: str, now: float) -> bool:
        if disk == self.me.disk:
            return False
        # A member that has just been added to the view gets time to send a heartbeat:
        # otherwise two members that disagree would add and remove it repeatedly.
        last_heartbeat = self._heartbeat_at.get(disk, self._started_at)
        since = max(last_heartbeat, self._added_at.get(disk, self._started_at))
        has_departed = disk in self._stopping_disks or self._has_successor(since, now)
        return now - since > (
            DEPARTED_TIMEOUT_S if has_departed else UNRESPONSIVE_TIMEOUT_S
        )

    def _has_successor(self, since: float, now: float) -> bool:
        return any(
            at > since and self._is_reachable(disk, now)
            for disk, at in self._discovered_at.items()
        )

    def has_copied(self) -> bool:
        """Whether this member has durably copied all that the current change needs."""
        if not self.view.old or self.me not in self.view.members:
            return False
        return (
            self._copy_view_number == self.view.number
            and len(self._sources) > 0
            and self._copies_complete()
            and not self._unsynced_entries
            and not self._syncing
            and self.me.disk not in self.view.synced
        )

    def proposal_delay_s(self, now: float) -> float:
        """Return the delay of a proposal that any member could make, in seconds.

        All members detect the need for a change at the same time.  If all of them wrote
        at once, every store call but one would be refused.
        """
        predecessors = [
            member
            for member in self.view.members
            if member < self.me and self._is_reachable(member.disk, now)
        ]
        return PROPOSAL_STAGGER_S * len(predecessors)

    # Copying

    def _plan_copies(self, now: float) -> None:
        """Determine which slots to copy from which members in the current view."""
        self._sources = {}
        self._copied_disks = {self.me.disk}
        self._copy_view_number = self.view.number
        slots_by_member: dict[Member, list[int]] = {}
        for slot in range(SLOTS):
            old = copy_sources(self.view, self.me, slot, self._max_failures)
            for member in old.members if old else ():
                if member != self.me:
                    slots_by_member.setdefault(member, []).append(slot)
        for member, slots in slots_by_member.items():
            self._request_copy(
                _CopySource(member, tuple(slots), "", 0, now, False), now
            )

    def _request_copy(self, source: _CopySource, now: float) -> None:
        self._last_op += 1
        request = CopyRequest(
            self._last_op, self.view.number, list(source.slots), source.after
        )
        self._sources[source.member.disk] = source._replace(
            op=self._last_op, requested_at=now
        )
        self._outbox.append((source.member.address, request))

    def _on_copy_reply(self, reply: CopyReply, now: float) -> None:
        source = self._sources.get(reply.disk)
        if source is None or source.op != reply.op or source.done:
            return
        if reply.status is not ReplyStatus.DONE:
            return
        for entry in reply.entries:
            new_records = self.ledger.merge(entry, now, is_use=False)
            if new_records is not None:
                self._unsynced_entries.append(new_records)
        if reply.is_last:
            self._sources[reply.disk] = source._replace(done=True)
            self._copied_disks.add(reply.disk)
            return
        self._request_copy(source._replace(after=reply.entries[-1].program), now)

    def _copies_complete(self) -> bool:
        for slot in range(SLOTS):
            old = copy_sources(self.view, self.me, slot, self._max_failures)
            if old is not None and not old.has_read_quorum(self._copied_disks):
                return False
        return True

    # Time

    def expire_accounts(self, now: float) -> None:
        """Drop accounts that no replica uses, and ask the others about the rest."""
        self._outbox += self.expiry.sweep(self.view, now)

    def tick(self, now: float) -> None:
        """Send heartbeats, and repeat copy requests that got no reply."""
        self.room.expire(now)
        if now >= self._next_heartbeat_at:
            self._next_heartbeat_at = now + HEARTBEAT_INTERVAL_S
            self._send_heartbeats(now)
        for source in list(self._sources.values()):
            if not source.done and now - source.requested_at > COPY_RETRY_S:
                self._request_copy(source, now)

    def announce_stop(self, now: float) -> None:
        """Notify the other members that this process stops, perhaps for good."""
        self._send_heartbeats(now, stopping=True)

    def _send_heartbeats(self, now: float, *, stopping: bool = False) -> None:
        """Send a heartbeat to all members, with the view if they do not know it yet.

        With the view in every heartbeat, traffic would grow with the cube of the number
        of members: each of 24 members would send the list of all to each other member,
        2.5 times a second.
        """
        view_version = self._view_version
        without_view = Ping(
            self.me.disk, None, self.view_revision, stopping, view_version
        )
        with_view = msgspec.structs.replace(without_view, view=self.view)
        addresses = {m.address for m in (*self.view.members, *self.view.old)}
        # A new member is in no view yet, but needs heartbeats to propose its addition.
        addresses |= {
            a
            for a, at in self._heartbeat_from.items()
            if now - at <= REACHABLE_TIMEOUT_S
        }
        for address in sorted(addresses - {self.me.address}):
            reported = self._view_version_of.get(address, NO_VIEW_VERSION)
            is_informed = reported != NO_VIEW_VERSION and reported >= view_version
            self._outbox.append((address, without_view if is_informed else with_view))


def _disks(view: View) -> set[str]:
    return {member.disk for member in (*view.members, *view.old)}
