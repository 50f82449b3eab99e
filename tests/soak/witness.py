"""Checks what callers and servers observe in a soak against the guarantees.

Only what callers and servers see on their sockets is checked, nothing inside the
product.  The id of a request determines its expected response, so that a complete
response can be checked without the server that sent it.
"""

from __future__ import annotations

import random
import time
from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final, NamedTuple

from tests.soak.crashes import FATAL_PREFIX, CrashChecker
from tests.soak.customers import FLOODING_CUSTOMER, MAX_IN_A_WINDOW, WINDOW_S
from tests.windows import max_in_a_window

TOKENS_PER_EVENT: Final = 25
MAX_EVENTS: Final = 6
MAX_TOKENS: Final = TOKENS_PER_EVENT * MAX_EVENTS
# A failure during a planned stop is excused only if an unplanned event happened on any
# machine, from this long before the request was sent until its end.  The value is
# ``contactMs``, after which machines count as connected again; it covers the restart of
# a killed process.
CONTACT_S: Final = 3.0
# The time that a caller offers to wait, less the tolerance of clocks and sockets.
# Nothing is guaranteed after it.  No time-out of a route is shorter.
CALLER_WAIT_S: Final = 2.0 - 0.1
# A connection may end without a response this long after the last byte of a request:
# ``lossSlackMs``.
LOSS_SLACK_S: Final = 0.2
# Statuses that guarantee that the request has not been executed and never will be.
NOT_EXECUTED_STATUSES: Final = (402, 408, 421, 429, 503)


# Ids of requests with large responses start with this.
LARGE_PREFIX: Final = "w"
# Above what the kernel buffers for a connection whose caller does not read.
LARGE_RESPONSE_BYTES: Final = 3_000_000


