"""Choice of the server with the least predicted finish, in milliseconds.

Load pattern: a quarter of the servers run at less than half the speed of the others,
and a caller's program must end within 1.3 times its time on idle servers. A request
that goes to a slow server while a fast one is idle is late whatever happens afterwards.

The prediction is the sum of the wait for a slot, the computation of the prompt tokens
that the server has not cached, decoding, and the transfer to another failure domain.

Reports are some responses old. If all relays trusted them, they would all choose the
server that was least loaded a moment ago. The weight of a report therefore decreases
with its age in favour of the usual load of the server, own requests in flight are
counted exactly, a choice compares only a few servers drawn at random, and nearly equal
predictions are decided at random.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, Protocol

from .choice import SelectionContext
from .fleet import ServerState
from .pace import BATCH_SLOWDOWN, REPORT_HALF_WEIGHT_S, ServerPace, ServicePace
from .reuse import FIRST_PRIVATE, cached_tokens

# Milliseconds for a request and its response to another failure domain: two round
# trips of 1.4 ms. The part per kilobyte of the request stands for the price of traffic
# between domains: a request of 30 kB crosses if it ends 15 ms earlier there, the delay
# that one more running request causes.
CROSS_DOMAIN_MS: Final = 2.8
CROSS_DOMAIN_MS_PER_KB: Final = 0.5
# Milliseconds to open a connection: a round trip and time of the server.
NEW_CONN_MS: Final = 2.0
# A shared prefix that this process has not sent to a server is cached there with this
# probability if the prefixes of the service all fit into the memory of each server.
UNKNOWN_PREFIX_MISSING: Final = 0.5
# Cost of computing a token, as a multiple of its time: it evicts another one, which is
# computed again later and delays what runs then.
RECOMPUTATION_COST: Final = 3.0
# Computing a prompt stops the decoding of the requests that run on the server. Each of
# them is delayed by this fraction of the time.
STALLED_FRACTION: Final = 1.0
# Milliseconds added for a server that is silent or suspect. Callers give up after 2 s,
# so any server with a shorter wait is better.
SILENCE_MS: Final = 2_000.0
# Milliseconds added for a server that has just reported that it is full.
OVERLOADED_MS: Final = 500.0
# The number of requests at a server is uncertain by this fraction of its slots, so that
# a wait is possible before all slots seem to be in use.
WAIT_SPREAD: Final = 0.5
# A request also delays the others: those that run, by slower decoding, and those that
# arrive while it runs, by their wait. Without these costs the relays fill the fast
# servers to their last slot.
LOAD_COST: Final = 2.0
WAIT_COST: Final = 5.0
# Predictions within the larger of these margins count as equal: a fraction of the least
# prediction, and milliseconds.
TIE_FRACTION: Final = 0.02
TIE_MS: Final = 2.0
# Interval in seconds at which the estimates of all servers are computed again.
REFRESH_INTERVAL_S: Final = 0.25
# Servers that are drawn for a choice, and affinity servers drawn besides. If all were
# compared, all relays that have the same reports would choose the same server. Eight
# servers of many all belong to the slow quarter in 1 of 65,000 draws.
MAX_SAMPLES: Final = 8
# Draws with repetition, which give 8.4 of 25 servers on average.
DRAWS: Final = 10
MAX_AFFINITY_SAMPLES: Final = 2
# Maximum number of cached lists of affinity servers.
MAX_CACHED_RESULTS: Final = 256


class OthersLoad(Protocol):
    """Requests that other relays have at a server."""

    @property
    def in_flight(self) -> int:
        """Requests in flight."""

    @property
    def reserved_tokens(self) -> int:
        """Tokens of their prompts and maximum outputs."""

    @property
    def silent(self) -> int:
        """Requests that are silent for longer than usual."""

    @property
    def age_s(self) -> float:
        """Age in seconds."""


class ServerPicture(Protocol):
    """What all relays together know of servers."""

    def others(self, incarnation: str, now: float) -> OthersLoad | None:
        """Return the load from other relays; None if it is unknown."""

    def weight(self, incarnation: str) -> float:
        """Return the capacity of a server, the same at all relays; 1 is usual."""

    def is_suspect(self, incarnation: str, now: float) -> bool:
        """Return whether relays observe failures or silence of a server."""


class NoPicture:
    """Nothing is known from other relays."""

    def others(self, incarnation: str, now: float) -> OthersLoad | None:
        """Return None."""
        return None

    def weight(self, incarnation: str) -> float:
        """Return the usual capacity."""
        return 1.0

    def is_suspect(self, incarnation: str, now: float) -> bool:
        """Suspect no server."""
        return False


# A server with the properties that every prediction reads: its state and pace, the
# tokens of its cached segments, its id and incarnation, whether it is in another
# domain, and its slots. A plain tuple, as it is unpacked faster than a
# named one.
_Row = tuple[ServerState, ServerPace, dict[str, int], str, str, bool, int]


class FinishChooser:
    """Chooses servers of one service by their predicted finish.

    Parameters
    ----------
    service : ServicePace
        Usual pace of the service.
    domain : str
        Failure domain of this process.
    picture : ServerPicture
        What other relays know.
    randbelow : callable
        Returns a random integer below its argument.
    """

    def __init__(
        self,
        service: ServicePace,
        domain: str,
        picture: ServerPicture,
        randbelow: Callable[[int], int],
    ) -> None:
        self.service = service
        self._domain = domain
        self._picture = picture
        self._randbelow = randbelow
        self._servers: list[ServerState] = []
        self._rows: list[_Row] = []
        self._rows_by_id: dict[str, _Row] = {}
        self._preferred: dict[frozenset[str], list[_Row]] = {}
        self._refreshed_at = float("-inf")

    def choose(
        self,
        servers: list[ServerState],
        context: SelectionContext,
        output_tokens: int,
        now: float,
    ) -> ServerState | None:
        """Choose a server, or return None if every server was tried.

        Parameters
        ----------
        servers : list of ServerState
            Must not change as long as it is the same object.
        output_tokens : int
            Maximum number of tokens to generate; 0 if unknown.
        """
        if servers is not self._servers:
            self._update_rows(servers)
        if now - self._refreshed_at >= REFRESH_INTERVAL_S:
            self._refresh(now)
        rows = self._rows
        if context.tried:
            rows = [row for row in rows if row[3] not in context.tried]
        if not rows:
            return None
        compared = self._sample(rows, context) if len(rows) > MAX_SAMPLES else rows
        predictions = _predict_ms(compared, context, output_tokens, self.service, now)
        if min(predictions) >= SILENCE_MS and len(compared) < len(rows):
            # Others may be left beside the sampled servers, which are all avoided.
            compared = rows
            predictions = _predict_ms(rows, context, output_tokens, self.service, now)
        least_ms = min(predictions)
        max_tied_ms = least_ms + max(TIE_MS, TIE_FRACTION * least_ms)
        tied = [n for n, ms in enumerate(predictions) if ms <= max_tied_ms]
        chosen = tied[self._randbelow(len(tied))] if len(tied) > 1 else tied[0]
        state = compared[chosen][0]
        state.pace.predicted_ms = predictions[chosen]
        return state

    def _update_rows(self, servers: list[ServerState]) -> None:
        self._servers = servers
        self._rows = [_make_row(state, self._domain) for state in servers]
        self._rows_by_id = {row[3]: row for row in self._rows}
        self._preferred.clear()
        if any(state.pace.token_ms == 0.0 for state in servers):
            self._refreshed_at = float("-inf")

    def _refresh(self, now: float) -> None:
        """Compute the estimates of all servers again, with what other relays know."""
        self._refreshed_at = now
        picture, service = self._picture, self.service
        for state in self._servers:
            pace, incarnation = state.pace, state.incarnation
            weight = picture.weight(incarnation)
            pace.refresh(service, now, weight, state.server.warmup_s)
            pace.set_suspect(picture.is_suspect(incarnation, now))
            others = picture.others(incarnation, now)
            if others is not None:
                pace.update_others(others.in_flight, now - others.age_s, service)

    def _sample(self, rows: list[_Row], context: SelectionContext) -> list[_Row]:
        """Keep the servers that have the program's prompt cached, and some others."""
        randbelow = self._randbelow
        count = len(rows)
        chosen: dict[str, _Row] = {}
        # One random number for all draws, as ten take a quarter of a choice.
        draw = randbelow(count**DRAWS)
        for _ in range(DRAWS):
            draw, position = divmod(draw, count)
            row = rows[position]
            chosen[row[3]] = row
        sample = []
        if context.affinity_servers:
            preferred = self._preferred_rows(context.affinity_servers)
            draws = min(MAX_AFFINITY_SAMPLES, len(preferred))
            sample = [preferred[randbelow(len(preferred))] for _ in range(draws)]
        if len(context.segments) > FIRST_PRIVATE:
            program_id = context.segments[FIRST_PRIVATE].id
            sample += [row for row in rows if program_id in row[2]]
            rendezvous_row = self._rows_by_id.get(context.rendezvous_id)
            if rendezvous_row is not None:
                sample.append(rendezvous_row)
        for row in sample:
            if row[3] not in context.tried:
                chosen[row[3]] = row
        return list(chosen.values())

    def _preferred_rows(self, affinity_servers: frozenset[str]) -> list[_Row]:
        preferred = self._preferred.get(affinity_servers)
        if preferred is None:
            if len(self._preferred) >= MAX_CACHED_RESULTS:
                self._preferred.clear()
            preferred = [row for row in self._rows if row[3] in affinity_servers]
            self._preferred[affinity_servers] = preferred
        return preferred


