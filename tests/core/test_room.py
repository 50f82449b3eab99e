"""Room for turns at a keeper."""

from __future__ import annotations

from wisteriastair.core.keeper import KeeperCore
from wisteriastair.core.ledger import Attempt, Entry, Turn
from wisteriastair.core.ledgerwire import ReplyStatus, Room, Write, WriteReply
from wisteriastair.core.membership import Member, View
from wisteriastair.core.room import OVERDRAFT_FRACTION

MAX_BYTES = 10_000
DURATION_MS = 3_000


class FullKeeper:
    """One keeper with room for ten turns."""

    def __init__(self) -> None:
        me = Member("k", "disk", "k:1", "d")
        self.core = KeeperCore(
            me,
            0,
            view=View(1, (me,)),
            entries=[],
            now=0.0,
            max_turn_bytes=MAX_BYTES,
        )
        self.now = 0.0

    def _write(self, entry: Entry, room: Room | None = None) -> ReplyStatus:
        self.core.receive("r:1#a", Write(1, 1, entry, room=room), self.now)
        batch = self.core.next_batch()
        if batch is not None:
            self.core.on_synced(batch)
        (_, reply), *_ = self.core.drain_outbox()
        assert isinstance(reply, WriteReply)
        return reply.status

    def reserve(
        self, program: str, size: int = 1_000, *, is_first: bool = True
    ) -> ReplyStatus:
        entry = Entry(program, 60.0, {"a": Attempt(1, False)})
        return self._write(entry, Room(size, DURATION_MS, is_first))

    def settle(self, program: str, size: int = 1_000) -> ReplyStatus:
        turns = [Turn(f"{program}-turn", "", b"x" * size)] if size else []
        return self._write(Entry(program, 60.0, {"a": Attempt(1, True)}, turns))

    def fill(self, count: int) -> None:
        for number in range(count):
            assert self.reserve(f"p{number}") is ReplyStatus.DONE
            assert self.settle(f"p{number}") is ReplyStatus.DONE


def test_turn_without_room_is_refused_before_it_runs() -> None:
    """Turns ran to their end, and their storage was refused then."""
    keeper = FullKeeper()
    keeper.fill(9)
    assert keeper.reserve("late") is ReplyStatus.FULL
    assert keeper.core.room.refused == 1
    assert "late" not in keeper.core.ledger.accounts


def test_room_is_taken_from_the_reservation_on() -> None:
    """Turns that run at the same time would all find the same room."""
    keeper = FullKeeper()
    statuses = [keeper.reserve(f"p{number}") for number in range(12)]
    assert statuses.count(ReplyStatus.DONE) == 9
    # Each of these is stored, also if it is larger than estimated.
    for number in range(9):
        assert keeper.settle(f"p{number}", 1_100) is ReplyStatus.DONE
    assert keeper.core.room.reserved_bytes == 0


def test_programs_under_way_get_the_last_room() -> None:
    keeper = FullKeeper()
    keeper.fill(9)
    assert keeper.reserve("first", 600) is ReplyStatus.FULL
    assert keeper.reserve("later", 600, is_first=False) is ReplyStatus.DONE


def test_room_of_a_turn_that_failed_is_free_again() -> None:
    keeper = FullKeeper()
    for number in range(30):
        assert keeper.reserve(f"p{number}") is ReplyStatus.DONE
        assert keeper.settle(f"p{number}", 0) is ReplyStatus.DONE
    assert keeper.core.room.reserved_bytes == 0


def test_room_of_a_turn_that_was_settled_elsewhere_is_free_after_its_time() -> None:
    """A settlement goes to fewer replicas than the reservation."""
    keeper = FullKeeper()
    for number in range(9):
        assert keeper.reserve(f"p{number}") is ReplyStatus.DONE
    keeper.now = DURATION_MS / 1_000 + 0.1
    keeper.core.tick(keeper.now)
    keeper.core.drain_outbox()
    assert keeper.reserve("late") is ReplyStatus.DONE


def test_stored_turn_may_be_sent_again_to_a_full_keeper() -> None:
    """The reply to a settlement was lost, and its room is used."""
    keeper = FullKeeper()
    keeper.fill(9)
    assert keeper.settle("p0") is ReplyStatus.DONE
    assert keeper.reserve("p0", is_first=False) is ReplyStatus.DONE


def test_longer_turns_than_expected_do_not_fill_the_memory() -> None:
    """Any size was stored once some room was reserved."""
    keeper = FullKeeper()
    for number in range(9):
        assert keeper.reserve(f"p{number}") is ReplyStatus.DONE
    for number in range(9):
        keeper.settle(f"p{number}", 2_000)
        assert keeper.core.ledger.turn_bytes <= OVERDRAFT_FRACTION * MAX_BYTES
    assert keeper.core.ledger.turn_bytes > 0
