"""Known backend servers and what their responses reveal about them.

Servers are added and removed by their entries in the platform's store, which lag
behind. Load, own requests in flight and failures of a server are learned from its
responses.

A removed entry means that the server is leaving, or that the lease of the entry expired
during an outage of the store. In normal operation a removed server gets no new requests
while its service has other servers, and only for a short time if it has none.

Entries missing from the first listing after an outage have expired. Their servers stay
in use until entries have had time to come back. Otherwise the first entry to return
would draw the requests of the whole service to one server. An entry removed after that
first listing means that its server is leaving, unless most entries of the service are
removed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial
from typing import Final, NamedTuple

from .observations import Observations
from .outages import REREGISTRATION_S
from .pace import ServerPace
from .reuse import CachedSegments

# Consecutive failures after which a server is ejected, and the first ejection time in
# seconds. A single failure says little. At the usual failure rate of one in thirty,
# three in a row are not a coincidence.
EJECTION_FAILURES: Final = 3
EJECTION_S: Final = 1.0
# In a service of at least this size, one failure ejects a server. Each process sends a
# server few requests, so three consecutive failures would take seconds, during which a
# server that fails at once looks idle. To eject one healthy server of a dozen by
# mistake costs little capacity.
MIN_SERVERS_FAST_EJECTION: Final = 12
MAX_EJECTION_S: Final = 8.0
# Fraction of the drain time within which a leaving server may be used if its service
# has no other, counted from the last time at which its entry was known to be there. The
# other half, one of two seconds, covers the way of the request.
LAST_RESORT_FRACTION: Final = 0.5
# Seconds after a refused connection for which a server is believed to be gone.
REFUSED_S: Final = 2.0
# Load reports older than this are ignored, in seconds.
MAX_LOAD_AGE_S: Final = 1.0
# Weights of this process's own requests and of the requests of other processes.
OWN_REQUEST_WEIGHT: Final = 3.0
OTHER_REQUEST_WEIGHT: Final = 0.3
# Weight of a new sample in the moving average of the response time.
RESPONSE_TIME_WEIGHT: Final = 0.1


class Server(NamedTuple):
    """A backend server as described by its entry in the store.

    Attributes
    ----------
    id : str
        Name of its entry. A server may restart under the same name.
    born : int
        Distinguishes incarnations under the same id; 0 if not stated.
    slots : int
        Number of requests that it runs concurrently.
    draining : bool
        Whether it accepts no new requests.
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
        """Name of this incarnation of the server, the key of its connections."""
        return f"{self.id}.{self.born}"


