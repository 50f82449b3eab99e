"""Relays and keepers that share a picture of servers, in virtual time.

Messages pass through the production codec.  The network between the processes loses,
duplicates, delays and reorders them, and the clocks of all processes differ.
"""

from __future__ import annotations

import heapq
import json
import random
import time
from collections import Counter, defaultdict
from collections.abc import Callable

from wisteriastair.core.hashing import address_of
from wisteriastair.core.ledgerwire import (
    DomainSums,
    LedgerMessage,
    PictureUpdate,
    RelayDigest,
    decode_ledger,
    encode_ledger,
)
from wisteriastair.core.membership import Member, View
from wisteriastair.keeper.picture import PictureKeeper
from wisteriastair.relay.picture import REPORT_INTERVAL_S, PictureClient
from wisteriastair.scheduling.fleet import Fleet, Server, ServerState
from wisteriastair.scheduling.observations import OpenRequest

FRAME_BYTES = 70
HISTORY_S = 1.5


def server(number: int) -> Server:
    return Server(f"s{number}", "svc", "10.0.0.1:1", "d0", 8, False, 0.0, 100 + number)


class RelayProcess:
    """One incarnation of a relay with scripted requests."""

    def __init__(self, world: World, number: int, domain: str, clock: float) -> None:
        self.address = f"r{number}:1"
        self.member = f"{self.address}#{world.next_incarnation()}"
        self.domain = domain
        self.clock = clock
        self.is_alive = True
        self.fleet = Fleet()
        for n in range(world.server_count):
            self.fleet.put(server(n))
        self.client = PictureClient(
            self.fleet,
            domain,
            world.max_failures,
            lambda: world.view,
            has_memory_pressure=True,
        )
        self._world = world
        self._open: dict[int, list[OpenRequest]] = {}
        # Times at which the number of requests in flight changed, by server.
        self.history: dict[int, list[tuple[float, int]]] = {}

    def state(self, number: int) -> ServerState:
        state = self.fleet.get(f"s{number}")
        assert state is not None
        return state

    def set_in_flight(
        self, number: int, count: int, tokens: int = 2048, *, is_silent: bool = False
    ) -> None:
        now = self._world.now
        requests = self._open.setdefault(number, [])
        observations = self.state(number).observations
        while len(requests) < count:
            req = observations.open(tokens, now + self.clock)
            requests.append(req)
            if not is_silent:
                # The server sends data all the time.
                req.pause()
        while len(requests) > count:
            observations.close(requests.pop(), now + self.clock, succeeded=None)
        self.history.setdefault(number, []).append((now, count))

    def end_requests(self, number: int, succeeded: bool, count: int = 1) -> None:
        """Start requests that end at once with a success or a failure."""
        observations = self.state(number).observations
        for _ in range(count):
            now = self._world.now + self.clock
            observations.close(observations.open(0, now), now, succeeded=succeeded)

    def max_in_flight(self, number: int, since: float) -> int:
        """Return the maximum since a time; a relay that was killed has nothing."""
        counts = [0]
        for at, count in self.history.get(number, []):
            if at <= since:
                counts = [count]
            else:
                counts.append(count)
        return max(counts)

    def others(self, number: int) -> int | None:
        """Return the reported requests of other relays; None if unknown."""
        load = self.client.picture.others(
            server(number).incarnation, self._world.now + self.clock
        )
        return None if load is None else load.in_flight

    def weight(self, number: int) -> float:
        return self.client.picture.weight(server(number).incarnation)

    def is_suspect(self, number: int) -> bool:
        now = self._world.now + self.clock
        return self.client.picture.is_suspect(server(number).incarnation, now)


class KeeperProcess:
    """One incarnation of a keeper."""

    def __init__(self, world: World, member: Member, clock: float) -> None:
        self.address = member.address
        self.member = f"{member.address}#{world.next_incarnation()}"
        self.domain = member.domain
        self.clock = clock
        self.is_alive = True
        self.picture = PictureKeeper(
            member.address, world.max_failures, world.now + clock
        )
        for n in range(world.server_count):
            entry = server(n)
            value = {
                "service": entry.service,
                "address": entry.address,
                "zone": entry.domain,
                "slots": entry.slots,
                "state": "ready",
                "born": entry.born,
            }
            self.picture.apply_server(f"servers/{entry.id}", json.dumps(value).encode())


