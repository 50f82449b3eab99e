"""What callers and servers saw of a soak, and the promises that it must not break.

Callers and servers are outside of the product: what they saw on their sockets is all
that is judged.  What an answer must be follows from the request's id alone, so that a
whole answer can be checked without asking the server that gave it.
"""

from __future__ import annotations

import random
import time
from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final, NamedTuple

from tests.soak.customers import FLOOD, MAX_IN_A_WINDOW, WINDOW_S
from tests.windows import max_in_a_window

TOKENS_PER_EVENT: Final = 25
MAX_EVENTS: Final = 6
MAX_TOKENS: Final = TOKENS_PER_EVENT * MAX_EVENTS
# A planned stop excuses no failure unless something unplanned happened, anywhere, from
# this long before the request was sent to its end, in seconds: ``contactMs``, after
# which machines count as in touch again.  It covers the restart of what was killed.
CONTACT_S: Final = 3.0
# What a caller says it will wait, less what clocks and sockets blur, in seconds:
# nothing is promised once this time is over.  No route's own time is shorter.
OWN_TIME_S: Final = 2.0 - 0.1
# A channel may end without an answer this long after the last byte of a request, in
# seconds: ``lossSlackMs``.
LOSS_SLACK_S: Final = 0.2
# Answers that promise that the request has not run and never will.
PROMISES: Final = (402, 408, 421, 429, 503)


def plain_answer(request_id: str) -> str:
    """Return what a plain service answers."""
    return f"answer to {request_id}"


def event_data(request_id: str) -> list[str]:
    """Return the data of the events that an engine answers."""
    count = random.Random(request_id).randint(2, MAX_EVENTS)
    return [f"{request_id} says {number}" for number in range(1, count + 1)]


def stream_body(request_id: str) -> bytes:
    """Return the whole stream that a caller gets."""
    events = enumerate(event_data(request_id), start=1)
    return "".join(f"id: {n}\ndata: {data}\n\n" for n, data in events).encode()


class Turn(NamedTuple):
    """A turn that a caller sends: its chain decides what the server must get."""

    id: str
    program: str
    previous: str
    said_before: str
    new: str

    def prompt(self) -> str:
        """Return what the server must be sent."""
        return self.said_before + self.new

    def said_after(self) -> str:
        """Return what the next turn of the chain must begin with."""
        events = "".join(f"{data}\n" for data in event_data(self.id))
        return self.prompt() + events


class Stop(NamedTuple):
    """A planned stop of a process, from its signal to its end."""

    name: str
    began: float
    ended: float


class Failure(NamedTuple):
    """A request that was wholly sent and got neither a whole answer nor a promise."""

    id: str
    relay: str
    sent: float
    ended: float
    status: int


def _near(spans: list[tuple[float, float]], since: float, until: float) -> bool:
    """Return whether a span is within a time, or was shortly before it."""
    return any(s <= until and since - CONTACT_S <= u for s, u in spans)