def _make_row(state: ServerState, domain: str) -> _Row:
    server = state.server
    return (
        state,
        state.pace,
        state.cached_segments.tokens,
        server.id,
        state.incarnation,
        server.domain != domain,
        max(1, server.slots),
    )


def _predict_ms(
    rows: list[_Row],
    context: SelectionContext,
    output_tokens: int,
    service: ServicePace,
    now: float,
) -> list[float]:
    """Predict the milliseconds until the end of a response, for each server.

    One loop without calls per server, as it takes most of the time of a choice.
    """
    segments = context.segments
    affinity_servers, connected = context.affinity_servers, context.connected
    total = sum(segment.tokens for segment in segments)
    shared_id, shared_tokens = segments[0] if segments else ("", 0)
    program_id = segments[FIRST_PRIVATE].id if len(segments) > FIRST_PRIVATE else ""
    # Prompt tokens are counted in generated tokens that take as long.
    prompt_scale = RECOMPUTATION_COST * service.prompt_token_ms / service.token_ms
    known_missing = prompt_scale * (total - shared_tokens)
    other_missing = known_missing + prompt_scale * shared_tokens * (
        1.0 if affinity_servers else UNKNOWN_PREFIX_MISSING
    )
    transfer_ms = CROSS_DOMAIN_MS + CROSS_DOMAIN_MS_PER_KB * context.size_kb
    tokens = output_tokens or service.output_tokens
    slowdown = LOAD_COST * tokens * BATCH_SLOWDOWN
    # Cost of waiting for a whole response, in tokens.
    duration = WAIT_COST * service.duration_ms / service.token_ms
    half_weight_s = REPORT_HALF_WEIGHT_S
    age_offset_s = half_weight_s + now
    has_sent_program = False
    predictions: list[float] = []
    for state, pace, known, server_id, incarnation, is_remote, slots in rows:
        weight = half_weight_s / (age_offset_s - pace.report_at)
        in_flight = state.in_flight + pace.usual_others + weight * pace.others_excess
        work = tokens + slowdown * in_flight
        waiting = in_flight + 1.0 - slots
        spread = WAIT_SPREAD * slots
        if waiting >= spread:
            work += waiting / slots * duration
        elif waiting > -spread:
            work += (waiting + spread) ** 2 / (4.0 * spread * slots) * duration
        if program_id in known:
            has_sent_program = True
            missing = prompt_scale * (total - cached_tokens(known, segments))
        elif server_id in affinity_servers:
            missing = known_missing
        elif affinity_servers or shared_id not in known:
            missing = other_missing
        else:
            missing = known_missing
        work += missing * (1.0 + STALLED_FRACTION * in_flight)
        finish_ms = pace.token_ms * work * (1.0 + weight * pace.figure_excess)
        if is_remote:
            finish_ms += transfer_ms
        if incarnation not in connected:
            finish_ms += NEW_CONN_MS
        if now >= pace.check_at and pace.is_avoided(now):
            finish_ms += SILENCE_MS
        if state.overloaded_until > now:
            finish_ms += OVERLOADED_MS
        predictions.append(finish_ms)
    if context.rendezvous_id and not has_sent_program:
        # Another relay has probably sent the program there.
        for position, row in enumerate(rows):
            if row[3] == context.rendezvous_id:
                in_flight = row[0].in_flight + row[1].usual_others
                work = known_missing * (1.0 + STALLED_FRACTION * in_flight)
                predictions[position] -= work * row[1].token_ms
                break
    return predictions
