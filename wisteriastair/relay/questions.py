"""What a relay asks of the replicas, whom, and when that is answered."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Final, NamedTuple

from ..core.ledger import Entry, Turn
from ..core.ledgerwire import FanOutWrite, FindChain, LedgerMessage, Write, WriteReply
from ..core.membership import (
    SLOTS,
    Member,
    ReplicaSet,
    View,
    replica_sets,
    slot_of_program,
)

# Replicas asked beyond those that must answer, where a server waits for the answer.
SPARE: Final = 1


class Granted(NamedTuple):
    """The reservation is durable.

    Attributes
    ----------
    chain : tuple of Turn
        What was wanted, the oldest turn first.
    chain_program : str
        Program that the chain belongs to; another one than the turn's if any of it
        does.
    """

    chain: tuple[Turn, ...]
    chain_program: str


class Question(ABC):
    """What is asked of a set of replicas, and when it is answered."""

    chain = ""

    def first_asked(self, replicas: ReplicaSet) -> int:
        """How many replicas are asked first; the others if those do not do."""
        return len(replicas.members)

    @abstractmethod
    def sets(self, view: View, max_failures: int) -> tuple[ReplicaSet, ...]:
        """Whom to ask."""

    @abstractmethod
    def message(self, op: int, view: int, with_turns: bool) -> LedgerMessage:
        """How to ask."""

    def fan_out_write(
        self, op: int, view: int, others: list[str]
    ) -> FanOutWrite | None:
        """How to ask one replica that asks the others; None if each is asked."""
        return None

    def answered(
        self, sets: tuple[ReplicaSet, ...], replies: dict[str, WriteReply]
    ) -> bool:
        """Whether the replies are enough."""
        disks = set(replies)
        if not all(
            s.has_write_quorum(disks) and s.has_read_quorum(disks) for s in sets
        ):
            return False
        return not _chain_awaited(replies)

    def lacks_chain(
        self, sets: tuple[ReplicaSet, ...], replies: dict[str, WriteReply]
    ) -> bool:
        """Whether only the chain is missing, and a replica is known to have it."""
        readable = all(s.has_read_quorum(set(replies)) for s in sets)
        return readable and _chain_awaited(replies)


class WriteRecords(Question):
    """Write records to a program's slot, and read its account and a chain."""

    def __init__(self, entry: Entry, chain: str) -> None:
        self._entry = entry
        self.chain = chain
        self._settles = all(a.settled for a in entry.attempts.values())

    def first_asked(self, replicas: ReplicaSet) -> int:
        """As few as must answer, and a spare one where a server waits for it.

        Kept turns sent to all replicas fill a relay's thin link; sent again while they
        queue there, they never get through.  A reservation is small, but each further
        replica costs processor time on both sides; with one to spare the loss of one
        is still not noticed.
        """
        return replicas.write + (0 if self._settles else SPARE)

    def sets(self, view: View, max_failures: int) -> tuple[ReplicaSet, ...]:
        """Ask the replicas of the program's slot."""
        return replica_sets(view, slot_of_program(self._entry.program), max_failures)

    def message(self, op: int, view: int, with_turns: bool) -> LedgerMessage:
        """Write the records."""
        wanted = with_turns and bool(self.chain)
        return Write(op, view, self._entry, self.chain, wanted)

    def fan_out_write(
        self, op: int, view: int, others: list[str]
    ) -> FanOutWrite | None:
        """Send a kept turn once; replicas pass it on among themselves.

        Several copies of each kept turn would fill a relay's thin link.
        """
        if not self._entry.turns or not others:
            return None
        return FanOutWrite(Write(op, view, self._entry, self.chain, False), others)


class SearchTurn(Question):
    """Look for a chain in all slots."""

    def __init__(self, chain: str) -> None:
        self.chain = chain

    def sets(self, view: View, max_failures: int) -> tuple[ReplicaSet, ...]:
        """Ask the replicas of every slot."""
        found = [
            s for slot in range(SLOTS) for s in replica_sets(view, slot, max_failures)
        ]
        return tuple(dict.fromkeys(found))

    def message(self, op: int, view: int, with_turns: bool) -> LedgerMessage:
        """Ask for the chain."""
        return FindChain(op, view, self.chain, with_turns)

    def answered(
        self, sets: tuple[ReplicaSet, ...], replies: dict[str, WriteReply]
    ) -> bool:
        """Whether the chain is here, or nobody can have it."""
        if chain_in(list(replies.values())) is not None:
            return True
        disks = set(replies)
        readable = all(s.has_read_quorum(disks) for s in sets)
        return readable and not _chain_awaited(replies)


def all_members(sets: tuple[ReplicaSet, ...]) -> list[Member]:
    """List the members of some sets, each address once."""
    members = {member.address: member for s in sets for member in s.members}
    return list(members.values())


def chain_in(replies: list[WriteReply]) -> Granted | None:
    """Return the chain that a reply brings, if one does."""
    for reply in replies:
        if reply.turns:
            return Granted(tuple(reply.turns), reply.chain_program)
    return None


def _chain_awaited(replies: dict[str, WriteReply]) -> bool:
    """Whether a replica has the chain, but none has sent it yet."""
    somewhere = any(reply.has_chain for reply in replies.values())
    return somewhere and not any(reply.turns for reply in replies.values())
