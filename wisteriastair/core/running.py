"""State of programs on their primary that is not part of the committed log.

This state is lost with the primary: after a takeover, the new primary creates a new
`RunningProgram` for each program and asks the gates.
"""

from __future__ import annotations

from typing import Final

from .config import EMPTY_CONFIG, Config, Service
from .outbox import Outbox
from .program import Program
from .records import Record
from .slots import Slots
from .wire import ProgramOutcome, ProgramPending, ProgramText

SUBSCRIPTION_TTL_S: Final = 10.0


class Subscriber:
    """A request at an entry that waits for a program."""

    def __init__(
        self, request: str, reply_to: str, number: int, offset: int, stream: bool
    ) -> None:
        self.request = request
        self.reply_to = reply_to
        self.number = number
        self.offset = offset
        self.stream = stream
        self.expires_at = 0.0


class RunningProgram:
    """A program on its primary.

    Attributes
    ----------
    uncommitted : int
        Number of appended records that are not committed; while it is above 0, no
        further step is taken.
    text_length : int
        Number of characters of output of the open call that were appended.
    ending : bool
        Whether the end of the open call was appended.
    looked_up_at, last_heard_at : float
        Times of the last look-up of the open call and of the last message about it.
    not_before : float
        Earliest time of the next attempt.
    avoid_server : str
        Server that refused or lost the last attempt.
    trace : str
        Parent span of the calls of this program.
    """

    def __init__(self, program: Program, slot: int) -> None:
        self.program = program
        self.slot = slot
        self.uncommitted = 0
        self.text_length = len(program.partial_text)
        self.ending = False
        self.looked_up_at = 0.0
        self.last_heard_at = 0.0
        self.not_before = 0.0
        # Since when its call waits for a server; None if it does not.
        self.no_server_since: float | None = None
        self.avoid_server = ""
        self.trace = ""
        self.subscribers: dict[str, Subscriber] = {}

    def subscribe(self, subscriber: Subscriber, now: float) -> None:
        """Add or renew a subscription."""
        subscriber.expires_at = now + SUBSCRIPTION_TTL_S
        self.subscribers[subscriber.request] = subscriber

    def has_streaming_subscriber(self) -> bool:
        """Whether any subscriber receives the output while it is generated."""
        return any(s.stream for s in self.subscribers.values())

    def expire_subscribers(self, now: float) -> None:
        """Drop subscriptions that were not renewed in time."""
        for request in [r for r, s in self.subscribers.items() if s.expires_at < now]:
            del self.subscribers[request]

    def deliver(self, out: Outbox) -> None:
        """Send each subscriber the committed output that was not sent to it before."""
        for subscriber in list(self.subscribers.values()):
            if subscriber.stream:
                self._deliver_text(subscriber, out)
            if self.program.ended is not None:
                out.send(subscriber.reply_to, self.outcome(subscriber.request))
                del self.subscribers[subscriber.request]

    def _deliver_text(self, subscriber: Subscriber, out: Outbox) -> None:
        program = self.program
        texts = dict(program.outputs)
        if program.call is not None and program.partial_text:
            texts[program.call.number] = program.partial_text
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
        """Build the message that a program is running."""
        return ProgramPending(request, self.program.start.program)

    def outcome(self, request: str) -> ProgramOutcome:
        """Build the message with the outcome of an ended program."""
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
    """All programs whose primary is this process, and access to their log.

    Attributes
    ----------
    config : Config
        The configuration in force.
    now : float
        Time of the current step in seconds.
    by_name : dict of str to RunningProgram
        All programs, both live ones and those retained for late callers.
    live : dict of str to None
        Names of the programs that have not ended, in order of their start.
    """

    def __init__(self) -> None:
        self.config: Config = EMPTY_CONFIG
        self.now = 0.0
        self.by_name: dict[str, RunningProgram] = {}
        self.live: dict[str, None] = {}
        self._slots: Slots

    @property
    def active(self) -> int:
        """Number of programs that have not ended."""
        return len(self.live)

    def bind(self, slots: Slots) -> None:
        """Set the slots, which are created later since they need this object."""
        self._slots = slots

    def may_append(self, run: RunningProgram) -> bool:
        """Whether records can be added to a program's slot now."""
        return self._slots.may_append(run.slot)

    def epoch(self, run: RunningProgram) -> int:
        """Epoch of the slot of a program."""
        return self._slots.epoch(run.slot)

    def append(
        self, run: RunningProgram, record: Record, *, new_program: bool = False
    ) -> None:
        """Add a record; it takes effect when it is committed."""
        if not new_program:
            run.uncommitted += 1
        self._slots.append(run.slot, record.program, record)

    def drop(self, run: RunningProgram) -> None:
        """Drop a program from the log and from this process."""
        name = run.program.start.program
        self._slots.append(run.slot, name, None)
        del self.by_name[name]

    def service(self, run: RunningProgram) -> Service:
        """Return a program's service: the configured one, else that at its start."""
        definition = run.program.start.definition
        return self.config.services.get(definition.name, definition)
