"""The backend servers that are known, and what their answers have told.

Servers enter and leave by their entries in the platform's store, which lag behind.
What a server is like is learned from its answers: the load that it reports, the
requests that this process has under way there, and failures.

An entry that vanishes means that its server is leaving, or that the entry lapsed
while the store was away.  In ordinary times a server that has vanished takes no new
work as long as others of its service are there, and if none is, for little longer.
Around an outage of the store entries that are missing in its first answer have lapsed:
their servers go on being used like the others for as long as entries need to come back;
else the first entry that is back would draw the requests of the whole service onto one
server.  An entry that ends after that means a server that leaves, unless most of its
service's entries end.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from .reuse import KnownParts

# Failures in a row after which a server rests, and for how long, in seconds.  One lost
# answer says little; three in a row at the usual one in thirty do not happen by chance.
FAILURES_TO_REST: Final = 3
REST_S: Final = 1.0
# With at least this many servers one failure is enough.  A process then sends each of
# them little, so three in a row take seconds to come together, and a server that fails
# at once looks idle all that time; and where one of a dozen rests for a second without
# need, nothing is missed.
MIN_SERVERS_FAST_EJECTION: Final = 12
MAX_EJECTION_S: Final = 8.0
# Longer than entries need to come back after the store does (about two seconds).
LAPSE_S: Final = 2.6
# Share of the time for which a leaving server still serves within which it may be used
# if its service has no other.  The rest, one second of two, is for what comes on top:
# the end of an entry is learned up to 0.2 s late, a channel may take 0.5 s to open.
LAST_RESORT_FRACTION: Final = 0.5
# A report of load older than this, in seconds, says nothing any more.
MAX_LOAD_AGE_S: Final = 1.0
# How much an own request and one that others have at a server count.
OWN_REQUEST_WEIGHT: Final = 3.0
OTHER_REQUEST_WEIGHT: Final = 0.3
# Weight of a new measurement of a server's time in its running mean.
RESPONSE_TIME_WEIGHT: Final = 0.1


class Server(NamedTuple):
    """A backend server as its entry describes it.

    Attributes
    ----------
    id : str
        Name of its entry; it may start again under the same one.
    born : int
        Tells its starts apart; 0 if it does not say.
    slots : int
        Requests that it works on at once.
    draining : bool
        It takes no new work.
    cold_s : float
        Seconds for which it is still slow after its start.
    """

    id: str
    service: str
    address: str
    domain: str
    slots: int
    draining: bool
    cold_s: float
    born: int = 0

    @property
    def start(self) -> str:
        """Name of one start of the server: channels belong to that."""
        return f"{self.id}.{self.born}"


class Load(NamedTuple):
    """Load that a server reported with an answer."""

    running: int
    waiting: int
    slots: int


class ServerState:
    """One server and what was learned about it."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.start = server.start
        self.open = 0
        self.removed_at: float | None = None
        self.lapsed = False
        self.failures = 0
        self.ejected_until = 0.0
        self.ejection_s = REST_S
        self.mean_response_s = 0.0
        self.full_until = 0.0
        self._load = Load(0, 0, server.slots)
        self._load_at = float("-inf")
        self._in_flight_at_report = 0
        self.parts = KnownParts()

    def take_load(self, load: Load, now: float) -> None:
        """Take a report of load."""
        self._load = load
        self._load_at = now
        self._in_flight_at_report = self.open

    def load(self, now: float) -> float:
        """Estimate the requests at the server, own and others'.

        Own requests are known exactly, reports are some answers old.  Relays that all
        trust the reports pile onto the server that was emptiest a moment ago; relays
        that each spread their own requests evenly spread the sum evenly too.  So an own
        request stands for several, and what others have there counts little.
        """
        own = OWN_REQUEST_WEIGHT * self.open
        if now - self._load_at > MAX_LOAD_AGE_S:
            return own
        reported = self._load.running + self._load.waiting
        return own + OTHER_REQUEST_WEIGHT * max(0, reported - self._in_flight_at_report)

    def removed_within(self, seconds: float, now: float) -> bool:
        """Whether the entry vanished at most so many seconds ago."""
        return self.removed_at is not None and now - self.removed_at <= seconds

    def takes_work(self) -> bool:
        """Whether the server may get more of what it has begun."""
        return not self.server.draining and self.removed_at is None

    def succeeded(self, seconds: float) -> None:
        """Note a good answer and how long it took."""
        self.failures = 0
        self.ejection_s = REST_S
        if self.mean_response_s == 0.0:
            self.mean_response_s = seconds
        self.mean_response_s += RESPONSE_TIME_WEIGHT * (seconds - self.mean_response_s)

    def failed(self, now: float, max_failures: int = FAILURES_TO_REST) -> bool:
        """Note a failure; True if the server rests from now on.

        Parameters
        ----------
        max_failures : int
            Failures in a row after which it does.
        """
        self.failures += 1
        if self.failures < max_failures:
            return False
        self.failures = 0
        self.ejected_until = now + self.ejection_s
        self.ejection_s = min(MAX_EJECTION_S, self.ejection_s * 2)
        return True


