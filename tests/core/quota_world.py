"""Simulation of one quota: keepers and relays in virtual time, with random faults.

The keepers run the production cores. Relays request far more permits than the quota
allows, use member lists that may be outdated, and use each permit as late as allowed.
They pause at times so that buckets fill up. Some faults come just after the contents of
the buckets were granted. Only the arrival times of permitted requests at servers are
checked.
"""

from __future__ import annotations

import heapq
import random
from itertools import count
from typing import NamedTuple

from tests.windows import max_in_a_window
from wisteriastair.core.customers import Customer, Quota
from wisteriastair.core.keeper import KeeperCore
from wisteriastair.core.ledgerwire import LedgerMessage, PermitReply, PermitRequest
from wisteriastair.core.membership import Member, View, next_view
from wisteriastair.core.quota import (
    PERMIT_LIFETIME_S,
    PermitStatus,
    QuotaBounds,
    holder_quota,
    quota_holders,
)

BOUNDS = QuotaBounds(window_s=5.0, excess_fraction=0.1, slack_requests=20.0)
QUOTA = Quota(rate_per_s=40.0, burst=40.0)
NAME = "customer"
LOSSES = 2
STEP_S = 0.05
RELAYS = 4
MAX_DELAY_S = 0.02
# Downtime of killed processes in seconds, for a few processes and for all at once.
DOWN_S = (0.2, 3.0)
ALL_DOWN_S = (0.1, 0.5)
# Duration of phases without and with requests, in seconds. Buckets fill up without.
PAUSE_S = (2.0, 4.0)
FLOOD_S = (4.0, 9.0)
# Delay from the start of a flood to a fault in seconds; buckets are empty by then.
FAULT_DELAY_S = (0.3, 1.0)
# Delay from a permit to the arrival of its request, in seconds.
PERMIT_USE_DELAY_S = (0.0, 0.8 * PERMIT_LIFETIME_S)


class _Keeper:
    """A machine with a disk; `core` is None while its process is down."""

    def __init__(self, name: str, domain: str) -> None:
        self.name = name
        self.domain = domain
        self.disks = 0
        self.view = View()
        self.core: KeeperCore | None = None
        self.restart_at = 0.0
        # Time that its own clock has missed while it was suspended.
        self.suspended_s = 0.0
        self.frozen_until = 0.0
        self.partitioned_until = 0.0
        self.store_unreachable_until = 0.0

    @property
    def member(self) -> Member:
        return Member(
            self.name, f"{self.name}-{self.disks}", f"{self.name}:1", self.domain
        )


class Arrival(NamedTuple):
    """Arrival of a permitted request at a server."""

    at: float
    relay: int


