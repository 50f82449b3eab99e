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

from .reuse import CachedSegments

# Failures in a row after which a server rests, and for how long, in seconds.  One lost
# answer says little; three in a row at the usual one in thirty do not happen by chance.
EJECTION_FAILURES: Final = 3
EJECTION_S: Final = 1.0
# With at least this many servers one failure is enough.  A process then sends each of
# them little, so three in a row take seconds to come together, and a server that fails
# at once looks idle all that time; and where one of a dozen rests for a second without
# need, nothing is missed.
SERVERS_TO_SUSPECT: Final = 12
REST_MAX_S: Final = 8.0
# Longer than entries need to come back after the store does (about two seconds).
REREGISTRATION_S: Final = 2.6
# Share of the time for which a leaving server still serves within which it may be used
# if its service has no other.  The rest, one second of two, is for what comes on top:
# the end of an entry is learned up to 0.2 s late, a channel may take 0.5 s to open.
LAST_RESORT: Final = 0.5
# A report of load older than this, in seconds, says nothing any more.
LOAD_AGE_S: Final = 1.0
# How much an own request and one that others have at a server count.
OWN_WEIGHT: Final = 3.0
OTHERS_WEIGHT: Final = 0.3
# Weight of a new measurement of a server's time in its running mean.
TIME_GAIN: Final = 0.1


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
    warmup_s : float
        Seconds for which it is still slow after its start.
    """

    id: str
    service: str
    address: str
    domain: str
    slots: int
    draining: bool
    warmup_s: float
    born: int = 0

    @property
    def incarnation(self) -> str:
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
        self.incarnation = server.incarnation
        self.in_flight = 0
        self.vanished_at: float | None = None
        self.is_lease_expired = False
        self.failures = 0
        self.rests_until = 0.0
        self.rest_s = EJECTION_S
        self.mean_s = 0.0
        self.overloaded_until = 0.0
        self._load = Load(0, 0, server.slots)
        self._load_at = float("-inf")
        self._open_at_report = 0
        self.cached_segments = CachedSegments()

    def record_load(self, load: Load, now: float) -> None:
        """Take a report of load."""
        self._load = load
        self._load_at = now
        self._open_at_report = self.in_flight

    def load(self, now: float) -> float:
        """Estimate the requests at the server, own and others'.

        Own requests are known exactly, reports are some answers old.  Relays that all
        trust the reports pile onto the server that was emptiest a moment ago; relays
        that each spread their own requests evenly spread the sum evenly too.  So an own
        request stands for several, and what others have there counts little.
        """
        own = OWN_WEIGHT * self.in_flight
        if now - self._load_at > LOAD_AGE_S:
            return own
        reported = self._load.running + self._load.waiting
        return own + OTHERS_WEIGHT * max(0, reported - self._open_at_report)

    def vanished_within(self, seconds: float, now: float) -> bool:
        """Whether the entry vanished at most so many seconds ago."""
        return self.vanished_at is not None and now - self.vanished_at <= seconds

    def accepts_requests(self) -> bool:
        """Whether the server may get more of what it has begun."""
        return not self.server.draining and self.vanished_at is None

    def record_success(self, seconds: float) -> None:
        """Note a good answer and how long it took."""
        self.failures = 0
        self.rest_s = EJECTION_S
        if self.mean_s == 0.0:
            self.mean_s = seconds
        self.mean_s += TIME_GAIN * (seconds - self.mean_s)

    def record_failure(self, now: float, to_rest: int = EJECTION_FAILURES) -> bool:
        """Note a failure; True if the server rests from now on.

        Parameters
        ----------
        to_rest : int
            Failures in a row after which it does.
        """
        self.failures += 1
        if self.failures < to_rest:
            return False
        self.failures = 0
        self.rests_until = now + self.rest_s
        self.rest_s = min(REST_MAX_S, self.rest_s * 2)
        return True


class _Sorted(NamedTuple):
    """Servers of a service that take work, and those that vanished."""

    ready: list[ServerState]
    vanished: list[ServerState]


class Fleet:
    """All known servers.

    Parameters
    ----------
    drain_s : float
        Seconds for which a server that has left still serves.
    """

    def __init__(self, drain_s: float = 2.0) -> None:
        # Set by who follows the store: it is away, or has just come back.
        self.store_unstable = False
        self._last_resort_s = LAST_RESORT * drain_s
        self._servers: dict[str, ServerState] = {}
        self._by_service: dict[str, list[ServerState]] = {}
        # By service: those that take work, and those that vanished.  Worked out anew
        # after a change; with 1,500 servers a look at each cost more than the request.
        self._sorted: dict[str, _Sorted] = {}

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
        if state is not None and _same_start(state.server, server):
            state.server = server
            state.vanished_at = None
            self._sorted.pop(server.service, None)
            return None
        replaced = None if state is None else state.server
        if state is not None:
            self._forget(state)
        state = ServerState(server)
        self._servers[server.id] = state
        self._by_service.setdefault(server.service, []).append(state)
        self._sorted.pop(server.service, None)
        return replaced

    def remove(
        self, server_id: str, now: float, *, is_lease_expired: bool = False
    ) -> None:
        """Take the end of an entry.

        Parameters
        ----------
        is_lease_expired : bool
            It may have ended only because the store was away: it was missing in the
            first answer after that.  What ends later has left, and a server that has
            left must get nothing for longer than it serves.
        """
        state = self._servers.get(server_id)
        if state is not None and state.vanished_at is None:
            state.vanished_at = now
            state.is_lease_expired = is_lease_expired
            self._sorted.pop(state.server.service, None)

    def retain_only(self, present: set[str], now: float) -> None:
        """Take a full listing: what is not in it has vanished."""
        for server_id in self._servers:
            if server_id not in present:
                self.remove(server_id, now, is_lease_expired=self.store_unstable)

    def record_failure(self, state: ServerState, now: float) -> None:
        """Note that a server failed; it may rest."""
        alike = len(self._by_service.get(state.server.service, []))
        state.record_failure(
            now, 1 if alike >= SERVERS_TO_SUSPECT else EJECTION_FAILURES
        )

    def remove_expired(self, now: float) -> list[Server]:
        """Forget servers that vanished long ago and have nothing under way."""
        gone = [
            state
            for state in self._servers.values()
            if state.vanished_at is not None
            and now - state.vanished_at > REREGISTRATION_S
            and state.in_flight == 0
        ]
        for state in gone:
            self._forget(state)
        return [state.server for state in gone]

    def eligible_servers(self, service: str, now: float) -> list[ServerState]:
        """Servers that may get new work.

        Resting servers are left out unless that leaves none: a wrong suspicion of all
        of them must not stop a service.

        Returns
        -------
        list of ServerState
            Not to be changed.  The same object as before if nothing has changed, so
            that what follows from it can be kept.
        """
        ready, vanished = self._sort(service)
        if vanished:
            ready = self._with_vanished(ready, vanished, now)
        awake = [state for state in ready if state.rests_until <= now]
        if len(awake) == len(ready):
            return ready
        return awake or ready

    def _sort(self, service: str) -> _Sorted:
        found = self._sorted.get(service)
        if found is None:
            states = self._by_service.get(service, [])
            states = [state for state in states if not state.server.draining]
            found = _Sorted(
                [state for state in states if state.vanished_at is None],
                [state for state in states if state.vanished_at is not None],
            )
            self._sorted[service] = found
        return found

    def _with_vanished(
        self, ready: list[ServerState], vanished: list[ServerState], now: float
    ) -> list[ServerState]:
        ready = ready + [s for s in vanished if self._lapsed(s, now)]
        gone = [s for s in vanished if s.vanished_within(self._last_resort_s, now)]
        gone = [s for s in gone if s not in ready]
        # One entry that ends means a server that leaves, most of a service's do not.
        if not ready or (self.store_unstable and len(gone) > len(ready)):
            ready = ready + gone
        return ready

    def _lapsed(self, state: ServerState, now: float) -> bool:
        """Whether an entry vanished only because the store was away, and may be back.

        One that vanishes after that, also shortly after, is not counted: used beside
        others for 1.4 s after that was learned, a server got a request later than the
        two seconds for which it still serves.
        """
        unsure = self.store_unstable and state.is_lease_expired
        return unsure and state.vanished_within(REREGISTRATION_S, now)

    def _forget(self, state: ServerState) -> None:
        del self._servers[state.server.id]
        self._by_service[state.server.service].remove(state)
        self._sorted.pop(state.server.service, None)


def _same_start(known: Server, told: Server) -> bool:
    return (known.service, known.born) == (told.service, told.born)