class Load(NamedTuple):
    """Load that a server reported with a response.

    Attributes
    ----------
    pace : float or None
        How long work takes on the machine now, 100 if as usual; None if not reported.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


class RecentLoad(NamedTuple):
    """What a recent load report says of a server.

    Attributes
    ----------
    age_s : float
        Age of the report in seconds.
    others : int
        Requests of other processes.
    waiting : int
        Requests that wait.
    has_free_slots : bool
        Whether no request waited and the requests sent since leave slots free.
    """

    age_s: float
    others: int
    waiting: int
    has_free_slots: bool


class ServerState:
    """State of one server as observed by this process."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.incarnation = server.incarnation
        self.in_flight = 0
        self.removed_at: float | None = None
        self.is_lease_expired = False
        self.failures = 0
        self.ejected_until = 0.0
        self.ejection_s = EJECTION_S
        self.mean_response_s = 0.0
        self.overloaded_until = 0.0
        self.refused_until = 0.0
        # Time of the last response that rejected a request because the server is full.
        self.full_at = float("-inf")
        self._load = Load(0, 0, server.slots)
        self._load_at = float("-inf")
        self._in_flight_at_report = 0
        self.cached_segments = CachedSegments()
        self.observations = Observations()
        self.pace = ServerPace()

    def record_load(self, load: Load, now: float) -> None:
        """Store a load report."""
        self._load = load
        self._load_at = now
        self._in_flight_at_report = self.in_flight

    def load_age_s(self, now: float) -> float:
        """Age of the last load report in seconds; infinite if there is none."""
        return now - self._load_at

    def reported_by_others(self, now: float) -> int | None:
        """Return the requests of other processes in the last report, or None."""
        report = self.recent_report(now)
        return None if report is None else report.others

    def recent_report(self, now: float) -> RecentLoad | None:
        """Return what the last load report says of others; None if it is outdated."""
        age_s = now - self._load_at
        if age_s > MAX_LOAD_AGE_S:
            return None
        running, waiting = self._load.running, self._load.waiting
        in_flight_before = self._in_flight_at_report
        others = max(0, running + waiting - in_flight_before)
        sent_since = max(0, self.in_flight - in_flight_before)
        has_free_slots = waiting <= 0 and running + sent_since < self.server.slots
        return RecentLoad(age_s, others, waiting, has_free_slots)

    def has_free_slots(self, now: float) -> bool:
        """Return whether a request would not wait, as far as is known."""
        report = self.recent_report(now)
        return report is None or report.has_free_slots

    def reports_waiting(self, now: float) -> bool:
        """Return whether a recent report states that requests wait at the server."""
        report = self.recent_report(now)
        return report is not None and report.waiting > 0

    def load(self, now: float) -> float:
        """Estimate the number of requests at the server from all processes.

        Own requests are known exactly, and reports are some responses old. If all
        relays trusted the reports, they would overload the server that was least loaded
        a moment ago. If each relay spreads its own requests evenly, the sum is even
        too. Own requests therefore have a high weight and the requests of others a low
        one.
        """
        own_load = OWN_REQUEST_WEIGHT * self.in_flight
        if now - self._load_at > MAX_LOAD_AGE_S:
            return own_load
        reported = self._load.running + self._load.waiting
        return own_load + OTHER_REQUEST_WEIGHT * max(
            0, reported - self._in_flight_at_report
        )

    @property
    def reports_pace(self) -> bool:
        """Whether the last load report had the fourth figure."""
        return self._load.pace is not None

    def removed_within(self, seconds: float, now: float) -> bool:
        """Return whether the entry was removed at most `seconds` ago."""
        return self.removed_at is not None and now - self.removed_at <= seconds

    def accepts_requests(self) -> bool:
        """Return whether the server may get further requests of a running program."""
        return not self.server.draining and self.removed_at is None

    def is_usable(self, now: float) -> bool:
        """Return whether nothing is known that speaks against sending a request."""
        return max(self.ejected_until, self.overloaded_until, self.refused_until) <= now

    def record_success(self, seconds: float) -> None:
        """Record a successful response and its duration in seconds."""
        self.failures = 0
        self.ejection_s = EJECTION_S
        if self.mean_response_s == 0.0:
            self.mean_response_s = seconds
        self.mean_response_s += RESPONSE_TIME_WEIGHT * (seconds - self.mean_response_s)

    def record_failure(
        self, now: float, ejection_failures: int = EJECTION_FAILURES
    ) -> bool:
        """Record a failure; return whether it ejects the server.

        Parameters
        ----------
        ejection_failures : int
            Consecutive failures that eject the server.
        """
        self.failures += 1
        if self.failures < ejection_failures:
            return False
        self.failures = 0
        self.ejected_until = now + self.ejection_s
        self.ejection_s = min(MAX_EJECTION_S, self.ejection_s * 2)
        return True


class _Partition(NamedTuple):
    """Servers of a service whose entry is present, and those whose entry is removed."""

    available: list[ServerState]
    removed: list[ServerState]


