"""What callers and servers saw of a soak, and the promises that it must not break.

Callers and servers are outside of the product: what they saw on their sockets is all
that is judged.  What an answer must be follows from the request's id alone, so that a
whole answer can be checked without asking the server that gave it.
"""

from __future__ import annotations

import random
from collections import defaultdict
from typing import Final, NamedTuple

TOKENS_PER_EVENT: Final = 25
MOST_EVENTS: Final = 6
MOST_TOKENS: Final = TOKENS_PER_EVENT * MOST_EVENTS
# Answers that promise that the request has not run and never will.
PROMISES: Final = (402, 408, 421, 429, 503)


def plain_answer(request_id: str) -> str:
    """Return what a plain service answers."""
    return f"answer to {request_id}"


def event_data(request_id: str) -> list[str]:
    """Return the data of the events that an engine answers."""
    count = random.Random(request_id).randint(2, MOST_EVENTS)
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

    # What callers see

    def sends(self, request_id: str, kind: str) -> None:
        """Note a request of a caller before it is sent."""
        self._sent[request_id] = kind

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

    def judge(self) -> list[str]:
        """Return the broken promises, those that only the end shows included."""
        for request_id, status in self._refused.items():
            if self._runs[request_id] and self._sent[request_id] != "safe":
                self.broken.append(f"refused: {request_id} got {status} and has run")
        for program, handed in self._handed.items():
            if handed > self._budgets[program] + MOST_TOKENS:
                self.broken.append(f"budget: {program} was handed {handed} tokens")
        return self.broken
