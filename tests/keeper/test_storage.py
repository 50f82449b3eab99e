"""Batches on real files: space is bounded, a refusing disk acknowledges nothing."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import pytest

from wisteriastair.core.keeper import KeeperCore
from wisteriastair.core.ledger import Attempt, Entry, Turn
from wisteriastair.core.ledgerwire import LedgerMessage, Verdict, Write, WriteReply
from wisteriastair.core.membership import Member, View
from wisteriastair.keeper.log import Log
from wisteriastair.keeper.storage import Storage
from wisteriastair.nodemetrics import KeeperMetrics

KEEP_S = 60.0


class Bench:
    """One keeper's core and disk, and what it answered."""

    def __init__(self, folder: Path) -> None:
        self.disk = Log(str(folder))
        loaded = self.disk.load(0.0)
        me = Member("k", self.disk.disk, "k:1", "d")
        view = View(1, (me,))
        self.core = KeeperCore(me, 0, view=view, entries=loaded.entries, now=0.0)
        self.storage = Storage(self.disk, self.core, KeeperMetrics(), self.clock)
        self.answers: list[LedgerMessage] = []
        self.now = 0.0

    def clock(self) -> float:
        return self.now

    def send(self) -> None:
        self.answers += [message for _, message in self.core.take_outbox()]

    async def write(self, program: str, attempt: str, now: float) -> WriteReply:
        turn = Turn(f"{program}-{attempt}", "", b"x" * 1000)
        entry = Entry(program, KEEP_S, {attempt: Attempt(1, True)}, [turn])
        count = len(self.answers)
        self.now = now
        self.core.receive("r:1#a", Write(1, 1, entry), now)
        self.storage.wake()
        while len(self.answers) == count:
            await anyio.sleep(0.001)
        reply = self.answers[-1]
        assert isinstance(reply, WriteReply)
        return reply


def play(bench: Bench, story: Callable[[], Awaitable[None]]) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(bench.storage.run, bench.send)
            with anyio.fail_after(10):
                await story()
            group.cancel_scope.cancel()

    anyio.run(main)


def segments(folder: Path) -> int:
    return sum(path.name.startswith("ledger-") for path in folder.iterdir())


def test_old_segments_go_and_living_accounts_stay(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A program lives on while others end; the disk must not fill up with those.

    The living one's first records lie in the oldest segment.  Its removal must not
    lose them: the program may continue from its first turn at any time.
    """
    monkeypatch.setattr("wisteriastair.keeper.log.SEGMENT_BYTES", 3_000)
    bench = Bench(tmp_path)

    async def story() -> None:
        for number in range(12):
            await bench.write("lives", f"a{number}", float(number))
            await bench.write(f"ends{number}", "a", float(number))
        full = segments(tmp_path)
        assert full > 5
        assert not await bench.storage.reclaim_space(30.0)
        await bench.write("lives", "late", 70.0)
        while await bench.storage.reclaim_space(90.0):
            pass
        assert segments(tmp_path) < full / 2

    play(bench, story)
    assert set(bench.core.ledger.accounts) == {"lives"}
    bench.disk.close()
    loaded = Log(str(tmp_path)).load(0.0)
    kept = {attempt for entry in loaded.entries for attempt in entry.attempts}
    assert kept == {f"a{number}" for number in range(12)} | {"late"}
    assert {entry.program for entry in loaded.entries} == {"lives"}


def test_a_refusing_disk_acknowledges_nothing_until_it_takes_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The disk is full for a moment.

    The first answer must be a refusal.  The same request sent again finds its records
    in memory; it may only be acknowledged once they are on the disk as well.
    """
    bench = Bench(tmp_path)
    append = bench.disk.append

    def refuses(*args: object) -> None:
        raise OSError(28, "No space left on device")

    async def story() -> None:
        monkeypatch.setattr(bench.disk, "append", refuses)
        refused = await bench.write("p", "a", 1.0)
        assert refused.verdict is Verdict.NOT_NOW
        monkeypatch.setattr(bench.disk, "append", append)
        taken = await bench.write("p", "a", 1.0)
        assert taken.verdict is Verdict.DONE

    play(bench, story)
    bench.disk.close()
    loaded = Log(str(tmp_path)).load(0.0)
    assert loaded.entries[0].attempts == {"a": Attempt(1, True)}
