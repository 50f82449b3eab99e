"""The carrier: runs the programs of the slots that this process carries.

Every decision becomes a record, and a record takes effect when the standby has it:
an intent before the call is dispatched, text before a caller sees it, an end before
the next call.  After a takeover the successor folds the records and asks the gates
about the calls that were under way; it never repeats one that may have run and must
not run twice.
"""

from __future__ import annotations

from collections import deque
from typing import Final

from ..errors import Code
from .config import EMPTY_CONFIG, Config, Service
from .dispatch import Dispatcher, Place
from .hashing import address_of
from .outbox import Outbox
from .peers import Peers
from .program import (
    SPAWN,
    ChildStep,
    EndStep,
    ModelStep,
    Program,
    ToolStep,
    Wait,
)
from .records import (
    CallEnded,
    CallIntended,
    ChildEnded,
    ChildStarted,
    Limits,
    ProgramEnded,
    ProgramStarted,
    Record,
    TextAppended,
    decode_record,
)
from .running import Running
from .slots import SlotListener, Slots
from .wire import (
    CallId,
    CallPending,
    CallResult,
    CallText,
    Entry,
    GateCall,
    GateCancel,
    GateForget,
    GateLookup,
    HoldRelease,
    HoldRenew,
    ServerLoad,
)

LOOKUP_S: Final = 1.0
GATE_LOST_S: Final = 6.0
RENEW_S: Final = 4.0
RETAIN_S: Final = 600.0
NO_SERVER_WAIT_S: Final = 0.25
RETRY_WAIT_S: Final = 0.05
RETRY_WAIT_MAX_S: Final = 5.0
UNKNOWN_TOOL: Final = "error: no such tool"


