"""What a keeper of the ledger decides, without input or output.

The shell feeds in messages and the time, writes batches to disk, and sends what
`drain_outbox` returns.  Every answer waits for the sync of the batch that it stands on,
so nothing is acknowledged that a power loss could take back.  The view belongs to that:
a replica that forgot at a restart which view it had adopted would accept writes under
an older one, after a new replica had copied from it.
"""

from __future__ import annotations

import math
from typing import Final, NamedTuple

import msgspec

from .hashing import address_of
from .ledger import Attempt, Entry, Ledger
from .ledgerwire import (
    Copy,
    CopyReply,
    FanOutWrite,
    FindChain,
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

# Heartbeats between keepers, in seconds.
PING_S: Final = 0.4
NEVER: Final = -math.inf
# Sent by a member that names no view; it may not take heartbeats without one either.
NOTHING_KNOWN: Final = (0, 0)
# A member that was heard from within this time counts as there.
HEARD_S: Final = 1.5
# A member silent for this long is taken as lost.  Longer than a restart or a short loss
# of power, which bring the disk back.
SILENT_S: Final = 4.0
# The same for a member that said that it stops, or after whose last heartbeat another
# one came, which may be its successor: five heartbeats.  The place of a member that is
# gone for good is then free three seconds after its end, before its successor counts
# as caught up (four seconds after its start on the deployments with the least time).
# One that comes back after all joins again, which costs a few calls to the store.
SUCCEEDED_S: Final = 2.0
# A request to copy is sent again after this time without an answer.
COPY_AGAIN_S: Final = 0.4
# Members propose in their order, this many seconds apart: longer than a write and its
# watch take, so that the next one sees it.
TURN_S: Final = 0.25
COPY_PART_BYTES: Final = 256 * 1024
RECORD_BYTES: Final = 200
NO_BOUNDS: Final = QuotaBounds()


Request = Write | FindChain | Copy


class Batch(NamedTuple):
    """What is to be synced together, and the answers that wait for it."""

    entries: list[Entry]
    view: View | None
    answers: list[tuple[str, Request]]


class _Source(NamedTuple):
    """Progress of a copy from one old replica."""

    member: Member
    slots: tuple[int, ...]
    after: str
    op: int
    asked_at: float
    done: bool


class KeeperCore:
    """State of one keeper.

    Parameters
    ----------
    me : Member
        This instance and its disk.
    max_failures : int
        Members that may be lost at once.
    view : View
        The newest view that the disk held.
    entries : list of Entry
        Records that the disk held.
    now : float
        Seconds of a clock that never goes back.
    most_turn_bytes : float
        Bytes of turns that are held; a turn beyond is refused.  Without a bound a burst
        of long chains would have the process killed, and all its replicas with it.
    quota_bounds : QuotaBounds
        How customers' quotas are judged.
    """

    def __init__(
        self,
        me: Member,
        max_failures: int,
        *,
        view: View,
        entries: list[Entry],
        now: float,
        most_turn_bytes: float = math.inf,
        quota_bounds: QuotaBounds = NO_BOUNDS,
    ) -> None:
        self.me = me
        self.view = view
        self.view_revision = 0
        self.ledger = Ledger()
        self.quota = QuotaHolder(me, quota_bounds, view.members, now)
        self.leaving: frozenset[str] = frozenset()
        self.stale_refused = 0
        self.batches_synced = 0
        self._max_failures = max_failures
        self._most_turn_bytes = most_turn_bytes
        self._started = now
        # By disk: last heartbeat, when it entered the list, when it was first heard of
        # without being in the list, and who said that it stops.
        self._heard: dict[str, float] = {}
        self._entered: dict[str, float] = {}
        self._arrived: dict[str, float] = {}
        self._stopped: set[str] = set()
        # By address: last heartbeat, and which view it named.
        self._pinged_by: dict[str, float] = {}
        self._known_by: dict[str, tuple[int, int]] = {}
        self._outbox: list[tuple[str, LedgerMessage]] = []
        self._entries: list[Entry] = []
        self._view_dirty = False
        self._answers: list[tuple[str, Request]] = []
        self._sources: dict[str, _Source] = {}
        self._copied: set[str] = set()
        self._copy_number = 0
        self._op = 0
        self._next_ping = now
        self._syncing = False
        if me not in view.members:
            self._arrived[me.disk] = now
        for entry in entries:
            self.ledger.merge(entry, now)
        self._plan_copy(now)

    # Messages

    def receive(self, sender: str, message: LedgerMessage, now: float) -> None:
        """Take a message; answers appear in a batch or in the outbox."""
        match message:
            case Write() | FindChain():
                self._on_request(sender, message, now)
            case FanOutWrite(write, others, origin):
                self._pass_on(write, others, origin or sender)
                self._on_request(origin or sender, write, now)
            case Ping(disk, view, revision, stopping, known):
                self._note_heartbeat(disk, stopping, now)
                self._pinged_by[address_of(sender)] = now
                self._known_by[address_of(sender)] = known
                if view is not None:
                    self.adopt(view, now, revision)
                elif known == self._known:
                    self.view_revision = max(self.view_revision, revision)
            case PermitRequest():
                self._on_permit(sender, message, now)
            case Copy():
                self._on_copy(sender, message)
            case CopyReply():
                self._on_copy_reply(message, now)
            case _:
                # Answers to relays, and what the shell answers itself.
                pass

    def _note_heartbeat(self, disk: str, stopping: bool, now: float) -> None:
        self._heard[disk] = now
        if stopping:
            self._stopped.add(disk)
        else:
            self._stopped.discard(disk)
        if disk not in _disks(self.view):
            self._arrived.setdefault(disk, now)

    def _pass_on(self, write: Write, others: list[str], origin: str) -> None:
        """Pass a write on, whatever becomes of it here: each replica judges itself."""
        for address in others:
            self._outbox.append((address, FanOutWrite(write, [], origin)))

    def _on_request(self, sender: str, request: Write | FindChain, now: float) -> None:
        status = self._verdict(request.view)
        if status is ReplyStatus.DONE and self._is_full_for(request):
            status = ReplyStatus.UNAVAILABLE
        if status is not ReplyStatus.DONE:
            view = self.view if status is ReplyStatus.STALE_VIEW else None
            reply = WriteReply(request.op, self.me.disk, status, view=view)
            self._outbox.append((sender, reply))
            return
        if isinstance(request, Write):
            new = self.ledger.merge(request.entry, now)
            if new is not None:
                self._entries.append(new)
        self._answers.append((sender, request))

    def _on_permit(self, sender: str, asked: PermitRequest, now: float) -> None:
        """Answer a question for a permit.

        One that is cut off from most members may have been replaced as a holder without
        having heard of it; its permits would then come on top of its successor's.
        """
        permit = Permit(PermitStatus.NOT_HOLDER)
        if self._hears_most(now):
            permit = self.quota.ask(
                asked.customer, asked.program, asked.kind, asked.allow_delayed, now
            )
        self._outbox.append((sender, PermitReply(asked.op, permit)))

    def _hears_most(self, now: float) -> bool:
        members = self.view.members
        heard = sum(self._is_heard(member.disk, now) for member in members)
        return 2 * heard > len(members)

    def _is_full_for(self, request: Write | FindChain) -> bool:
        if not isinstance(request, Write) or not request.entry.turns:
            return False
        size = sum(len(turn.content) for turn in request.entry.turns)
        return self.ledger.turn_bytes + size > self._most_turn_bytes

    def _verdict(self, number: int) -> ReplyStatus:
        if number < self.view.number:
            self.stale_refused += 1
            return ReplyStatus.STALE_VIEW
        member = self.me in self.view.members or self.me in self.view.old
        if number > self.view.number or not member:
            return ReplyStatus.UNAVAILABLE
        return ReplyStatus.DONE

    def _on_copy(self, sender: str, copy: Copy) -> None:
        if self._verdict(copy.view) is ReplyStatus.DONE:
            self._answers.append((sender, copy))
            return
        reply = CopyReply(copy.op, self.me.disk, ReplyStatus.UNAVAILABLE)
        self._outbox.append((sender, reply))

    # Batches

    def next_batch(self) -> Batch | None:
        """Take what waits for a sync, or None."""
        if not self._entries and not self._view_dirty and not self._answers:
            return None
        view = self.view if self._view_dirty else None
        batch = Batch(self._entries, view, self._answers)
        self._entries = []
        self._answers = []
        self._view_dirty = False
        self._syncing = True
        return batch

    def on_synced(self, batch: Batch) -> None:
        """Answer what waited for a batch, now that it is durable."""
        self._syncing = False
        self.batches_synced += 1
        for sender, request in batch.answers:
            if isinstance(request, Copy):
                self._outbox.append((sender, self._copy_part(request)))
            else:
                self._outbox.append((sender, self._reply(request)))

    def on_sync_failed(self, batch: Batch) -> None:
        """Refuse what waited for a batch that the disk did not take.

        Its records are in memory, so a request sent again would not find them new;
        they go into the next batch.
        """
        self._syncing = False
        self._entries = batch.entries + self._entries
        self._view_dirty = self._view_dirty or batch.view is not None
        for sender, request in batch.answers:
            if isinstance(request, Copy):
                refusal: LedgerMessage = CopyReply(
                    request.op, self.me.disk, ReplyStatus.UNAVAILABLE
                )
            else:
                refusal = WriteReply(request.op, self.me.disk, ReplyStatus.UNAVAILABLE)
            self._outbox.append((sender, refusal))

    def drain_outbox(self) -> list[tuple[str, LedgerMessage]]:
        """Take messages to send."""
        outbox = self._outbox
        self._outbox = []
        return outbox

    def _reply(self, request: Write | FindChain) -> WriteReply:
        attempts: dict[str, Attempt] = {}
        if isinstance(request, Write):
            account = self.ledger.accounts.get(request.entry.program)
            attempts = {} if account is None else dict(account.attempts)
        chain_program, chain = self.ledger.find(request.chain)
        return WriteReply(
            request.op,
            self.me.disk,
            ReplyStatus.DONE,
            attempts,
            has_chain=bool(chain),
            turns=chain if request.with_turns else [],
            chain_program=chain_program,
        )

    def _copy_part(self, copy: Copy) -> CopyReply:
        wanted = set(copy.slots)
        programs = sorted(p for p in self.ledger.accounts if p > copy.after)
        entries: list[Entry] = []
        size = 0
        for program in programs:
            if slot_of_program(program) not in wanted:
                continue
            if size >= COPY_PART_BYTES:
                return CopyReply(
                    copy.op, self.me.disk, ReplyStatus.DONE, entries, False
                )
            entry = self.ledger.accounts[program].whole()
            entries.append(entry)
            size += RECORD_BYTES + sum(len(turn.content) for turn in entry.turns)
        return CopyReply(copy.op, self.me.disk, ReplyStatus.DONE, entries, True)

    def rewrite(self, programs: set[str]) -> int:
        """Write accounts again, whole, with the next batch; return its number."""
        for program in programs & self.ledger.accounts.keys():
            self._entries.append(self.ledger.accounts[program].whole())
        self._view_dirty = True
        return self.batches_synced + (2 if self._syncing else 1)

    # Views

    def adopt(self, view: View, now: float, revision: int) -> bool:
        """Take a view if it is newer than the one known.

        It is passed on at once: when the store is slow, members would otherwise learn
        of each step of a change only as late as it answers their watches.

        Parameters
        ----------
        revision : int
            Revision of the store at which the view was written.
        """
        self.view_revision = max(self.view_revision, revision)
        if (view.number, len(view.synced)) <= self._known:
            return False
        self._next_ping = now
        renumbered = view.number > self.view.number
        for disk in _disks(view) - _disks(self.view):
            self._entered[disk] = now
        self.view = view
        self.quota.update_members(view.members, now)
        self._view_dirty = True
        if renumbered:
            self._plan_copy(now)
        return True

    @property
    def _known(self) -> tuple[int, int]:
        return self.view.number, len(self.view.synced)

    def observation(self, now: float) -> MembershipObservation:
        """Tell what this member knows when it considers a change of the view."""
        heard = {disk for disk in self._heard if self._is_heard(disk, now)}
        silent = {disk for disk in _disks(self.view) if self._is_silent(disk, now)}
        return MembershipObservation(
            self.me, frozenset(heard | {self.me.disk}), frozenset(silent), self.leaving
        )

    def _is_heard(self, disk: str, now: float) -> bool:
        return disk == self.me.disk or now - self._heard.get(disk, NEVER) <= HEARD_S

    def _is_silent(self, disk: str, now: float) -> bool:
        if disk == self.me.disk:
            return False
        # One that another member has just taken into the list is given time to be
        # heard here: else two that disagree would change the list in turns.
        last = self._heard.get(disk, self._started)
        since = max(last, self._entered.get(disk, self._started))
        gone = disk in self._stopped or self._has_successor(since, now)
        return now - since > (SUCCEEDED_S if gone else SILENT_S)

    def _has_successor(self, since: float, now: float) -> bool:
        return any(
            at > since and self._is_heard(disk, now)
            for disk, at in self._arrived.items()
        )

    def has_copied(self) -> bool:
        """Whether all that the present change needs of this member is durable here."""
        if not self.view.old or self.me not in self.view.members:
            return False
        return (
            self._copy_number == self.view.number
            and len(self._sources) > 0
            and self._copy_complete()
            and not self._entries
            and not self._syncing
            and self.me.disk not in self.view.synced
        )

    def turn_s(self, now: float) -> float:
        """Seconds to wait with a proposal that any member could make.

        All members see the same need at the same moment; if all wrote at once, all but
        one would have paid for a call that is refused.
        """
        before = [
            member
            for member in self.view.members
            if member < self.me and self._is_heard(member.disk, now)
        ]
        return TURN_S * len(before)

    # Copying

    def _plan_copy(self, now: float) -> None:
        """Work out what to copy from whom under the present view."""
        self._sources = {}
        self._copied = {self.me.disk}
        self._copy_number = self.view.number
        slots: dict[Member, list[int]] = {}
        for slot in range(SLOTS):
            old = copy_sources(self.view, self.me, slot, self._max_failures)
            for member in old.members if old else ():
                if member != self.me:
                    slots.setdefault(member, []).append(slot)
        for member, wanted in slots.items():
            self._ask(_Source(member, tuple(wanted), "", 0, now, False), now)

    def _ask(self, source: _Source, now: float) -> None:
        self._op += 1
        copy = Copy(self._op, self.view.number, list(source.slots), source.after)
        self._sources[source.member.disk] = source._replace(op=self._op, asked_at=now)
        self._outbox.append((source.member.address, copy))

    def _on_copy_reply(self, reply: CopyReply, now: float) -> None:
        source = self._sources.get(reply.disk)
        if source is None or source.op != reply.op or source.done:
            return
        if reply.status is not ReplyStatus.DONE:
            return
        for entry in reply.entries:
            new = self.ledger.merge(entry, now)
            if new is not None:
                self._entries.append(new)
        if reply.last:
            self._sources[reply.disk] = source._replace(done=True)
            self._copied.add(reply.disk)
            return
        self._ask(source._replace(after=reply.entries[-1].program), now)

    def _copy_complete(self) -> bool:
        for slot in range(SLOTS):
            old = copy_sources(self.view, self.me, slot, self._max_failures)
            if old is not None and not old.has_read_quorum(self._copied):
                return False
        return True

    # Time

    def tick(self, now: float) -> None:
        """Send heartbeats, and ask again where an answer is missing."""
        if now >= self._next_ping:
            self._next_ping = now + PING_S
            self._ping(now)
        for source in list(self._sources.values()):
            if not source.done and now - source.asked_at > COPY_AGAIN_S:
                self._ask(source, now)

    def say_stopping(self, now: float) -> None:
        """Tell the others that this process stops; it may come back or not."""
        self._ping(now, stopping=True)

    def _ping(self, now: float, *, stopping: bool = False) -> None:
        """Send a heartbeat to all, with the view where it is not known yet.

        Each of 24 members sent the whole list to each other one, 2.5 times a second:
        bytes that grow by the cube of their number.
        """
        known = self._known
        short = Ping(self.me.disk, None, self.view_revision, stopping, known)
        whole = msgspec.structs.replace(short, view=self.view)
        addresses = {m.address for m in (*self.view.members, *self.view.old)}
        # A newcomer is in no view yet, but must hear the members to propose itself.
        addresses |= {a for a, at in self._pinged_by.items() if now - at <= HEARD_S}
        for address in sorted(addresses - {self.me.address}):
            theirs = self._known_by.get(address, NOTHING_KNOWN)
            informed = theirs != NOTHING_KNOWN and theirs >= known
            self._outbox.append((address, short if informed else whole))


def _disks(view: View) -> set[str]:
    return {member.disk for member in (*view.members, *view.old)}