class _Partition(NamedTuple):
    """Servers of a service that take work, and those that vanished."""

    available: list[ServerState]
    removed: list[ServerState]


class Fleet:
    """All known servers.

    Parameters
    ----------
    drain_s : float
        Seconds for which a server that has left still serves.
    """

    def __init__(self, drain_s: float = 2.0) -> None:
        # Set by who follows the store: it is away, or has just come back.
        self.store_unsure = False
        self._last_resort_s = LAST_RESORT_FRACTION * drain_s
        self._servers: dict[str, ServerState] = {}
        self._by_service: dict[str, list[ServerState]] = {}
        # By service: those that take work, and those that vanished.  Worked out anew
        # after a change; with 1,500 servers a look at each cost more than the request.
        self._partitions: dict[str, _Partition] = {}

    def __len__(self) -> int:
        return len(self._servers)

    def get(self, server_id: str) -> ServerState | None:
        """Return a known server."""
        return self._servers.get(server_id)

    def put(self, server: Server) -> Server | None:
        """Take a new or changed entry; return the start that it takes the place of.

        A server that starts again under its id holds and knows nothing of before.  If
        its old load, failures and known parts stayed, requests would go round an empty
        server, or to one that has to read again what it is counted on to hold.
        """
        state = self._servers.get(server.id)
        if state is not None and _is_same_incarnation(state.server, server):
            state.server = server
            state.removed_at = None
            self._partitions.pop(server.service, None)
            return None
        replaced = None if state is None else state.server
        if state is not None:
            self._discard(state)
        state = ServerState(server)
        self._servers[server.id] = state
        self._by_service.setdefault(server.service, []).append(state)
        self._partitions.pop(server.service, None)
        return replaced

    def remove(self, server_id: str, now: float, *, lapsed: bool = False) -> None:
        """Take the end of an entry.

        Parameters
        ----------
        lapsed : bool
            It may have ended only because the store was away: it was missing in the
            first answer after that.  What ends later has left, and a server that has
            left must get nothing for longer than it serves.
        """
        state = self._servers.get(server_id)
        if state is not None and state.removed_at is None:
            state.removed_at = now
            state.lapsed = lapsed
            self._partitions.pop(state.server.service, None)

    def keep_only(self, present: set[str], now: float) -> None:
        """Take a full listing: what is not in it has vanished."""
        for server_id in self._servers:
            if server_id not in present:
                self.remove(server_id, now, lapsed=self.store_unsure)

    def failed(self, state: ServerState, now: float) -> None:
        """Note that a server failed; it may rest."""
        service_size = len(self._by_service.get(state.server.service, []))
        state.failed(
            now, 1 if service_size >= MIN_SERVERS_FAST_EJECTION else FAILURES_TO_REST
        )

    def expire(self, now: float) -> list[Server]:
        """Forget servers that vanished long ago and have nothing under way."""
        gone = [
            state
            for state in self._servers.values()
            if state.removed_at is not None
            and now - state.removed_at > LAPSE_S
            and state.open == 0
        ]
        for state in gone:
            self._discard(state)
        return [state.server for state in gone]

    def usable(self, service: str, now: float) -> list[ServerState]:
        """Servers that may get new work.

        Resting servers are left out unless that leaves none: a wrong suspicion of all
        of them must not stop a service.

        Returns
        -------
        list of ServerState
            Not to be changed.  The same object as before if nothing has changed, so
            that what follows from it can be kept.
        """
        available, removed = self._partition(service)
        if removed:
            available = self._add_removed(available, removed, now)
        not_ejected = [state for state in available if state.ejected_until <= now]
        if len(not_ejected) == len(available):
            return available
        return not_ejected or available

    def _partition(self, service: str) -> _Partition:
        partition = self._partitions.get(service)
        if partition is None:
            states = self._by_service.get(service, [])
            states = [state for state in states if not state.server.draining]
            partition = _Partition(
                [state for state in states if state.removed_at is None],
                [state for state in states if state.removed_at is not None],
            )
            self._partitions[service] = partition
        return partition

    def _add_removed(
        self, available: list[ServerState], removed: list[ServerState], now: float
    ) -> list[ServerState]:
        available = available + [s for s in removed if self._may_come_back(s, now)]
        gone = [s for s in removed if s.removed_within(self._last_resort_s, now)]
        gone = [s for s in gone if s not in available]
        # One entry that ends means a server that leaves, most of a service's do not.
        if not available or (self.store_unsure and len(gone) > len(available)):
            available = available + gone
        return available

    def _may_come_back(self, state: ServerState, now: float) -> bool:
        """Whether an entry vanished only because the store was away, and may be back.

        One that vanishes after that, also shortly after, is not counted: used beside
        others for 1.4 s after that was learned, a server got a request later than the
        two seconds for which it still serves.
        """
        unsure = self.store_unsure and state.lapsed
        return unsure and state.removed_within(LAPSE_S, now)

    def _discard(self, state: ServerState) -> None:
        del self._servers[state.server.id]
        self._by_service[state.server.service].remove(state)
        self._partitions.pop(state.server.service, None)


def _is_same_incarnation(known: Server, received: Server) -> bool:
    return (known.service, known.born) == (received.service, received.born)
