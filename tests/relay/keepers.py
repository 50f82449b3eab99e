"""In-memory keepers: production cores and a client, without sockets or disks."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from wisteriastair.core.keeper import KeeperCore
from wisteriastair.core.ledgerwire import (
    LedgerMessage,
    PermitReply,
    Ping,
    decode_ledger,
    encode_ledger,
)
from wisteriastair.core.membership import Member, View
from wisteriastair.core.quota import QuotaBounds
from wisteriastair.relay.ledger import LedgerClient
from wisteriastair.relay.quota import QuotaClient

RELAY = "relay:1#a"
QUOTA_BOUNDS = QuotaBounds(window_s=5.0, excess_fraction=0.1, slack_requests=20.0)


def members(count: int) -> tuple[Member, ...]:
    return tuple(
        Member(f"k{n}", f"disk{n}", f"k{n}:1", f"domain{n}") for n in range(count)
    )


def make_cores(count: int, max_failures: int) -> dict[str, KeeperCore]:
    view = View(1, members(count))
    return {
        m.address: KeeperCore(
            m,
            max_failures,
            view=view,
            entries=[],
            now=0.0,
            quota_bounds=QUOTA_BOUNDS,
        )
        for m in view.members
    }


class Keepers:
    """Keepers and the network between them and one client.

    Parameters
    ----------
    cores : dict or None
        Cores that other clients have as well; None for cores of its own.

    Attributes
    ----------
    unreachable : set of str
        Addresses that receive no messages.
    frozen : set of str
        Addresses whose messages wait until `thaw`.
    delay_s : callable
        Returns the time on the way of a message.
    """

    def __init__(
        self,
        count: int,
        max_failures: int = 1,
        cores: dict[str, KeeperCore] | None = None,
    ) -> None:
        self.view = View(1, members(count))
        self.cores = make_cores(count, max_failures) if cores is None else cores
        self.delay_s: Callable[[], float] = float
        self.unreachable: set[str] = set()
        self.frozen: set[str] = set()
        self._waiting: list[tuple[str, str, bytes]] = []
        self.sent_count = 0
        self.sent_bytes = 0
        self.client = LedgerClient("domain0", max_failures)
        self.client.adopt_view(self.view)
        self.quota: QuotaClient | None = None

    def exchange_heartbeats(self) -> None:
        """Deliver a heartbeat of every keeper to every keeper."""
        now = asyncio.get_running_loop().time()
        for core in self.cores.values():
            for member in self.view.members:
                ping = Ping(member.disk, self.view, 0)
                core.receive(f"{member.address}#a", ping, now)

    def thaw(self) -> None:
        """Deliver what has waited for frozen keepers."""
        self.frozen.clear()
        waiting, self._waiting = self._waiting, []
        for message in waiting:
            self._deliver(*message)

    def send(self, to: str, message: LedgerMessage) -> None:
        """Deliver a message of the client; part of the interface of `Transport`."""
        self.sent_count += 1
        self.sent_bytes += len(encode_ledger(message))
        self._schedule(RELAY, to, message)

    def _schedule(self, sender: str, to: str, message: LedgerMessage) -> None:
        if to not in self.unreachable:
            loop = asyncio.get_running_loop()
            data = encode_ledger(message)
            loop.call_later(self.delay_s(), self._deliver, sender, to, data)

    def _deliver(self, sender: str, to: str, data: bytes) -> None:
        if to in self.frozen:
            self._waiting.append((sender, to, data))
            return
        if to == RELAY:
            message = decode_ledger(data)
            if isinstance(message, PermitReply) and self.quota is not None:
                self.quota.receive(message)
                return
            self.client.receive(sender, message)
            return
        core = self.cores[to]
        core.receive(sender, decode_ledger(data), asyncio.get_running_loop().time())
        batch = core.next_batch()
        if batch is not None:
            core.on_synced(batch)
        for target, message in core.drain_outbox():
            self._schedule(to, target, message)