class QuotaSimulation:
    """One simulation run.

    Parameters
    ----------
    keepers : int
        Number of machines with a disk.
    """

    def __init__(self, seed: int, keepers: int = 7) -> None:
        self.now = 0.0
        self.arrivals: list[Arrival] = []
        self._random = random.Random(seed)
        self._order = count()
        self._in_flight: list[tuple[float, int, str, str, LedgerMessage]] = []
        self._ops: dict[int, int] = {}
        self._op = count(1)
        self._keepers = {
            f"k{n}:1": _Keeper(f"k{n}", f"d{n % 3}") for n in range(keepers)
        }
        self._stored_view = View(1, tuple(k.member for k in self._keepers.values()))
        self._revision = 1
        self._views = [self._stored_view] * RELAYS
        for keeper in self._keepers.values():
            keeper.view = self._stored_view
            self._start(keeper)

    def run(self, seconds: float) -> None:
        """Run floods of requests, with a fault every second or two."""
        next_fault = pause_at = 12.0
        flood_at = 0.0
        while self.now < seconds:
            self.now += STEP_S
            if self.now >= pause_at:
                flood_at = self.now + self._random.uniform(*PAUSE_S)
                pause_at = flood_at + self._random.uniform(*FLOOD_S)
                if self._random.random() < 0.5:
                    next_fault = flood_at + self._random.uniform(*FAULT_DELAY_S)
            if self.now >= next_fault:
                next_fault = self.now + self._random.uniform(0.3, 2.5)
                self._inject_fault()
            self._deliver()
            for keeper in self._keepers.values():
                self._run_keeper(keeper)
            if self.now >= flood_at:
                for relay in range(RELAYS):
                    self._request_permits(relay)

    def max_arrivals_in_window(self) -> int:
        """Return the maximum number of arrivals in any time window."""
        return max_in_a_window([a.at for a in self.arrivals], BOUNDS.window_s)

    # Faults

    def _inject_fault(self) -> None:
        rng = self._random
        kind = rng.choice(
            ("kill", "wipe", "cut", "no store", "freeze", "kill all", "kill all")
        )
        chosen = rng.sample(list(self._keepers.values()), rng.randint(1, LOSSES))
        down_s = DOWN_S
        if kind == "kill all":
            chosen = list(self._keepers.values())
            down_s = ALL_DOWN_S
        for keeper in chosen:
            if kind in ("kill", "kill all", "wipe"):
                keeper.core = None
                keeper.restart_at = self.now + rng.uniform(*down_s)
            if kind == "wipe" and keeper is chosen[0]:
                keeper.disks += 1
                keeper.view = View()
            if kind == "cut":
                keeper.partitioned_until = self.now + rng.uniform(0.5, 9.0)
            if kind == "no store":
                keeper.store_unreachable_until = self.now + rng.uniform(0.5, 9.0)
            if kind == "freeze":
                keeper.frozen_until = self.now + rng.uniform(0.5, 6.0)

    def _start(self, keeper: _Keeper) -> None:
        keeper.core = KeeperCore(
            keeper.member,
            LOSSES,
            view=keeper.view,
            entries=[],
            now=self._clock(keeper),
            quota_bounds=BOUNDS,
        )
        customers = {NAME: Customer(NAME, None, QUOTA)}
        keeper.core.quota.configure(customers, self._clock(keeper))

    def _clock(self, keeper: _Keeper) -> float:
        return self.now - keeper.suspended_s

    # Keepers

    def _run_keeper(self, keeper: _Keeper) -> None:
        if keeper.core is None and self.now >= keeper.restart_at:
            self._start(keeper)
        core = keeper.core
        if core is None:
            return
        if self.now < keeper.frozen_until:
            keeper.suspended_s += STEP_S
            return
        now = self._clock(keeper)
        core.tick(now)
        if self.now >= keeper.store_unreachable_until:
            self._sync_with_store(core, now)
        batch = core.next_batch()
        if batch is not None:
            keeper.view = core.view
            core.on_synced(batch)
        for to, message in core.drain_outbox():
            self._send(f"{keeper.name}:1#a", to, message)

    def _sync_with_store(self, core: KeeperCore, now: float) -> None:
        core.adopt(self._stored_view, now, self._revision)
        proposal = next_view(core.view, core.observation(now), LOSSES)
        if proposal is None and core.has_copied():
            proposal = core.view._replace(synced=(*core.view.synced, core.me.disk))
        if proposal is not None:
            self._stored_view = proposal
            self._revision += 1
            core.adopt(proposal, now, self._revision)

    # Network

    def _send(self, sender: str, to: str, message: LedgerMessage) -> None:
        for end in (sender.split("#")[0], to.split("#")[0]):
            keeper = self._keepers.get(end)
            if keeper is not None and self.now < keeper.partitioned_until:
                return
        at = self.now + self._random.uniform(0.0, MAX_DELAY_S)
        heapq.heappush(self._in_flight, (at, next(self._order), sender, to, message))

    def _deliver(self) -> None:
        deferred: list[tuple[float, int, str, str, LedgerMessage]] = []
        while self._in_flight and self._in_flight[0][0] <= self.now:
            delivery = heapq.heappop(self._in_flight)
            _, _, sender, to, message = delivery
            keeper = self._keepers.get(to.split("#")[0])
            if keeper is None:
                self._receive(int(to), message)
            elif self.now < keeper.frozen_until:
                deferred.append((keeper.frozen_until, *delivery[1:]))
            elif keeper.core is not None:
                keeper.core.receive(sender, message, self._clock(keeper))
        for delivery in deferred:
            heapq.heappush(self._in_flight, delivery)

    # Relays

    def _request_permits(self, relay: int) -> None:
        """Request several permits per holder, often by an outdated member list."""
        if self._random.random() < 0.2:
            self._views[relay] = self._stored_view
        holders = quota_holders(
            self._views[relay].members, NAME, holder_quota(QUOTA, BOUNDS).holders
        )
        for member in holders:
            for _ in range(self._random.randint(0, 4)):
                op = next(self._op)
                self._ops[op] = round(self.now / STEP_S)
                request = PermitRequest(op, NAME, f"p{op % 50}", "", True)
                self._send(str(relay), member.address, request)

    def _receive(self, relay: int, message: LedgerMessage) -> None:
        if not isinstance(message, PermitReply):
            return
        reply_delay_s = self.now - self._ops.pop(message.op) * STEP_S
        permit = message.permit
        if permit.status is not PermitStatus.GRANTED or reply_delay_s > 0.1 + STEP_S:
            return
        arrival_at = (
            self.now + permit.wait_s + self._random.uniform(*PERMIT_USE_DELAY_S)
        )
        self.arrivals.append(Arrival(arrival_at, relay))
