"""Crash keepers in memory, and the network between them and several relays."""

from __future__ import annotations

import asyncio

from tests.relay.keepers import make_cores
from wisteriastair.core.crashwire import CrashReport, CrashUpdate
from wisteriastair.core.hashing import address_of
from wisteriastair.core.ledgerwire import LedgerMessage, decode_ledger, encode_ledger
from wisteriastair.keeper.crashes import CrashKeeper
from wisteriastair.relay.crashshare import CrashShare
from wisteriastair.scheduling.claims import CLAIM_S, ClaimTable
from wisteriastair.scheduling.crashes import DEFAULT_LIMITS, CrashLimits, CrashTable

TICK_S = 0.05
LEDGER_KEEPERS = 3


class CrashNetwork:
    """Keepers, and the relays that subscribe to them.

    Attributes
    ----------
    unreachable : set of str
        Addresses of keepers and names of relays that receive no messages.
    paused : set of str
        Addresses of keepers whose messages wait until `resume`.
    delay_s : float
        Time on the way of each message.
    messages : int
        Messages sent.
    ledger : dict
        Cores of the keepers of the ledger, shared by all relays.
    """

    def __init__(self, keepers: int = 3, limits: CrashLimits = DEFAULT_LIMITS) -> None:
        self.unreachable: set[str] = set()
        self.paused: set[str] = set()
        self.delay_s = 0.0
        self.messages = 0
        self.ledger = make_cores(LEDGER_KEEPERS, 1)
        self._waiting: list[tuple[str, str, bytes]] = []
        self._started = 0
        self._limits = limits
        self.keepers = {
            f"k{n}:1": CrashKeeper(CrashTable(limits)) for n in range(keepers)
        }
        self._incarnations = dict.fromkeys(self.keepers, 0)
        self._shares: dict[str, CrashShare] = {}

    def addresses(self) -> list[str]:
        return list(self.keepers)

    def add_relay(self, name: str) -> CrashShare:
        """Add a relay, or replace it by one that knows nothing."""
        share = CrashShare(CrashTable(self._limits), lambda: self.addresses())
        self._started += 1
        member = f"{name}#{self._started}"
        share.start(_Sender(self, member))
        self._shares[member] = share
        share.sweep(_now())
        return share

    def restart_keeper(self, address: str) -> None:
        """Replace a keeper by one that knows nothing."""
        claims = ClaimTable(opens_at=_now() + CLAIM_S)
        self.keepers[address] = CrashKeeper(CrashTable(self._limits), claims)
        self._incarnations[address] += 1

    def send_to_keeper(self, relay: str, to: str, message: LedgerMessage) -> None:
        address = address_of(to)
        data = encode_ledger(message)
        self.messages += 1
        loop = asyncio.get_running_loop()
        loop.call_later(self.delay_s, self._deliver_to_keeper, relay, address, data)

    def resume(self) -> None:
        """Deliver what has waited for paused keepers."""
        self.paused.clear()
        waiting, self._waiting = self._waiting, []
        for message in waiting:
            self._deliver_to_keeper(*message)

    def _deliver_to_keeper(self, relay: str, address: str, data: bytes) -> None:
        if address in self.unreachable or address_of(relay) in self.unreachable:
            return
        if address in self.paused:
            self._waiting.append((relay, address, data))
            return
        message = decode_ledger(data)
        assert isinstance(message, CrashReport)
        replies = self.keepers[address].receive(relay, message, _now())
        self._send_to_relays(address, replies)

    def _send_to_relays(
        self, address: str, updates: list[tuple[str, CrashUpdate]]
    ) -> None:
        for name, update in updates:
            self._send_to_relay(address, name, update)

    def _send_to_relay(self, address: str, name: str, update: CrashUpdate) -> None:
        self.messages += 1
        loop = asyncio.get_running_loop()
        member = f"{address}#{self._incarnations[address]}"
        data = encode_ledger(update)
        loop.call_later(self.delay_s, self._deliver_to_relay, member, name, data)

    def _deliver_to_relay(self, member: str, name: str, data: bytes) -> None:
        address = address_of(member)
        if address in self.unreachable or address_of(name) in self.unreachable:
            return
        message = decode_ledger(data)
        assert isinstance(message, CrashUpdate)
        self._shares[name].receive(member, message, _now())

    async def run(self) -> None:
        """Run the timers of all processes until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            for address in self.keepers:
                if address in self.paused:
                    continue
                updates = self.keepers[address].next_updates(_now())
                self._send_to_relays(address, updates)
            for share in self._shares.values():
                share.sweep(_now())


class _Sender:
    """Transport of one relay."""

    def __init__(self, network: CrashNetwork, relay: str) -> None:
        self.network = network
        self._relay = relay

    def send(self, to: str, message: LedgerMessage) -> None:
        self.network.send_to_keeper(self._relay, to, message)


def network_of(share: CrashShare) -> CrashNetwork | None:
    """Return the network of a relay; None if it has none."""
    sender = share._sender
    return sender.network if isinstance(sender, _Sender) else None


def _now() -> float:
    return asyncio.get_running_loop().time()
