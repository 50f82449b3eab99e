"""Crash keepers in memory, and the network between them and several relays."""

from __future__ import annotations

import asyncio

from wisteriastair.core.ledgerwire import (
    CrashReport,
    CrashUpdate,
    LedgerMessage,
    decode_ledger,
    encode_ledger,
)
from wisteriastair.keeper.crashes import CrashKeeper
from wisteriastair.relay.crashshare import CrashShare
from wisteriastair.scheduling.crashes import DEFAULT_LIMITS, CrashLimits, CrashTable

TICK_S = 0.05


class CrashNetwork:
    """Watchers, and the relays that subscribe to them.

    Attributes
    ----------
    unreachable : set of str
        Addresses of watchers and names of relays that receive no messages.
    messages : int
        Messages sent.
    """

    def __init__(self, watchers: int = 2, limits: CrashLimits = DEFAULT_LIMITS) -> None:
        self.unreachable: set[str] = set()
        self.messages = 0
        self._limits = limits
        self.keepers = {
            f"k{n}:1": CrashKeeper(CrashTable(limits)) for n in range(watchers)
        }
        self._incarnations = dict.fromkeys(self.keepers, 0)
        self._shares: dict[str, CrashShare] = {}

    def watchers(self) -> list[str]:
        return list(self.keepers)

    def add_relay(self, name: str) -> CrashShare:
        """Add a relay, or replace it by one that knows nothing."""
        share = CrashShare(CrashTable(self._limits), self.watchers)
        share.start(_Sender(self, name))
        self._shares[name] = share
        for address, keeper in self.keepers.items():
            self._send_to_relay(address, name, keeper.snapshot(_now()))
        return share

    def restart_keeper(self, address: str) -> None:
        """Replace a keeper by one that knows nothing."""
        self.keepers[address] = CrashKeeper(CrashTable(self._limits))
        self._incarnations[address] += 1
        for name in self._shares:
            snapshot = self.keepers[address].snapshot(_now())
            self._send_to_relay(address, name, snapshot)

    def send_to_keeper(self, relay: str, to: str, message: LedgerMessage) -> None:
        address = to.partition("#")[0]
        data = encode_ledger(message)
        self.messages += 1
        loop = asyncio.get_running_loop()
        loop.call_soon(self._deliver_to_keeper, relay, address, data)

    def _deliver_to_keeper(self, relay: str, address: str, data: bytes) -> None:
        if address in self.unreachable or relay in self.unreachable:
            return
        message = decode_ledger(data)
        assert isinstance(message, CrashReport)
        reply = self.keepers[address].receive(message, _now())
        self._publish(address)
        if reply is not None:
            self._send_to_relay(address, relay, reply)

    def _publish(self, address: str) -> None:
        update = self.keepers[address].next_update(_now())
        if update is not None:
            for name in self._shares:
                self._send_to_relay(address, name, update)

    def _send_to_relay(self, address: str, name: str, update: CrashUpdate) -> None:
        self.messages += 1
        loop = asyncio.get_running_loop()
        member = f"{address}#{self._incarnations[address]}"
        loop.call_soon(self._deliver_to_relay, member, name, encode_ledger(update))

    def _deliver_to_relay(self, member: str, name: str, data: bytes) -> None:
        address = member.partition("#")[0]
        if address in self.unreachable or name in self.unreachable:
            return
        message = decode_ledger(data)
        assert isinstance(message, CrashUpdate)
        self._shares[name].receive(member, message, _now())

    async def run(self) -> None:
        """Run the timers of all processes until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            for address in self.keepers:
                self._publish(address)
            for share in self._shares.values():
                share.sweep(_now())


class _Sender:
    """Transport of one relay."""

    def __init__(self, network: CrashNetwork, relay: str) -> None:
        self._network = network
        self._relay = relay

    def send(self, to: str, message: LedgerMessage) -> None:
        self._network.send_to_keeper(self._relay, to, message)


def _now() -> float:
    return asyncio.get_running_loop().time()