class World:
    """Processes, their clocks, and the network between them.

    Attributes
    ----------
    loss, duplication : float
        Probability that a message is lost, and that it arrives twice.
    max_delay_s : float
        Longest delay; messages overtake each other.
    cut : set of tuple of str
        Pairs of addresses between which no message arrives, in this direction.
    bytes_sent : Counter
        Bytes by sender's and receiver's address.
    """

    def __init__(
        self,
        *,
        domains: int = 3,
        keepers: int = 6,
        relays: int = 6,
        servers: int = 6,
        max_failures: int = 2,
        seed: int = 1,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.server_count = servers
        self.max_failures = max_failures
        self.loss = 0.0
        self.duplication = 0.0
        self.max_delay_s = 0.002
        self.cut: set[tuple[str, str]] = set()
        self.bytes_sent: Counter[tuple[str, str]] = Counter()
        self.messages: Counter[str] = Counter()
        # Seconds of processor time by address, without the codec.
        self.busy_s: defaultdict[str, float] = defaultdict(float)
        self.on_check: Callable[[], None] = lambda: None
        self._incarnations = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_number = 0
        self.view = View(
            1,
            tuple(
                Member(f"k{n}", f"disk{n}", f"k{n}:1", f"d{n % domains}")
                for n in range(keepers)
            ),
        )
        self.keepers: dict[str, KeeperProcess] = {}
        self.relays: list[RelayProcess] = []
        # All relays that ever ran, for what they had in flight.
        self.all_relays: list[RelayProcess] = []
        for member in self.view.members:
            self.start_keeper(member.address)
        for n in range(relays):
            self.start_relay(n, f"d{n % domains}")

    def next_incarnation(self) -> str:
        self._incarnations += 1
        return f"{self._incarnations:08x}"

    def start_keeper(self, address: str) -> None:
        member = next(m for m in self.view.members if m.address == address)
        clock = self.rng.uniform(0, 1e6)
        self.keepers[address] = KeeperProcess(self, member, clock)

    def start_relay(self, number: int, domain: str) -> RelayProcess:
        relay = RelayProcess(self, number, domain, self.rng.uniform(0, 1e6))
        self.relays.append(relay)
        self.all_relays.append(relay)
        self.at(self.rng.uniform(0, REPORT_INTERVAL_S), lambda: self._tick(relay))
        return relay

    def kill_relay(self, relay: RelayProcess) -> None:
        relay.is_alive = False
        self.relays.remove(relay)
        for number in relay.history:
            relay.history[number].append((self.now, 0))

    def kill_keeper(self, address: str) -> None:
        del self.keepers[address]

    def cut_between(self, one: str, other: str) -> None:
        self.cut |= {(one, other), (other, one)}

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        self._event_number += 1
        heapq.heappush(self._events, (self.now + delay_s, self._event_number, action))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
            self.on_check()
        self.now = end

    def _tick(self, relay: RelayProcess) -> None:
        if not relay.is_alive:
            return
        started_at = time.process_time()
        digests = relay.client.tick(self.now + relay.clock)
        self.busy_s[relay.address] += time.process_time() - started_at
        for to, digest in digests:
            self.send(relay.member, to, digest)
        self.at(REPORT_INTERVAL_S, lambda: self._tick(relay))

    def send(self, sender: str, to: str, message: LedgerMessage) -> None:
        """Send a message, which the network may lose, duplicate and delay."""
        data = encode_ledger(message)
        ends = address_of(sender), address_of(to)
        self.bytes_sent[ends] += len(data) + FRAME_BYTES
        self.messages[type(message).__name__] += 1
        if ends in self.cut:
            return
        for _ in range(1 + (self.rng.random() < self.duplication)):
            if self.rng.random() >= self.loss:
                delay_s = self.rng.uniform(0.0005, self.max_delay_s)
                self.at(delay_s, lambda: self._deliver(sender, to, data))

    def _deliver(self, sender: str, to: str, data: bytes) -> None:
        message = decode_ledger(data)
        address = address_of(to)
        keeper = self.keepers.get(address)
        if keeper is not None:
            is_target = to in (address, keeper.member)
            if is_target and isinstance(message, RelayDigest | DomainSums):
                keeper.picture.set_view(self.view)
                now = self.now + keeper.clock
                started_at = time.process_time()
                replies = keeper.picture.receive(sender, message, now)
                self.busy_s[address] += time.process_time() - started_at
                for target, reply in replies:
                    self.send(keeper.member, target, reply)
            return
        for relay in self.relays:
            if relay.member == to and isinstance(message, PictureUpdate):
                started_at = time.process_time()
                relay.client.receive(sender, message, self.now + relay.clock)
                self.busy_s[address] += time.process_time() - started_at

    # Checks

    def real_maximum(self, number: int) -> int:
        """Return the most that all relays had in flight at a server recently."""
        since = self.now - HISTORY_S
        return sum(relay.max_in_flight(number, since) for relay in self.all_relays)

    def domain_of(self, address: str) -> str:
        domains = {relay.address: relay.domain for relay in self.all_relays}
        domains |= {member.address: member.domain for member in self.view.members}
        return domains[address]

    def cross_domain_bytes(self) -> int:
        return sum(
            size
            for (one, other), size in self.bytes_sent.items()
            if self.domain_of(one) != self.domain_of(other)
        )