class Witness:
    """Collects what was seen and tells which promises were broken."""

    def __init__(self) -> None:
        self.broken: list[str] = []
        self.answers: dict[int, int] = defaultdict(int)
        self._sent: dict[str, str] = {}
        self._turns: dict[str, Turn] = {}
        self._whole: set[str] = set()
        self._runs: dict[str, int] = defaultdict(int)
        self._refused: dict[str, int] = {}
        self._budgets: dict[str, int] = {}
        self._handed: dict[str, int] = defaultdict(int)
        self.stops: list[Stop] = []
        self._failures: list[Failure] = []
        self._broke_off: set[str] = set()
        self._unplanned: list[tuple[float, float]] = []
        # When the machine gave some process no processor: unplanned as well.
        self.held_up: list[tuple[float, float]] = []
        # Failures during stops that something unplanned excuses.
        self.excused: list[str] = []
        self._killed: list[Stop] = []
        self._customers: dict[str, str] = {}
        # When servers began to work for the customer that floods.
        self._flooded: list[float] = []

    # What callers see

    def sends(self, request_id: str, kind: str) -> None:
        """Note a request of a caller before it is sent."""
        self._sent[request_id] = kind

    def belongs(self, request_id: str, customer: str) -> None:
        """Note whose key a request carries."""
        self._customers[request_id] = customer

    def sends_turn(self, turn: Turn, budget: int) -> None:
        """Note a turn of a caller before it is sent."""
        self.sends(turn.id, "turn")
        self._turns[turn.id] = turn
        self._budgets[turn.program] = budget

    def answered(self, request_id: str, status: int, body: bytes, whole: bool) -> None:
        """Note what a caller got; a status of 0 is a channel that ended without one."""
        self.answers[status] += 1
        if status in PROMISES:
            self._refused[request_id] = status
        if status == 401 and request_id in self._customers:
            self.broken.append(f"denied: {request_id} with a customer's key")
        turn = self._turns.get(request_id)
        if turn is None:
            if status == 200 and body != plain_answer(request_id).encode():
                self.broken.append(f"mixed: {request_id} got {body!r}")
            return
        if status == 404 and (not turn.previous or turn.previous in self._whole):
            self.broken.append(f"lost: {turn.id} of {turn.program} after a whole turn")
        if status != 200:
            return
        self._handed[turn.program] += body.count(b"\n\n") * TOKENS_PER_EVENT
        expected = stream_body(turn.id)
        if whole:
            self._whole.add(turn.id)
        if (whole and body != expected) or not expected.startswith(body):
            self.broken.append(f"order: {turn.id} got {body!r}, whole {whole}")

    def fails(self, failure: Failure) -> None:
        """Note a request whose caller was left without a whole answer or a promise."""
        self._failures.append(failure)

    # What the operators do

    def stop_begins(self, name: str, now: float) -> int:
        """Note the signal of a planned stop; return the stop's number."""
        self.stops.append(Stop(name, now, float("inf")))
        return len(self.stops) - 1

    def stop_ends(self, number: int, now: float) -> None:
        """Note that the process has ended."""
        self.stops[number] = self.stops[number]._replace(ended=now)

    def stop_fails(self, number: int) -> None:
        """Note that the process had to be killed."""
        self._killed.append(self.stops[number]._replace(ended=time.monotonic()))

    @contextmanager
    def unplanned(self) -> Iterator[None]:
        """Note that something unplanned happens meanwhile."""
        began = time.monotonic()
        try:
            yield
        finally:
            self._unplanned.append((began, time.monotonic()))

    # What servers see

    def runs(self, request_id: str, body: str) -> None:
        """Note that a server begins to work on a request."""
        self._runs[request_id] += 1
        kind = self._sent.get(request_id)
        if kind is None:
            self.broken.append(f"unasked: {request_id}")
        elif kind != "safe" and self._runs[request_id] > 1:
            self.broken.append(f"twice: {request_id} of kind {kind}")
        turn = self._turns.get(request_id)
        if turn is not None and body != turn.prompt():
            self.broken.append(f"chain: {request_id} ran with {body!r}")

    def runs_for(self, request_id: str, customer: str, key: str) -> None:
        """Note whom a server is told that it works for, and with what key."""
        asked = self._customers.get(request_id, "")
        if customer != asked:
            self.broken.append(f"customer: {request_id} of {asked} ran for {customer}")
        if key:
            self.broken.append(f"key: passed on with {request_id}")
        if customer == FLOOD:
            self._flooded.append(time.monotonic())

    def breaks_off(self, request_id: str) -> None:
        """Note that a server breaks off an answer by itself."""
        self._broke_off.add(request_id)

    def _judge_stops(self) -> None:
        """Look at the requests that failed at a relay that was told to stop."""
        for stop in self._killed:
            # Only a process that was held up itself may need longer.
            held_up = _near(self.held_up, stop.ended, stop.ended)
            seen = f"stop: {stop.name} had to be killed"
            (self.excused if held_up else self.broken).append(seen)
        for failure in self._failures:
            took_s = failure.ended - failure.sent
            began = [
                stop.began
                for stop in self.stops
                if stop.name == failure.relay
                and stop.began <= failure.ended
                and failure.sent <= stop.ended
            ]
            if not began or took_s >= OWN_TIME_S:
                continue
            if self._runs[failure.id] and failure.id not in self._broke_off:
                what = "cut"
            elif not failure.status and took_s > LOSS_SLACK_S:
                what = "held"
            else:
                continue
            since_s = failure.sent - began[0]
            seen = (
                f"{what}: {failure.id} at {failure.relay}, sent {since_s:.2f} s after "
                f"the signal, status {failure.status} after {took_s:.2f} s"
            )
            unplanned = [*self._unplanned, *self.held_up]
            excused = _near(unplanned, failure.sent, failure.ended)
            (self.excused if excused else self.broken).append(seen)

    def judge(self) -> list[str]:
        """Return the broken promises, those that only the end shows included."""
        for request_id, status in self._refused.items():
            if self._runs[request_id] and self._sent[request_id] != "safe":
                self.broken.append(f"refused: {request_id} got {status} and has run")
        self._judge_stops()
        flooded = max_in_a_window(self._flooded, WINDOW_S)
        if flooded > MAX_IN_A_WINDOW:
            self.broken.append(f"quota: {flooded} requests in a window")
        for program, handed in self._handed.items():
            if handed > self._budgets[program] + MAX_TOKENS:
                self.broken.append(f"budget: {program} was handed {handed} tokens")
        return self.broken
