"""Tests of storage with real files: disk space and failing writes."""

from __future__ import annotations

import shutil
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import pytest

from wisteriastair.core.keeper import KeeperCore
from wisteriastair.core.ledger import ATTEMPTS_RETENTION_S, Attempt, Entry, Turn
from wisteriastair.core.ledgerwire import LedgerMessage, ReplyStatus, Write, WriteReply
from wisteriastair.core.membership import Member, View
from wisteriastair.keeper.log import Log
from wisteriastair.keeper.storage import Storage
from wisteriastair.nodemetrics import KeeperMetrics

RETENTION_S = 60.0


class Harness:
    """Core and disk of one keeper, and its replies."""

    def __init__(self, folder: Path) -> None:
        self.log = Log(str(folder))
        loaded = self.log.load(0.0)
        me = Member("k", self.log.disk_id, "k:1", "d")
        view = View(1, (me,))
        self.core = KeeperCore(me, 0, view=view, entries=loaded.entries, now=0.0)
        self.storage = Storage(self.log, self.core, KeeperMetrics(), self.clock)
        self.replies: list[LedgerMessage] = []
        self.now = 0.0

    def clock(self) -> float:
        return self.now

    def send(self) -> None:
        self.replies += [message for _, message in self.core.drain_outbox()]

    async def write(self, program: str, attempt: str, now: float) -> WriteReply:
        turn = Turn(f"{program}-{attempt}", "", b"x" * 1000)
        entry = Entry(program, RETENTION_S, {attempt: Attempt(1, True)}, [turn])
        count = len(self.replies)
        self.now = now
        self.core.receive("r:1#a", Write(1, 1, entry), now)
        self.storage.wake()
        while len(self.replies) == count:
            await anyio.sleep(0.001)
        reply = self.replies[-1]
        assert isinstance(reply, WriteReply)
        return reply


def run_scenario(harness: Harness, scenario: Callable[[], Awaitable[None]]) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(harness.storage.run, harness.send)
            with anyio.fail_after(10):
                await scenario()
            group.cancel_scope.cancel()

    anyio.run(main)


def count_segments(folder: Path) -> int:
    return sum(path.name.startswith("ledger-") for path in folder.iterdir())


def read_disk(folder: Path) -> list[Entry]:
    return Log(str(folder)).load(0.0).entries


def test_old_segments_are_removed_and_live_accounts_stay(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A program continues while others end; the disk must not fill up with the latter.

    The first records of the live program are in the oldest segment.  Its removal must
    not lose them: the program may continue from its first turn at any time.  Of the
    others, the turns are removed first, and the attempts when their time is over.
    """
    monkeypatch.setattr("wisteriastair.keeper.log.SEGMENT_BYTES", 3_000)
    harness = Harness(tmp_path)
    after_retention: list[Entry] = []

    async def scenario() -> None:
        for number in range(12):
            await harness.write("lives", f"a{number}", float(number))
            await harness.write(f"ends{number}", "a", float(number))
        initial_count = count_segments(tmp_path)
        assert initial_count > 5
        assert not await harness.storage.reclaim_space(30.0)
        await harness.write("lives", "late", 70.0)
        while await harness.storage.reclaim_space(90.0):
            pass
        assert count_segments(tmp_path) < initial_count / 2
        assert set(harness.core.ledger.accounts) == {"lives"}
        shutil.copytree(tmp_path, tmp_path / "copy")
        after_retention.extend(read_disk(tmp_path / "copy"))
        for number in range(12):
            await harness.write("lives", f"b{number}", 90.0 + ATTEMPTS_RETENTION_S)
        while await harness.storage.reclaim_space(151.0 + ATTEMPTS_RETENTION_S):
            pass

    run_scenario(harness, scenario)
    assert {entry.program for entry in after_retention if entry.turns} == {"lives"}
    assert set(harness.core.ledger.programs()) == {"lives"}
    harness.log.close()
    loaded = read_disk(tmp_path)
    stored_attempts = {attempt for entry in loaded for attempt in entry.attempts}
    lives = {f"a{number}" for number in range(12)} | {f"b{n}" for n in range(12)}
    assert stored_attempts == lives | {"late"}
    assert {entry.program for entry in loaded} == {"lives"}


def test_accounts_are_written_again_in_parts(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """All accounts at once were in memory several times, and exceeded its limit."""
    monkeypatch.setattr("wisteriastair.keeper.log.SEGMENT_BYTES", 50_000)
    monkeypatch.setattr("wisteriastair.keeper.storage.REWRITE_BYTES", 4_000)
    harness = Harness(tmp_path)
    sizes: list[int] = []

    async def scenario() -> None:
        for number in range(60):
            await harness.write(f"p{number}", "a", 0.0)
        append = harness.log.append

        def record_size(entries: list[Entry], view: View | None, now: float) -> None:
            sizes.append(sum(len(t.content) for e in entries for t in e.turns))
            append(entries, view, now)

        harness.log.append = record_size  # type: ignore[method-assign]
        for number in range(60):
            await harness.write(f"p{number}", "b", 50.0)
        sizes.clear()
        assert await harness.storage.reclaim_space(70.0)

    run_scenario(harness, scenario)
    assert sum(sizes) >= 2 * 40 * 1_000
    assert max(sizes) <= 5_000
    harness.log.close()
    loaded = Log(str(tmp_path)).load(0.0)
    assert len({entry.program for entry in loaded.entries}) == 60


def test_failed_write_is_acknowledged_only_after_a_retry(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The disk is full for a short time.

    The first reply must be a refusal.  The records of the repeated request are already
    in memory; it may only be acknowledged once they are on the disk as well.
    """
    harness = Harness(tmp_path)
    append = harness.log.append

    def fail_write(*args: object) -> None:
        raise OSError(28, "No space left on device")

    async def scenario() -> None:
        monkeypatch.setattr(harness.log, "append", fail_write)
        refused = await harness.write("p", "a", 1.0)
        assert refused.status is ReplyStatus.UNAVAILABLE
        monkeypatch.setattr(harness.log, "append", append)
        repeated = await harness.write("p", "a", 1.0)
        assert repeated.status is ReplyStatus.DONE

    run_scenario(harness, scenario)
    harness.log.close()
    loaded = Log(str(tmp_path)).load(0.0)
    assert loaded.entries[0].attempts == {"a": Attempt(1, True)}
