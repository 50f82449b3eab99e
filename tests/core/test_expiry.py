"""Expiry of accounts that only some replicas are told of."""

from __future__ import annotations

import pytest

from tests.core.test_keeper import Deployment
from wisteriastair.core.expiry import MAX_UNANSWERED_S
from wisteriastair.core.keeper import KeeperCore
from wisteriastair.core.ledger import (
    ATTEMPTS_RETENTION_S,
    RETENTION_SLACK_S,
    Attempt,
    Entry,
)
from wisteriastair.core.ledgerwire import LastUseQuestion

# As `Deployment.write` sets it.
RETENTION_S = 60.0
SWEEP_INTERVAL_S = 5.0


class ExpiringDeployment(Deployment):
    """Three keepers that sweep their accounts."""

    def __init__(self) -> None:
        super().__init__(3)
        self.advance(5)
        self.start_s = self.now

    def write_at(self, at_s: float, away: frozenset[str] = frozenset()) -> None:
        """Write to a program through replicas that are not away."""
        self.sweep_until(at_s)
        self.down |= away
        self.write("p")
        self.down -= away

    def sweep_until(self, at_s: float) -> None:
        while self.now - self.start_s < at_s:
            self.advance(1.0)
            if round(self.now) % SWEEP_INTERVAL_S:
                continue
            for address in self.cores.keys() - self.down:
                self.cores[address].expire_accounts(self.now)
                self.deliver(self.cores[address])

    def holders(self) -> set[str]:
        return {a for a, core in self.cores.items() if "p" in core.ledger.accounts}


@pytest.mark.parametrize("outside", ["k0:1", "k1:1", "k2:1"])
def test_replica_that_no_write_reaches_retains_the_account(outside: str) -> None:
    """Its copy of the first turns expired while the program went on elsewhere."""
    deployment = ExpiringDeployment()
    deployment.write_at(0.0)
    deployment.write_at(40.0, away=frozenset({outside}))
    deployment.sweep_until(40.0 + RETENTION_S)
    assert outside in deployment.holders()
    assert deployment.cores[outside].expiry.extended == 1


def test_account_that_is_not_used_expires_at_all_replicas() -> None:
    deployment = ExpiringDeployment()
    deployment.write_at(0.0)
    deployment.write_at(20.0, away=frozenset({"k2:1"}))
    deployment.sweep_until(20.0 + RETENTION_S + RETENTION_SLACK_S + SWEEP_INTERVAL_S)
    assert deployment.holders() == set()


def test_program_that_pauses_keeps_what_it_has_spent() -> None:
    """After its retention a program got its whole budget again."""
    deployment = ExpiringDeployment()
    deployment.write_at(0.0)
    deployment.sweep_until(300.0)
    assert deployment.holders() == set()
    # A keeper that loses its disk meanwhile copies it from the others.
    deployment.start("k1", "second")
    deployment.sweep_until(320.0)
    for core in deployment.cores.values():
        core.ledger.merge(Entry("p", RETENTION_S, {"b": Attempt(5, True)}), 0.0)
        attempts = core.ledger.accounts["p"].attempts
        assert attempts == {"a": Attempt(1, False), "b": Attempt(5, True)}


def test_attempts_expire_after_their_retention() -> None:
    deployment = ExpiringDeployment()
    deployment.write_at(0.0)
    last_s = RETENTION_S + RETENTION_SLACK_S + ATTEMPTS_RETENTION_S
    deployment.sweep_until(last_s)
    assert all("p" in core.ledger for core in deployment.cores.values())
    deployment.sweep_until(last_s + 2 * SWEEP_INTERVAL_S)
    assert not any("p" in core.ledger for core in deployment.cores.values())


@pytest.mark.parametrize("restarted", ["k0:1", "k1:1", "k2:1"])
def test_replica_that_starts_does_not_extend_accounts(restarted: str) -> None:
    """Turns of twice the retention time exceeded the room of all keepers."""
    deployment = ExpiringDeployment()
    deployment.write_at(0.0)
    deployment.sweep_until(50.0)
    old = deployment.cores[restarted]
    deployment.cores[restarted] = KeeperCore(
        old.me,
        1,
        view=old.view,
        entries=[old.ledger.entry("p")],
        now=deployment.now,
    )
    deployment.sweep_until(RETENTION_S + RETENTION_SLACK_S + 2 * SWEEP_INTERVAL_S)
    assert deployment.holders() == {restarted}
    deployment.sweep_until(50.0 + RETENTION_S + RETENTION_SLACK_S + SWEEP_INTERVAL_S)
    assert deployment.holders() == set()


def test_replicas_that_do_not_reply_are_replaced_by_others() -> None:
    """The first replica that is asked has just become unreachable."""
    deployment = ExpiringDeployment()
    deployment.write_at(0.0)
    core = deployment.cores["k2:1"]
    now = deployment.now + RETENTION_S + RETENTION_SLACK_S + 1.0
    first = {to for to, _ in core.expiry.sweep(core.view, now)}
    second = {to for to, _ in core.expiry.sweep(core.view, now + SWEEP_INTERVAL_S)}
    assert len(first) == 1
    assert second == {"k0:1", "k1:1"}


def test_account_expires_if_nobody_replies() -> None:
    """Keepers of an earlier build ignore the question."""
    deployment = ExpiringDeployment()
    deployment.write_at(0.0)
    core = deployment.cores["k2:1"]
    last_s = deployment.now + RETENTION_S + RETENTION_SLACK_S + MAX_UNANSWERED_S
    core.expiry.sweep(core.view, last_s - 1.0)
    assert "p" in core.ledger.accounts
    core.expiry.sweep(core.view, last_s + 1.0)
    assert "p" not in core.ledger.accounts


def test_replica_of_another_view_does_not_reply() -> None:
    """It may lack writes of the view in which the question is asked."""
    deployment = ExpiringDeployment()
    deployment.write_at(0.0)
    core = deployment.cores["k0:1"]
    question = LastUseQuestion(1, core.view.number - 1, ["p"])
    assert core.expiry.reply(question, core.view, deployment.now).ages_ms == []


@pytest.mark.parametrize("outside", ["k0:1", "k1:1", "k2:1"])
def test_attempts_are_retained_while_their_program_goes_on_elsewhere(
    outside: str,
) -> None:
    """After a pause, a replica outside the quorum dropped them by its own clock."""
    deployment = ExpiringDeployment()
    deployment.write_at(0.0)
    deployment.sweep_until(300.0)
    assert deployment.holders() == set()
    last_s = 300.0 + ATTEMPTS_RETENTION_S
    for at_s in range(300, round(last_s), 50):
        deployment.write_at(at_s, away=frozenset({outside}))
    deployment.sweep_until(last_s)
    assert outside not in deployment.holders()
    assert "p" in deployment.cores[outside].ledger


@pytest.mark.parametrize("suspended", ["k0:1", "k1:1", "k2:1"])
def test_suspended_replica_asks_before_it_drops_accounts(suspended: str) -> None:
    """It found an account overdue, which had been used meanwhile, and dropped it."""
    deployment = ExpiringDeployment()
    deployment.write_at(0.0)
    for at_s in (40.0, 80.0):
        deployment.write_at(at_s, away=frozenset({suspended}))
    core = deployment.cores[suspended]
    now = deployment.now + RETENTION_S
    core.expiry.sweep(core.view, now)
    assert "p" in core.ledger.accounts
