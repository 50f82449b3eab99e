"""The backend servers that are known, and what their answers have told.

Servers enter and leave by their entries in the platform's store, which lag behind.
What a server is like is learned from its answers: the load that it reports, the
requests that this process has under way there, and failures.

An entry that vanishes means that its server is leaving, or that the entry lapsed while
the store was away.  A server that has vanished takes no new work as long as others of
its service are there.  If all vanished together they go on being used for a short
while: whole services do not leave at one moment, but entries lapse at one moment.
"""

from __future__ import annotations

from collections import deque
from typing import Final, NamedTuple

# Failures in a row after which a server rests, and for how long, in seconds.  One lost
# answer says little; three in a row at the usual one in thirty do not happen by chance.
FAILURES_TO_REST: Final = 3
REST_S: Final = 1.0
REST_MAX_S: Final = 8.0
# Longer than entries need to come back after the store does (about two seconds).
LAPSE_S: Final = 2.6
# A report of load older than this, in seconds, says nothing any more.
LOAD_AGE_S: Final = 1.0
# Weight of a new measurement of a server's time in its running mean.
TIME_GAIN: Final = 0.1


class Server(NamedTuple):
    """A backend server as its entry describes it.

    Attributes
    ----------
    id : str
        Names one start of the server.
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


class Load(NamedTuple):
    """Load that a server reported with an answer."""

    running: int
    waiting: int
    slots: int


class ServerState:
    """One server and what was learned about it."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.open = 0
        self.vanished_at: float | None = None
        self.failures = 0
        self.rests_until = 0.0
        self.rest_s = REST_S
        self.mean_s = 0.0
        self.full_until = 0.0
        self._load = Load(0, 0, server.slots)
        self._load_at = float("-inf")
        self._open_at_report = 0
        self.parts: deque[str] = deque(maxlen=64)

    def take_load(self, load: Load, now: float) -> None:
        """Take a report of load."""
        self._load = load
        self._load_at = now
        self._open_at_report = self.open

    def busy(self, now: float) -> float:
        """Estimate the requests at the server, own and others'.

        The newest report is corrected by what this process has sent and got back
        since; without a usable report only the own requests are known.
        """
        if now - self._load_at > LOAD_AGE_S:
            return float(self.open)
        reported = self._load.running + self._load.waiting
        return max(float(self.open), reported + self.open - self._open_at_report)

    def succeeded(self, seconds: float) -> None:
        """Note a good answer and how long it took."""
        self.failures = 0
        self.rest_s = REST_S
        if self.mean_s == 0.0:
            self.mean_s = seconds
        self.mean_s += TIME_GAIN * (seconds - self.mean_s)

    def failed(self, now: float) -> bool:
        """Note a failure; True if the server rests from now on."""
        self.failures += 1
        if self.failures < FAILURES_TO_REST:
            return False
        self.failures = 0
        self.rests_until = now + self.rest_s
        self.rest_s = min(REST_MAX_S, self.rest_s * 2)
        return True


class Fleet:
    """All known servers."""

    def __init__(self) -> None:
        self._servers: dict[str, ServerState] = {}
        self._by_service: dict[str, list[ServerState]] = {}

    def __len__(self) -> int:
        return len(self._servers)

    def get(self, server_id: str) -> ServerState | None:
        """Return a known server."""
        return self._servers.get(server_id)

    def put(self, server: Server) -> None:
        """Take a new or changed entry."""
        state = self._servers.get(server.id)
        if state is not None and state.server.service == server.service:
            state.server = server
            state.vanished_at = None
            return
        if state is not None:
            self._forget(state)
        state = ServerState(server)
        self._servers[server.id] = state
        self._by_service.setdefault(server.service, []).append(state)

    def remove(self, server_id: str, now: float) -> None:
        """Take the end of an entry."""
        state = self._servers.get(server_id)
        if state is not None and state.vanished_at is None:
            state.vanished_at = now

    def keep_only(self, present: set[str], now: float) -> None:
        """Take a full listing: what is not in it has vanished."""
        for server_id in self._servers:
            if server_id not in present:
                self.remove(server_id, now)

    def expire(self, now: float) -> list[Server]:
        """Forget servers that vanished long ago and have nothing under way."""
        gone = [
            state
            for state in self._servers.values()
            if state.vanished_at is not None
            and now - state.vanished_at > LAPSE_S
            and state.open == 0
        ]
        for state in gone:
            self._forget(state)
        return [state.server for state in gone]

    def usable(self, service: str, now: float) -> list[ServerState]:
        """Servers that may get new work.

        Resting servers are left out unless that leaves none: a wrong suspicion of all
        of them must not stop a service.
        """
        states = self._by_service.get(service, [])
        ready = [
            state
            for state in states
            if not state.server.draining and state.vanished_at is None
        ]
        if not ready:
            ready = [
                state
                for state in states
                if not state.server.draining
                and state.vanished_at is not None
                and now - state.vanished_at <= LAPSE_S
            ]
        awake = [state for state in ready if state.rests_until <= now]
        return awake or ready

    def _forget(self, state: ServerState) -> None:
        del self._servers[state.server.id]
        self._by_service[state.server.service].remove(state)
