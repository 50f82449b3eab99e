"""Memory of engines: which servers have room for a request.

Load pattern: in a burst, all relays send requests with long prompts to the same
engines. An engine whose requests exceed its memory crashes and loses all of them, so a
request is never sent to a server whose known requests leave too little memory.

Known are own requests, and those of other relays from the shared picture or, without
it, from the server's load report. Both are some tenths of a second old, and several
relays may see the same free memory. Each relay therefore uses only its share of it
until it hears of the others, and leaves room for two more requests. A request that
finds no server waits for a short time and is then refused: the caller knows that it has
not run, and may find another relay with a share left.
"""

from __future__ import annotations

from bisect import insort
from collections import deque
from collections.abc import Iterable
from itertools import count
from typing import Final, NamedTuple, Protocol

from ..core.hashing import hash64
from .fleet import ServerState
from .need import Refuse, Wait
from .reuse import PromptSegment

# Mean requests for which room is left: shares are right on average, and several relays
# may use theirs at the same time.
RESERVED_REQUESTS: Final = 2
# Longest wait in seconds. A turn of a busy service ends on one of its servers within a
# few hundredths of a second, and callers expect the first event within 0.3 to 0.5 s.
MAX_WAIT_S: Final = 0.25
# The wait is at most this fraction of the time that the request has left.
MAX_WAIT_FRACTION: Final = 0.1
# Seconds between two decisions about a waiting request.
WAIT_STEP_S: Final = 0.02
# Retry-After of a refused request in seconds: some turns of each server have ended by
# then.
RETRY_AFTER_S: Final = 0.4
# Servers examined per decision, and servers with room that suffice for a choice. The
# room of one server takes 4 us to compute, and a decision may take 50 us. A waiting
# request is decided up to twelve times, each time from another server on.
MAX_EXAMINED: Final = 12
MAX_FREE: Final = 6
# Seconds after which other relays have heard of a request: reports are sent each
# quarter of a second, and travel over one keeper.
REPORT_AGE_S: Final = 0.4
# Fraction of an engine's memory above which free memory is not divided among relays.
# A division at all times would send turns away from the engines that have their
# conversations cached.
AMPLE_FRACTION: Final = 0.3
HASH_RANGE: Final = 2.0**64
NO_MEMORY: Final = "no server has room"
# Weight of a request in the moving average of the requests' tokens.
MEAN_WEIGHT: Final = 0.05


class OthersTokens(Protocol):
    """Load of one server by the requests of other relays."""

    @property
    def in_flight(self) -> int:
        """Number of requests."""

    @property
    def reserved_tokens(self) -> int:
        """Tokens of their prompts and longest outputs."""


class SharedLoad(Protocol):
    """Source of the load of other relays."""

    def others(self, incarnation: str, now: float) -> OthersTokens | None:
        """Return the load of one server; None if it is unknown."""


class NoSharedLoad:
    """Knows nothing of other relays."""

    def others(self, incarnation: str, now: float) -> None:
        """Return None."""


class MemoryNeed:
    """Tokens that a request needs at a server.

    Parameters
    ----------
    segments : tuple of PromptSegment
        Segments of the prompt; segments with the same id are stored once per server.
    prompt_tokens, output_tokens : int
        Tokens of the prompt, and the maximum number of tokens to generate.

    Attributes
    ----------
    total_tokens : int
        Tokens of the prompt and the longest output.
    private_tokens : int
        Those that are not in the most widely shared segment.
    unsegmented_tokens : int
        Those that are in no segment.
    """

    def __init__(
        self,
        segments: tuple[PromptSegment, ...],
        prompt_tokens: int,
        output_tokens: int,
    ) -> None:
        segment_tokens = sum(segment.tokens for segment in segments)
        shared_tokens = segments[0].tokens if len(segments) > 1 else 0
        self.segments = segments
        self.unsegmented_tokens = max(0, prompt_tokens - segment_tokens) + output_tokens
        self.total_tokens = segment_tokens + self.unsegmented_tokens
        self.private_tokens = self.total_tokens - shared_tokens


class _HeldSegment:
    """A segment that own requests at a server share."""

    def __init__(self) -> None:
        self.tokens = 0
        self.users = 0


class _ServerUse:
    """Memory of one server that own requests use."""

    def __init__(self) -> None:
        self.tokens = 0
        self.requests = 0
        self.segments: dict[str, _HeldSegment] = {}

    def missing_tokens(self, need: MemoryNeed) -> int:
        """Return the tokens by which a request would raise the use."""
        tokens = need.total_tokens
        for segment in need.segments:
            held = self.segments.get(segment.id)
            if held is not None:
                tokens -= min(held.tokens, segment.tokens)
        return tokens


