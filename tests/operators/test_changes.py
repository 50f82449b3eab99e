"""Configuration changes with lost responses, outages and concurrent operators."""

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
from wisteriastair.operators.changes import ConfirmedChange, make_change
from wisteriastair.platform.kv import KeyValueStore
from wisteriastair.standins.virtual_parts import VirtualKv


class FakeKv(KeyValueStore):
    """A key-value service whose responses can be lost and whose writes can be late."""

    def __init__(self) -> None:
        self.kv = VirtualKv()
        self.late_writes: list[KvSwap] = []
        self.writes_to_delay = 0

    async def read(self, key: str) -> KvValue | KvUnknown:
        return self.kv.read(key)

    async def swap(
        self, key: str, revision: int, value: bytes
    ) -> KvWritten | KvConflict | KvUnknown:
        swap = KvSwap(key, revision, value)
        if self.writes_to_delay > 0:
            self.writes_to_delay -= 1
            self.late_writes.append(swap)
            return KvUnknown(key, True)
        return self.kv.swap(swap)

    async def watch(self, after: int) -> list[KvValue] | None:
        return None

    async def close(self) -> None:
        return None

    def config(self) -> Config:
        stored = self.kv.keys.get(CONFIG_KEY)
        return decode_config(stored.value if stored is not None else b"")


@pytest.fixture(autouse=True)
def no_retry_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(changes, "_retry_delay_s", lambda change_id, attempt: 0.0)


def make_named_change(
    kv: FakeKv, name: str, *, create: bool = True, budget: int = 1, expected: int = 0
) -> ConfirmedChange | Failure:
    def build_change(config: Config) -> Change:
        return PutService(f"change-{name}", create, Service(name, budget))

    return anyio.run(make_change, kv, f"change-{name}", build_change, expected)


def test_accepted_means_confirmed() -> None:
    kv = FakeKv()
    outcome = make_named_change(kv, "appraisal")
    assert isinstance(outcome, ConfirmedChange)
    assert outcome.revision == kv.kv.revision
    assert "appraisal" in kv.config().services


def test_lost_response_is_read_back() -> None:
    """A change is accepted although the response to its write was lost.

    The write takes effect.  The document is then read back with the id of the change,
    so that the write is not repeated.
    """
    kv = FakeKv()
    kv.kv.responses_to_drop = 1
    assert isinstance(make_named_change(kv, "appraisal"), ConfirmedChange)
    assert kv.config().changes == ("change-appraisal",)


def test_write_that_arrives_late_takes_effect_at_most_once() -> None:
    """A delayed write has no effect after the repeated write has succeeded."""
    kv = FakeKv()
    kv.writes_to_delay = 1
    assert isinstance(make_named_change(kv, "appraisal"), ConfirmedChange)
    revision = kv.kv.revision
    for write in kv.late_writes:
        assert isinstance(kv.kv.swap(write), KvConflict)
    assert kv.kv.revision == revision


def test_outage_is_reported_as_not_run() -> None:
    kv = FakeKv()
    kv.kv.up = False
    outcome = make_named_change(kv, "appraisal")
    assert isinstance(outcome, Failure)
    assert (outcome.code, outcome.ran) == (Code.PLATFORM_DOWN, "no")


def test_outage_after_an_unconfirmed_write_is_unknown() -> None:
    """A write may take effect after all its responses were lost.

    The outcome is reported as unknown.  If the operator sends the same change again,
    it is recognized by its id and not applied twice.
    """
    kv = FakeKv()
    kv.writes_to_delay = 100
    outcome = make_named_change(kv, "appraisal")
    assert isinstance(outcome, Failure)
    assert (outcome.code, outcome.ran) == (Code.OUTCOME_UNKNOWN, "unknown")
    kv.writes_to_delay = 0
    kv.kv.swap(kv.late_writes[0])
    repeated = make_named_change(kv, "appraisal")
    assert isinstance(repeated, ConfirmedChange)
    assert kv.config().changes == ("change-appraisal",)


def test_one_of_two_concurrent_changes_is_accepted() -> None:
    """Two changes expect one revision; the second is rejected and gets the new one."""
    kv = FakeKv()
    first = make_named_change(kv, "appraisal")
    assert isinstance(first, ConfirmedChange)
    base_revision = first.revision
    winner = make_named_change(kv, "a", expected=base_revision)
    loser = make_named_change(kv, "b", expected=base_revision)
    assert isinstance(winner, ConfirmedChange)
    assert isinstance(loser, Failure)
    assert loser.code is Code.CONFLICT
    assert str(winner.revision) in loser.detail
    assert "b" not in kv.config().services


def test_rejected_change_has_no_effect() -> None:
    kv = FakeKv()
    outcome = make_named_change(kv, "appraisal", budget=0)
    assert isinstance(outcome, Failure)
    assert outcome.code is Code.BAD_REQUEST
    assert kv.kv.revision == 0
