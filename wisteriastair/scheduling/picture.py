"""What a relay knows of servers from the merged reports of all relays.

Load pattern: a relay sees one of many parts of a server's requests. It has to
distinguish a server that is full of the requests of others from an idle one, and a
server that fails for all from one that fails by chance.

The picture is advice: each entry has an age and expires. Without a picture, relays work
from what they observe themselves. Capacity steps alone are kept until they change,
since relays that use different steps would send a program to different servers.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from ..core.ledgerwire import (
    UNKNOWN_WEIGHTS,
    PictureBlock,
    ServerObservation,
    Weights,
    unpack_loads,
)
from .capacity import StepChange, clip_step, weight_of_step
from .digest import (
    AGE_UNIT_S,
    MAX_OBSERVATIONS,
    TOKENS_PER_UNIT,
    clip,
    server_key,
)
from .fleet import Fleet, ServerState

# Maximum age in seconds of any part of an entry.
MAX_AGE_S: Final = 1.5
# Seconds for which a server stays suspect after the last evidence. Without requests it
# gives none, and with this pause a server that still fails gets few requests.
SUSPECT_HOLD_S: Final = 2.0
# Witnesses that make a server suspect: two relays, or one relay with two requests. One
# failure alone is usual: one request in thirty fails.
MIN_WITNESSES: Final = 2
# A server is not suspect if it has more successes than this per failure or silence.
MAX_SUCCESSES_PER_FAILURE: Final = 2
# At most one server in this number is suspect in a service.
SERVERS_PER_SUSPECT: Final = 3
# Seconds after which the list of servers is read again.
INDEX_INTERVAL_S: Final = 1.0
# Limits of a sum: more than any server runs or has memory for.
MAX_SUM: Final = 1 << 20
# Own reports that are kept per server: those of the oldest block that may arrive.
MAX_OWN_REPORTS: Final = 16
# Seconds after which an own report is in no sum: the keeper counts it for 1 s, expires
# it up to 0.25 s later, and blocks that are older than `MAX_AGE_S` are not used.
REPORT_TTL_S: Final = 4.0


class OthersLoad(NamedTuple):
    """Load of one server by the requests of other relays.

    Attributes
    ----------
    in_flight : int
        Requests of other relays at the server.
    reserved_tokens : int
        Tokens of their prompts and longest outputs.
    silent : int
        Those that have been silent for longer than usual.
    age_s : float
        Age in seconds of the oldest part.
    """

    in_flight: int
    reserved_tokens: int
    silent: int
    age_s: float


class SuspectChange(NamedTuple):
    """A server that becomes suspect, or is no longer suspect."""

    incarnation: str
    is_suspect: bool
    witnesses: int


class _OthersEntry(NamedTuple):
    in_flight: int
    token_units: int
    as_of: float


class _Outcomes(NamedTuple):
    """Outcomes of the last second, as observed by all relays or by this one."""

    failures: int
    successes: int
    silent: int
    witnesses: int
    others_silent: int
    as_of: float


class _OwnReport(NamedTuple):
    stamp: int
    seen: ServerObservation
    at: float


class _Evidence(NamedTuple):
    until: float
    witnesses: int


class OwnReports:
    """What this relay has reported, to subtract it from the sums of all relays."""

    def __init__(self) -> None:
        # By server, the one that was reported last at the end.
        self._reports: dict[int, deque[_OwnReport]] = {}
        # The last reports to the previous keeper, and until when sums include them.
        self._previous: dict[int, ServerObservation] = {}
        self._previous_until = -math.inf

    def start_link(self, now: float) -> None:
        """Begin a link to another keeper, with new reports.

        The reports to the previous keeper stay in the sums until they expire.
        """
        if not self._reports:
            return
        self._previous = {s: r[-1].seen for s, r in self._reports.items()}
        self._previous_until = now + MAX_AGE_S
        self._reports.clear()

    def record(self, stamp: int, seen: Iterable[ServerObservation], now: float) -> None:
        """Record the contents of a report, and drop servers without recent ones."""
        for observation in seen:
            server = observation.server
            reports = self._reports.pop(server, None)
            if reports is None:
                reports = deque(maxlen=MAX_OWN_REPORTS)
            reports.append(_OwnReport(stamp, observation, now))
            self._reports[server] = reports
        for server, reports in list(self._reports.items()):
            if now - reports[-1].at < REPORT_TTL_S:
                return
            del self._reports[server]

    def find(self, server: int, stamp: int, now: float) -> ServerObservation | None:
        """Return the last report of a server up to a stamp."""
        for report in reversed(self._reports.get(server, ())):
            if report.stamp <= stamp:
                return report.seen
        return self._previous.get(server) if now < self._previous_until else None


class SharedPicture:
    """What a relay knows of servers from the reports of all relays.

    Parameters
    ----------
    fleet : Fleet
        The known servers.

    Attributes
    ----------
    weights_id : int
        Id of the capacity steps in use.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.weights_id = UNKNOWN_WEIGHTS
        self._fleet = fleet
        self._others: dict[int, _OthersEntry] = {}
        self._outcomes_of: dict[int, _Outcomes] = {}
        self._steps: dict[int, int] = {}
        self._weights: dict[int, float] = {}
        self._evidence: dict[str, _Evidence] = {}
        self._suspects: dict[str, float] = {}
        self._updated_at = -math.inf
        self._indexed_at = -math.inf
        self._states: dict[str, ServerState] = {}
        self._incarnations: dict[int, str] = {}
        self._service_sizes: Counter[str] = Counter()

    # Decisions

    def others(self, incarnation: str, now: float) -> OthersLoad | None:
        """Return the load by other relays; None if it is unknown or too old."""
        key = server_key(incarnation)
        entry = self._others.get(key)
        if entry is None or now - entry.as_of > MAX_AGE_S:
            return None
        silent = 0
        outcomes = self._outcomes_of.get(key)
        if outcomes is not None and now - outcomes.as_of <= MAX_AGE_S:
            silent = min(entry.in_flight, outcomes.others_silent)
        return OthersLoad(
            entry.in_flight,
            entry.token_units * TOKENS_PER_UNIT,
            silent,
            max(0.0, now - entry.as_of),
        )

    def weight(self, incarnation: str) -> float:
        """Return the capacity step of a server, 1.0 if none is known."""
        return self._weights.get(server_key(incarnation), 1.0)

    def is_suspect(self, incarnation: str, now: float) -> bool:
        """Return whether several requests show that a server fails or is silent."""
        until = self._suspects.get(incarnation)
        return until is not None and now < until

    def age_s(self, now: float) -> float:
        """Return the seconds since the last update; infinite without one."""
        return now - self._updated_at

    def suspect_count(self, now: float) -> int:
        """Return the number of suspect servers."""
        return sum(now < until for until in self._suspects.values())

    # Updates

    def apply_block(
        self,
        block: PictureBlock,
        made_at: float,
        own: Callable[[int], ServerObservation | None],
        now: float,
    ) -> None:
        """Apply merged entries.

        Parameters
        ----------
        made_at : float
            Earliest time at which the block may have been made.
        own : callable
            Returns this relay's own report of a server that the sums include.
        """
        if now - made_at > MAX_AGE_S:
            return
        self._updated_at = max(self._updated_at, made_at)
        for load in unpack_loads(block.loads)[:MAX_OBSERVATIONS]:
            in_flight, token_units = load.in_flight, load.token_units
            seen = own(load.server)
            if seen is not None:
                in_flight = max(0, in_flight - seen.in_flight)
                token_units = max(0, token_units - seen.token_units)
            as_of = made_at - load.age * AGE_UNIT_S
            self._others[load.server] = _OthersEntry(in_flight, token_units, as_of)
        for health in block.healths[:MAX_OBSERVATIONS]:
            silent = clip(health.silent, MAX_SUM)
            seen = own(health.server)
            self._outcomes_of[health.server] = _Outcomes(
                clip(health.failures, MAX_SUM),
                clip(health.successes, MAX_SUM),
                silent,
                clip(health.witnesses, MAX_SUM),
                max(0, silent - (seen.silent if seen else 0)),
                made_at - max(0, health.age) * AGE_UNIT_S,
            )

    def apply_weights(self, weights: Weights) -> list[StepChange]:
        """Apply capacity steps; return the changes."""
        if weights.steps is None or weights.id == UNKNOWN_WEIGHTS:
            return []
        steps = {w.server: clip_step(w.step) for w in weights.steps[:MAX_OBSERVATIONS]}
        changes = [
            StepChange(server, self._steps.get(server, 0), steps.get(server, 0))
            for server in sorted(self._steps.keys() | steps.keys())
            if self._steps.get(server, 0) != steps.get(server, 0)
        ]
        self._steps = steps
        self._weights = {server: weight_of_step(step) for server, step in steps.items()}
        self.weights_id = weights.id
        return changes

    def refresh(self, now: float) -> list[SuspectChange]:
        """Expire old entries and judge the servers again; return what has changed."""
        self._drop_evidence(now)
        for server in [s for s, e in self._others.items() if now - e.as_of > MAX_AGE_S]:
            del self._others[server]
        for server in [
            s for s, o in self._outcomes_of.items() if now - o.as_of > MAX_AGE_S
        ]:
            del self._outcomes_of[server]
        self._index_fleet(now)
        for state in self._judged_servers(now):
            self._collect_evidence(state, now)
        suspects = self._choose_suspects()
        changes = [
            SuspectChange(name, True, self._evidence[name].witnesses)
            for name in sorted(suspects.keys() - self._suspects.keys())
        ]
        changes += [
            SuspectChange(name, False, 0)
            for name in sorted(self._suspects.keys() - suspects.keys())
        ]
        self._suspects = suspects
        return changes

    def _index_fleet(self, now: float) -> None:
        """Update what is derived from all servers, which is too slow for each call."""
        is_same = len(self._fleet) == len(self._states)
        if is_same and now - self._indexed_at < INDEX_INTERVAL_S:
            return
        self._indexed_at = now
        states = self._fleet.states()
        self._states = {state.incarnation: state for state in states}
        self._incarnations = {server_key(name): name for name in self._states}
        self._service_sizes = Counter(state.server.service for state in states)

    def _judged_servers(self, now: float) -> list[ServerState]:
        """Return the servers of which there are outcomes."""
        judged = {state.incarnation: state for state in self._fleet.active_states(now)}
        for server in self._outcomes_of:
            name = self._incarnations.get(server)
            if name is not None:
                judged[name] = self._states[name]
        return list(judged.values())

    def _choose_suspects(self) -> dict[str, float]:
        by_service: dict[str, list[ServerState]] = {}
        for name in self._evidence:
            state = self._states.get(name)
            if state is not None:
                by_service.setdefault(state.server.service, []).append(state)
        suspects: dict[str, float] = {}
        for service, states in by_service.items():
            states.sort(key=self._suspicion_order)
            limit = self._service_sizes[service] // SERVERS_PER_SUSPECT
            for state in states[:limit]:
                suspects[state.incarnation] = self._evidence[state.incarnation].until
        return suspects

    def _suspicion_order(self, state: ServerState) -> tuple[bool, int, str]:
        """Order suspects; those that are suspect already stay so."""
        is_new = state.incarnation not in self._suspects
        return is_new, -self._evidence[state.incarnation].witnesses, state.incarnation

    def _collect_evidence(self, state: ServerState, now: float) -> None:
        """Judge one server by its recent outcomes."""
        outcomes = self._outcomes(state, now)
        if outcomes is None:
            return
        failing = outcomes.failures + outcomes.silent
        if outcomes.successes > MAX_SUCCESSES_PER_FAILURE * failing:
            self._evidence.pop(state.incarnation, None)
        elif failing and outcomes.witnesses >= MIN_WITNESSES:
            until = outcomes.as_of + SUSPECT_HOLD_S
            self._evidence[state.incarnation] = _Evidence(until, outcomes.witnesses)

    def _outcomes(self, state: ServerState, now: float) -> _Outcomes | None:
        """Return the merged outcomes of a server, or the own ones without these."""
        merged = self._outcomes_of.get(server_key(state.incarnation))
        if merged is not None:
            return merged
        seen = state.observations
        failures, silent = seen.failures(now), seen.silent(now)
        return _Outcomes(
            failures, seen.successes(now), silent, failures + silent, 0, now
        )

    def _drop_evidence(self, now: float) -> None:
        """Drop evidence that is too old."""
        for name in [n for n, e in self._evidence.items() if e.until <= now]:
            del self._evidence[name]
