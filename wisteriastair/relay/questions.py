"""Requests of a relay that need a quorum of replicas, and when they are complete."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Final, NamedTuple

from ..core.ledger import Entry, Turn
from ..core.ledgerwire import (
    FanOutWrite,
    FindChain,
    LedgerMessage,
    Room,
    Write,
    WriteReply,
)
from ..core.membership import (
    SLOTS,
    Member,
    ReplicaSet,
    View,
    replica_sets,
    slot_of_program,
)

# Extra first targets beyond the quorum, for requests that delay a turn.
EXTRA_TARGETS: Final = 1


class Granted(NamedTuple):
    """The reservation is durable, and its chain has been read.

    Attributes
    ----------
    chain : tuple of Turn
        The requested chain, the oldest turn first.
    chain_program : str
        Program that the chain belongs to: another program than the turn's if any part
        of the chain belongs to one.
    is_only_send : bool
        Whether no other attempt of the request may be sent to a server without knowing
        of this one.
    """

    chain: tuple[Turn, ...]
    chain_program: str
    is_only_send: bool = False


class QuorumRequest(ABC):
    """A request to a set of replicas, and the condition that completes it.

    Attributes
    ----------
    chain : str
        Turn whose chain is read as well; empty for none.
    """

    chain = ""

    def first_target_count(self, replicas: ReplicaSet) -> int:
        """Return the number of first targets in a set; resends go to all members."""
        return len(replicas.members)

    @abstractmethod
    def target_sets(self, view: View, max_failures: int) -> tuple[ReplicaSet, ...]:
        """Return the sets of replicas of which each must reach a quorum."""

    @abstractmethod
    def message(self, op: int, view: int, with_turns: bool) -> LedgerMessage:
        """Build the message for one replica."""

    def fan_out_write(
        self, op: int, view: int, others: list[str]
    ) -> FanOutWrite | None:
        """Build the message that one replica forwards to the others.

        Returns
        -------
        FanOutWrite or None
            None if the request is sent to each replica.
        """
        return None

    def is_complete(
        self, sets: tuple[ReplicaSet, ...], replies: dict[str, WriteReply]
    ) -> bool:
        """Whether the replies complete the request."""
        disks = set(replies)
        if not all(
            s.has_write_quorum(disks) and s.has_read_quorum(disks) for s in sets
        ):
            return False
        return not _is_chain_missing(replies)

    def needs_chain(
        self, sets: tuple[ReplicaSet, ...], replies: dict[str, WriteReply]
    ) -> bool:
        """Whether only the chain is missing and a replica has reported to have it."""
        readable = all(s.has_read_quorum(set(replies)) for s in sets)
        return readable and _is_chain_missing(replies)


class WriteRecords(QuorumRequest):
    """Writes records to a program's slot, and reads its account and a chain.

    Parameters
    ----------
    room : Room or None
        Room to reserve for the turn that follows a reservation.
    """

    def __init__(self, entry: Entry, chain: str, room: Room | None = None) -> None:
        self._entry = entry
        self.chain = chain
        self._room = room
        self._is_settlement = all(a.settled for a in entry.attempts.values())

    def first_target_count(self, replicas: ReplicaSet) -> int:
        """Return the size of a write quorum, plus one for a reservation.

        Turns sent to all replicas would fill the slow link of a relay; resends while
        they queue there would block it for good.  A reservation is small, but each
        further replica costs processor time on both sides.  One extra replica is enough
        to hide the failure of one.
        """
        return replicas.write + (0 if self._is_settlement else EXTRA_TARGETS)

    def target_sets(self, view: View, max_failures: int) -> tuple[ReplicaSet, ...]:
        """Return the replicas of the program's slot."""
        return replica_sets(view, slot_of_program(self._entry.program), max_failures)

    def message(self, op: int, view: int, with_turns: bool) -> LedgerMessage:
        """Build a write of the records."""
        wanted = with_turns and bool(self.chain)
        return Write(op, view, self._entry, self.chain, wanted, self._room)

    def fan_out_write(
        self, op: int, view: int, others: list[str]
    ) -> FanOutWrite | None:
        """Build a write that one replica forwards, if it contains turns.

        Several copies of each turn would fill the slow link of a relay.
        """
        if not self._entry.turns or not others:
            return None
        return FanOutWrite(Write(op, view, self._entry, self.chain, False), others)


class SearchChain(QuorumRequest):
    """Searches for a chain in all slots."""

    def __init__(self, chain: str) -> None:
        self.chain = chain

    def target_sets(self, view: View, max_failures: int) -> tuple[ReplicaSet, ...]:
        """Return the replicas of every slot."""
        found = [
            s for slot in range(SLOTS) for s in replica_sets(view, slot, max_failures)
        ]
        return tuple(dict.fromkeys(found))

    def message(self, op: int, view: int, with_turns: bool) -> LedgerMessage:
        """Build a search for the chain."""
        return FindChain(op, view, self.chain, with_turns)

    def is_complete(
        self, sets: tuple[ReplicaSet, ...], replies: dict[str, WriteReply]
    ) -> bool:
        """Whether the chain has arrived, or a read quorum does not have it."""
        if first_chain(list(replies.values())) is not None:
            return True
        disks = set(replies)
        readable = all(s.has_read_quorum(disks) for s in sets)
        return readable and not _is_chain_missing(replies)


def lacks_room(sets: tuple[ReplicaSet, ...], full_disks: set[str]) -> bool:
    """Whether too few replicas have room for a turn to be stored."""
    return not all(
        s.has_write_quorum({m.disk for m in s.members} - full_disks) for s in sets
    )


def all_members(sets: tuple[ReplicaSet, ...]) -> list[Member]:
    """Return the members of some sets, each address once."""
    members = {member.address: member for s in sets for member in s.members}
    return list(members.values())


def first_chain(replies: list[WriteReply]) -> Granted | None:
    """Return the chain of the first reply that contains one, if any."""
    for reply in replies:
        if reply.turns:
            return Granted(tuple(reply.turns), reply.chain_program)
    return None


def _is_chain_missing(replies: dict[str, WriteReply]) -> bool:
    """Whether a replica reports to have the chain, but none has sent it yet."""
    is_stored = any(reply.has_chain for reply in replies.values())
    return is_stored and not any(reply.turns for reply in replies.values())
