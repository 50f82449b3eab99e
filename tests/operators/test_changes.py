"""Changes of configuration under lost answers, outages and racing operators."""

from __future__ import annotations

import anyio
import pytest

from wisteriastair.core.config import (
    CONFIG_KEY,
    Change,
    Config,
    PutService,
    Service,
    decode_config,
)
from wisteriastair.core.events import KvConflict, KvSwap, KvUnknown, KvValue, KvWritten
from wisteriastair.errors import Code, Failure
from wisteriastair.operators import changes
from wisteriastair.operators.changes import Accepted, make_change
from wisteriastair.platform.kv import KeyValueStore
from wisteriastair.standins.virtual_parts import VirtualKv


class FakeKv(KeyValueStore):
    """A key-value service whose writes can be lost, late or answered by silence."""

    def __init__(self) -> None:
        self.kv = VirtualKv()
        self.late: list[KvSwap] = []
        self.delay_next = 0

    async def read(self, key: str) -> KvValue | KvUnknown:
        return self.kv.read(key)

    async def swap(
        self, key: str, revision: int, value: bytes
    ) -> KvWritten | KvConflict | KvUnknown:
        swap = KvSwap(key, revision, value)
        if self.delay_next > 0:
            self.delay_next -= 1
            self.late.append(swap)
            return KvUnknown(key, True)
        return self.kv.swap(swap)

    async def watch(self, after: int) -> list[KvValue] | None:
        return None

    async def close(self) -> None:
        return None

    def config(self) -> Config:
        held = self.kv.keys.get(CONFIG_KEY)
        return decode_config(held.value if held is not None else b"")


@pytest.fixture(autouse=True)
def no_waiting(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(changes, "_delay", lambda change, attempt: 0.0)


def change(
    kv: FakeKv, name: str, *, create: bool = True, budget: int = 1, expected: int = 0
) -> Accepted | Failure:
    def make(config: Config) -> Change:
        return PutService(f"change-{name}", create, Service(name, budget))

    return anyio.run(make_change, kv, f"change-{name}", make, expected)


def test_accepted_means_confirmed() -> None:
    kv = FakeKv()
    outcome = change(kv, "appraisal")
    assert isinstance(outcome, Accepted)
    assert outcome.revision == kv.kv.revision
    assert "appraisal" in kv.config().services


def test_lost_answer_is_read_back() -> None:
    """The operator is told "accepted" although the answer to the write was lost.

    The write takes effect, its answer does not arrive, the document is read back and
    carries the change's id; it is not made twice.
    """
    kv = FakeKv()
    kv.kv.lose_answers = 1
    assert isinstance(change(kv, "appraisal"), Accepted)
    assert kv.config().changes == ("change-appraisal",)


def test_write_that_arrives_late_takes_effect_at_most_once() -> None:
    """A first write is delayed, a second one wins; the first then changes nothing."""
    kv = FakeKv()
    kv.delay_next = 1
    assert isinstance(change(kv, "appraisal"), Accepted)
    revision = kv.kv.revision
    for late in kv.late:
        assert isinstance(kv.kv.swap(late), KvConflict)
    assert kv.kv.revision == revision


def test_outage_is_refused_as_not_run() -> None:
    kv = FakeKv()
    kv.kv.up = False
    outcome = change(kv, "appraisal")
    assert isinstance(outcome, Failure)
    assert (outcome.code, outcome.ran) == (Code.PLATFORM_DOWN, "no")


def test_outage_after_a_write_without_answer_is_unknown() -> None:
    """The service goes down after taking a write it did not answer.

    The operator is told that the outcome is unknown, and may send the same change
    again: it is recognised.
    """
    kv = FakeKv()
    kv.delay_next = 100
    outcome = change(kv, "appraisal")
    assert isinstance(outcome, Failure)
    assert (outcome.code, outcome.ran) == (Code.OUTCOME_UNKNOWN, "unknown")
    kv.delay_next = 0
    kv.kv.swap(kv.late[0])
    again = change(kv, "appraisal")
    assert isinstance(again, Accepted)
    assert kv.config().changes == ("change-appraisal",)


def test_racing_operators_get_one_winner() -> None:
    """Two operators change what both saw at one revision; one is told who won."""
    kv = FakeKv()
    first = change(kv, "appraisal")
    assert isinstance(first, Accepted)
    seen = first.revision
    winner = change(kv, "a", expected=seen)
    loser = change(kv, "b", expected=seen)
    assert isinstance(winner, Accepted)
    assert isinstance(loser, Failure)
    assert loser.code is Code.CONFLICT
    assert str(winner.revision) in loser.detail
    assert "b" not in kv.config().services


def test_refused_change_leaves_no_trace() -> None:
    kv = FakeKv()
    outcome = change(kv, "appraisal", budget=0)
    assert isinstance(outcome, Failure)
    assert outcome.code is Code.BAD_REQUEST
    assert kv.kv.revision == 0