class Carrier(SlotListener):
    """Programs of the slots carried here.

    Parameters
    ----------
    dispatcher : Dispatcher
        Chooses servers.
    peers : Peers
        Finds gates.
    out : Outbox
        Where effects go.
    """

    def __init__(self, dispatcher: Dispatcher, peers: Peers, out: Outbox) -> None:
        self.config: Config = EMPTY_CONFIG
        self.running: dict[str, Running] = {}
        self.lost_slots: set[int] = set()
        self.finished = 0
        self._dispatcher = dispatcher
        self._peers = peers
        self._out = out
        self._slots: Slots
        self._live: dict[str, None] = {}
        self._kept: deque[tuple[float, str]] = deque()
        self._now = 0.0
        self._renew_at = 0.0

    @property
    def active(self) -> int:
        """Programs under way here."""
        return len(self._live)

    def bind(self, slots: Slots) -> None:
        """Connect the replication below (the two know each other)."""
        self._slots = slots

    def set_time(self, now: float) -> None:
        """Set the time of the present step."""
        self._now = now

    # Slots

    def opened(self, slot: int, programs: dict[str, list[Entry]], lost: bool) -> None:
        """Rebuild the programs of a slot and go on with them."""
        if lost:
            self.lost_slots.add(slot)
        opened = []
        for name, entries in programs.items():
            if not entries:
                continue
            run = self._rebuild(slot, entries)
            self.running[name] = run
            opened.append(run)
            self._note_state(name, run)
        for run in opened:
            self._go_on(run)

    def _rebuild(self, slot: int, entries: list[Entry]) -> Running:
        start = decode_record(entries[0].body)
        assert isinstance(start, ProgramStarted), "a program's log begins so"
        program = Program(start)
        for entry in entries[1:]:
            program.apply(decode_record(entry.body))
        run = Running(program, slot)
        run.heard_at = self._now
        return run

    def _note_state(self, name: str, run: Running) -> None:
        """Sort a program under the living or under those kept for late askers."""
        ended = run.program.ended
        if ended is None:
            self._live[name] = None
        else:
            self._live.pop(name, None)
            self._kept.append((ended.ended_at, name))

    def _go_on(self, run: Running) -> None:
        """Resume after a takeover: look the open call up, mend half-done steps."""
        program = run.program
        for child in program.living_children():
            step = program.child_start(child)
            if child not in self.running and step is not None:
                self._append(run, self._child_record(run, step), new_program=True)
        if program.start.parent and program.ended is not None:
            self._report_to_parent(run)
        if program.call is not None and program.ended is None:
            self._look_up(run, program.call)
        self._decide(run)

    def closed(self, slot: int) -> None:
        """Drop the programs of a slot that another process carries now."""
        self.lost_slots.discard(slot)
        for name in [n for n, r in self.running.items() if r.slot == slot]:
            del self.running[name]
            self._live.pop(name, None)

    def _append(
        self, run: Running, record: Record, *, new_program: bool = False
    ) -> None:
        if not new_program:
            run.uncommitted += 1
        self._slots.append(run.slot, record.program, record)

    def committed(self, slot: int, record: Record) -> None:
        """Let a record take effect."""
        if isinstance(record, ProgramStarted):
            self._start_committed(slot, record)
            return
        run = self.running.get(record.program)
        if run is None:
            return
        run.uncommitted = max(0, run.uncommitted - 1)
        program = run.program
        call = program.call
        children = program.living_children()
        program.apply(record)
        match record:
            case CallIntended():
                run.ending = False
                run.text_length = len(program.partial)
                self._dispatch(run, record)
            case CallEnded():
                run.ending = False
                self._forget_call(call)
            case ProgramEnded():
                self._end_committed(run, call, children)
            case _:
                pass
        run.deliver(self._out)
        self._decide(run)

    def start(self, run: Running) -> None:
        """Append the first record of a new program."""
        start = run.program.start
        self.running[start.program] = run
        run.uncommitted = 1
        self._append(run, start, new_program=True)

    def end(self, run: Running, step: EndStep) -> None:
        """End a program from outside; its open call is cancelled."""
        if run.program.ended is None and not run.ending:
            self._end(run, step)

    def _start_committed(self, slot: int, record: ProgramStarted) -> None:
        run = self.running.get(record.program)
        if run is None:
            run = Running(Program(record), slot)
            parent = self.running.get(record.parent)
            run.trace = parent.trace if parent is not None else ""
            self.running[record.program] = run
        run.uncommitted = 0
        self._note_state(record.program, run)
        for request in run.subscribers:
            self._out.send(run.subscribers[request].reply_to, run.pending(request))
        self._decide(run)

    def _end_committed(
        self, run: Running, call: CallIntended | None, children: list[str]
    ) -> None:
        """Release everything a program held."""
        program = run.program
        self._note_state(program.start.program, run)
        self.finished += 1
        if call is not None:
            self._cancel_call(call)
        for server in sorted(program.servers):
            self._release(server, program.start.program)
        for name in children:
            child = self.running.get(name)
            if child is not None and child.program.ended is None:
                self._end(child, EndStep(Code.CANCELLED, "", "parent has ended"))
        if program.start.parent:
            self._report_to_parent(run)

    def _report_to_parent(self, run: Running) -> None:
        start = run.program.start
        ended = run.program.ended
        parent = self.running.get(start.parent)
        if parent is None or parent.program.ended is not None or ended is None:
            return
        if start.program not in parent.program.living_children():
            return
        answer = ended.answer if ended.status == "done" else f"error: {ended.status}"
        record = ChildEnded(start.parent, start.program, answer, run.program.spent)
        self._append(parent, record)

    # Steps

    def _service(self, run: Running) -> Service:
        definition = run.program.start.definition
        return self.config.services.get(definition.name, definition)

    def _decide(self, run: Running) -> None:
        """Take the next step of a program, if nothing of it is under way."""
        if run.uncommitted or not self._slots.may_append(run.slot):
            return
        step = run.program.next_step(self._now)
        match step:
            case EndStep():
                self._end(run, step)
            case ChildStep():
                self._start_child(run, step)
            case ModelStep() if self._now >= run.not_before:
                self._intend_model(run, step)
            case ToolStep() if self._now >= run.not_before:
                self._intend_tool(run, step)
            case Wait() | ModelStep() | ToolStep():
                pass

    def _end(self, run: Running, step: EndStep) -> None:
        name = run.program.start.program
        # Results that arrive from here on must not be appended behind the end.
        run.ending = True
        record = ProgramEnded(name, step.status, step.answer, step.detail, self._now)
        self._append(run, record)

    def _start_child(self, run: Running, step: ChildStep) -> None:
        name = run.program.start.program
        self._append(run, ChildStarted(name, step.child, step.position, step.budget))
        self._append(run, self._child_record(run, step), new_program=True)

    def _child_record(self, run: Running, step: ChildStep) -> ProgramStarted:
        start = run.program.start
        return ProgramStarted(
            step.child,
            start.program,
            start.service,
            start.customer,
            step.prompt,
            start.limits._replace(budget=step.budget),
            start.definition,
            self._now,
        )

    def _intend_model(self, run: Running, step: ModelStep) -> None:
        program = run.program
        service = self._service(run)
        place = self._dispatcher.place_model(
            program, service, self.config, run.avoid, self._now
        )
        if place is None:
            run.not_before = self._now + NO_SERVER_WAIT_S
            return
        reserved = step.prompt_bound + step.max_tokens
        self._intend(run, step, "model", place, "", True, reserved)

    def _intend_tool(self, run: Running, step: ToolStep) -> None:
        tools = {tool.name: tool for tool in self._service(run).tools}
        tool = tools.get(step.action.name)
        argument = step.action.argument
        if tool is None or step.action.name == SPAWN:
            place = Place("", "", step.action.name)
            self._intend(run, step, "tool", place, argument, True, 0)
            return
        found = self._dispatcher.place_tool(
            run.program, tool.provider, self.config, run.avoid, self._now
        )
        if found is None:
            run.not_before = self._now + NO_SERVER_WAIT_S
            return
        place = found._replace(target=f"{tool.provider}/{tool.name}")
        self._intend(run, step, "tool", place, argument, tool.repeatable, 0)

    def _intend(
        self,
        run: Running,
        step: ModelStep | ToolStep,
        kind: str,
        place: Place,
        body: str,
        repeatable: bool,
        reserved: int,
    ) -> None:
        record = CallIntended(
            run.program.start.program,
            step.number,
            step.attempt,
            kind,
            place.server,
            place.gate,
            place.target,
            body,
            repeatable,
            reserved,
            self._now,
        )
        self._append(run, record)

    def _dispatch(self, run: Running, intent: CallIntended) -> None:
        run.asked_at = run.heard_at = self._now
        if not intent.server:
            self._append_end(run, _local_result(intent, UNKNOWN_TOOL))
            return
        program = run.program
        start = program.start
        model = intent.kind == "model"
        body = program.model_body(program.partial) if model else intent.body
        bound = program.prompt_bound() if model else 0
        limits = start.limits
        call = GateCall(
            CallId(start.program, intent.number, intent.attempt),
            run.slot,
            self._slots.epoch(run.slot),
            intent.gate,
            intent.server,
            intent.kind,
            intent.name,
            body,
            len(program.partial) if model else 0,
            intent.repeatable,
            max(0, intent.reserved - bound),
            self._service(run).priority,
            self._now - start.started_at,
            bound,
            self._remaining_s(run) if model else limits.tool_s,
            self._now,
            run.trace,
        )
        self._out.send(intent.gate, call)

    def _remaining_s(self, run: Running) -> float:
        start = run.program.start
        return max(0.0, start.started_at + start.limits.wall_s - self._now)

    # Answers of gates

    def _open_call(self, call: CallId) -> Running | None:
        """Return the program whose open call this is; anything else is late."""
        run = self.running.get(call.program)
        if run is None or run.program.call is None or run.ending:
            return None
        intent = run.program.call
        if (intent.number, intent.attempt) != (call.number, call.attempt):
            return None
        run.heard_at = self._now
        run.asked_at = self._now
        return run

    def on_text(self, sender: str, message: CallText) -> None:
        """Append streamed output; it reaches callers when committed."""
        run = self._open_call(message.call)
        if run is None or not run.wants_stream():
            return
        if not self._slots.may_append(run.slot):
            return
        skip = run.text_length - message.offset
        if skip < 0:
            self._ask(run)
            return
        new = message.text[skip:]
        if not new:
            return
        record = TextAppended(
            message.call.program, message.call.number, run.text_length, new
        )
        run.text_length += len(new)
        self._append(run, record)

    def on_pending(self, message: CallPending) -> None:
        """Note that the gate still works on a call."""
        self._open_call(message.call)

    def on_result(self, result: CallResult) -> None:
        """Append the end of a call."""
        run = self._open_call(result.call)
        if run is None or not self._slots.may_append(run.slot):
            return
        self._dispatcher.learn(run.program, result, self._now)
        if result.status != "ok":
            run.avoid = result.server
            asked = min(result.retry_after_s, RETRY_WAIT_MAX_S)
            wait = max(asked, _retry_wait_s(result.call.attempt))
            run.not_before = self._now + wait
        else:
            run.avoid = ""
        self._append_end(run, result)

    def _append_end(self, run: Running, result: CallResult) -> None:
        skip = run.text_length - run.program.call_base
        text = result.text[skip:] if result.status == "ok" else ""
        record = CallEnded(
            result.call.program,
            result.call.number,
            result.call.attempt,
            result.status,
            result.ran,
            text,
            result.actions,
            result.prompt_tokens,
            result.cached_tokens,
            result.completion_tokens,
            self._now,
        )
        run.ending = True
        self._append(run, record)

    def _forget_call(self, call: CallIntended | None) -> None:
        if call is not None and call.server:
            self._out.send(call.gate, GateForget(_id_of(call), call.server))

    def _cancel_call(self, call: CallIntended) -> None:
        if call.server:
            self._out.send(call.gate, GateCancel(_id_of(call), call.server))

    def _release(self, server: str, program: str) -> None:
        instance = self._peers.gate_of(server)
        if instance is not None:
            self._out.send(instance.address, HoldRelease(server, (program,)))

    # Time

    def tick(self) -> None:
        """Look up silent calls, renew holds, drop what has been kept long enough."""
        for run in [self.running[name] for name in self._live]:
            run.expire_subscribers(self._now)
            program = run.program
            if program.call is not None and not run.ending:
                self._watch_call(run, program.call)
            if run.uncommitted == 0:
                self._decide(run)
        self._drop_old()
        if self._now >= self._renew_at:
            self._renew_at = self._now + RENEW_S
            self._renew_holds()

    def _drop_old(self) -> None:
        """Drop ended programs that have been kept long enough, the oldest first."""
        while self._kept and self._now - self._kept[0][0] >= RETAIN_S:
            _, name = self._kept[0]
            run = self.running.get(name)
            if run is not None and run.program.ended is not None:
                if not self._slots.may_append(run.slot):
                    return
                self._slots.append(run.slot, name, None)
                del self.running[name]
            self._kept.popleft()

    def _watch_call(self, run: Running, call: CallIntended) -> None:
        if not call.server:
            return
        limit = run.program.start.limits.tool_s
        silent = self._now - run.heard_at
        # A call that must not be repeated is asked about for as long as it may take:
        # giving it up early would make its outcome unknown for no reason.
        patience = GATE_LOST_S if call.repeatable else max(GATE_LOST_S, limit)
        gone = self._peers.is_gone(call.gate) and silent > LOOKUP_S
        overdue = call.kind == "tool" and self._now - call.intended_at > limit + 1.0
        if silent > patience or gone or overdue:
            self._cancel_call(call)
            self._lose(run, call)
        elif self._now - run.asked_at > LOOKUP_S:
            self._look_up(run, call)

    def _lose(self, run: Running, call: CallIntended) -> None:
        if self._slots.may_append(run.slot):
            run.avoid = call.server
            run.not_before = self._now + _retry_wait_s(call.attempt)
            self._append_end(run, _lost_result(call))

    def _ask(self, run: Running) -> None:
        if run.program.call is not None:
            self._look_up(run, run.program.call)

    def _look_up(self, run: Running, call: CallIntended) -> None:
        """Ask the gate, whatever its incarnation, what became of a call."""
        run.asked_at = self._now
        if not call.server:
            self._append_end(run, _local_result(call, UNKNOWN_TOOL))
            return
        lookup = GateLookup(
            _id_of(call),
            run.slot,
            self._slots.epoch(run.slot),
            call.gate,
            call.server,
            run.text_length,
        )
        self._out.send(address_of(call.gate), lookup)

    def _renew_holds(self) -> None:
        """Tell each gate, in one message, which programs live."""
        by_server: dict[str, list[str]] = {}
        for name in self._live:
            for server in self.running[name].program.servers:
                by_server.setdefault(server, []).append(name)
        for server, names in sorted(by_server.items()):
            instance = self._peers.gate_of(server)
            if instance is not None:
                self._out.send(instance.address, HoldRenew(server, tuple(names)))


def new_limits(service: Service, budget: int) -> Limits:
    """Limits of a new program; a budget of 0 asks for the service's own."""
    return Limits(
        budget or service.budget,
        service.max_turns,
        service.max_tokens,
        service.wall_s,
        service.tool_s,
    )


def _retry_wait_s(attempt: int) -> float:
    """Seconds before the next attempt; doubles, so that a short fault is outlived."""
    return min(RETRY_WAIT_MAX_S, RETRY_WAIT_S * 2.0**attempt)


def _id_of(call: CallIntended) -> CallId:
    return CallId(call.program, call.number, call.attempt)


def _local_result(call: CallIntended, text: str) -> CallResult:
    return _result(call, "ok", "no", text)


def _lost_result(call: CallIntended) -> CallResult:
    return _result(call, "lost", "unknown", "")


def _result(call: CallIntended, status: str, ran: str, text: str) -> CallResult:
    load = ServerLoad(0, 0, 0, 0)
    return CallResult(
        _id_of(call), call.server, status, ran, text, (), 0, 0, 0, 0.0, load
    )
