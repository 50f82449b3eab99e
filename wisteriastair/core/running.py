"""The programs on their carrier, and what it keeps beside their committed state.

Nothing here outlives the carrier: a successor starts with an empty `RunningProgram` and
asks
the gates.
"""

from __future__ import annotations

from typing import Final

from .config import EMPTY_CONFIG, Config, Service
from .outbox import Outbox
from .program import Program
from .records import Record
from .slots import Slots
from .wire import ProgramOutcome, ProgramPending, ProgramText

SUBSCRIPTION_S: Final = 10.0


class Subscriber:
    """A request that waits for a program at some entry."""

    def __init__(
        self, request: str, reply_to: str, number: int, offset: int, stream: bool
    ) -> None:
        self.request = request
        self.reply_to = reply_to
        self.number = number
        self.offset = offset
        self.stream = stream
        self.expires = 0.0


class RunningProgram:
    """A program on its carrier.

    Attributes
    ----------
    uncommitted : int
        Records appended and not yet committed; no decision is taken meanwhile.
    text_length : int
        Characters of the open call's output appended so far.
    ending : bool
        The open call's end is appended.
    asked_at, heard_at : float
        When the gate was last asked about the open call, and last heard.
    not_before : float
        No new attempt earlier.
    avoid_server : str
        Server that refused or lost the last attempt.
    trace : str
        Parent span for the hops of this program.
    """

    def __init__(self, program: Program, slot: int) -> None:
        self.program = program
        self.slot = slot
        self.uncommitted = 0
        self.text_length = len(program.partial)
        self.ending = False
        self.asked_at = 0.0
        self.heard_at = 0.0
        self.not_before = 0.0
        self.avoid_server = ""
        self.trace = ""
        self.subscribers: dict[str, Subscriber] = {}

    def subscribe(self, subscriber: Subscriber, now: float) -> None:
        """Add or renew a subscription."""
        subscriber.expires = now + SUBSCRIPTION_S
        self.subscribers[subscriber.request] = subscriber

    def wants_stream(self) -> bool:
        """Whether any caller reads the output as it comes."""
        return any(s.stream for s in self.subscribers.values())

    def expire_subscribers(self, now: float) -> None:
        """Drop subscriptions that their entries no longer renew."""
        for request in [r for r, s in self.subscribers.items() if s.expires < now]:
            del self.subscribers[request]

    def deliver(self, out: Outbox) -> None:
        """Send each subscriber what is committed and new to it."""
        for subscriber in list(self.subscribers.values()):
            if subscriber.stream:
                self._deliver_text(subscriber, out)
            if self.program.ended is not None:
                out.send(subscriber.reply_to, self.outcome(subscriber.request))
                del self.subscribers[subscriber.request]

    def _deliver_text(self, subscriber: Subscriber, out: Outbox) -> None:
        program = self.program
        texts = dict(program.outputs)
        if program.call is not None and program.partial:
            texts[program.call.number] = program.partial
        for number in sorted(n for n in texts if n >= subscriber.number):
            offset = subscriber.offset if number == subscriber.number else 0
            new = texts[number][offset:]
            if not new:
                continue
            message = ProgramText(
                subscriber.request, program.start.program, number, offset, new
            )
            out.send(subscriber.reply_to, message)
            subscriber.number = number
            subscriber.offset = offset + len(new)

    def pending_message(self, request: str) -> ProgramPending:
        """Tell a request that its program is under way."""
        return ProgramPending(request, self.program.start.program)

    def outcome(self, request: str) -> ProgramOutcome:
        """Tell a request how its program ended."""
        program = self.program
        ended = program.ended
        assert ended is not None, "only an ended program has an outcome"
        ran = "unknown" if ended.status == "outcome_unknown" else "yes"
        return ProgramOutcome(
            request,
            program.start.program,
            ended.status,
            ran,
            ended.answer,
            ended.detail,
            0.0,
            program.spent,
            program.turns,
        )


class RunningPrograms:
    """All programs carried here, and the log below them.

    Attributes
    ----------
    config : Config
        The configuration in force.
    now : float
        Time of the present step in seconds.
    by_name : dict of str to RunningProgram
        Every program, under way or kept for late askers.
    live : dict of str to None
        Names of those under way, in the order in which they came.
    """

    def __init__(self) -> None:
        self.config: Config = EMPTY_CONFIG
        self.now = 0.0
        self.by_name: dict[str, RunningProgram] = {}
        self.live: dict[str, None] = {}
        self._slots: Slots

    @property
    def active(self) -> int:
        """Programs under way."""
        return len(self.live)

    def bind(self, slots: Slots) -> None:
        """Connect the replication below (the two know each other)."""
        self._slots = slots

    def may_append(self, run: RunningProgram) -> bool:
        """Whether records can be added to a program's slot now."""
        return self._slots.may_append(run.slot)

    def epoch(self, run: RunningProgram) -> int:
        """Epoch under which a program is carried."""
        return self._slots.epoch(run.slot)

    def append(
        self, run: RunningProgram, record: Record, *, new_program: bool = False
    ) -> None:
        """Add a record; it takes effect when it is committed."""
        if not new_program:
            run.uncommitted += 1
        self._slots.append(run.slot, record.program, record)

    def forget(self, run: RunningProgram) -> None:
        """Drop a program from the log and from here."""
        name = run.program.start.program
        self._slots.append(run.slot, name, None)
        del self.by_name[name]

    def service(self, run: RunningProgram) -> Service:
        """Return a program's service as configured now, or as it was at its start."""
        definition = run.program.start.definition
        return self.config.services.get(definition.name, definition)