class _OthersLoad(NamedTuple):
    requests: int
    tokens: float


class Reservation:
    """Memory of a server that is reserved for one request."""

    def __init__(self, state: ServerState, need: MemoryNeed) -> None:
        self.incarnation = state.incarnation
        self.service = state.server.service
        self.need = need
        self.is_released = False


class Ticket(NamedTuple):
    """Place of a waiting request: by rank, then by arrival."""

    rank: int
    number: int


def has_waited_enough(waited_s: float, remaining_s: float) -> bool:
    """Return whether a request has waited as long as it can."""
    # The time left has shrunk by the wait.
    usable_s = MAX_WAIT_FRACTION * (remaining_s + waited_s)
    return waited_s >= min(MAX_WAIT_S, usable_s)


class EngineMemory:
    """Memory of all servers, as far as this process knows.

    Parameters
    ----------
    shared : SharedLoad or None
        Source of the load of other relays.
    name : str
        Name of this process.
    """

    def __init__(self, shared: SharedLoad | None = None, name: str = "") -> None:
        self._name = name
        self._shared = shared or NoSharedLoad()
        self._uses: dict[str, _ServerUse] = {}
        # Waiting requests of each service, in the order in which they get room.
        self._queues: dict[str, list[Ticket]] = {}
        self._numbers = count()
        self._examined = 0
        # Mean private tokens of a request, by service.
        self._mean_tokens: dict[str, float] = {}
        # Requests in flight, by service: own ones, and those of other relays.
        self._own_counts: dict[str, int] = {}
        self._others_counts: dict[str, int] = {}
        self._observed_at: dict[str, float] = {}
        # Times and tokens of own requests that others may not have heard of.
        self._recent: dict[str, deque[tuple[float, int]]] = {}

    # Waiting

    def enter(self, service: str, rank: int) -> Ticket:
        """Add a request to the waiting ones; `leave` must be called in any case."""
        ticket = Ticket(rank, next(self._numbers))
        insort(self._queues.setdefault(service, []), ticket)
        return ticket

    def leave(self, service: str, ticket: Ticket) -> None:
        """Remove a request that was sent or refused, or whose caller has left."""
        queue = self._queues[service]
        queue.remove(ticket)
        if not queue:
            del self._queues[service]

    def is_next(self, service: str, rank: int, ticket: Ticket | None) -> bool:
        """Return whether no waiting request goes before this one."""
        queue = self._queues.get(service)
        if queue is None:
            return True
        return queue[0] == ticket if ticket is not None else queue[0].rank > rank

    # Decisions

    def has_room(
        self, state: ServerState, need: MemoryNeed, memory_tokens: int, now: float
    ) -> bool:
        """Return whether a request may be sent to a server with this memory."""
        use = self._uses.get(state.incarnation)
        others = self._others_load(state, now)
        missing = need.total_tokens if use is None else use.missing_tokens(need)
        own = 0 if use is None else use.tokens
        room = memory_tokens - own - missing - others.tokens
        if room < 0:
            return False
        service = state.server.service
        if not self._others_counts.get(service):
            return True
        if use is not None or others.requests:
            # On an unused server, one request may need nearly the whole memory.
            room -= RESERVED_REQUESTS * self._mean_tokens.get(service, 0.0)
        if room >= AMPLE_FRACTION * memory_tokens:
            return True
        return room >= 0 and self._is_own_share(state, missing, room, now)

    def _is_own_share(
        self, state: ServerState, missing: int, room: float, now: float
    ) -> bool:
        """Return whether a request is within this relay's share of the free memory.

        Other relays that see the same free memory send requests at the same time. Each
        uses only its share until it hears of the others. A share below one request is
        used at some times, which differ between relays.
        """
        recent = self._recent_tokens(state.incarnation, now)
        budget = self._share(state.server.service) * (room + missing + recent)
        if recent + missing <= budget:
            return True
        if recent > 0:
            return False
        period = int(now / REPORT_AGE_S)
        draw = hash64(self._name, state.incarnation, str(period)) / HASH_RANGE
        return draw * missing < budget

    def decide(
        self,
        states: Iterable[ServerState],
        need: MemoryNeed,
        memory_tokens: int,
        now: float,
        *,
        is_next: bool,
        waited_s: float,
        remaining_s: float,
    ) -> frozenset[str] | Wait | Refuse:
        """Decide which servers a request must not be sent to.

        Parameters
        ----------
        states : iterable of ServerState
            Servers that may get it, all of one service.
        is_next : bool
            Whether no waiting request goes before this one.
        waited_s, remaining_s : float
            Seconds that it has waited, and that it has left.

        Returns
        -------
        frozenset of str or Wait or Refuse
            Ids of the servers that are not known to have room. Wait or refuse if none
            of those examined has.
        """
        if is_next:
            candidates = list(states)
            free = self._find_free(candidates, need, memory_tokens, now)
            if free or not candidates:
                ids = (state.server.id for state in candidates)
                return frozenset(ids) - free
        if has_waited_enough(waited_s, remaining_s):
            return Refuse(NO_MEMORY, RETRY_AFTER_S)
        return Wait(WAIT_STEP_S)

    def _find_free(
        self,
        states: list[ServerState],
        need: MemoryNeed,
        memory_tokens: int,
        now: float,
    ) -> set[str]:
        """Return some servers with room; each call begins at another server."""
        free: set[str] = set()
        for _ in range(min(MAX_EXAMINED, len(states))):
            self._examined += 1
            state = states[self._examined % len(states)]
            if self.has_room(state, need, memory_tokens, now):
                free.add(state.server.id)
                if len(free) >= MAX_FREE:
                    break
        return free

    # Use

    def reserve(self, state: ServerState, need: MemoryNeed, now: float) -> Reservation:
        """Reserve memory for a request that is sent to a server."""
        service = state.server.service
        self._own_counts[service] = self._own_counts.get(service, 0) + 1
        self._record_mean(service, need.private_tokens)
        use = self._uses.setdefault(state.incarnation, _ServerUse())
        recent = self._recent.setdefault(state.incarnation, deque())
        _drop_reported(recent, now)
        recent.append((now, use.missing_tokens(need)))
        use.requests += 1
        use.tokens += need.unsegmented_tokens
        for segment in need.segments:
            held = use.segments.setdefault(segment.id, _HeldSegment())
            held.users += 1
            use.tokens += max(0, segment.tokens - held.tokens)
            held.tokens = max(held.tokens, segment.tokens)
        return Reservation(state, need)

    def _record_mean(self, service: str, tokens: int) -> None:
        mean = self._mean_tokens.get(service, float(tokens))
        self._mean_tokens[service] = mean + MEAN_WEIGHT * (tokens - mean)

    def release(self, reservation: Reservation) -> None:
        """Release the memory of a request that has ended; repeated calls do nothing."""
        if reservation.is_released:
            return
        reservation.is_released = True
        use = self._uses[reservation.incarnation]
        need = reservation.need
        self._own_counts[reservation.service] -= 1
        use.requests -= 1
        use.tokens -= need.unsegmented_tokens
        for segment in need.segments:
            held = use.segments[segment.id]
            held.users -= 1
            if held.users == 0:
                use.tokens -= held.tokens
                del use.segments[segment.id]
        if use.requests == 0:
            del self._uses[reservation.incarnation]
            self._recent.pop(reservation.incarnation, None)

    def own_tokens(self, incarnation: str) -> int:
        """Return the tokens of own requests at a server."""
        use = self._uses.get(incarnation)
        return use.tokens if use is not None else 0

    def _recent_tokens(self, incarnation: str, now: float) -> int:
        """Return the tokens of own requests that others may not have heard of."""
        sent = self._recent.get(incarnation)
        if sent is None:
            return 0
        _drop_reported(sent, now)
        return sum(tokens for _, tokens in sent)

    def _share(self, service: str) -> float:
        own = self._own_counts.get(service, 0) + 1
        return own / (own + self._others_counts.get(service, 0))

    def observe(self, service: str, states: Iterable[ServerState], now: float) -> None:
        """Count the requests of other relays at a service's servers, now and then."""
        if now - self._observed_at.get(service, -REPORT_AGE_S) < REPORT_AGE_S:
            return
        self._observed_at[service] = now
        total = 0
        for state in states:
            others = self._shared.others(state.incarnation, now)
            total += max(0, others.in_flight) if others else 0
        self._others_counts[service] = total

    def _others_load(self, state: ServerState, now: float) -> _OthersLoad:
        """Return the load of a server by the requests of other relays.

        The prompts that other relays report contain the shared prefix once each, so
        their tokens are an upper limit. Without a picture, they are assumed to be like
        own ones that share one prefix.
        """
        others = self._shared.others(state.incarnation, now)
        if others is not None:
            # Wrong sums must not make room.
            return _OthersLoad(
                max(0, others.in_flight), float(max(0, others.reserved_tokens))
            )
        requests = state.reported_by_others(now) or 0
        mean = self._mean_tokens.get(state.server.service, 0.0)
        return _OthersLoad(requests, requests * mean)


def _drop_reported(sent: deque[tuple[float, int]], now: float) -> None:
    """Drop the requests that other relays have heard of."""
    while sent and now - sent[0][0] > REPORT_AGE_S:
        sent.popleft()