class Fleet:
    """All known servers.

    Parameters
    ----------
    drain_s : float
        Seconds for which a server still serves after its removal from the store.
    """

    def __init__(self, drain_s: float = 2.0) -> None:
        # Set by the store client while the store is unreachable or has just come back.
        self.store_unstable = False
        # Called with the incarnation of a server that says that it is leaving.
        self.on_leaving: Callable[[str], None] = lambda incarnation: None
        self._last_resort_s = LAST_RESORT_FRACTION * drain_s
        self._servers: dict[str, ServerState] = {}
        # Servers that have had requests recently.
        self._active: set[ServerState] = set()
        self._by_service: dict[str, list[ServerState]] = {}
        # Cached partition of the servers of each service. With 1,500 servers, checking
        # each server per request cost more than the request itself.
        self._partitions: dict[str, _Partition] = {}
        # Changes of the entries of each service.
        self._versions: dict[str, int] = {}
        # Last result of `eligible_servers` for each service.
        self._eligible: dict[str, list[ServerState]] = {}

    def __len__(self) -> int:
        return len(self._servers)

    def get(self, server_id: str) -> ServerState | None:
        """Return a known server, or None."""
        return self._servers.get(server_id)

    def version(self, service: str) -> int:
        """Return a number that changes with the entries of a service."""
        return self._versions.get(service, 0)

    def services(self) -> list[str]:
        """Return the names of the services that have had servers."""
        return list(self._by_service)

    def states_of(self, service: str) -> list[ServerState]:
        """Return the known servers of a service; must not be modified."""
        return self._by_service.get(service, [])

    def states(self) -> Iterable[ServerState]:
        """Return all known servers."""
        return self._servers.values()

    def active_states(self, now: float) -> list[ServerState]:
        """Return the servers with own requests in flight or recent outcomes.

        A relay has requests at a few of hundreds of servers.
        """
        idle = [s for s in self._active if s.observations.is_idle(now)]
        self._active.difference_update(idle)
        return list(self._active)

    def put(self, server: Server) -> Server | None:
        """Add or update an entry; return the incarnation that it replaces, or None.

        A restarted server has lost its load and its caches. If the old load, failures
        and known prompt segments stayed, requests would avoid an idle server, or go to
        one for a prompt that it no longer has cached.
        """
        state = self._servers.get(server.id)
        if state is not None and _is_same_incarnation(state.server, server):
            if server.draining and not state.server.draining:
                self.on_leaving(state.incarnation)
            state.server = server
            state.removed_at = None
            self._forget_lists(server.service)
            return None
        replaced = None if state is None else state.server
        if state is not None:
            self._discard(state)
        state = ServerState(server)
        state.observations.on_open = partial(self._active.add, state)
        self._servers[server.id] = state
        self._by_service.setdefault(server.service, []).append(state)
        self._forget_lists(server.service)
        return replaced

    def remove(
        self, server_id: str, now: float, *, is_lease_expired: bool = False
    ) -> None:
        """Remove an entry.

        Parameters
        ----------
        now : float
            Time at which the entry was removed, or the earliest one possible.
        is_lease_expired : bool
            Whether its lease may have expired only because of an outage of the store:
            it was missing from the first listing after the outage. A server whose entry
            is removed later has left, and must get no requests after its drain time.
        """
        state = self._servers.get(server_id)
        if state is not None and state.removed_at is None:
            state.removed_at = now
            state.is_lease_expired = is_lease_expired
            self._forget_lists(state.server.service)

    def retain_only(
        self, present: set[str], now: float, *, is_lease_expired: bool = False
    ) -> None:
        """Remove all servers that a full listing does not contain, see `remove`."""
        for server_id in self._servers:
            if server_id not in present:
                self.remove(server_id, now, is_lease_expired=is_lease_expired)

    def record_failure(self, state: ServerState, now: float) -> None:
        """Record a failure of a server, which may eject it."""
        service_size = len(self._by_service.get(state.server.service, []))
        state.record_failure(
            now, 1 if service_size >= MIN_SERVERS_FAST_EJECTION else EJECTION_FAILURES
        )

    def record_refused(self, incarnation: str, now: float) -> None:
        """Record that the port of a server refuses connections."""
        state = self._servers.get(incarnation.rpartition(".")[0])
        if state is not None and state.incarnation == incarnation:
            state.refused_until = now + REFUSED_S

    def remove_expired(self, now: float) -> list[Server]:
        """Drop servers that were removed long ago and have no requests in flight."""
        expired = [
            state
            for state in self._servers.values()
            if state.removed_at is not None
            and now - state.removed_at > REREGISTRATION_S
            and state.in_flight == 0
        ]
        for state in expired:
            self._discard(state)
        return [state.server for state in expired]

    def eligible_servers(self, service: str, now: float) -> list[ServerState]:
        """Return the servers that may get new requests.

        Ejected servers are excluded unless that leaves none, as a wrong suspicion of
        all servers must not stop a service.

        Returns
        -------
        list of ServerState
            Must not be modified. The same object as in the last call if nothing has
            changed, so that callers can cache derived results.
        """
        available = self.available_servers(service, now)
        not_ejected = [state for state in available if state.ejected_until <= now]
        if len(not_ejected) < len(available):
            available = not_ejected or available
        last = self._eligible.get(service)
        if last is not None and last == available:
            return last
        self._eligible[service] = available
        return available

    def available_servers(self, service: str, now: float) -> list[ServerState]:
        """Return the servers that may get new requests, ejected ones included."""
        available, removed = self._partition(service)
        return self._add_removed(available, removed, now) if removed else available

    def may_send(self, state: ServerState, now: float) -> bool:
        """Return whether a server that was chosen before may still get the request."""
        if self._servers.get(state.server.id) is not state:
            return False
        if state.accepts_requests():
            return True
        return state in self.available_servers(state.server.service, now)

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
        recently_removed = [
            s for s in removed if s.removed_within(self._last_resort_s, now)
        ]
        recently_removed = [s for s in recently_removed if s not in available]
        # A single removed entry means a leaving server. If most entries of a service
        # are removed during an outage, their servers have probably not left.
        if not available or (
            self.store_unstable and len(recently_removed) > len(available)
        ):
            available = available + recently_removed
        return available

    def _may_come_back(self, state: ServerState, now: float) -> bool:
        """Return whether an entry expired in a store outage and may still come back.

        An entry that is removed later is excluded, even shortly after the outage: a
        leaving server that stayed in use for 1.4 s after its removal was known got a
        request after the two seconds for which it still served.
        """
        has_expired = self.store_unstable and state.is_lease_expired
        return has_expired and state.removed_within(REREGISTRATION_S, now)

    def _forget_lists(self, service: str) -> None:
        """Drop the cached lists of a service, after a change of an entry."""
        self._partitions.pop(service, None)
        self._eligible.pop(service, None)
        self._versions[service] = self.version(service) + 1

    def _discard(self, state: ServerState) -> None:
        del self._servers[state.server.id]
        self._active.discard(state)
        self._by_service[state.server.service].remove(state)
        self._forget_lists(state.server.service)


def _is_same_incarnation(known: Server, received: Server) -> bool:
    return (known.service, known.born) == (received.service, received.born)