def plain_answer(request_id: str) -> str:
    """Return the response body of a plain service."""
    if request_id.startswith(LARGE_PREFIX):
        line = f"{request_id}\n"
        return line * (LARGE_RESPONSE_BYTES // len(line))
    return f"answer to {request_id}"


def event_data(request_id: str) -> list[str]:
    """Return the data of the events that an engine sends."""
    count = random.Random(request_id).randint(2, MAX_EVENTS)
    return [f"{request_id} says {number}" for number in range(1, count + 1)]


def stream_body(request_id: str) -> bytes:
    """Return the complete stream that a caller receives."""
    events = enumerate(event_data(request_id), start=1)
    return "".join(f"id: {n}\ndata: {data}\n\n" for n, data in events).encode()


class Turn(NamedTuple):
    """A turn that a caller sends; its chain determines the prompt."""

    id: str
    program: str
    previous_id: str
    history: str
    message: str

    def prompt(self) -> str:
        """Return the prompt that the server must receive."""
        return self.history + self.message

    def history_after(self) -> str:
        """Return the history that the next turn of the chain must start with."""
        events = "".join(f"{data}\n" for data in event_data(self.id))
        return self.prompt() + events


class Stop(NamedTuple):
    """A planned stop of a process, from its signal to its end."""

    name: str
    started_at: float
    ended_at: float


class Failure(NamedTuple):
    """A completely sent request without a complete response or a guaranteed status."""

    id: str
    relay: str
    sent_at: float
    ended_at: float
    status: int


def _overlaps_recently(
    intervals: list[tuple[float, float]], since: float, until: float
) -> bool:
    """Return whether an interval overlaps a time span or ended shortly before it."""
    return any(start <= until and since - CONTACT_S <= end for start, end in intervals)


class GuaranteeChecker:
    """Records requests, executions and stops, and finds the violated guarantees."""

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.crashes = CrashChecker()
        self.status_counts: dict[int, int] = defaultdict(int)
        self._kind_of_request: dict[str, str] = {}
        self._turns: dict[str, Turn] = {}
        self._complete_turns: set[str] = set()
        self._execution_counts: dict[str, int] = defaultdict(int)
        self._rejected: dict[str, int] = {}
        self._budgets: dict[str, int] = {}
        self._delivered_tokens: dict[str, int] = defaultdict(int)
        self.stops: list[Stop] = []
        self._failures: list[Failure] = []
        self._reset_requests: set[str] = set()
        self._unplanned_intervals: list[tuple[float, float]] = []
        # When some process waited too long for a processor; unplanned as well.
        self.starved_intervals: list[tuple[float, float]] = []
        # Failures during stops that are excused by an unplanned event.
        self.excused: list[str] = []
        self._killed_stops: list[Stop] = []
        self._customer_of_request: dict[str, str] = {}
        # When servers started requests of the flooding customer.
        self._flood_times: list[float] = []

    # Callers

    def record_request(self, request_id: str, kind: str) -> None:
        """Record a request before it is sent."""
        self._kind_of_request[request_id] = kind

    def record_customer(self, request_id: str, customer: str) -> None:
        """Record the customer whose API key a request contains."""
        self._customer_of_request[request_id] = customer

    def record_turn(self, turn: Turn, budget: int) -> None:
        """Record a turn before it is sent."""
        self.record_request(turn.id, "turn")
        self._turns[turn.id] = turn
        self._budgets[turn.program] = budget

    def record_response(
        self, request_id: str, status: int, body: bytes, is_complete: bool
    ) -> None:
        """Check and record a response; status 0 means that none was received."""
        self.status_counts[status] += 1
        if status in NOT_EXECUTED_STATUSES:
            self._rejected[request_id] = status
        if status == 401 and request_id in self._customer_of_request:
            self.violations.append(f"denied: {request_id} with a customer's key")
        if status:
            self.crashes.record_answer(request_id)
        if status == 503 and b'"quarantined"' in body:
            is_fatal = request_id.startswith(FATAL_PREFIX)
            self.crashes.innocents_quarantined += not is_fatal
        turn = self._turns.get(request_id)
        if turn is None:
            if status == 200 and body != plain_answer(request_id).encode():
                self.violations.append(f"mixed: {request_id} got {body!r}")
            return
        if status == 404 and (
            not turn.previous_id or turn.previous_id in self._complete_turns
        ):
            self.violations.append(
                f"lost: {turn.id} of {turn.program} after a whole turn"
            )
        if status != 200:
            return
        self._delivered_tokens[turn.program] += body.count(b"\n\n") * TOKENS_PER_EVENT
        expected = stream_body(turn.id)
        if is_complete:
            self._complete_turns.add(turn.id)
        if (is_complete and body != expected) or not expected.startswith(body):
            self.violations.append(
                f"order: {turn.id} got {body!r}, whole {is_complete}"
            )

    def record_failure(self, failure: Failure) -> None:
        """Record a request without a complete response or a guaranteed status."""
        self._failures.append(failure)

    # Operators

    def record_stop_start(self, name: str, now: float) -> int:
        """Record the signal of a planned stop; return the number of the stop."""
        self.stops.append(Stop(name, now, float("inf")))
        return len(self.stops) - 1

    def record_stop_end(self, number: int, now: float) -> None:
        """Record that the process has ended."""
        self.stops[number] = self.stops[number]._replace(ended_at=now)

    def record_forced_kill(self, number: int) -> None:
        """Record that the process had to be killed."""
        self._killed_stops.append(
            self.stops[number]._replace(ended_at=time.monotonic())
        )

    @contextmanager
    def record_unplanned(self) -> Iterator[None]:
        """Record an unplanned event that lasts for the duration of the context."""
        started_at = time.monotonic()
        try:
            yield
        finally:
            self._unplanned_intervals.append((started_at, time.monotonic()))

    # Servers

    def record_execution(self, request_id: str, body: str) -> None:
        """Check and record that a server starts to execute a request."""
        self._execution_counts[request_id] += 1
        kind = self._kind_of_request.get(request_id)
        if kind is None:
            self.violations.append(f"unasked: {request_id}")
        elif kind != "safe" and self._execution_counts[request_id] > 1:
            self.violations.append(f"twice: {request_id} of kind {kind}")
        turn = self._turns.get(request_id)
        if turn is not None and body != turn.prompt():
            self.violations.append(f"chain: {request_id} ran with {body!r}")

    def record_execution_customer(
        self, request_id: str, customer: str, key: str
    ) -> None:
        """Check the customer and the API key in the headers that a server receives."""
        expected_customer = self._customer_of_request.get(request_id, "")
        if customer != expected_customer:
            self.violations.append(
                f"customer: {request_id} of {expected_customer} ran for {customer}"
            )
        if key:
            self.violations.append(f"key: passed on with {request_id}")
        if customer == FLOODING_CUSTOMER:
            self._flood_times.append(time.monotonic())

    def record_reset(self, request_id: str) -> None:
        """Record that a server resets its response deliberately."""
        self._reset_requests.add(request_id)

    def _check_stops(self) -> None:
        """Check the stops, and the requests that failed at a stopping relay."""
        for stop in self._killed_stops:
            # Excused only if some process was waiting for a processor at that moment.
            was_starved = _overlaps_recently(
                self.starved_intervals, stop.ended_at, stop.ended_at
            )
            description = f"stop: {stop.name} had to be killed"
            (self.excused if was_starved else self.violations).append(description)
        for failure in self._failures:
            took_s = failure.ended_at - failure.sent_at
            stop_times = [
                stop.started_at
                for stop in self.stops
                if stop.name == failure.relay
                and stop.started_at <= failure.ended_at
                and failure.sent_at <= stop.ended_at
            ]
            if not stop_times or took_s >= CALLER_WAIT_S:
                continue
            if (
                self._execution_counts[failure.id]
                and failure.id not in self._reset_requests
            ):
                violation_kind = "cut"
            elif not failure.status and took_s > LOSS_SLACK_S:
                violation_kind = "held"
            else:
                continue
            since_s = failure.sent_at - stop_times[0]
            description = (
                f"{violation_kind}: {failure.id} at {failure.relay}, sent "
                f"{since_s:.2f} s after the signal, "
                f"status {failure.status} after {took_s:.2f} s"
            )
            unplanned_intervals = [*self._unplanned_intervals, *self.starved_intervals]
            excused = _overlaps_recently(
                unplanned_intervals, failure.sent_at, failure.ended_at
            )
            (self.excused if excused else self.violations).append(description)

    def find_violations(self) -> list[str]:
        """Return all violations, after the checks that need the end of the soak."""
        for request_id, status in self._rejected.items():
            if (
                self._execution_counts[request_id]
                and self._kind_of_request[request_id] != "safe"
            ):
                self.violations.append(
                    f"refused: {request_id} got {status} and has run"
                )
        self._check_stops()
        self.violations += self.crashes.find_violations()
        self.excused += self.crashes.excused
        flood_count = max_in_a_window(self._flood_times, WINDOW_S)
        if flood_count > MAX_IN_A_WINDOW:
            self.violations.append(f"quota: {flood_count} requests in a window")
        for program, delivered_tokens in self._delivered_tokens.items():
            if delivered_tokens > self._budgets[program] + MAX_TOKENS:
                self.violations.append(
                    f"budget: {program} was handed {delivered_tokens} tokens"
                )
        return self.violations
