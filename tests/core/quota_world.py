"""Keepers and relays in virtual time, with faults drawn by a seed, around one quota.

The keepers are the shipped cores.  Relays ask for far more than the quota, by lists of
members that may be old, and use each permit as late as they may.  They pause now and
then, so that buckets fill up; some faults come just after what was in them was given
out.  What is judged is only when requests with a permit arrive at servers.
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
WAY_S = 0.02
# How long killed processes are down, in seconds: some, or all at once.
DOWN_S = (0.2, 3.0)
ALL_DOWN_S = (0.1, 0.5)
# Spans without and with requests, in seconds: buckets fill up in the one.
CALM_S = (2.0, 4.0)
FLOOD_S = (4.0, 9.0)
# From the beginning of a flood to a fault, in seconds: buckets are empty again.
TO_FAULT_S = (0.3, 1.0)
# Time from a permit to the arrival of its request, in seconds.
USED_S = (0.0, 0.8 * PERMIT_LIFETIME_S)


class _Keeper:
    """A machine with a disk; `core` is None while its process is down."""

    def __init__(self, name: str, domain: str) -> None:
        self.name = name
        self.domain = domain
        self.disks = 0
        self.view = View()
        self.core: KeeperCore | None = None
        self.up_at = 0.0
        # What its own clock has not counted, since it stood still.
        self.stood_s = 0.0
        self.frozen_until = 0.0
        self.cut_until = 0.0
        self.no_store_until = 0.0

    @property
    def member(self) -> Member:
        return Member(
            self.name, f"{self.name}-{self.disks}", f"{self.name}:1", self.domain
        )


class Arrival(NamedTuple):
    """A request with a permit at a server."""

    at: float
    relay: int


class QuotaWorld:
    """One play.

    Parameters
    ----------
    keepers : int
        Machines with a disk.
    """

    def __init__(self, seed: int, keepers: int = 7) -> None:
        self.now = 0.0
        self.arrivals: list[Arrival] = []
        self._random = random.Random(seed)
        self._order = count()
        self._wires: list[tuple[float, int, str, str, LedgerMessage]] = []
        self._ops: dict[int, int] = {}
        self._op = count(1)
        self._keepers = {
            f"k{n}:1": _Keeper(f"k{n}", f"d{n % 3}") for n in range(keepers)
        }
        self._stored = View(1, tuple(k.member for k in self._keepers.values()))
        self._revision = 1
        self._views = [self._stored] * RELAYS
        for keeper in self._keepers.values():
            keeper.view = self._stored
            self._start(keeper)

    def play(self, seconds: float) -> None:
        """Play floods with a fault every second or two."""
        next_fault = calm_at = 12.0
        flood_at = 0.0
        while self.now < seconds:
            self.now += STEP_S
            if self.now >= calm_at:
                flood_at = self.now + self._random.uniform(*CALM_S)
                calm_at = flood_at + self._random.uniform(*FLOOD_S)
                if self._random.random() < 0.5:
                    next_fault = flood_at + self._random.uniform(*TO_FAULT_S)
            if self.now >= next_fault:
                next_fault = self.now + self._random.uniform(0.3, 2.5)
                self._fault()
            self._deliver()
            for keeper in self._keepers.values():
                self._run(keeper)
            if self.now >= flood_at:
                for relay in range(RELAYS):
                    self._ask(relay)

    def max_in_a_window(self) -> int:
        """Return the most arrivals in any span of one window."""
        return max_in_a_window([a.at for a in self.arrivals], BOUNDS.window_s)

    # Faults

    def _fault(self) -> None:
        rand = self._random
        kind = rand.choice(
            ("kill", "wipe", "cut", "no store", "freeze", "kill all", "kill all")
        )
        chosen = rand.sample(list(self._keepers.values()), rand.randint(1, LOSSES))
        down_s = DOWN_S
        if kind == "kill all":
            chosen = list(self._keepers.values())
            down_s = ALL_DOWN_S
        for keeper in chosen:
            if kind in ("kill", "kill all", "wipe"):
                keeper.core = None
                keeper.up_at = self.now + rand.uniform(*down_s)
            if kind == "wipe" and keeper is chosen[0]:
                keeper.disks += 1
                keeper.view = View()
            if kind == "cut":
                keeper.cut_until = self.now + rand.uniform(0.5, 9.0)
            if kind == "no store":
                keeper.no_store_until = self.now + rand.uniform(0.5, 9.0)
            if kind == "freeze":
                keeper.frozen_until = self.now + rand.uniform(0.5, 6.0)

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
        return self.now - keeper.stood_s

    # Keepers

    def _run(self, keeper: _Keeper) -> None:
        if keeper.core is None and self.now >= keeper.up_at:
            self._start(keeper)
        core = keeper.core
        if core is None:
            return
        if self.now < keeper.frozen_until:
            keeper.stood_s += STEP_S
            return
        now = self._clock(keeper)
        core.tick(now)
        if self.now >= keeper.no_store_until:
            self._use_store(core, now)
        batch = core.next_batch()
        if batch is not None:
            keeper.view = core.view
            core.on_synced(batch)
        for to, message in core.drain_outbox():
            self._send(f"{keeper.name}:1#a", to, message)

    def _use_store(self, core: KeeperCore, now: float) -> None:
        core.adopt(self._stored, now, self._revision)
        wanted = next_view(core.view, core.observation(now), LOSSES)
        if wanted is None and core.has_copied():
            wanted = core.view._replace(synced=(*core.view.synced, core.me.disk))
        if wanted is not None:
            self._stored = wanted
            self._revision += 1
            core.adopt(wanted, now, self._revision)

    # Wires

    def _send(self, sender: str, to: str, message: LedgerMessage) -> None:
        for end in (sender.split("#")[0], to.split("#")[0]):
            keeper = self._keepers.get(end)
            if keeper is not None and self.now < keeper.cut_until:
                return
        at = self.now + self._random.uniform(0.0, WAY_S)
        heapq.heappush(self._wires, (at, next(self._order), sender, to, message))

    def _deliver(self) -> None:
        held: list[tuple[float, int, str, str, LedgerMessage]] = []
        while self._wires and self._wires[0][0] <= self.now:
            wire = heapq.heappop(self._wires)
            _, _, sender, to, message = wire
            keeper = self._keepers.get(to.split("#")[0])
            if keeper is None:
                self._take(int(to), message)
            elif self.now < keeper.frozen_until:
                held.append((keeper.frozen_until, *wire[1:]))
            elif keeper.core is not None:
                keeper.core.receive(sender, message, self._clock(keeper))
        for wire in held:
            heapq.heappush(self._wires, wire)

    # Relays

    def _ask(self, relay: int) -> None:
        """Ask each holder for several permits, by a list that is often old."""
        if self._random.random() < 0.2:
            self._views[relay] = self._stored
        held = quota_holders(
            self._views[relay].members, NAME, holder_quota(QUOTA, BOUNDS).holders
        )
        for member in held:
            for _ in range(self._random.randint(0, 4)):
                op = next(self._op)
                self._ops[op] = round(self.now / STEP_S)
                question = PermitRequest(op, NAME, f"p{op % 50}", "", True)
                self._send(str(relay), member.address, question)

    def _take(self, relay: int, message: LedgerMessage) -> None:
        if not isinstance(message, PermitReply):
            return
        asked_s = self.now - self._ops.pop(message.op) * STEP_S
        permit = message.permit
        if permit.answer is not PermitStatus.GRANTED or asked_s > 0.1 + STEP_S:
            return
        used = self.now + permit.wait_s + self._random.uniform(*USED_S)
        self.arrivals.append(Arrival(used, relay))
