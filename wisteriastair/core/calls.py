"""Calls of programs: choosing a server, dispatch, answers, look-ups.

A call is dispatched once its intent is committed.  If its gate falls silent the gate is
asked, by the call's id and whatever its incarnation, what became of it; nothing is
repeated before that is known, and never if it may have run and must not run twice.
"""

from __future__ import annotations

from typing import Final

from .dispatch import CallTarget, Dispatcher
from .hashing import address_of
from .outbox import Outbox
from .peers import Peers
from .program import SPAWN, ModelStep, ToolStep
from .records import CallEnded, CallIntended, TextAppended
from .running import RunningProgram, RunningPrograms
from .wire import (
    CallId,
    CallPending,
    CallResult,
    CallText,
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
NO_SERVER_WAIT_S: Final = 0.25
RETRY_WAIT_S: Final = 0.05
RETRY_WAIT_MAX_S: Final = 5.0
UNKNOWN_TOOL: Final = "error: no such tool"


class Calls:
    """The calls of the programs carried here.

    Parameters
    ----------
    programs : RunningPrograms
        The programs.
    dispatcher : Dispatcher
        Chooses servers.
    peers : Peers
        Finds gates.
    out : Outbox
        Where effects go.
    """

    def __init__(
        self,
        programs: RunningPrograms,
        dispatcher: Dispatcher,
        peers: Peers,
        out: Outbox,
    ) -> None:
        self._programs = programs
        self._dispatcher = dispatcher
        self._peers = peers
        self._out = out

    def intend_model(self, run: RunningProgram, step: ModelStep) -> None:
        """Append the intent of a model call, or wait if no server is there now."""
        program = run.program
        service = self._programs.service(run)
        place = self._dispatcher.choose_model_server(
            program,
            service,
            self._programs.config,
            run.avoid_server,
            self._programs.now,
        )
        if place is None:
            run.not_before = self._programs.now + NO_SERVER_WAIT_S
            return
        reserved = step.prompt_token_bound + step.max_tokens
        self._intend(run, step, "model", place, "", True, reserved)

    def intend_tool(self, run: RunningProgram, step: ToolStep) -> None:
        """Append the intent of a tool call, or wait if no server is there now."""
        tools = {tool.name: tool for tool in self._programs.service(run).tools}
        tool = tools.get(step.action.name)
        argument = step.action.argument
        if tool is None or step.action.name == SPAWN:
            place = CallTarget("", "", step.action.name)
            self._intend(run, step, "tool", place, argument, True, 0)
            return
        found = self._dispatcher.choose_tool_server(
            run.program,
            tool.provider,
            self._programs.config,
            run.avoid_server,
            self._programs.now,
        )
        if found is None:
            run.not_before = self._programs.now + NO_SERVER_WAIT_S
            return
        place = found._replace(target=f"{tool.provider}/{tool.name}")
        self._intend(run, step, "tool", place, argument, tool.repeatable, 0)

    def _intend(
        self,
        run: RunningProgram,
        step: ModelStep | ToolStep,
        kind: str,
        place: CallTarget,
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
            self._programs.now,
        )
        self._programs.append(run, record)

    def dispatch(self, run: RunningProgram, intent: CallIntended) -> None:
        """Send a call whose intent is committed to its gate."""
        run.asked_at = run.heard_at = self._programs.now
        if not intent.server:
            self._append_end(run, _local_result(intent, UNKNOWN_TOOL))
            return
        program = run.program
        start = program.start
        model = intent.kind == "model"
        body = program.model_body(program.partial) if model else intent.body
        bound = program.prompt_token_bound() if model else 0
        limits = start.limits
        call = GateCall(
            CallId(start.program, intent.number, intent.attempt),
            run.slot,
            self._programs.epoch(run),
            intent.gate,
            intent.server,
            intent.kind,
            intent.name,
            body,
            len(program.partial) if model else 0,
            intent.repeatable,
            max(0, intent.reserved - bound),
            self._programs.service(run).priority,
            self._programs.now - start.started_at,
            bound,
            self._remaining_s(run) if model else limits.tool_s,
            self._programs.now,
            run.trace,
        )
        self._out.send(intent.gate, call)

    def _remaining_s(self, run: RunningProgram) -> float:
        start = run.program.start
        return max(0.0, start.started_at + start.limits.wall_s - self._programs.now)

    # Answers of gates

    def _open_call(self, call: CallId) -> RunningProgram | None:
        """Return the program whose open call this is; anything else is late."""
        run = self._programs.by_name.get(call.program)
        if run is None or run.program.call is None or run.ending:
            return None
        intent = run.program.call
        if (intent.number, intent.attempt) != (call.number, call.attempt):
            return None
        run.heard_at = self._programs.now
        run.asked_at = self._programs.now
        return run

    def on_text(self, sender: str, message: CallText) -> None:
        """Append streamed output; it reaches callers when committed."""
        run = self._open_call(message.call)
        if run is None or not run.wants_stream():
            return
        if not self._programs.may_append(run):
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
        self._programs.append(run, record)

    def on_pending(self, message: CallPending) -> None:
        """Note that the gate still works on a call."""
        self._open_call(message.call)

    def on_result(self, result: CallResult) -> None:
        """Append the end of a call."""
        run = self._open_call(result.call)
        if run is None or not self._programs.may_append(run):
            return
        self._dispatcher.record_result(run.program, result, self._programs.now)
        if result.status != "ok":
            run.avoid_server = result.server
            asked = min(result.retry_after_s, RETRY_WAIT_MAX_S)
            wait = max(asked, _retry_wait_s(result.call.attempt))
            run.not_before = self._programs.now + wait
        else:
            run.avoid_server = ""
        self._append_end(run, result)

    def _append_end(self, run: RunningProgram, result: CallResult) -> None:
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
            self._programs.now,
        )
        run.ending = True
        self._programs.append(run, record)

    def forget(self, call: CallIntended | None) -> None:
        """Let the gate drop the outcome of a call; it is committed."""
        if call is not None and call.server:
            self._out.send(call.gate, GateForget(_id_of(call), call.server))

    def cancel(self, call: CallIntended) -> None:
        """Have the gate stop a call that nobody needs."""
        if call.server:
            self._out.send(call.gate, GateCancel(_id_of(call), call.server))

    def release(self, server: str, program: str) -> None:
        """Have a server drop what it holds for a program."""
        instance = self._peers.gate_instance_of(server)
        if instance is not None:
            self._out.send(instance.address, HoldRelease(server, (program,)))

    def watch(self, run: RunningProgram, call: CallIntended) -> None:
        """Look a silent call up, or give it up."""
        if not call.server:
            return
        limit = run.program.start.limits.tool_s
        silent = self._programs.now - run.heard_at
        # A call that must not be repeated is asked about for as long as it may take:
        # giving it up early would make its outcome unknown for no reason.
        patience = GATE_LOST_S if call.repeatable else max(GATE_LOST_S, limit)
        gone = self._peers.is_confirmed_down(call.gate) and silent > LOOKUP_S
        overdue = (
            call.kind == "tool" and self._programs.now - call.intended_at > limit + 1.0
        )
        if silent > patience or gone or overdue:
            self.cancel(call)
            self._lose(run, call)
        elif self._programs.now - run.asked_at > LOOKUP_S:
            self.look_up(run, call)

    def _lose(self, run: RunningProgram, call: CallIntended) -> None:
        if self._programs.may_append(run):
            run.avoid_server = call.server
            run.not_before = self._programs.now + _retry_wait_s(call.attempt)
            self._append_end(run, _lost_result(call))

    def _ask(self, run: RunningProgram) -> None:
        if run.program.call is not None:
            self.look_up(run, run.program.call)

    def look_up(self, run: RunningProgram, call: CallIntended) -> None:
        """Ask the gate, whatever its incarnation, what became of a call."""
        run.asked_at = self._programs.now
        if not call.server:
            self._append_end(run, _local_result(call, UNKNOWN_TOOL))
            return
        lookup = GateLookup(
            _id_of(call),
            run.slot,
            self._programs.epoch(run),
            call.gate,
            call.server,
            run.text_length,
        )
        self._out.send(address_of(call.gate), lookup)

    def renew_holds(self) -> None:
        """Tell each gate, in one message, which programs live."""
        by_server: dict[str, list[str]] = {}
        for name in self._programs.live:
            for server in self._programs.by_name[name].program.servers:
                by_server.setdefault(server, []).append(name)
        for server, names in sorted(by_server.items()):
            instance = self._peers.gate_instance_of(server)
            if instance is not None:
                self._out.send(instance.address, HoldRenew(server, tuple(names)))


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
